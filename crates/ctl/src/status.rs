//! `hornbeamctl status`: shows the fleet as known to one VM.

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

fn run(client: &Client, argv: &[&str]) -> Result<(), Error> {
    let Some(args) = command::parse_args::<Args>("status", argv)? else {
        return Ok(());
    };
    let status = command::block_on(client.read("status"))?;
    match args.output {
        Format::Json => output::print_json(&status),
        Format::Table => print_status(&status),
    }
    Ok(())
}

fn print_status(status: &Value) {
    let (vm, revision) = (cell(&status["vm"]), cell(&status["revision"]));
    println!("VM {vm}, revision {revision} from {}", cell(&status["source"]));
    print_section(
        &status["vms"],
        &["name", "zone", "revision", "standing", "reachable", "silentMs"],
    );
    print_section(&status["targets"], &["name", "service", "zone", "state", "owner"]);
    print_section(&status["owners"], &["service", "zone", "vm", "fence"]);
}

fn print_section(items: &Value, columns: &[&str]) {
    let headings: Vec<String> = columns.iter().map(|column| column.to_uppercase()).collect();
    let headings: Vec<&str> = headings.iter().map(String::as_str).collect();
    let rows: Vec<Vec<String>> = items
        .as_array()
        .into_iter()
        .flatten()
        .map(|item| columns.iter().map(|column| cell(&item[*column])).collect())
        .collect();
    print!("\n{}", output::format_table(&headings, &rows));
}
