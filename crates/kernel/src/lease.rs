//! Pool ownership by leases in the platform's table.

use crate::event::Event;
use crate::ids::{Fence, Millis, Revision};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::outcome::Outcome;
use crate::plugin::control;
use crate::pool;
use crate::store::{
    Answer, Call, CallId, Condition, Key, Lease, Op, Record, Value, Write, Written,
};

/// A holder renews its leases at this interval.
const RENEW: u64 = 2_000;
/// It acts as holder for this time after it sent its last successful renewal.
const HOLD: u64 = 5_000;

/// The leases held here.
#[derive(Debug, Default)]
pub struct Keeper {
    held: Map<pool::Key, Held>,
    calls: Map<CallId, (pool::Key, Lease, Millis)>,
    due: Millis,
}

#[derive(Debug)]
struct Held {
    lease: Lease,
    version: Revision,
    sent: Millis,
}

impl Keeper {
    /// The fencing token of a lease that is valid at `now`, if this VM holds it.
    pub fn fence(&self, pool: &pool::Key, now: Millis) -> Option<Fence> {
        let held = self.held.get(pool)?;
        (now.since(held.sent) < HOLD).then_some(held.lease.fence)
    }
}

inventory::submit! {
    control::Plugin { name: "lease", rank: 30, handle, wakeup: |state| Some(state.leases.due) }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::Tick if state.leases.due <= now => renew(state, now, out),
        Event::Store { call, answer } => answered(state, *call, answer),
        _ => {}
    }
}

fn renew(state: &mut State, now: Millis, out: &mut Outbox) {
    state.leases.due = now.after(RENEW);
    state.leases.calls.clear();
    let targets = state.intent.targets().into_iter();
    let own = targets.filter(|(_, target)| target.zone == state.identity.zone);
    let mut keys: Vec<_> = own
        .map(|(_, target)| pool::Key::new(&target.service, &target.zone))
        .collect();
    keys.sort();
    keys.dedup();
    for key in keys {
        let held = state.leases.held.get(&key);
        let condition = held.map_or(Condition::Absent, |held| Condition::Version(held.version));
        let fence = held.map_or(Fence(1), |held| held.lease.fence);
        let lease = Lease {
            vm: state.identity.vm.clone(),
            incarnation: state.identity.incarnation,
            fence,
            renewal: now.0,
            released: false,
        };
        let id = state.call_id();
        let op = Op::Write(vec![Write {
            key: Key::Lease(key.clone()),
            condition,
            value: Some(Value::Lease(lease.clone())),
        }]);
        state.leases.calls.insert(id, (key, lease, now));
        out.push(Outcome::Store(Call { id, op }));
    }
}

fn answered(state: &mut State, call: CallId, answer: &Answer) {
    let Some((key, lease, sent)) = state.leases.calls.remove(&call) else {
        return;
    };
    let Answer::Written(written) = answer else {
        return;
    };
    match written.first() {
        Some(&Written::Applied(version)) => {
            let held = Held {
                lease,
                version,
                sent,
            };
            state.leases.held.insert(key, held);
        }
        Some(Written::Conflict(Some(Record {
            version,
            value: Some(Value::Lease(found)),
            ..
        }))) if found.vm == lease.vm || found.released => {
            // Held by an earlier incarnation: the next renewal takes it over.
            let lease = Lease {
                fence: Fence(found.fence.0 + 1),
                ..lease
            };
            let held = Held {
                lease,
                version: *version,
                sent: Millis(0),
            };
            state.leases.held.insert(key, held);
        }
        _ => {
            state.leases.held.remove(&key);
        }
    }
}
