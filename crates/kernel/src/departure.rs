//! Notifies entry VMs whose generations run on leaving engines: control plug-in.
//!
//! An entry VM that can read the table learns of a leaving target by itself. One that cannot, or
//! has not yet, learns of it from the scheduler of the pool, which receives the engine's report and
//! knows which entry VMs have generations there.

use std::collections::BTreeSet;

use crate::event::Event;
use crate::ids::{Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::peer::Message;
use crate::plugin::control;
use crate::pool;

/// Time for which a notice is valid: an engine stops within some seconds of it, and a new engine
/// may get its name.
const NOTICE_TTL_MS: u64 = 5_000;
/// Number of targets of which a notice is kept.
const MAX_NOTICES: usize = 1_024;

/// Targets that the schedulers of their pools have announced as leaving.
#[derive(Debug, Default)]
pub struct Notices {
    received_at: Map<Name, Millis>,
}

impl Notices {
    fn record(&mut self, target: &Name, now: Millis) {
        self.received_at.retain(|_, at| now.since(*at) < NOTICE_TTL_MS);
        if self.received_at.len() < MAX_NOTICES {
            self.received_at.insert(target.clone(), now);
        }
    }

    /// Returns whether a target was announced as leaving and the notice is still valid.
    pub(crate) fn is_departing(&self, target: &str, now: Millis) -> bool {
        self.received_at.get(target).is_some_and(|at| now.since(*at) < NOTICE_TTL_MS)
    }
}

inventory::submit! {
    // Runs before the plug-in that looks for generations to relocate.
    control::Plugin { name: "departure_heard", rank: 54, handle: handle_notice, wakeup: |_| None }
}

inventory::submit! {
    // Runs after the pools have applied the event.
    control::Plugin { name: "departure_told", rank: 65, handle: send_notices, wakeup: |_| None }
}

fn handle_notice(state: &mut State, event: &Event<'_>, now: Millis, _out: &mut Outbox) {
    if let Event::Peer { message: Message::Departing { target }, .. } = event {
        state.departures.record(target, now);
    }
}

/// Notifies the entry VMs whose generations run on leaving engines of the pools scheduled here.
fn send_notices(state: &mut State, event: &Event<'_>, _now: Millis, out: &mut Outbox) {
    let only = match event {
        Event::Report { target, .. } => Some(*target),
        Event::TargetsDiscovered(_) => None,
        _ => return,
    };
    let pools = state.pools.iter();
    let notices: BTreeSet<(Name, Name)> = pools.flat_map(|pool| notices(pool, only)).collect();
    for (vm, target) in notices {
        out.send(&vm, Message::Departing { target });
    }
}

/// Returns the entry VMs with requests on leaving engines of a pool, with the engines.
fn notices<'a>(
    pool: &'a pool::Pool,
    only: Option<&'a str>,
) -> impl Iterator<Item = (Name, Name)> + 'a {
    let is_selected = move |name: &str| only.is_none_or(|only| *only == *name);
    let engines =
        pool.targets.iter().filter(|target| target.kv_capacity() > 0 && target.is_leaving());
    engines
        .filter(move |target| is_selected(&target.name))
        .flat_map(|target| target.in_flight.iter().map(|id| (id.vm.clone(), target.name.clone())))
}
