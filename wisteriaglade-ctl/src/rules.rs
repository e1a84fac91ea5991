//! The `rules` commands.

use std::{fmt::Write as _, fs, io::Write, path::Path, time::Duration};

use serde_json::{Value, json};
use wisteriaglade_rules::{Diff, Rule, Set};

use crate::{
    args::Apply,
    call::{Answer, Call},
    client::{Client, Silence},
    command::{fetch, no_answer, refusal},
    error::{Error, Kind, Result},
    report::Report,
    table,
};

/// The most times that a change is sent. With the pauses in between, this is longer
/// than the election of a control leader, which takes up to 2 s.
const SENDS: u32 = 5;
/// The longest pause between two attempts to send a change. The time limit for a
/// node is used if it is shorter.
const PAUSE: Duration = Duration::from_secs(1);

/// Checks a file without a node.
pub(crate) fn check(file: &Path) -> Result<Report> {
    let (_, set) = load(file)?;
    let count = set.rules().len();
    Ok(Report::new(
        json!({ "file": file.display().to_string(), "valid": true, "rules": count }),
        format!("{}: valid, rules: {count}\n", file.display()),
    ))
}

/// Compares a file with the current rules.
pub(crate) async fn diff(client: &Client, file: &Path) -> Result<Report> {
    let (_, proposed) = load(file)?;
    let (version, text) = in_force(client).await?;
    let current = Set::parse(&text).map_err(|error| {
        Error::failed(format!(
            "this version of wisteriactl cannot read the rules in force (version {version}): {error}"
        ))
    })?;
    let diff = current.diff(&proposed);
    let json = json!({
        "version": version,
        "added": diff.added,
        "removed": diff.removed,
        "changed": diff.changed,
    });
    Ok(Report::new(json, describe(version, &diff)))
}

/// Formats a diff as a summary line and a table.
fn describe(version: u64, diff: &Diff) -> String {
    let mut text = format!(
        "compared with version {version}: {} added, {} removed, {} changed\n",
        diff.added.len(),
        diff.removed.len(),
        diff.changed.len()
    );
    let row =
        |what: &str, rule: &Rule| vec![json!(what), json!(rule.line), json!(rule.to_string())];
    let mut rows = Vec::new();
    rows.extend(diff.removed.iter().map(|rule| row("removed", rule)));
    for change in &diff.changed {
        rows.push(row("before", &change.before));
        rows.push(row("after", &change.after));
    }
    rows.extend(diff.added.iter().map(|rule| row("added", rule)));
    if !rows.is_empty() {
        text.push_str(&table::rows(&["change", "line", "rule"], &rows));
    }
    text
}

/// Lists the versions of the rules.
pub(crate) async fn history(client: &Client) -> Result<Report> {
    let answer = fetch(client, &Call::get("/v1/rules/history")).await?;
    Ok(Report::table(answer.body))
}

/// Prints the current rules as they were applied, so that the output can be saved and
/// edited as a rules file. The version is a note.
pub(crate) async fn show(client: &Client, notes: &mut impl Write) -> Result<Report> {
    let (version, text) = in_force(client).await?;
    note(notes, &format!("version {version}"))?;
    let mut plain = text.clone();
    if !plain.is_empty() && !plain.ends_with('\n') {
        plain.push('\n');
    }
    Ok(Report::new(
        json!({ "version": version, "text": text }),
        plain,
    ))
}

/// Checks a file and applies it, with the current version as the default base and a
/// random change id as the default id.
pub(crate) async fn apply(client: &Client, apply: Apply, notes: &mut impl Write) -> Result<Report> {
    let (text, _) = load(&apply.file)?;
    let base = match apply.base {
        Some(base) => base,
        None => in_force(client).await?.0,
    };
    let id = apply
        .id
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    // If the response is lost, the operator needs the id to send the change again
    // safely. So the change is not sent if the id cannot be printed.
    note(notes, &format!("change id {id}, based on version {base}"))?;
    match send(client, &Call::apply(&id, base, &text), notes).await {
        Ok(answer) => outcome(&answer, &id, base),
        Err(silence) if silence.sent => Err(unknown(&silence.reasons, &id, base)),
        Err(silence) => Err(no_answer(&silence).with("id", id).with("base", base)),
    }
}

