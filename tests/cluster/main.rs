//! Real processes on loopback: daemons, stand-ins and fault proxies.

mod bed;
mod cold;
mod links;
mod once;
mod operators;
mod path;
mod shutdown;
