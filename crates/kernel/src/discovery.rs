//! Targets that the platform has found: control plug-in.
//!
//! Each VM follows the platform's own list, so these targets are not passed on to peers. While the
//! list cannot be read its entries may lapse although their targets live; a removal that is read
//! right after such a time is therefore applied only once the target had time to come back.

use crate::event::Event;
use crate::feed;
use crate::ids::{Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Set;
use crate::outcome::{Counter, Outcome};
use crate::peer::Delta;
use crate::plugin::control;
use crate::resource::Record;

/// Time after the list can be read again in which live targets are back, in milliseconds, as the
/// platform states it. A VM that was cut off counts as connected 3 s later, and must have applied the
/// removals of that time by then.
const RETURN_GRACE_MS: u64 = 2_000;

/// Age of the list, in milliseconds, up to which it is current: no entry lapses within it, since targets
/// write theirs about every second and three silences remove it.
const MAX_CURRENT_AGE_MS: u64 = 1_000;

/// Removals that wait for the return of their targets.
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
        // A call that was begun before the newest list was read says nothing about the time since.
        Event::StoreDown => {
            let is_current = state.feeds.is_current(feed::Table::Targets, MAX_CURRENT_AGE_MS, now);
            state.discovery.was_unreadable |= !is_current;
        }
        Event::Discovered(delta) => apply_list(state, delta, now, out),
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

/// The records with a specification, and the names of those without.
fn split_removed(delta: &Delta) -> (Vec<Record>, Vec<Name>) {
    let (found, removed): (Vec<&Record>, Vec<&Record>) =
        delta.records.iter().partition(|record| record.spec.is_some());
    let removed = removed.into_iter().map(|record| record.key.name.clone());
    (found.into_iter().cloned().collect(), removed.collect())
}

/// Puts what was found in force and drops what is gone.
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
