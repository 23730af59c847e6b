//! `hornbeamctl drain`: takes an availability zone out of service.

use crate::client::{Client, Error};
use crate::command::Plugin;
use crate::zone;

inventory::submit! {
    Plugin { name: "drain", help: "take an availability zone out of service: no new work", run }
}

fn run(client: &Client, argv: &[&str]) -> Result<(), Error> {
    zone::set_state(client, "drain", argv, "out", "drained")
}
