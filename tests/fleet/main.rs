//! Tests of real daemons against a simulation of the users' platform.

mod feeds;
mod framing;
mod harness;
mod lifecycle;
mod relocation;
mod request_path;
mod store;
mod target_faults;
