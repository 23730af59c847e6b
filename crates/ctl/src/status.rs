//! `hornbeamctl status`: the fleet as one VM sees it.

use argh::FromArgs;
use serde_json::Value;

use crate::client::{Client, Error};
use crate::command::{self, Plugin};
use crate::output::{self, cell, Format};

inventory::submit! {
    Plugin { name: "status", help: "show VMs, targets and pool owners", run }
}

/// Show VMs, targets and pool owners.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// output: table or json
    #[argh(option, short = 'o', default = "Format::Table")]
    output: Format,
}

fn run(client: &Client, words: &[&str]) -> Result<(), Error> {
    let Some(args) = command::parse::<Args>("status", words)? else {
        return Ok(());
    };
    let page = command::block_on(client.read("status"))?;
    match args.output {
        Format::Json => output::json(&page),
        Format::Table => print(&page),
    }
    Ok(())
}

fn print(page: &Value) {
    let (vm, revision) = (cell(&page["vm"]), cell(&page["revision"]));
    println!("VM {vm}, revision {revision} from {}", cell(&page["source"]));
    section(&page["vms"], &["name", "zone", "revision", "standing", "reachable", "silentMs"]);
    section(&page["targets"], &["name", "service", "zone", "state", "owner"]);
    section(&page["owners"], &["service", "zone", "vm", "fence"]);
}

fn section(list: &Value, fields: &[&str]) {
    let headings: Vec<String> = fields.iter().map(|field| field.to_uppercase()).collect();
    let headings: Vec<&str> = headings.iter().map(String::as_str).collect();
    let rows: Vec<Vec<String>> = list
        .as_array()
        .into_iter()
        .flatten()
        .map(|item| fields.iter().map(|field| cell(&item[*field])).collect())
        .collect();
    print!("\n{}", output::table(&headings, &rows));
}
