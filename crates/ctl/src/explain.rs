//! `hornbeamctl explain`: shows the recorded steps of a request.

use argh::FromArgs;

use crate::client::{Client, Error};
use crate::command::{self, Plugin};
use crate::output::{self, cell, Format};

inventory::submit! {
    Plugin { name: "explain", help: "show the recorded steps of a request", run }
}

/// Show the recorded steps of a request, which say how it was routed.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// request id
    #[argh(positional)]
    id: String,
    /// output: table or json
    #[argh(option, short = 'o', default = "Format::Table")]
    output: Format,
}

fn run(client: &Client, argv: &[&str]) -> Result<(), Error> {
    let Some(args) = command::parse_args::<Args>("explain", argv)? else {
        return Ok(());
    };
    let value = command::block_on(client.read(&format!("explain/{}", args.id)))?;
    if args.output == Format::Json {
        output::print_json(&value);
        return Ok(());
    }
    let steps = value["steps"].as_array().into_iter().flatten();
    let rows: Vec<Vec<String>> =
        steps.map(|step| vec![cell(&step["ageMs"]), cell(&step["text"])]).collect();
    print!("{}", output::format_table(&["AGE MS", "STEP"], &rows));
    Ok(())
}
