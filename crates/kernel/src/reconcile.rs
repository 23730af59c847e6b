//! Orders to engines, driven from the wanted state.

use serde::{Deserialize, Serialize};

use crate::event::Event;
use crate::ids::{Fence, Millis, Name};
use crate::kernel::{Outbox, State};
use crate::plugin::control;

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Load a model or adapter.
    Load(Name),
    /// Unload a model or adapter.
    Unload(Name),
    /// Change role.
    Role(Name),
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine.
    pub target: Name,
    /// Its `IP:port`.
    pub address: String,
    /// What to do.
    pub action: Action,
    /// Fencing token of the pool's holder.
    pub fence: Fence,
    /// Milliseconds within which it must be sent and accepted, or abandoned.
    pub deadline_ms: u64,
}

/// The engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Accepted; the effect is observed by report.
    Accepted,
    /// The fencing token was too old.
    Fenced,
    /// Refused for another reason.
    Refused,
    /// No answer: it may have been accepted.
    Unknown,
}

/// What the planner remembers.
#[derive(Debug, Default)]
pub struct Planner {}

inventory::submit! {
    control::Plugin { name: "reconcile", rank: 70, handle, wakeup: |_| None }
}

fn handle(_state: &mut State, _event: &Event<'_>, _now: Millis, _out: &mut Outbox) {}
