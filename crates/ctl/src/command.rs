//! The registry of subcommands.

use std::future::Future;
use std::process::ExitCode;

use argh::FromArgs;

use crate::client::{Client, Error};

/// A subcommand, which registers itself in its own file.
#[derive(Debug, Clone, Copy)]
pub struct Plugin {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description in the list of subcommands.
    pub help: &'static str,
    /// Runs the subcommand with the arguments after its name.
    pub run: fn(&Client, &[&str]) -> Result<(), Error>,
}

inventory::collect!(Plugin);

/// Control hornbeamloom: declare resources and inspect their state.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// base URL of an operator address (default: $HORNBEAMLOOM_SERVER or http://127.0.0.1:8200)
    #[argh(option)]
    server: Option<String>,
    /// operator key (default: $HORNBEAMLOOM_KEY)
    #[argh(option)]
    key: Option<String>,
    /// the subcommand and its arguments
    #[argh(positional, greedy)]
    command: Vec<String>,
}

/// Parses the arguments of a subcommand; `None` if its help was asked for and printed.
pub(crate) fn parse_args<T: FromArgs>(name: &str, argv: &[&str]) -> Result<Option<T>, Error> {
    match T::from_args(&["hornbeamctl", name], argv) {
        Ok(args) => Ok(Some(args)),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            Ok(None)
        }
        Err(exit) => Err(Error::Usage(exit.output)),
    }
}

/// Runs the requests of a subcommand to completion on the current thread.
pub(crate) fn block_on<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime
        .map_err(|error| Error::Usage(format!("cannot start the async runtime: {error}")))?;
    runtime.block_on(future)
}

/// Runs the command line of the current process.
pub fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let server = args.server.or_else(|| std::env::var("HORNBEAMLOOM_SERVER").ok());
    let key = args.key.or_else(|| std::env::var("HORNBEAMLOOM_KEY").ok());
    let client = Client::new(server.as_deref().unwrap_or("http://127.0.0.1:8200"))
        .with_key(key.as_deref().unwrap_or_default());
    let argv: Vec<&str> = args.command.iter().map(String::as_str).collect();
    match run(&client, &argv) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hornbeamctl: {error}");
            ExitCode::from(error.exit_status())
        }
    }
}

/// Runs a subcommand, given its name followed by its arguments.
///
/// # Errors
///
/// Any [`Error`]; an unknown subcommand is [`Error::Usage`] with the list of subcommands.
///
/// ```
/// use hornbeamloom_ctl::client::Client;
/// use hornbeamloom_ctl::command;
///
/// let client = Client::new("http://127.0.0.1:8200");
/// assert_eq!(command::run(&client, &["unknown"]).unwrap_err().exit_status(), 2);
/// ```
pub fn run(client: &Client, argv: &[&str]) -> Result<(), Error> {
    let Some((name, rest)) = argv.split_first() else {
        return Err(Error::Usage(usage()));
    };
    match inventory::iter::<Plugin>.into_iter().find(|plugin| plugin.name == *name) {
        Some(plugin) => (plugin.run)(client, rest),
        None => Err(Error::Usage(usage())),
    }
}

fn usage() -> String {
    let mut plugins: Vec<&Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    plugins.sort_by_key(|plugin| plugin.name);
    let lines = plugins.iter().map(|plugin| format!("\n  {:<10} {}", plugin.name, plugin.help));
    format!("expected a subcommand:{}", lines.collect::<String>())
}
