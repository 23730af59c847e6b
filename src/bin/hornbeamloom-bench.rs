//! Test bench: simulated platform and targets, fault proxy, load generator and experiments.

use std::process::ExitCode;

fn main() -> ExitCode {
    hornbeamloom_bench::role::main()
}
