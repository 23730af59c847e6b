//! Tests of real daemons against a simulation of the users' platform.

mod crashing_bodies;
mod feeds;
mod framing;
mod harness;
mod hints;
mod lifecycle;
mod memory;
mod placement;
mod prompt_parts;
mod relayed_connections;
mod relocation;
mod request_path;
mod restored_store;
mod store;
mod target_faults;
