//! Crash correlation and quarantine of request bodies.

use crate::event::Event;
use crate::ids::Millis;
use crate::kernel::{Outbox, State};
use crate::outcome::{Reason, Refusal};
use crate::peer::Ask;
use crate::plugin::{control, policy};

/// Suspected and quarantined bodies.
#[derive(Debug, Default)]
pub struct Registry {}

impl Registry {
    /// Whether a body is quarantined at `now`.
    pub fn is_quarantined(&self, _fingerprint: u64, _now: Millis) -> bool {
        false
    }
}

inventory::submit! {
    control::Plugin { name: "quarantine", rank: 35, handle, wakeup: |_| None }
}

inventory::submit! {
    policy::Plugin { name: "quarantine", rank: 10, stage: policy::Stage::Admit(admit) }
}

fn handle(_state: &mut State, _event: &Event<'_>, _now: Millis, _out: &mut Outbox) {}

fn admit(view: &policy::View<'_>, ask: &Ask) -> Result<(), Refusal> {
    match view.quarantine.is_quarantined(ask.fingerprint, view.now) {
        true => Err(Refusal::new(Reason::Quarantined)),
        false => Ok(()),
    }
}
