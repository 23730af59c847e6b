//! Claims of calls that run at most once.

use crate::event::Event;
use crate::ids::Millis;
use crate::kernel::{Outbox, State};
use crate::plugin::control;

/// Claims in progress on this VM.
#[derive(Debug, Default)]
pub struct Book {}

inventory::submit! {
    control::Plugin { name: "claim", rank: 40, handle, wakeup: |_| None }
}

fn handle(_state: &mut State, _event: &Event<'_>, _now: Millis, _out: &mut Outbox) {}
