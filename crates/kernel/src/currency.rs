//! How current the resources in force are, and whether keys may still be accepted: control plug-in.
//!
//! A VM that reaches neither the table nor a peer cannot know whether a key was taken away. It
//! accepts keys only while the resources in force were the newest ones not longer ago than
//! `Configuration.keyAgeMs`.

use crate::event::Event;
use crate::ids::Millis;
use crate::kernel::{Outbox, State};
use crate::plugin::control;

/// When the resources in force were last known to be the newest.
#[derive(Debug, Default)]
pub struct Watch {
    current_at: Option<Millis>,
    refuses: bool,
}

impl Watch {
    /// Takes in a time at which the resources in force were the newest.
    pub(crate) fn note(&mut self, at: Millis) {
        self.current_at = self.current_at.max(Some(at));
    }

    /// Whether keys may be accepted where resources may be `limit_ms` old; zero for any age.
    pub fn accepts_keys(&self, limit_ms: u32, now: Millis) -> bool {
        let is_current = |at: Millis| now.since(at) <= u64::from(limit_ms);
        limit_ms == 0 || self.current_at.is_some_and(is_current)
    }
}

inventory::submit! {
    control::Plugin { name: "currency", rank: 12, handle, wakeup: |_| None }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    let watch = &mut state.currency;
    match event {
        Event::TableCurrent { at } => watch.note(*at),
        Event::RequestArrived(_) => {}
        _ => return,
    }
    let limit = state.intent.configuration("default").map_or(0, |config| config.key_age_ms);
    let refuses = !watch.accepts_keys(limit, now);
    match (watch.refuses, refuses) {
        (false, true) => out.warn("keys refused: the configuration may be out of date".to_owned()),
        (true, false) => out.log("keys accepted again: the configuration is current".to_owned()),
        _ => {}
    }
    watch.refuses = refuses;
}
