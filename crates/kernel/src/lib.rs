//! The decision logic of hornbeamloom as a deterministic state machine.
//!
//! A [`kernel::Kernel`] takes one [`event::Event`] at a time together with the current time and
//! returns [`outcome::Outcome`]s. It performs no I/O and has no clock, codec or random source of
//! its own, so a daemon, a fuzzer, a replay tool or another front end can drive the same code.
//!
//! ```
//! use hornbeamloom_kernel::event::Event;
//! use hornbeamloom_kernel::ids::{Incarnation, Millis};
//! use hornbeamloom_kernel::kernel::{Identity, Kernel};
//! use hornbeamloom_kernel::outcome::{Outcome, Reason};
//! use hornbeamloom_kernel::request::{Id, Idempotency, RouteOptions, View};
//!
//! let mut kernel = Kernel::new(Identity::new("entry-1", "lodz-a", Incarnation(1)));
//! let id = Id::new("entry-1", Incarnation(1), 1);
//! let view = View {
//!     id: &id,
//!     organisation: "parlour-1",
//!     service: "pisarz-modelu",
//!     prompt_tokens: 12,
//!     max_tokens: None,
//!     fingerprint: 7,
//!     prefixes: &[],
//!     parts: &[],
//!     idempotency: Idempotency::Idempotent,
//!     options: RouteOptions::default(),
//! };
//! let mut out = Vec::new();
//! kernel.handle(Event::RequestArrived(view), Millis(1), &mut out);
//! // No such service was declared.
//! assert!(out.iter().any(|outcome| matches!(
//!     outcome,
//!     Outcome::Refuse { refusal, .. } if refusal.reason == Reason::NotFound
//! )));
//! ```
//!
//! Encodings are in `hornbeamloom-wire`; sockets and threads are in `hornbeamloom-daemon`.

mod cases;
mod compact;

pub mod backpressure;
pub mod claim;
pub mod entry;
pub mod event;
pub mod explain;
pub mod feed;
pub mod ids;
pub mod in_flight;
pub mod ingress;
pub mod intent;
pub mod kernel;
pub mod lease;
pub mod length;
pub mod lint;
pub mod map;
pub mod member;
pub mod outcome;
pub mod pace;
pub mod peer;
pub mod plugin;
pub mod pool;
pub mod prompt_part;
pub mod quarantine;
pub mod queue;
pub mod reach;
pub mod reconcile;
pub mod report;
pub mod request;
pub mod rerun;
pub mod resource;
pub mod retry;
pub mod rollout;
pub mod rollout_control;
pub mod rollout_count;
pub mod rollout_judge;
pub mod rollout_pool;
pub mod room;
pub mod route;
pub mod slack;
pub mod spread;
pub mod store;
pub mod stream;
pub mod takeover;
pub mod target;
pub mod usage;
pub mod validate;

mod accounting;
mod affinity;
mod ask;
mod attempt;
mod broken_attempt;
mod claim_table;
mod departure;
mod discovery;
mod eligible;
mod fair;
mod fifo;
mod freshness;
mod gossip;
mod headroom;
mod isolate;
mod kv_growth;
mod kvload;
mod least_outstanding;
mod overload;
mod pauses;
mod polling;
mod pool_lease;
mod prefill;
mod quarantine_table;
mod ramp;
mod random;
mod rank;
mod rate;
mod rejections;
mod relocate;
mod rollout_decide;
mod rollout_hold;
mod rollout_record;
mod rollout_watch;
mod round_robin;
mod schedule;
mod search;
mod slack_queue;
mod slots;
mod standby;
mod table_copy;
