//! `hornbeamctl delete`: deletes one resource.

use argh::FromArgs;
use reqwest::Method;

use crate::client::{Client, Error};
use crate::command::{self, Plugin};
use crate::output;

inventory::submit! {
    Plugin { name: "delete", help: "delete a resource that nothing refers to", run }
}

/// Delete a resource that nothing refers to.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// kind of the resource
    #[argh(positional)]
    kind: String,
    /// name of the resource
    #[argh(positional)]
    name: String,
    /// delete the resource only if it has this version
    #[argh(option)]
    resource_version: Option<u64>,
}

fn run(client: &Client, argv: &[&str]) -> Result<(), Error> {
    let Some(args) = command::parse_args::<Args>("delete", argv)? else {
        return Ok(());
    };
    let kind = output::parse_kind(&args.kind)?;
    let resource = format!("{}/{}", kind.plural(), args.name);
    let path = match args.resource_version {
        Some(version) => format!("{resource}?resourceVersion={version}"),
        None => resource.clone(),
    };
    command::block_on(client.write(Method::DELETE, &path, None))?;
    println!("{resource} deleted");
    Ok(())
}
