//! The operators' command line. See [`wisteriaglade_ctl`].

use std::{env, io, process::ExitCode};

fn main() -> ExitCode {
    // No valid argument but the name of a file can be other than UTF-8, and
    // such a file is reported as missing.
    let args = env::args_os()
        .skip(1)
        .map(|arg| arg.to_string_lossy().into_owned());
    wisteriaglade_ctl::run(args, &mut io::stdout(), &mut io::stderr()).into()
}
