//! The `hornbeamctl` command-line tool.
//!
//! Each subcommand is a [`command::Plugin`] that registers itself in its own file. The tool sends
//! HTTP requests to the operator address of one daemon, which answers for the whole fleet.
//!
//! ```
//! use hornbeamloom_ctl::client::Error;
//!
//! assert_eq!(Error::Usage("expected a file".to_owned()).exit_status(), 2);
//! ```

pub mod client;
pub mod command;
pub mod output;
pub mod review;

mod apply;
mod delete;
mod describe;
mod diff;
mod drain;
mod explain;
mod get;
mod quarantine;
mod restore;
mod status;
mod watch;
mod zone;
