//! `hornbeamctl quarantine`: lists and lifts quarantined request bodies.

use argh::FromArgs;
use reqwest::Method;
use serde_json::Value;

use crate::client::{Client, Error};
use crate::command::{self, Plugin};
use crate::output::{self, cell, Format};

inventory::submit! {
    Plugin { name: "quarantine", help: "list or lift quarantined request bodies", run }
}

/// List or lift quarantined request bodies.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    List(List),
    Lift(Lift),
}

/// List quarantined request bodies.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// output: table or json
    #[argh(option, short = 'o', default = "Format::Table")]
    output: Format,
}

/// Lift the quarantine of a request body.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "lift")]
struct Lift {
    /// fingerprint of the body, in hexadecimal
    #[argh(positional)]
    fingerprint: String,
}

fn run(client: &Client, argv: &[&str]) -> Result<(), Error> {
    let Some(args) = command::parse_args::<Args>("quarantine", argv)? else {
        return Ok(());
    };
    match args.action {
        Action::List(args) => {
            let value = command::block_on(client.read("quarantine"))?;
            match args.output {
                Format::Json => output::print_json(&value),
                Format::Table => print_table(&value),
            }
        }
        Action::Lift(args) => {
            let path = format!("quarantine/{}", args.fingerprint);
            command::block_on(client.write(Method::DELETE, &path, None))?;
            println!("{path} lifted");
        }
    }
    Ok(())
}

fn print_table(value: &Value) {
    const COLUMNS: [&str; 6] =
        ["fingerprint", "organisation", "service", "state", "deaths", "remainingMs"];
    let headings = COLUMNS.map(str::to_uppercase);
    let headings: Vec<&str> = headings.iter().map(String::as_str).collect();
    let items = value["items"].as_array().into_iter().flatten();
    let rows: Vec<Vec<String>> =
        items.map(|item| COLUMNS.iter().map(|column| cell(&item[*column])).collect()).collect();
    print!("{}", output::format_table(&headings, &rows));
}
