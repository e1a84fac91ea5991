//! Execution of the commands. The commands for rules are in [`rules`].

use std::io::Write;

use serde_json::json;

use crate::{
    Exit,
    args::{Command, Options},
    call::{Answer, Call},
    client::{Client, Silence},
    error::{Error, Kind, Result},
    report::Report,
    rules, table,
};

/// Runs a command to completion. Lines that an operator needs while it is running,
/// such as the change id, are written to `notes`.
pub(crate) fn run(options: &Options, command: Command, notes: &mut impl Write) -> Result<Report> {
    if let Command::Check { file } = command {
        return rules::check(&file);
    }
    let client = Client::new(options)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::failed(format!("the runtime did not start: {error}")))?;
    let result = runtime.block_on(online(&client, command, notes));
    // Does not wait for blocking tasks: a DNS lookup in progress would delay the exit.
    runtime.shutdown_background();
    result
}

/// Runs a command that may need a node.
async fn online(client: &Client, command: Command, notes: &mut impl Write) -> Result<Report> {
    match command {
        Command::Check { file } => rules::check(&file),
        Command::Diff { file } => rules::diff(client, &file).await,
        Command::Apply(apply) => rules::apply(client, apply, notes).await,
        Command::History => rules::history(client).await,
        Command::Show => rules::show(client, notes).await,
        Command::Status => read(client, &Call::get("/v1/status")).await,
        Command::Explain { method, path } => read(client, &Call::explain(&method, &path)).await,
        Command::Members => read(client, &Call::get("/v1/members")).await,
        Command::Health => health(client).await,
        Command::Drain { node } => act(client, node, "drain").await,
        Command::Lost { node } => act(client, node, "lost").await,
    }
}

/// Sends a request that only reads, and returns a response with a status of success.
/// Any other status is an error.
pub(crate) async fn fetch(client: &Client, call: &Call) -> Result<Answer> {
    match client.call(call).await {
        Ok(answer) if answer.status.is_success() => Ok(answer),
        Ok(answer) => Err(refusal(&answer)),
        Err(silence) => Err(no_answer(&silence)),
    }
}

/// The error for a request that a node refused.
pub(crate) fn refusal(answer: &Answer) -> Error {
    Error::refused(format!("the node refused: {}", answer.explanation()))
        .with("status", answer.status.as_u16())
        .with("body", answer.body.clone())
}

/// The error for a request without a response that has changed nothing.
pub(crate) fn no_answer(silence: &Silence) -> Error {
    Error::failed(format!("no node answered: {}", silence.reasons.join("; ")))
        .with("nodes", silence.reasons.clone())
}

/// Fetches a resource and prints it as a table.
async fn read(client: &Client, call: &Call) -> Result<Report> {
    let answer = fetch(client, call).await?;
    Ok(Report::table(answer.body))
}

/// Reports the health of the first node that responds. An unhealthy node is a
/// refusal.
async fn health(client: &Client) -> Result<Report> {
    let answer = client
        .call(&Call::health())
        .await
        .map_err(|silence| no_answer(&silence))?;
    let exit = if answer.status.is_success() {
        Exit::Done
    } else {
        Exit::Refused
    };
    let text = if answer.body.is_null() {
        format!("{}\n", answer.status)
    } else {
        table::render(&answer.body)
    };
    Ok(Report {
        json: json!({ "status": answer.status.as_u16(), "body": answer.body }),
        text,
        exit,
    })
}

/// Drains a node or reports it as lost.
async fn act(client: &Client, node: u64, action: &str) -> Result<Report> {
    let answer = match client.call(&Call::node(node, action)).await {
        Ok(answer) if answer.status.is_success() => answer,
        Ok(answer) if answer.lost.is_empty() => return Err(refusal(&answer)),
        Ok(answer) => return Err(lost(node, &answer.lost)),
        Err(silence) if silence.sent => return Err(lost(node, &silence.reasons)),
        Err(silence) => return Err(no_answer(&silence)),
    };
    let text = format!(
        "node {node}: {action} accepted\n{}",
        table::render(&answer.body)
    );
    let json = json!({ "node": node, "action": action, "body": answer.body });
    Ok(Report::new(json, text))
}

/// The error for a node command whose outcome is unknown.
fn lost(node: u64, reasons: &[String]) -> Error {
    let message = format!(
        "the answer was lost, so node {node} may or may not be marked; \
         repeating the command is safe: {}",
        reasons.join("; ")
    );
    Error::new(Kind::Unknown, message).with("nodes", reasons)
}
