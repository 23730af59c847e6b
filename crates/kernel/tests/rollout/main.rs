//! Version roll-outs over many VMs.

#[path = "../fleet/mod.rs"]
mod fleet;
mod gate;
mod harness;
mod judge;
mod verdict;
