//! Execution of the commands. The commands for rules are in [`rules`].

use std::io::Write;

use serde_json::json;

use crate::{
    Exit,
    args::{Command, Options},
    call::{Call, Response},
    client::{Client, Failure},
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
    let result = runtime.block_on(run_online(&client, command, notes));
    // Does not wait for blocking tasks: a DNS lookup in progress would delay the exit.
    runtime.shutdown_background();
    result
}

/// Runs a command that may need a node.
async fn run_online(client: &Client, command: Command, notes: &mut impl Write) -> Result<Report> {
    match command {
        Command::Check { file } => rules::check(&file),
        Command::Diff { file } => rules::diff(client, &file).await,
        Command::Apply(apply) => rules::apply(client, apply, notes).await,
        Command::History => rules::history(client).await,
        Command::Show => rules::show(client, notes).await,
        Command::Status => fetch_table(client, &Call::get("/v1/status")).await,
        Command::Explain { method, path } => {
            fetch_table(client, &Call::explain(&method, &path)).await
        }
        Command::Members => fetch_table(client, &Call::get("/v1/members")).await,
        Command::Health => health(client).await,
        Command::Drain { node } => node_action(client, node, "drain").await,
        Command::Lost { node } => node_action(client, node, "lost").await,
    }
}

/// Sends a request that only reads, and returns a response with a status of success.
/// Any other status is an error.
pub(crate) async fn fetch(client: &Client, call: &Call) -> Result<Response> {
    match client.call(call).await {
        Ok(response) if response.status.is_success() => Ok(response),
        Ok(response) => Err(refusal(&response)),
        Err(failure) => Err(no_response(&failure)),
    }
}

/// The error for a request that a node refused.
pub(crate) fn refusal(response: &Response) -> Error {
    Error::refused(format!("the node refused: {}", response.explanation()))
        .with("status", response.status.as_u16())
        .with("body", response.body.clone())
}

/// The error for a request without a response that has changed nothing.
pub(crate) fn no_response(failure: &Failure) -> Error {
    Error::failed(format!("no node answered: {}", failure.reasons.join("; ")))
        .with("nodes", failure.reasons.clone())
}

/// Fetches a resource and prints it as a table.
async fn fetch_table(client: &Client, call: &Call) -> Result<Report> {
    let response = fetch(client, call).await?;
    Ok(Report::table(response.body))
}

/// Reports the health of the first node that responds. An unhealthy node is a
/// refusal.
async fn health(client: &Client) -> Result<Report> {
    let response = client
        .call(&Call::health())
        .await
        .map_err(|failure| no_response(&failure))?;
    let exit = if response.status.is_success() {
        Exit::Done
    } else {
        Exit::Refused
    };
    let text = if response.body.is_null() {
        format!("{}\n", response.status)
    } else {
        table::render(&response.body)
    };
    Ok(Report {
        json: json!({ "status": response.status.as_u16(), "body": response.body }),
        text,
        exit,
    })
}

/// Drains a node or reports it as lost.
async fn node_action(client: &Client, node: u64, action: &str) -> Result<Report> {
    let response = match client.call(&Call::node(node, action)).await {
        Ok(response) if response.status.is_success() => response,
        Ok(response) if response.earlier_failures.is_empty() => return Err(refusal(&response)),
        Ok(response) => return Err(unknown_outcome(node, &response.earlier_failures)),
        Err(failure) if failure.sent => return Err(unknown_outcome(node, &failure.reasons)),
        Err(failure) => return Err(no_response(&failure)),
    };
    let text = format!(
        "node {node}: {action} accepted\n{}",
        table::render(&response.body)
    );
    let json = json!({ "node": node, "action": action, "body": response.body });
    Ok(Report::new(json, text))
}

/// The error for a node command whose outcome is unknown.
fn unknown_outcome(node: u64, reasons: &[String]) -> Error {
    let message = format!(
        "the answer was lost, so node {node} may or may not be marked; \
         repeating the command is safe: {}",
        reasons.join("; ")
    );
    Error::new(Kind::Unknown, message).with("nodes", reasons)
}
