//! The registry of what `hornbeamloom-bench` can be.

use std::process::ExitCode;

use argh::FromArgs;

/// A role failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// Anything else.
    #[error("{0}")]
    Failed(String),
    /// A file or socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// A role, registered by its own file.
#[derive(Debug, Clone, Copy)]
pub struct Plugin {
    /// Its name on the command line.
    pub name: &'static str,
    /// One line for the list of roles.
    pub help: &'static str,
    /// Runs it with its own arguments.
    pub run: fn(&[&str]) -> Result<ExitCode, Error>,
}

inventory::collect!(Plugin);

/// Stand-ins, load and experiments for hornbeamloom.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// the role and its arguments
    #[argh(positional, greedy)]
    role: Vec<String>,
}

/// Runs the command line of this process.
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
