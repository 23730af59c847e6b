//! Control plug-in for the targets that the platform discovers.
//!
//! Each VM follows the platform's list itself, so discovered targets are not forwarded to peers.
//! Entries can expire while the list is unreadable although their targets are alive. Removals read
//! right after such an outage are therefore deferred until the targets have had time to register
//! again.

use crate::event::Event;
use crate::feed::Table::Targets as TARGETS;
use crate::ids::{Millis, Name, Revision};
use crate::kernel::{Outbox, State};
use crate::map::{Map, Set};
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

/// Time in milliseconds for which a removed target is remembered. The owner of its pool may not
/// reach the store for that long, and grants it meanwhile.
const REMOVED_TTL_MS: u64 = 60_000;

/// Number of removed targets that are remembered.
const MAX_REMOVED: usize = 1_024;

/// Removals that are deferred until their targets had time to register again, and those that were
/// applied lately.
#[derive(Debug, Default)]
pub struct Discovery {
    was_unreadable: bool,
    defer_until: Millis,
    deferred: Set<Name>,
    /// When the list was last known to be outdated.
    outdated_at: Option<Millis>,
    /// Targets that were removed from a current list, and when.
    removed: Map<Name, Millis>,
}

impl Discovery {
    /// Whether a target was removed from a list that was current all the time.
    pub(crate) fn is_removed(&self, target: &str, now: Millis) -> bool {
        self.removed.get(target).is_some_and(|at| now.since(*at) < REMOVED_TTL_MS)
    }

    fn record_removed(&mut self, removed: &[Name], now: Millis) {
        let is_recent = |at: Millis| now.since(at) <= RETURN_GRACE_MS;
        if removed.is_empty() || self.outdated_at.is_some_and(is_recent) {
            return;
        }
        self.removed.retain(|_, at| now.since(*at) < REMOVED_TTL_MS);
        let free = MAX_REMOVED.saturating_sub(self.removed.len());
        self.removed.extend(removed.iter().take(free).map(|name| (name.clone(), now)));
    }
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
            let is_current = state.feeds.is_current(TARGETS, MAX_CURRENT_AGE_MS, now);
            state.discovery.was_unreadable |= !is_current;
            state.discovery.outdated_at =
                (!is_current).then_some(now).max(state.discovery.outdated_at);
        }
        Event::TargetsDiscovered(delta) => apply_list(state, delta, now, out),
        _ => {}
    }
    if now >= state.discovery.defer_until && !state.discovery.deferred.is_empty() {
        let deferred = std::mem::take(&mut state.discovery.deferred);
        let removed: Vec<Name> = deferred.into_iter().collect();
        update_targets(state, &[], &removed, now, out);
    }
    let feeds = &state.feeds;
    let is_outdated = feeds.is_replicated() && !feeds.is_within_age_limit(TARGETS, now);
    if is_outdated && feeds.version(TARGETS) > Revision(0) {
        state.discovery.outdated_at = Some(now);
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
    update_targets(state, &found, &removed, now, out);
}

/// Splits a delta into the records that have a specification and the names of those that have none.
fn split_removed(delta: &Delta) -> (Vec<Record>, Vec<Name>) {
    let (found, removed): (Vec<&Record>, Vec<&Record>) =
        delta.records.iter().partition(|record| record.spec.is_some());
    let removed = removed.into_iter().map(|record| record.key.name.clone());
    (found.into_iter().cloned().collect(), removed.collect())
}

/// Adds or updates the targets in `found` and drops those in `removed`.
fn update_targets(
    state: &mut State,
    found: &[Record],
    removed: &[Name],
    now: Millis,
    out: &mut Outbox,
) {
    for record in found {
        state.discovery.removed.remove(&record.key.name);
    }
    state.discovery.record_removed(removed, now);
    if found.is_empty() && removed.is_empty() {
        return;
    }
    if !removed.is_empty() {
        out.count(Counter::Event("target_gone"));
    }
    state.intent.apply_discovered(found, removed);
    out.push(Outcome::Publish);
}
