//! Checks that every log event of a fleet is described for operators.

use std::{collections::BTreeSet, fs, path::Path};

/// Appends the texts of all Rust source files below a folder to `texts`.
fn sources(folder: &Path, texts: &mut Vec<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, texts);
        } else if path.extension().is_some_and(|end| end == "rs") {
            texts.push(fs::read_to_string(path).unwrap());
        }
    }
}

/// Returns the names in `event = "name"` and in
/// `event = if .. { "one" } else { "other" }`.
fn events(text: &str) -> BTreeSet<String> {
    let values = text.split("event = ").skip(1);
    values
        .flat_map(|value| {
            let end = value.find([',', ')']).unwrap_or(value.len());
            let names = value[..end].split('"').skip(1).step_by(2);
            names.map(str::to_owned).collect::<Vec<_>>()
        })
        .collect()
}

/// Guards against log events that are missing from `docs/OPERATIONS.md`.
#[test]
fn every_event_of_a_fleet_is_described() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).unwrap();
    let mut texts = Vec::new();
    for folder in ["wisteriaglade-fleet/src", "platform/src"] {
        sources(&root.join(folder), &mut texts);
    }

    let used: BTreeSet<String> = texts.iter().flat_map(|text| events(text)).collect();

    let missing: Vec<_> = used
        .iter()
        .filter(|event| !page.contains(&format!("`{event}`")))
        .collect();
    assert!(used.len() > 40, "only {} events were found", used.len());
    assert!(missing.is_empty(), "not in docs/OPERATIONS.md: {missing:?}");
}
