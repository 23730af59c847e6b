//! Control plug-in that tracks how recent the active resources are and whether caller keys may
//! still be accepted.
//!
//! A VM that reaches neither the store nor a peer cannot learn that a key was revoked. It accepts
//! keys only if its resources were known to be the newest within the last `Configuration.keyAgeMs`.

use crate::event::Event;
use crate::ids::Millis;
use crate::kernel::{Outbox, State};
use crate::plugin::control;

/// When the active resources were last known to be the newest.
#[derive(Debug, Default)]
pub struct Freshness {
    current_at: Option<Millis>,
    refuses_keys: bool,
}

impl Freshness {
    /// Records that the active resources were the newest at time `at`.
    pub(crate) fn record_current(&mut self, at: Millis) {
        self.current_at = self.current_at.max(Some(at));
    }

    /// Whether keys may be accepted given that resources may be `limit_ms` old; zero disables the
    /// limit.
    pub fn accepts_keys(&self, limit_ms: u32, now: Millis) -> bool {
        let is_current = |at: Millis| now.since(at) <= u64::from(limit_ms);
        limit_ms == 0 || self.current_at.is_some_and(is_current)
    }
}

inventory::submit! {
    control::Plugin { name: "currency", rank: 12, handle, wakeup: |_| None }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    let freshness = &mut state.freshness;
    match event {
        Event::TableCurrent { at } => freshness.record_current(*at),
        Event::RequestArrived(_) => {}
        _ => return,
    }
    let limit = state.intent.configuration("default").map_or(0, |config| config.key_age_ms);
    let refuses_keys = !freshness.accepts_keys(limit, now);
    match (freshness.refuses_keys, refuses_keys) {
        (false, true) => out.warn("keys refused: the configuration may be out of date".to_owned()),
        (true, false) => out.log("keys accepted again: the configuration is current".to_owned()),
        _ => {}
    }
    freshness.refuses_keys = refuses_keys;
}
