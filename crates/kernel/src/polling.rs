//! When the scheduler of a pool asks for reports of its targets.

use crate::ids::Millis;
use crate::kernel::{Outbox, State};
use crate::outcome::Outcome;
use crate::pool::Key;
use crate::target::TargetState;

const POLL_INTERVAL_MS: u64 = 500;
/// Minimum interval between the polls of a target after attempts that broke: all requests that run
/// on a target break together when it dies.
const CONTACT_INTERVAL_MS: u64 = 100;

/// Requests a report from each target.
pub(crate) fn poll_targets(state: &mut State, key: &Key, now: Millis, out: &mut Outbox) {
    let own_zone = state.identity.zone == key.zone;
    let Some(pool) = state.pools.get_mut(key).filter(|_| own_zone) else {
        return;
    };
    if pool.last_polled.is_some_and(|at| now.since(at) < POLL_INTERVAL_MS) {
        return;
    }
    pool.last_polled = Some(now);
    for target in &pool.targets {
        out.push(poll(target, target.may_have_died(now)));
    }
}

/// Requests a report of a target on which an attempt broke without output.
///
/// A death is then known before the request is granted again.
pub(crate) fn poll_after_break(
    state: &mut State,
    key: &Key,
    target: &str,
    now: Millis,
    out: &mut Outbox,
) {
    let pool = state.pools.get_mut(key);
    let target = pool.and_then(|pool| pool.targets.iter_mut().find(|state| *state.name == *target));
    let is_due = |target: &&mut TargetState| {
        target.contacted_at.is_none_or(|at| now.since(at) >= CONTACT_INTERVAL_MS)
    };
    if let Some(target) = target.filter(is_due) {
        target.contacted_at = Some(now);
        out.push(poll(target, true));
    }
}

fn poll(target: &TargetState, needs_contact: bool) -> Outcome {
    let (target, address) = (target.name.clone(), target.spec.address.clone());
    Outcome::Poll { target, address, needs_contact }
}
