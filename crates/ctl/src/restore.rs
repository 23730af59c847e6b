//! `hornbeamctl restore`: returns an availability zone to service.

use crate::client::{Client, Error};
use crate::command::Plugin;
use crate::zone;

inventory::submit! {
    Plugin { name: "restore", help: "return an availability zone to service", run }
}

fn run(client: &Client, argv: &[&str]) -> Result<(), Error> {
    zone::set_state(client, "restore", argv, "in", "restored")
}
