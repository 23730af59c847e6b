//! Tests with real processes on loopback: daemons, simulated platform and targets, fault proxies.

mod at_most_once;
mod cold_start;
mod combined_faults;
mod connection_faults;
mod engine_reclaim;
mod failover;
mod harness;
mod malformed_input;
mod operators;
mod orders;
mod overload;
mod owner;
mod peer_links;
mod request_path;
mod shutdown;
mod store;
