//! `hornbeamctl watch`: prints changes to the resources of a kind.

use std::time::Duration;

use argh::FromArgs;
use serde_json::Value;

use crate::client::{Client, Error};
use crate::command::{self, Plugin};
use crate::output::{self, Format};

/// Consecutive reconnections without progress after which an error ends the watch.
const MAX_RECONNECTS: u32 = 5;
/// Delay before a reconnection.
const RECONNECT_DELAY: Duration = Duration::from_secs(1);
/// Longest accepted line; a resource of at most 64 KiB with its envelope is far below it.
const MAX_LINE_BYTES: usize = 1 << 20;

inventory::submit! {
    Plugin { name: "watch", help: "print changes to the resources of a kind", run }
}

/// Print changes to the resources of a kind until interrupted.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// kind of the resources
    #[argh(positional)]
    kind: String,
    /// start after this revision instead of listing the current resources
    #[argh(option)]
    resource_version: Option<u64>,
    /// exit after this many changes
    #[argh(option)]
    count: Option<u64>,
    /// output: table or json
    #[argh(option, short = 'o', default = "Format::Table")]
    output: Format,
}

fn run(client: &Client, argv: &[&str]) -> Result<(), Error> {
    let Some(args) = command::parse_args::<Args>("watch", argv)? else {
        return Ok(());
    };
    let kind = output::parse_kind(&args.kind)?;
    let mut watch = Watch {
        plural: kind.plural(),
        revision: args.resource_version,
        remaining: args.count,
        output: args.output,
    };
    command::block_on(follow(client, &mut watch))
}

struct Watch {
    plural: &'static str,
    /// Revision up to which all changes have been received.
    revision: Option<u64>,
    /// Changes still to be printed, if their number is limited.
    remaining: Option<u64>,
    output: Format,
}

impl Watch {
    fn is_finished(&self) -> bool {
        self.remaining == Some(0)
    }
}

/// Watches until all requested changes are printed; a new connection resumes at the last bookmark.
async fn follow(client: &Client, watch: &mut Watch) -> Result<(), Error> {
    let mut failures = 0;
    while !watch.is_finished() {
        let previous = watch.revision;
        match watch_once(client, watch).await {
            Err(error @ Error::Refused { .. }) => return Err(error),
            Err(error) if failures == MAX_RECONNECTS => return Err(error),
            Err(_) | Ok(()) => {}
        }
        failures = if watch.revision == previous { failures + 1 } else { 0 };
        if !watch.is_finished() {
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }
    Ok(())
}

async fn watch_once(client: &Client, watch: &mut Watch) -> Result<(), Error> {
    let mut path = format!("{}?watch=true", watch.plural);
    if let Some(revision) = watch.revision {
        path.push_str(&format!("&resourceVersion={revision}"));
    }
    let mut response = client.watch(&path).await?;
    let mut buf = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        buf.extend_from_slice(&chunk);
        while let Some(end) = buf.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buf.drain(..=end).collect();
            handle_event(watch, &line)?;
            if watch.is_finished() {
                return Ok(());
            }
        }
        if buf.len() > MAX_LINE_BYTES {
            return Err(refused_error(502, "malformed", "a line of the watch exceeds 1 MiB"));
        }
    }
    Ok(())
}

fn handle_event(watch: &mut Watch, line: &[u8]) -> Result<(), Error> {
    let event: Value = serde_json::from_slice(line)
        .map_err(|_| refused_error(502, "malformed", "a line of the watch is not valid JSON"))?;
    let object = &event["object"];
    let event_type = event["type"].as_str().unwrap_or_default();
    match event_type {
        "ERROR" => {
            let code = object["code"].as_u64().and_then(|code| u16::try_from(code).ok());
            let text = |field: &str| object[field].as_str().unwrap_or_default().to_owned();
            return Err(refused_error(code.unwrap_or(500), &text("reason"), &text("detail")));
        }
        "BOOKMARK" => {
            // Only a bookmark guarantees that all changes up to its revision were sent.
            watch.revision = object["metadata"]["resourceVersion"].as_u64().or(watch.revision);
            return Ok(());
        }
        _ => {}
    }
    let metadata = &object["metadata"];
    match watch.output {
        Format::Json => println!("{event}"),
        Format::Table => {
            let (name, version) =
                (output::cell(&metadata["name"]), output::cell(&metadata["resourceVersion"]));
            println!("{event_type:<9} {}/{name} {version}", watch.plural);
        }
    }
    watch.remaining = watch.remaining.map(|remaining| remaining.saturating_sub(1));
    Ok(())
}

fn refused_error(status: u16, reason: &str, detail: &str) -> Error {
    Error::Refused { status, reason: reason.to_owned(), detail: detail.to_owned() }
}
