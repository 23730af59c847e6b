//! Real processes on loopback: daemons, stand-ins and fault proxies.

mod bed;
mod cold;
mod entry;
mod links;
mod once;
mod operators;
mod owner;
mod path;
mod shutdown;
