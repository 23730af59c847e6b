//! Control plug-in that tracks how recent the active resources are and whether caller keys may
//! still be accepted.
//!
//! A VM that reaches neither the store nor a peer cannot learn that a key was revoked. It accepts
//! keys only if its resources were known to be the newest within the last `Configuration.keyAgeMs`.
//!
//! Rows of the resources' table are in force only once the adapter has applied them, so the time at
//! which they were read counts from then on.

use std::collections::VecDeque;

use crate::event::Event;
use crate::feed::Table;
use crate::ids::Millis;
use crate::kernel::{Outbox, State};
use crate::plugin::control;

/// Time in milliseconds for which keys stay refused after the resources are known to be the newest
/// again. Requests whose key was checked against the earlier resources have arrived by then.
const SETTLE_MS: u64 = 250;

/// When the active resources were last known to be the newest.
#[derive(Debug, Default)]
pub struct Freshness {
    current_at: Option<Millis>,
    /// For each set of rows that the adapter is applying, when the resources were known to be the
    /// newest with it, if at all.
    pending: VecDeque<Option<Millis>>,
    refuses_keys: bool,
    /// Since when the resources are known to be the newest again, while keys are still refused.
    confirmed_since: Option<Millis>,
}

impl Freshness {
    /// Records that the active resources were the newest at time `at`.
    pub(crate) fn record_current(&mut self, at: Millis) {
        self.current_at = self.current_at.max(Some(at));
    }

    /// Records that the active resources were the newest at time `at` with all rows that were passed
    /// to the adapter, the last of them just now if `has_rows`.
    pub(crate) fn record_current_when_applied(&mut self, at: Option<Millis>, has_rows: bool) {
        match self.pending.back_mut() {
            _ if has_rows => self.pending.push_back(at),
            Some(last) => *last = at.max(*last),
            None => self.current_at = self.current_at.max(at),
        }
    }

    /// Whether keys may be accepted given that resources may be `limit_ms` old; zero disables the
    /// limit.
    pub fn accepts_keys(&self, limit_ms: u32, now: Millis) -> bool {
        let is_settled = self.confirmed_since.is_some_and(|at| now.since(at) >= SETTLE_MS);
        self.is_confirmed(limit_ms, now) && (!self.refuses_keys || is_settled)
    }

    fn is_confirmed(&self, limit_ms: u32, now: Millis) -> bool {
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
        Event::RowsApplied { table: Table::Resources } => {
            let at = freshness.pending.pop_front().flatten();
            freshness.current_at = freshness.current_at.max(at);
        }
        _ => {}
    }
    let limit = state.intent.configuration("default").map_or(0, |config| config.key_age_ms);
    // A process that has just started has checked no key against earlier resources.
    if !freshness.is_confirmed(limit, now) {
        let was_confirmed = freshness.current_at.is_some();
        freshness.confirmed_since = None;
        if was_confirmed && !std::mem::replace(&mut freshness.refuses_keys, true) {
            out.warn("keys refused: the configuration may be out of date".to_owned());
        }
    } else if freshness.refuses_keys {
        let since = *freshness.confirmed_since.get_or_insert(now);
        if now.since(since) >= SETTLE_MS {
            freshness.refuses_keys = false;
            freshness.confirmed_since = None;
            out.log("keys accepted again: the configuration is current".to_owned());
        }
    }
}
