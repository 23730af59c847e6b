//! `hornbeamctl restore`: lets an availability zone serve again.

use crate::client::{Client, Error};
use crate::command::Plugin;
use crate::zone;

inventory::submit! {
    Plugin { name: "restore", help: "let an availability zone serve again", run }
}

fn run(client: &Client, argv: &[&str]) -> Result<(), Error> {
    zone::set_state(client, "restore", argv, "in", "restored")
}
