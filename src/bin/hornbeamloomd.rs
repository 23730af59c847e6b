//! The hornbeamloom daemon.

use std::process::ExitCode;

// Links the crate so that its adapter is registered.
use hornbeamloom_platform as _;

fn main() -> ExitCode {
    hornbeamloom_daemon::run::main(&argh::from_env())
}
