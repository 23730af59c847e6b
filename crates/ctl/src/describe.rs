//! `hornbeamctl describe`: shows one resource with its status, without its caller keys.

use argh::FromArgs;
use serde_json::{json, Value};

use crate::client::{Client, Error};
use crate::command::{self, Plugin};
use crate::output;

inventory::submit! {
    Plugin { name: "describe", help: "show one resource with its status", run }
}

/// Show one resource with its status.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// kind of the resource
    #[argh(positional)]
    kind: String,
    /// name of the resource
    #[argh(positional)]
    name: String,
}

fn run(client: &Client, argv: &[&str]) -> Result<(), Error> {
    let Some(args) = command::parse_args::<Args>("describe", argv)? else {
        return Ok(());
    };
    let kind = output::parse_kind(&args.kind)?;
    let path = format!("{}/{}", kind.plural(), args.name);
    let mut value = command::block_on(client.read(&path))?;
    redact_keys(&mut value);
    let text = serde_yaml_ng::to_string(&value);
    print!("{}", text.map_err(|error| Error::Usage(error.to_string()))?);
    Ok(())
}

/// Replaces caller keys by their number: descriptions are read on shared screens and pasted into
/// tickets.
fn redact_keys(value: &mut Value) {
    if let Some(keys) = value.pointer_mut("/spec/keys") {
        let count = keys.as_array().map_or(0, Vec::len);
        *keys = json!(format!("{count} (hidden)"));
    }
}
