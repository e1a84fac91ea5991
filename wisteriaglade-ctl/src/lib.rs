//! The command line tool `wisteriactl`, with which operators inspect and change a
//! running router.
//!
//! The binary only passes its arguments to [`run`], so that tests can run commands
//! without starting a process.
//!
//! # Usage
//!
//! ```text
//! wisteriactl rules check rules.txt
//! wisteriactl --node 127.0.0.1:7100 rules diff rules.txt
//! wisteriactl --node 127.0.0.1:7100 --token-file token rules apply rules.txt
//! wisteriactl --node 127.0.0.1:7100 --json explain GET /designs/17
//! ```
//!
//! Results are printed to standard output, as aligned tables or with `--json` as one
//! JSON value. Notes and errors are printed to standard error. With `--json` a
//! refusal or failure is also printed to standard output, as a JSON object with the
//! fields `outcome` (`refused`, `failed` or `unknown`) and `message`.
//!
//! # Changes
//!
//! `rules apply` checks the file offline, prints the id of the change and then
//! sends it. If the response is lost, it sends the change again with the same id, so
//! the change cannot be applied twice. If no response arrives after all attempts,
//! the outcome is `unknown`; running the same command with the printed id and version
//! as `--id` and `--base` is safe and shows the outcome.
//!
//! # Examples
//!
//! ```
//! use wisteriaglade_ctl::{Exit, run};
//!
//! let (mut out, mut err) = (Vec::new(), Vec::new());
//! let exit = run(["--version".to_owned()], &mut out, &mut err);
//! assert_eq!(exit, Exit::Done);
//! assert!(out.starts_with(b"wisteriactl "));
//! ```

mod args;
mod call;
mod client;
mod command;
mod error;
mod exit;
mod report;
mod rules;
mod table;

use std::io::{self, Write};

use serde_json::json;

use crate::{
    args::{Args, Options},
    error::Error,
    report::Report,
};

pub use crate::exit::Exit;

/// Runs one command. `args` are the arguments without the program's name, `out` is
/// standard output and `err` is standard error.
///
/// If writing to them fails, for example because a pipe is closed, the command ends
/// with [`Exit::Refused`].
#[must_use]
pub fn run<I>(args: I, out: &mut impl Write, err: &mut impl Write) -> Exit
where
    I: IntoIterator<Item = String>,
{
    try_run(args, out, err).unwrap_or(Exit::Refused)
}

fn try_run<I>(args: I, out: &mut impl Write, err: &mut impl Write) -> io::Result<Exit>
where
    I: IntoIterator<Item = String>,
{
    let (options, command) = match Args::parse(args) {
        Ok(Args::Help(text)) => {
            out.write_all(text.as_bytes())?;
            return Ok(Exit::Done);
        }
        Ok(Args::Version) => {
            writeln!(out, "wisteriactl {}", env!("CARGO_PKG_VERSION"))?;
            return Ok(Exit::Done);
        }
        Ok(Args::Run(options, command)) => (options, command),
        Err(error) => {
            writeln!(err, "wisteriactl: {error}\nTry \"wisteriactl --help\".")?;
            return Ok(error.exit());
        }
    };
    match command::run(&options, command, err) {
        Ok(report) => print_report(&options, &report, out),
        Err(error) => print_error(&options, &error, out, err),
    }
}

/// Prints the result of a command.
fn print_report(options: &Options, report: &Report, out: &mut impl Write) -> io::Result<Exit> {
    if options.json {
        writeln!(out, "{}", report.json)?;
    } else {
        out.write_all(report.text.as_bytes())?;
    }
    out.flush()?;
    Ok(report.exit)
}

/// Prints an error to standard error, and with `--json` to standard output too.
fn print_error(
    options: &Options,
    error: &Error,
    out: &mut impl Write,
    err: &mut impl Write,
) -> io::Result<Exit> {
    writeln!(err, "wisteriactl: {error}")?;
    if options.json {
        let mut object = error.details().clone();
        object.insert("outcome".into(), json!(error.kind().as_str()));
        object.insert("message".into(), json!(error.to_string()));
        writeln!(out, "{}", serde_json::Value::Object(object))?;
    }
    out.flush()?;
    Ok(error.exit())
}
