//! The command-line tool for operators; [`wisteriaglade_ctl`] implements it.

use std::{env, io, process::ExitCode};

fn main() -> ExitCode {
    // Only the name of a file can be valid without being UTF-8. Such a file is
    // reported as missing.
    let args = env::args_os()
        .skip(1)
        .map(|arg| arg.to_string_lossy().into_owned());
    wisteriaglade_ctl::run(args, &mut io::stdout(), &mut io::stderr()).into()
}
