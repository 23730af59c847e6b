//! Real daemons on a stand-in of the users' platform.

mod feeds;
mod harness;
mod lifecycle;
mod relocation;
mod request_path;
mod store;
mod target_faults;
