//! The hornbeamloom daemon: adapters around the deterministic kernel.
//!
//! One control thread owns all control state ([`control`]); adapters registered as
//! [`adapter::Plugin`]s translate between the outside and that thread. Decisions are left to
//! `hornbeamloom-kernel`, encodings to `hornbeamloom-wire`.
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
pub mod clock;
pub mod control;
pub mod delivery;
pub mod flow;
pub mod generation;
pub mod link;
pub mod log_writer;
pub mod peer_server;
pub mod peers;
pub mod run;
pub mod session;
pub mod settings;

mod api_error;
mod jitter;
mod kept;
mod operators;
mod orders;
mod plain;
mod platform;
mod poll;
mod snapshot;
mod status;
mod table;
mod watch;
mod write;

mod answer;
mod attempt;
pub mod auth;
pub mod callers;
mod comeback;
mod engines;
pub mod http;
mod metrics;
mod refusal;
mod relay;
mod resume;
mod validation;

/// The parts of a daemon use these names for its collections.
pub use hornbeamloom_kernel::map;
