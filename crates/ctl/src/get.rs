//! `hornbeamctl get`: lists the resources of a kind, or shows one.

use argh::FromArgs;
use serde_json::Value;

use crate::client::{Client, Error};
use crate::command::{self, Plugin};
use crate::output::{self, Format};

inventory::submit! {
    Plugin { name: "get", help: "list the resources of a kind, or show one", run }
}

/// List the resources of a kind, or show one.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// kind of the resources
    #[argh(positional)]
    kind: String,
    /// name of the resource; all of the kind if absent
    #[argh(positional)]
    name: Option<String>,
    /// output: table or json
    #[argh(option, short = 'o', default = "Format::Table")]
    output: Format,
}

fn run(client: &Client, argv: &[&str]) -> Result<(), Error> {
    let Some(args) = command::parse_args::<Args>("get", argv)? else {
        return Ok(());
    };
    let kind = output::parse_kind(&args.kind)?;
    let path = match &args.name {
        Some(name) => format!("{}/{name}", kind.plural()),
        None => kind.plural().to_owned(),
    };
    let value = command::block_on(client.read(&path))?;
    match args.output {
        Format::Json => output::print_json(&value),
        Format::Table => print!("{}", output::format_resources(kind, &items(value, &args.name))),
    }
    Ok(())
}

fn items(value: Value, name: &Option<String>) -> Vec<Value> {
    match name {
        Some(_) => vec![value],
        None => value["items"].as_array().cloned().unwrap_or_default(),
    }
}
