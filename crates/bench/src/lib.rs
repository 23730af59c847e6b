//! Stand-ins for external systems, a fault proxy, a load generator and experiments.
//!
//! Each role of the `hornbeamloom-bench` binary is a [`role::Plugin`] that registers itself in its
//! own file.
//!
//! ```
//! use hornbeamloom_bench::role;
//!
//! let names: Vec<&str> = inventory::iter::<role::Plugin>.into_iter().map(|p| p.name).collect();
//! assert!(names.contains(&"daemon"));
//! ```

pub mod cluster;
pub mod deployment;
pub mod fleet;
pub mod mock_engine;
pub mod mock_store;
pub mod process;
pub mod role;
pub mod scale_record;
pub mod upload;

mod batch;
mod cache_events;
mod compare;
mod daemon;
mod engine;
mod etcd_table;
mod experiment;
mod load;
mod mock_http;
mod platform;
mod probe;
mod proxy;
mod record;
mod report;
mod run;
mod runtime;
mod scale;
mod service;
mod up;
