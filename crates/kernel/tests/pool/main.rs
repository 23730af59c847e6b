//! The owner's side of scheduling, driven through `Kernel::handle`.

mod bed;
mod cold;
mod consistency;
mod departure;
mod fair;
mod memory;
mod policy;
mod queue;
mod spill;
mod takeover;
