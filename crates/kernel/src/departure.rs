//! Tells entry VMs which of their generations run on engines about to leave: control plug-in.
//!
//! An entry VM that reaches the table hears of a leaving target by itself. One that does not, or not
//! yet, hears of it from the scheduler of the pool, which reads the engine's report and knows whose
//! generations run there.

use std::collections::BTreeSet;

use crate::event::Event;
use crate::ids::{Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::peer::Message;
use crate::plugin::control;
use crate::pool;

/// Time for which a notice counts, in milliseconds: an engine leaves within some seconds of it, and
/// its name may come back.
const NOTICE_TTL_MS: u64 = 5_000;
/// Targets of which a notice is remembered.
const NOTICES_MAX: usize = 1_024;

/// Targets that leave by the account of the schedulers of their pools.
#[derive(Debug, Default)]
pub struct Notices {
    received_at: Map<Name, Millis>,
}

impl Notices {
    fn record(&mut self, target: &Name, now: Millis) {
        self.received_at.retain(|_, at| now.since(*at) < NOTICE_TTL_MS);
        if self.received_at.len() < NOTICES_MAX {
            self.received_at.insert(target.clone(), now);
        }
    }

    /// Whether a target is about to leave.
    pub(crate) fn is_departing(&self, target: &str, now: Millis) -> bool {
        self.received_at.get(target).is_some_and(|at| now.since(*at) < NOTICE_TTL_MS)
    }
}

inventory::submit! {
    // Before the generations that have to move are looked for.
    control::Plugin { name: "departure_heard", rank: 54, handle: handle_notice, wakeup: |_| None }
}

inventory::submit! {
    // After the pools have taken in what was reported.
    control::Plugin { name: "departure_told", rank: 65, handle: send_notices, wakeup: |_| None }
}

fn handle_notice(state: &mut State, event: &Event<'_>, now: Millis, _out: &mut Outbox) {
    if let Event::Peer { message: Message::Departing { target }, .. } = event {
        state.departures.record(target, now);
    }
}

/// Tells the VMs whose generations run on leaving engines of the pools scheduled here.
fn send_notices(state: &mut State, event: &Event<'_>, _now: Millis, out: &mut Outbox) {
    let only = match event {
        Event::Report { target, .. } => Some(*target),
        Event::Discovered(_) => None,
        _ => return,
    };
    let pools = state.pools.iter();
    let notices: BTreeSet<(Name, Name)> = pools.flat_map(|pool| notices(pool, only)).collect();
    for (vm, target) in notices {
        out.send(&vm, Message::Departing { target });
    }
}

/// Entry VMs and the leaving engines of a pool on which their requests run.
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
