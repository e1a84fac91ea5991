//! Tests of `Set::diff`. They guard against a difference that the operator is not
//! shown before the new rules are applied.

use wisteriaglade_rules::Set;

/// Parses rules from their methods, template, execution and deadline.
fn set(lines: &[&str]) -> Set {
    let text: Vec<_> = lines
        .iter()
        .map(|line| format!("m p {line} length=short weight=1 # Nia\n"))
        .collect();
    Set::parse(&text.concat()).unwrap()
}

#[test]
fn shows_added_removed_and_changed_rules() {
    let old = set(&[
        "GET /kept/{key} once deadline=1s",
        "GET /gone/{key} once deadline=1s",
        "GET /slow/{key} once deadline=1s",
        "GET /wide/{key} once deadline=1s",
    ]);
    let new = set(&[
        "GET /slow/{key} once deadline=9s",
        "GET,HEAD /wide/{key} once deadline=1s",
        "GET /kept/{key} once deadline=1s",
        "GET /new/{key} once deadline=1s",
    ]);

    let diff = old.diff(&new);

    let names = |rules: &[std::sync::Arc<wisteriaglade_rules::Rule>]| -> Vec<String> {
        rules.iter().map(|rule| rule.template.to_string()).collect()
    };
    assert_eq!(names(&diff.added), ["/new/{key}"]);
    assert_eq!(names(&diff.removed), ["/gone/{key}"]);
    let changed: Vec<_> = diff
        .changed
        .iter()
        .map(|change| (change.before.line, change.after.line))
        .collect();
    assert_eq!(changed, [(3, 1), (4, 2)]);
}

#[test]
fn pairs_rules_with_a_common_method_once() {
    let old = set(&["GET,PUT /a/{key} once deadline=1s"]);
    let new = set(&[
        "PUT /a/{key} once deadline=1s",
        "GET /a/{key} once deadline=1s",
    ]);
    let back = new.diff(&old);

    let diff = old.diff(&new);

    assert_eq!((diff.changed.len(), diff.added.len()), (1, 1));
    assert_eq!((back.changed.len(), back.removed.len()), (1, 1));
    assert!(new.diff(&new.clone()).is_empty());
}
