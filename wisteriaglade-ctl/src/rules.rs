//! The `rules` commands.

use std::{fmt::Write as _, fs, io::Write, path::Path, time::Duration};

use serde_json::{Value, json};
use wisteriaglade_rules::{Diff, Rule, Set};

use crate::{
    args::Apply,
    call::{Call, Response},
    client::{Client, Failure},
    command::{fetch, no_response, refusal},
    error::{Error, Kind, Result},
    report::Report,
    table,
};

/// The most times that a change is sent. With the pauses in between, this is longer
/// than the election of a control leader, which takes up to 2 s.
const MAX_ATTEMPTS: u32 = 5;
/// The longest pause between two attempts to send a change. The time limit for a
/// node is used if it is shorter.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Checks a file without a node.
pub(crate) fn check(file: &Path) -> Result<Report> {
    let (_, set) = load_file(file)?;
    let count = set.rules().len();
    Ok(Report::new(
        json!({ "file": file.display().to_string(), "valid": true, "rules": count }),
        format!("{}: valid, rules: {count}\n", file.display()),
    ))
}

/// Compares a file with the current rules.
pub(crate) async fn diff(client: &Client, file: &Path) -> Result<Report> {
    let (_, proposed) = load_file(file)?;
    let (version, text) = fetch_current(client).await?;
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
    Ok(Report::new(json, format_diff(version, &diff)))
}

/// Formats a diff as a summary line and a table.
fn format_diff(version: u64, diff: &Diff) -> String {
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
        text.push_str(&table::render_rows(&["change", "line", "rule"], &rows));
    }
    text
}

/// Lists the versions of the rules.
pub(crate) async fn history(client: &Client) -> Result<Report> {
    let response = fetch(client, &Call::get("/v1/rules/history")).await?;
    Ok(Report::table(response.body))
}

/// Prints the current rules as they were applied, so that the output can be saved and
/// edited as a rules file. The version is a note.
pub(crate) async fn show(client: &Client, notes: &mut impl Write) -> Result<Report> {
    let (version, text) = fetch_current(client).await?;
    print_note(notes, &format!("version {version}"))?;
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
    let (text, _) = load_file(&apply.file)?;
    let base = match apply.base {
        Some(base) => base,
        None => fetch_current(client).await?.0,
    };
    let id = apply
        .id
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    // If the response is lost, the operator needs the id to send the change again
    // safely. So the change is not sent if the id cannot be printed.
    print_note(notes, &format!("change id {id}, based on version {base}"))?;
    match send(client, &Call::apply(&id, base, &text), notes).await {
        Ok(response) => outcome(&response, &id, base),
        Err(failure) if failure.sent => Err(unknown_outcome(&failure.reasons, &id, base)),
        Err(failure) => Err(no_response(&failure).with("id", id).with("base", base)),
    }
}

/// Sends a change until a node responds. It is sent again only if a node may have
/// received it; otherwise the failure is final.
async fn send(
    client: &Client,
    call: &Call,
    notes: &mut impl Write,
) -> std::result::Result<Response, Failure> {
    let mut attempts = 1;
    let mut earlier_failures = Vec::new();
    loop {
        let failure = match client.call(call).await {
            Ok(mut response) => {
                response.earlier_failures.splice(0..0, earlier_failures);
                return Ok(response);
            }
            Err(failure) => failure,
        };
        if !failure.sent && earlier_failures.is_empty() {
            return Err(failure);
        }
        earlier_failures.extend(failure.reasons.iter().cloned());
        if attempts == MAX_ATTEMPTS {
            return Err(Failure {
                sent: true,
                reasons: failure.reasons,
            });
        }
        attempts += 1;
        // The change is sent again even if this note cannot be printed.
        let _ = print_note(
            notes,
            &format!(
                "the answer was lost ({}); sending the same change again",
                failure.reasons.join("; ")
            ),
        );
        tokio::time::sleep(MAX_RETRY_PAUSE.min(client.timeout())).await;
    }
}

/// The outcome of a change, from the response to it.
fn outcome(response: &Response, id: &str, base: u64) -> Result<Report> {
    let error = match (response.status.as_u16(), response.version()) {
        (200..=299, Some(version)) => {
            return Ok(Report::new(
                json!({ "id": id, "base": base, "version": version }),
                format!("accepted as version {version}\n"),
            ));
        }
        (200..=299, None) => Error::new(
            Kind::Unknown,
            format!(
                "the change was answered without a version: {}",
                response.body
            ),
        ),
        (409, version) => conflict(response, base, version),
        _ if response.earlier_failures.is_empty() => refusal(response),
        // An earlier attempt may have been applied, whatever this response says.
        _ => {
            let mut reasons = response.earlier_failures.clone();
            reasons.push(response.explanation());
            return Err(unknown_outcome(&reasons, id, base));
        }
    };
    Err(error.with("id", id).with("base", base))
}

/// The error for a change whose base is no longer the current version. `winner` in
/// the response is the change that was applied instead.
fn conflict(response: &Response, base: u64, version: Option<u64>) -> Error {
    let winner = response.body.get("winner").cloned().unwrap_or(Value::Null);
    let mut message = format!("refused, because the change is based on version {base}");
    if let Some(version) = version {
        // Writing to a string cannot fail.
        let _ = write!(message, " and version {version} is in force");
    }
    let _ = write!(message, "; winner: {}", table::render_inline(&winner));
    Error::refused(message)
        .with("version", version)
        .with("winner", winner)
}

/// The error for a change that may or may not have been applied.
fn unknown_outcome(reasons: &[String], id: &str, base: u64) -> Error {
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
async fn fetch_current(client: &Client) -> Result<(u64, String)> {
    let response = fetch(client, &Call::get("/v1/rules")).await?;
    let text = response.body.get("text").and_then(Value::as_str);
    match (response.version(), text) {
        (Some(version), Some(text)) => Ok((version, text.into())),
        _ => Err(Error::failed(
            "the node's answer has no \"version\" and \"text\"",
        )),
    }
}

/// Reads and checks a rules file. An invalid file is a refusal that lists its
/// problems.
fn load_file(file: &Path) -> Result<(String, Set)> {
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
fn print_note(notes: &mut impl Write, text: &str) -> Result<()> {
    writeln!(notes, "{text}")
        .and_then(|()| notes.flush())
        .map_err(|error| Error::failed(format!("cannot write to standard error: {error}")))
}
