//! The daemon of one entry VM: I/O adapters around the deterministic kernel.
//!
//! A single control thread owns all control state ([`control`]). Adapters, registered as
//! [`adapter::Plugin`]s, translate between external protocols and that thread. Decisions are made
//! by `hornbeamloom-kernel`; messages are encoded by `hornbeamloom-wire`.
//!
//! Settings are parsed from YAML:
//!
//! ```
//! let text = "
//! vm: entry-a1
//! zone: lodz-a
//! listen: {callers: '127.0.0.1:8100', operators: '127.0.0.1:8200', peers: '127.0.0.1:8300'}
//! platform:
//!   table: 'http://127.0.0.1:8400'
//!   objects: 'http://127.0.0.1:8400'
//!   vms: 'http://127.0.0.1:8400'
//! keys: {operator: [op], peer: [peer]}
//! ";
//! let settings = hornbeamloom_daemon::settings::parse(text).unwrap();
//! assert_eq!(&*settings.vm, "entry-a1");
//! ```

pub mod adapter;
pub mod auth;
pub mod callers;
pub mod client_limits;
pub mod clock;
pub mod connections;
pub mod control;
pub mod delivery;
pub mod generation;
pub mod http;
pub mod link;
pub mod listener;
pub mod log_writer;
pub mod memory;
pub mod pace;
pub mod peer_server;
pub mod peers;
pub mod published;
pub mod run;
pub mod session;
pub mod settings;
pub mod stream_proxy;
pub mod tunnel;

mod active_request;
mod api_error;
mod attempt;
mod continuation;
mod engines;
mod handover;
pub mod jitter;
mod metrics;
mod opening;
mod operators;
mod orders;
mod plain;
mod platform;
mod poll;
mod reattach;
mod refusal;
mod relay;
mod rerun;
mod response;
mod snapshot;
mod status;
mod stop;
mod stored_response;
mod table;
mod validation;
mod watch;
mod write;

/// Hash maps and sets, re-exported from the kernel.
pub use hornbeamloom_kernel::map;
