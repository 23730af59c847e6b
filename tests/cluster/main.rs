//! Real processes on loopback: daemons, stand-ins and fault proxies.

mod bed;
mod cold;
mod entry;
mod hostile;
mod leaving;
mod links;
mod once;
mod operators;
mod orders;
mod overload;
mod owner;
mod pairs;
mod path;
mod peers;
mod shutdown;
mod store;