/// Sends a change until a node responds. It is sent again only if a node may have
/// received it; otherwise the failure is final.
async fn send(
    client: &Client,
    call: &Call,
    notes: &mut impl Write,
) -> std::result::Result<Answer, Silence> {
    let mut sends = 1;
    let mut lost = Vec::new();
    loop {
        let silence = match client.call(call).await {
            Ok(mut answer) => {
                answer.lost.splice(0..0, lost);
                return Ok(answer);
            }
            Err(silence) => silence,
        };
        if !silence.sent && lost.is_empty() {
            return Err(silence);
        }
        lost.extend(silence.reasons.iter().cloned());
        if sends == SENDS {
            return Err(Silence {
                sent: true,
                reasons: silence.reasons,
            });
        }
        sends += 1;
        // The change is sent again even if this note cannot be printed.
        let _ = note(
            notes,
            &format!(
                "the answer was lost ({}); sending the same change again",
                silence.reasons.join("; ")
            ),
        );
        tokio::time::sleep(PAUSE.min(client.timeout())).await;
    }
}

/// The outcome of a change, from the response to it.
fn outcome(answer: &Answer, id: &str, base: u64) -> Result<Report> {
    let error = match (answer.status.as_u16(), answer.version()) {
        (200..=299, Some(version)) => {
            return Ok(Report::new(
                json!({ "id": id, "base": base, "version": version }),
                format!("accepted as version {version}\n"),
            ));
        }
        (200..=299, None) => Error::new(
            Kind::Unknown,
            format!("the change was answered without a version: {}", answer.body),
        ),
        (409, version) => conflict(answer, base, version),
        _ if answer.lost.is_empty() => refusal(answer),
        // An earlier attempt may have been applied, whatever this response says.
        _ => {
            let mut reasons = answer.lost.clone();
            reasons.push(answer.explanation());
            return Err(unknown(&reasons, id, base));
        }
    };
    Err(error.with("id", id).with("base", base))
}

/// The error for a change whose base is no longer the current version. `winner` in
/// the response is the change that was applied instead.
fn conflict(answer: &Answer, base: u64, version: Option<u64>) -> Error {
    let winner = answer.body.get("winner").cloned().unwrap_or(Value::Null);
    let mut message = format!("refused, because the change is based on version {base}");
    if let Some(version) = version {
        // Writing to a string cannot fail.
        let _ = write!(message, " and version {version} is in force");
    }
    let _ = write!(message, "; winner: {}", table::inline(&winner));
    Error::refused(message)
        .with("version", version)
        .with("winner", winner)
}

/// The error for a change that may or may not have been applied.
fn unknown(reasons: &[String], id: &str, base: u64) -> Error {
    let message = format!(
        "the answer was lost, so the change may be in force; \
         run the same command with --id {id} --base {base} to find out: {}",
        reasons.join("; ")
    );
    Error::new(Kind::Unknown, message)
        .with("id", id)
        .with("base", base)
        .with("nodes", reasons)
}

/// Fetches the version and the text of the current rules.
async fn in_force(client: &Client) -> Result<(u64, String)> {
    let answer = fetch(client, &Call::get("/v1/rules")).await?;
    let text = answer.body.get("text").and_then(Value::as_str);
    match (answer.version(), text) {
        (Some(version), Some(text)) => Ok((version, text.into())),
        _ => Err(Error::failed(
            "the node's answer has no \"version\" and \"text\"",
        )),
    }
}

/// Reads and checks a rules file. An invalid file is a refusal that lists its
/// problems.
fn load(file: &Path) -> Result<(String, Set)> {
    let name = file.display();
    let text =
        fs::read_to_string(file).map_err(|error| Error::failed(format!("{name}: {error}")))?;
    match Set::parse(&text) {
        Ok(set) => Ok((text, set)),
        Err(error) => {
            let problems = error.problems();
            let mut message = format!("{name}: invalid, problems: {}", problems.len());
            for problem in problems {
                // Writing to a string cannot fail.
                let _ = write!(message, "\n{name}: {problem}");
            }
            Err(Error::refused(message)
                .with("file", name.to_string())
                .with("valid", false)
                .with("problems", json!(problems)))
        }
    }
}

/// Prints a line for the operator before the command ends.
fn note(notes: &mut impl Write, text: &str) -> Result<()> {
    writeln!(notes, "{text}")
        .and_then(|()| notes.flush())
        .map_err(|error| Error::failed(format!("cannot write to standard error: {error}")))
}
