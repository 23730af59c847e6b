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
const RETURN_MS: u64 = 2_000;

/// Age of the list, in milliseconds, up to which it is current: no entry lapses within it, since targets
/// write theirs about every second and three silences remove it.
const CURRENT_MS: u64 = 1_000;

/// Removals that wait for the return of their targets.
#[derive(Debug, Default)]
pub struct Watch {
    is_down: bool,
    wait_until: Millis,
    waiting: Set<Name>,
}

inventory::submit! {
    control::Plugin { name: "discovery", rank: 11, handle, wakeup }
}

fn wakeup(state: &State) -> Option<Millis> {
    let watch = &state.discovery;
    (!watch.waiting.is_empty()).then_some(watch.wait_until)
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        // A call that was begun before the newest list was read says nothing about the time since.
        Event::StoreDown => {
            let is_current = state.feeds.is_current(feed::Table::Targets, CURRENT_MS, now);
            state.discovery.is_down |= !is_current;
        }
        Event::Discovered(delta) => apply(state, delta, now, out),
        _ => {}
    }
    if now >= state.discovery.wait_until && !state.discovery.waiting.is_empty() {
        let waiting = std::mem::take(&mut state.discovery.waiting);
        let gone: Vec<Name> = waiting.into_iter().collect();
        take(state, &[], &gone, out);
    }
}

fn apply(state: &mut State, delta: &Delta, now: Millis, out: &mut Outbox) {
    let watch = &mut state.discovery;
    if std::mem::take(&mut watch.is_down) {
        watch.wait_until = now.after(RETURN_MS);
    }
    let (found, mut gone) = split(delta);
    if delta.complete {
        let names: Set<&Name> = found.iter().map(|record| &record.key.name).collect();
        let known = state.intent.discovered();
        let missing = known.filter(|(name, version)| !names.contains(name) && *version <= delta.to);
        gone.extend(missing.map(|(name, _)| name.clone()));
    }
    for record in &found {
        watch.waiting.remove(&record.key.name);
    }
    if now < watch.wait_until {
        watch.waiting.extend(gone.drain(..));
    }
    take(state, &found, &gone, out);
}

/// The records with a specification, and the names of those without.
fn split(delta: &Delta) -> (Vec<Record>, Vec<Name>) {
    let (found, gone): (Vec<&Record>, Vec<&Record>) =
        delta.records.iter().partition(|record| record.spec.is_some());
    let gone = gone.into_iter().map(|record| record.key.name.clone());
    (found.into_iter().cloned().collect(), gone.collect())
}

/// Puts what was found in force and drops what is gone.
fn take(state: &mut State, found: &[Record], gone: &[Name], out: &mut Outbox) {
    if found.is_empty() && gone.is_empty() {
        return;
    }
    if !gone.is_empty() {
        out.count(Counter::Event("target_gone"));
    }
    state.intent.discover(found, gone);
    out.push(Outcome::Publish);
}
