//! Control plug-in for the targets that the platform discovers.
//!
//! Each VM follows the platform's list itself, so discovered targets are not forwarded to peers.
//! Entries can expire while the list is unreadable although their targets are alive. Removals read
//! right after such an outage are therefore deferred until the targets have had time to register
//! again.

use crate::event::Event;
use crate::feed;
use crate::ids::{Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Set;
use crate::outcome::{Counter, Outcome};
use crate::peer::Delta;
use crate::plugin::control;
use crate::resource::Record;

/// Time after the list becomes readable again by which live targets have registered, in
/// milliseconds, as guaranteed by the platform. A VM counts as connected 3 s after an outage and
/// must have applied the removals by then.
const RETURN_GRACE_MS: u64 = 2_000;

/// Maximum age in milliseconds at which the list counts as current. No entry expires within it:
/// targets refresh theirs about once a second, and an entry is removed after three missed
/// refreshes.
const MAX_CURRENT_AGE_MS: u64 = 1_000;

/// Removals that are deferred until their targets had time to register again.
#[derive(Debug, Default)]
pub struct Discovery {
    was_unreadable: bool,
    defer_until: Millis,
    deferred: Set<Name>,
}

inventory::submit! {
    control::Plugin { name: "discovery", rank: 11, handle, wakeup }
}

fn wakeup(state: &State) -> Option<Millis> {
    let discovery = &state.discovery;
    (!discovery.deferred.is_empty()).then_some(discovery.defer_until)
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        // A failed call that started before the newest list was read does not indicate an outage
        // since then.
        Event::TableUnavailable => {
            let is_current = state.feeds.is_current(feed::Table::Targets, MAX_CURRENT_AGE_MS, now);
            state.discovery.was_unreadable |= !is_current;
        }
        Event::TargetsDiscovered(delta) => apply_list(state, delta, now, out),
        _ => {}
    }
    if now >= state.discovery.defer_until && !state.discovery.deferred.is_empty() {
        let deferred = std::mem::take(&mut state.discovery.deferred);
        let removed: Vec<Name> = deferred.into_iter().collect();
        update_targets(state, &[], &removed, out);
    }
}

fn apply_list(state: &mut State, delta: &Delta, now: Millis, out: &mut Outbox) {
    let discovery = &mut state.discovery;
    if std::mem::take(&mut discovery.was_unreadable) {
        discovery.defer_until = now.after(RETURN_GRACE_MS);
    }
    let (found, mut removed) = split_removed(delta);
    if delta.complete {
        let names: Set<&Name> = found.iter().map(|record| &record.key.name).collect();
        let known = state.intent.discovered();
        let missing = known.filter(|(name, version)| !names.contains(name) && *version <= delta.to);
        removed.extend(missing.map(|(name, _)| name.clone()));
    }
    for record in &found {
        discovery.deferred.remove(&record.key.name);
    }
    if now < discovery.defer_until {
        discovery.deferred.extend(removed.drain(..));
    }
    update_targets(state, &found, &removed, out);
}

/// Splits a delta into the records that have a specification and the names of those that have none.
fn split_removed(delta: &Delta) -> (Vec<Record>, Vec<Name>) {
    let (found, removed): (Vec<&Record>, Vec<&Record>) =
        delta.records.iter().partition(|record| record.spec.is_some());
    let removed = removed.into_iter().map(|record| record.key.name.clone());
    (found.into_iter().cloned().collect(), removed.collect())
}

/// Adds or updates the targets in `found` and drops those in `removed`.
fn update_targets(state: &mut State, found: &[Record], removed: &[Name], out: &mut Outbox) {
    if found.is_empty() && removed.is_empty() {
        return;
    }
    if !removed.is_empty() {
        out.count(Counter::Event("target_gone"));
    }
    state.intent.apply_discovered(found, removed);
    out.push(Outcome::Publish);
}
