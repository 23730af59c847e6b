//! Stand-ins, fault proxy, load tool and experiments.

use std::process::ExitCode;

fn main() -> ExitCode {
    hornbeamloom_bench::role::main()
}
