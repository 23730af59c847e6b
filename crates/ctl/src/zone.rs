//! Changes the state of an availability zone, for `drain` and `restore`.

use std::time::Duration;

use argh::FromArgs;
use reqwest::Method;
use serde_json::{json, Value};

use crate::client::{Client, Error};
use crate::command;

/// Interval between two reads of the status.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Change whether an availability zone takes new work.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// name of the availability zone
    #[argh(positional)]
    zone: String,
    /// wait until the change is in force at every VM
    #[argh(switch)]
    wait: bool,
    /// limit of the wait in seconds
    #[argh(option, default = "60")]
    timeout_s: u64,
}

/// Runs subcommand `name`: sets a zone's `spec.state` to `state` and prints `outcome`.
pub(crate) fn set_state(
    client: &Client,
    name: &str,
    argv: &[&str],
    state: &str,
    outcome: &str,
) -> Result<(), Error> {
    let Some(args) = command::parse_args::<Args>(name, argv)? else {
        return Ok(());
    };
    let path = format!("availabilityzones/{}", args.zone);
    command::block_on(async {
        let patch = json!({"spec": {"state": state}});
        let document = client.write(Method::PATCH, &path, Some(&patch)).await?;
        println!("{path} {outcome}");
        match args.wait {
            true => wait_in_force(client, &path, document, args.timeout_s).await,
            false => Ok(()),
        }
    })
}

/// Waits until the accepted version, or a later one, is in force at every VM.
async fn wait_in_force(
    client: &Client,
    path: &str,
    document: Value,
    timeout_s: u64,
) -> Result<(), Error> {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(timeout_s);
    let accepted_version = document["metadata"]["resourceVersion"].as_u64();
    let mut current = document;
    loop {
        let status = &current["status"];
        let has_accepted_version =
            current["metadata"]["resourceVersion"].as_u64() >= accepted_version;
        if has_accepted_version && status["pendingCount"].as_u64() == Some(0) {
            println!("{path} in force at every VM");
            return Ok(());
        }
        if tokio::time::Instant::now() >= deadline {
            return Err(Error::NotInForce(status["pending"].to_string()));
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        current = client.read(path).await?;
    }
}
