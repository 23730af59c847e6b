//! The hornbeamloom daemon.

use std::process::ExitCode;

// Linked for the adapter that it registers.
use hornbeamloom_platform as _;

fn main() -> ExitCode {
    hornbeamloom_daemon::run::main(&argh::from_env())
}
