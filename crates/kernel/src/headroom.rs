//! Reserves capacity on each target: KV memory for outputs to come, and slots for short requests.

use crate::outcome::{Reason, Refusal};
use crate::peer::Ask;
use crate::plugin::policy;
use crate::request::Class;
use crate::target::TargetState;

/// One in this many of a target's slots and KV tokens is reserved for short requests.
const SHORT_RESERVE_DIVISOR: u64 = 10;

inventory::submit! {
    policy::Plugin { name: "headroom", rank: 20, stage: policy::Stage::Admit(admit) }
}

inventory::submit! {
    policy::Plugin { name: "headroom", rank: 30, stage: policy::Stage::Filter(filter) }
}

/// Refuses a prompt that does not fit any target of the pool even when it is idle.
fn admit(view: &policy::View<'_>, ask: &Ask) -> Result<(), Refusal> {
    let mut targets = view.pool.targets.iter();
    let fits = |target: &TargetState| {
        target.kv_capacity() == 0
            || u64::from(ask.prompt_tokens) < usable_kv(view, target, ask.class)
    };
    match view.pool.targets.is_empty() || targets.any(fits) {
        true => Ok(()),
        false => Err(Refusal::new(Reason::TooLarge)),
    }
}

fn filter(view: &policy::View<'_>, ask: &Ask, ix: usize) -> bool {
    has_slot(view, ask, ix) && has_memory(view, ask, ix)
}

fn has_slot(view: &policy::View<'_>, ask: &Ask, ix: usize) -> bool {
    let target = &view.pool.targets[ix];
    let limit = view.pool.concurrency_limit(target);
    // A target without KV memory serves a plain service, whose calls do not differ in length.
    if ask.class == Class::Short || !target.is_warm() || target.kv_capacity() == 0 || limit < 2 {
        return true;
    }
    let reserve = (limit / SHORT_RESERVE_DIVISOR as u32).max(1);
    target.in_flight_long < limit - reserve
}

fn has_memory(view: &policy::View<'_>, ask: &Ask, ix: usize) -> bool {
    let target = &view.pool.targets[ix];
    if target.kv_capacity() == 0 {
        return true;
    }
    // The copy of the generation's KV memory is already part of the target's use.
    if ask.standby_target.as_ref() == Some(&target.name) {
        return true;
    }
    if is_reserved_for_other(view, ask, ix) {
        return false;
    }
    // An idle target takes any prompt that fits, since no request will end there to free more
    // memory.
    if target.in_flight.is_empty() && target.untracked == 0 {
        return u64::from(ask.prompt_tokens) < usable_kv(view, target, ask.class);
    }
    let untracked = view.pool.untracked_kv(ix, view.now);
    if ask.generated_tokens > 0 {
        // A relocated generation is lost if no target takes it, and only delayed if it is
        // preempted.
        return view.pool.in_flight_kv(ix) + u64::from(ask.prompt_tokens) + untracked
            < target.kv_capacity();
    }
    // Without short requests the reserve would only delay long ones.
    let usable = match view.pool.expects_short_requests(view.now) {
        true => usable_kv(view, target, ask.class),
        false => plannable_kv(view, target),
    };
    view.pool.projected_peak_kv(ix, Some(ask)) + untracked < usable
}

/// Returns whether the target is reserved for another request, which was bypassed too often.
///
/// Short requests may still use their own part of the memory.
fn is_reserved_for_other(view: &policy::View<'_>, ask: &Ask, ix: usize) -> bool {
    let reservation = view.pool.reservation.as_ref();
    let Some(reservation) =
        reservation.filter(|reservation| reservation.target_ix == ix && reservation.id != ask.id)
    else {
        return false;
    };
    let target = &view.pool.targets[ix];
    ask.class >= reservation.class
        || target.projected_kv_short + view.pool.projected_kv(ask)
            >= plannable_kv(view, target) / SHORT_RESERVE_DIVISOR
}

/// Returns whether a lack of KV memory alone keeps the request from this target.
pub(crate) fn lacks_memory(view: &policy::View<'_>, ask: &Ask, ix: usize) -> bool {
    let target = &view.pool.targets[ix];
    !target.is_leaving()
        && target.is_healthy(view.now)
        && !ask.exclude.contains(&target.name)
        && view.pool.concurrency_limit(target) > 0
        && has_slot(view, ask, ix)
        && !has_memory(view, ask, ix)
}

/// Returns the KV tokens of a target that neither running nor untracked requests are projected to
/// use.
pub(crate) fn free_kv(view: &policy::View<'_>, ix: usize) -> u64 {
    let used = view.pool.projected_peak_kv(ix, None) + view.pool.untracked_kv(ix, view.now);
    plannable_kv(view, &view.pool.targets[ix]).saturating_sub(used)
}

/// Returns the KV tokens of a target that projected use may fill.
fn plannable_kv(view: &policy::View<'_>, target: &TargetState) -> u64 {
    target.kv_capacity() * u64::from(view.pool.config.kv_percent) / 100
}

/// Returns the KV tokens of a target that requests of a class may fill together with those in
/// flight.
fn usable_kv(view: &policy::View<'_>, target: &TargetState, class: Class) -> u64 {
    let capacity = plannable_kv(view, target);
    match class {
        Class::Short => capacity,
        // What short requests already use of the reserve is not reserved a second time.
        Class::Long => {
            capacity - (capacity / SHORT_RESERVE_DIVISOR).saturating_sub(target.projected_kv_short)
        }
    }
}
