//! Runs the daemon as a role, so that `up` works when only this binary was built.

use std::process::ExitCode;

use argh::FromArgs;
use hornbeamloom_daemon::run;

use crate::role;

inventory::submit! {
    role::Plugin { name: "daemon", help: "run hornbeamloomd from this binary", run: start }
}

fn start(argv: &[&str]) -> Result<ExitCode, role::Error> {
    match run::Args::from_args(&["hornbeamloom-bench daemon"], argv) {
        Ok(args) => Ok(run::main(&args)),
        Err(exit) => Err(role::Error::Usage(exit.output)),
    }
}
