//! The owner's side of scheduling, driven through `Kernel::handle`.

mod backpressure;
mod cold;
mod consistency;
mod departure;
mod fair;
mod harness;
mod memory;
mod pauses;
mod policy;
mod queue;
mod slack;
mod spill;
mod takeover;
