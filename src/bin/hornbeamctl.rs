//! The command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    hornbeamloom_ctl::command::main()
}
