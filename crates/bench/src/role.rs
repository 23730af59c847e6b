//! The registry of the roles of `hornbeamloom-bench`.

use std::process::ExitCode;

use argh::FromArgs;

/// Why a role failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The command line or an input file is invalid.
    #[error("{0}")]
    Usage(String),
    /// A process, request or measurement failed.
    #[error("{0}")]
    Failed(String),
    /// An I/O operation failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// A role, which registers itself in its own file.
#[derive(Debug, Clone, Copy)]
pub struct Plugin {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description in the list of roles.
    pub help: &'static str,
    /// Runs the role with the arguments after its name.
    pub run: fn(&[&str]) -> Result<ExitCode, Error>,
}

inventory::collect!(Plugin);

/// Run stand-ins, load and experiments for hornbeamloom.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// the role and its arguments
    #[argh(positional, greedy)]
    role: Vec<String>,
}

/// Runs the command line of the current process.
pub fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let argv: Vec<&str> = args.role.iter().map(String::as_str).collect();
    match run(&argv) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("hornbeamloom-bench: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(argv: &[&str]) -> Result<ExitCode, Error> {
    let Some((name, rest)) = argv.split_first() else {
        return Err(Error::Usage(usage()));
    };
    match inventory::iter::<Plugin>.into_iter().find(|plugin| plugin.name == *name) {
        Some(plugin) => (plugin.run)(rest),
        None => Err(Error::Usage(usage())),
    }
}

fn usage() -> String {
    let mut plugins: Vec<&Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    plugins.sort_by_key(|plugin| plugin.name);
    let lines = plugins.iter().map(|plugin| format!("\n  {:<10} {}", plugin.name, plugin.help));
    format!("expected a role:{}", lines.collect::<String>())
}
