//! The hornbeamloom daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    hornbeamloom_daemon::run::main(&argh::from_env())
}
