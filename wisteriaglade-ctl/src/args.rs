//! Parsing and validation of the command line arguments.

use std::{path::PathBuf, time::Duration};

use getopts::{Matches, Options as Flags};

use crate::error::{Error, Result};

/// The time limit for each node without `--timeout`.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest time limit that `--timeout` accepts. A longer one is refused as a
/// mistake. The bound also keeps the sum of the current time and the limit from
/// overflowing.
const MAX_TIMEOUT: Duration = Duration::from_hours(1);
/// The longest change id that `--id` accepts, in bytes.
const MAX_ID_BYTES: usize = 64;

const SUMMARY: &str = "\
Usage: wisteriactl [OPTIONS] COMMAND

Commands:
    rules check FILE    check a rules file offline
    rules diff FILE     check a file and compare it with the rules in force
    rules apply FILE    check a file and put it in force
    rules history       list the versions of the rules
    rules show          print the rules in force
    status              show nodes, pools and shards
    explain METHOD PATH show how a request would be routed
    members             show each member's share and treatment
    health              show whether a node is healthy
    node drain NODE     move a node's shards away and give it no new work
    node lost NODE      report that a node's host is off, which ends the wait
                        for it; only for a host that is certainly off

Exit codes: 0 done, 1 refused, failed or unknown, 2 wrong arguments.";

/// The parsed arguments.
#[derive(Debug)]
pub(crate) enum Args {
    /// Print this help text.
    Help(String),
    Version,
    Run(Options, Command),
}

/// The options that every command accepts. `nodes` are admin addresses in the order
/// in which they are tried, and `timeout` is the limit for each of them.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) json: bool,
    pub(crate) nodes: Vec<String>,
    pub(crate) token_file: Option<PathBuf>,
    pub(crate) timeout: Duration,
}

/// A command with its arguments. Nodes are given by their number.
#[derive(Debug)]
pub(crate) enum Command {
    Check { file: PathBuf },
    Diff { file: PathBuf },
    Apply(Apply),
    History,
    Show,
    Status,
    Explain { method: String, path: String },
    Members,
    Health,
    Drain { node: u64 },
    Lost { node: u64 },
}

/// The arguments of `rules apply`. `base` is the version that the file is based on,
/// and `id` the change id; both have defaults.
#[derive(Debug)]
pub(crate) struct Apply {
    pub(crate) file: PathBuf,
    pub(crate) base: Option<u64>,
    pub(crate) id: Option<String>,
}

impl Args {
    pub(crate) fn parse(args: impl IntoIterator<Item = String>) -> Result<Self> {
        let flags = flags();
        let matches = flags
            .parse(args)
            .map_err(|error| Error::usage(error.to_string()))?;
        if matches.opt_present("help") {
            return Ok(Self::Help(flags.usage(SUMMARY)));
        }
        if matches.opt_present("version") {
            return Ok(Self::Version);
        }
        let options = parse_options(&matches)?;
        let command = parse_command(&matches)?;
        let offline = matches!(command, Command::Check { .. });
        if options.nodes.is_empty() && !offline {
            return Err(Error::usage("the command needs --node"));
        }
        Ok(Self::Run(options, command))
    }
}

fn flags() -> Flags {
    let mut flags = Flags::new();
    flags.optmulti(
        "",
        "node",
        "admin address of a node; when it does not answer, the next one given is tried",
        "HOST:PORT",
    );
    flags.optopt("", "token-file", "file with the token for changes", "FILE");
    flags.optopt("", "timeout", "time limit for each node (5s)", "TIME");
    flags.optflag("", "json", "print JSON");
    flags.optopt(
        "",
        "base",
        "rules apply: the version that the file is based on, by default the one in force",
        "N",
    );
    flags.optopt(
        "",
        "id",
        "rules apply: the id of the change, to send a change again",
        "ID",
    );
    flags.optflag("h", "help", "print this help");
    flags.optflag("V", "version", "print the version");
    flags
}

fn parse_options(matches: &Matches) -> Result<Options> {
    let nodes = matches.opt_strs("node");
    for node in &nodes {
        let port = node.rsplit_once(':').map(|(_, port)| port.parse::<u16>());
        if !matches!(port, Some(Ok(_))) {
            return Err(Error::usage(format!(
                "--node expects HOST:PORT, found {node:?}"
            )));
        }
    }
    let timeout = match matches.opt_str("timeout") {
        None => DEFAULT_TIMEOUT,
        Some(text) => humantime::parse_duration(&text)
            .ok()
            .filter(|timeout| !timeout.is_zero() && *timeout <= MAX_TIMEOUT)
            .ok_or_else(|| {
                Error::usage(format!(
                    "--timeout expects a time of at most 1h such as 5s, found {text:?}"
                ))
            })?,
    };
    Ok(Options {
        json: matches.opt_present("json"),
        nodes,
        token_file: matches.opt_str("token-file").map(PathBuf::from),
        timeout,
    })
}

fn parse_command(matches: &Matches) -> Result<Command> {
    let words: Vec<_> = matches.free.iter().map(String::as_str).collect();
    let command = match words[..] {
        ["rules", "check", file] => Command::Check { file: file.into() },
        ["rules", "diff", file] => Command::Diff { file: file.into() },
        ["rules", "apply", file] => Command::Apply(parse_apply(matches, file)?),
        ["rules", "history"] => Command::History,
        ["rules", "show"] => Command::Show,
        ["status"] => Command::Status,
        ["explain", method, path] => Command::Explain {
            method: method.into(),
            path: path.into(),
        },
        ["members"] => Command::Members,
        ["health"] => Command::Health,
        ["node", "drain", node] => Command::Drain {
            node: parse_number("NODE", node)?,
        },
        ["node", "lost", node] => Command::Lost {
            node: parse_number("NODE", node)?,
        },
        [] => return Err(Error::usage("no command given")),
        _ => {
            return Err(Error::usage(format!(
                "unknown command or wrong number of arguments: {}",
                words.join(" ")
            )));
        }
    };
    for name in ["base", "id"] {
        if matches.opt_present(name) && !matches!(command, Command::Apply(_)) {
            return Err(Error::usage(format!("--{name} belongs to \"rules apply\"")));
        }
    }
    Ok(command)
}

fn parse_apply(matches: &Matches, file: &str) -> Result<Apply> {
    let base = matches
        .opt_str("base")
        .map(|text| parse_number("--base", &text))
        .transpose()?;
    let id = matches.opt_str("id");
    let valid = |id: &str| {
        (1..=MAX_ID_BYTES).contains(&id.len())
            && id.chars().all(|c| c.is_ascii_alphanumeric() || c == '-')
    };
    if let Some(id) = id.as_deref().filter(|id| !valid(id)) {
        return Err(Error::usage(format!(
            "--id expects 1 to {MAX_ID_BYTES} ASCII letters, digits and \"-\", found {id:?}"
        )));
    }
    Ok(Apply {
        file: file.into(),
        base,
        id,
    })
}

fn parse_number(what: &str, text: &str) -> Result<u64> {
    text.parse()
        .map_err(|_| Error::usage(format!("{what} expects a number, found {text:?}")))
}
