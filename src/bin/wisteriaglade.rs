//! The daemon. With `--settings` it runs a node, and with `--platform` a process
//! of a fleet: the one beside a target, or a control replica.

use std::{path::PathBuf, process::ExitCode};

use getopts::Options;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tracing::{error, info, warn};
use wisteriaglade::{
    fleet,
    node::{Daemon, Settings, telemetry},
    platform::{Protocol, settings},
};

/// The exit status for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// An action that the command line selects.
enum Action {
    Help,
    Version,
    /// Validate the settings file of a node.
    Check(PathBuf),
    /// Run a node with this settings file.
    Run(PathBuf),
    /// Run a process of a fleet, or only validate its settings file.
    Platform {
        check: bool,
    },
}

fn main() -> ExitCode {
    let action = match parse_action(std::env::args().skip(1)) {
        Ok(action) => action,
        Err(error) => {
            eprintln!("wisteriaglade: {error}\n{}", usage());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match action {
        Action::Help => {
            print!("{}", usage());
            ExitCode::SUCCESS
        }
        Action::Version => {
            println!("wisteriaglade {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Action::Check(path) => check(&path),
        Action::Run(path) => start_node(&path),
        Action::Platform { check } => start_fleet(check),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("s", "settings", "the settings file (YAML)", "FILE")
        .optflag("c", "check", "check the settings and exit")
        .optflag(
            "p",
            "platform",
            "take the settings from the users' platform",
        )
        .optflag("h", "help", "print this help and exit")
        .optflag("V", "version", "print the version and exit");
    options
}

fn usage() -> String {
    options().usage("Usage: wisteriaglade (--settings FILE | --platform) [--check]")
}

fn parse_action(arguments: impl Iterator<Item = String>) -> Result<Action, String> {
    let matches = options()
        .parse(arguments)
        .map_err(|error| error.to_string())?;
    if matches.opt_present("help") {
        return Ok(Action::Help);
    }
    if matches.opt_present("version") {
        return Ok(Action::Version);
    }
    if let Some(extra) = matches.free.first() {
        return Err(format!("unexpected argument `{extra}`"));
    }
    if matches.opt_present("platform") {
        return Ok(Action::Platform {
            check: matches.opt_present("check"),
        });
    }
    let path = matches
        .opt_str("settings")
        .map(PathBuf::from)
        .ok_or("--settings is required")?;
    Ok(if matches.opt_present("check") {
        Action::Check(path)
    } else {
        Action::Run(path)
    })
}

fn check(path: &std::path::Path) -> ExitCode {
    match Settings::read(path) {
        Ok(_) => {
            println!("{}: valid", path.display());
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

/// Prints an error to standard error.
fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("wisteriaglade: {error}");
    ExitCode::FAILURE
}

/// Runs a node with the settings file.
fn start_node(path: &std::path::Path) -> ExitCode {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    runtime.block_on(run_node(settings))
}

/// Runs a process of a fleet with the platform's settings file, or validates and
/// prints the settings.
fn start_fleet(check: bool) -> ExitCode {
    let path = std::env::var(settings::PATH_VARIABLE)
        .unwrap_or_else(|_| settings::DEFAULT_PATH.to_owned());
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return fail(&format!("{path}: {error}")),
    };
    let settings = match settings::read(&text) {
        Ok(settings) => settings,
        Err(error) => return fail(&format!("{path}: {error}")),
    };
    if check {
        println!("{path}: valid\n{settings:#?}");
        return ExitCode::SUCCESS;
    }
    // A process of the fleet has less than one core, so one thread is enough.
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    runtime.block_on(run_fleet(settings))
}

/// Runs a process of a fleet until a signal ends it.
async fn run_fleet(settings: fleet::Settings) -> ExitCode {
    let filter = std::env::var("WISTERIAGLADE_LOG").unwrap_or_else(|_| "info".to_owned());
    let _guard = match fleet::start_log(&filter) {
        Ok(guard) => guard,
        Err(error) => return fail(&error),
    };
    let stop = CancellationToken::new();
    if let Err(error) = handle_signals(stop.clone()).and_then(|()| handle_hangup()) {
        return fail(&error);
    }
    match fleet::run::<Protocol>(settings, stop).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(event = "start-failed", error = %error);
            fail(&error)
        }
    }
}

/// Logs SIGHUP, with which the platform reports changed settings, and otherwise
/// ignores it. The settings from the start stay in force: the process has learned
/// the addresses of the others from the fleet since then.
fn handle_hangup() -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            info!(event = "reload");
        }
    });
    Ok(())
}

/// Runs a node until a signal ends it.
async fn run_node(settings: Settings) -> ExitCode {
    // Dropping the guard exports the remaining spans.
    let _guard = match telemetry::start(&settings) {
        Ok(guard) => guard,
        Err(error) => return fail(&error),
    };
    let stop = CancellationToken::new();
    if let Err(error) = handle_signals(stop.clone()) {
        return fail(&error);
    }
    match Daemon::start(settings).await {
        Ok(daemon) => {
            daemon.run(stop).await;
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

/// Handles SIGTERM and SIGINT: the first cancels the token, which starts a
/// drain, and the second ends the process immediately with status 1.
fn handle_signals(stop: CancellationToken) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if stop.is_cancelled() {
                warn!(event = "second-signal", detail = "ending at once");
                std::process::exit(1);
            }
            stop.cancel();
        }
    });
    Ok(())
}
