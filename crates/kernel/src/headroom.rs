//! Keeps room on each target: KV memory for outputs still to come, and slots for short requests.

use crate::outcome::{Reason, Refusal};
use crate::peer::Ask;
use crate::plugin::policy;
use crate::request::Class;
use crate::target::TargetState;

/// One part in this many of a target's slots and KV is kept for short requests.
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
    let fits = |slot: &TargetState| {
        slot.kv_capacity() == 0 || u64::from(ask.prompt_tokens) < usable_kv(view, slot, ask.class)
    };
    match view.pool.targets.is_empty() || targets.any(fits) {
        true => Ok(()),
        false => Err(Refusal::new(Reason::TooLarge)),
    }
}

fn filter(view: &policy::View<'_>, ask: &Ask, target: usize) -> bool {
    has_slot(view, ask, target) && has_memory(view, ask, target)
}

fn has_slot(view: &policy::View<'_>, ask: &Ask, target: usize) -> bool {
    let slot = &view.pool.targets[target];
    let limit = view.pool.concurrency_limit(slot);
    // A target without KV memory serves a plain service, whose calls are of one length.
    if ask.class == Class::Short || !slot.is_warm() || slot.kv_capacity() == 0 || limit < 2 {
        return true;
    }
    let reserve = (limit / SHORT_RESERVE_DIVISOR as u32).max(1);
    slot.in_flight_long < limit - reserve
}

fn has_memory(view: &policy::View<'_>, ask: &Ask, target: usize) -> bool {
    let slot = &view.pool.targets[target];
    if slot.kv_capacity() == 0 {
        return true;
    }
    // The copy occupies its memory already.
    if ask.held_at.as_ref() == Some(&slot.name) {
        return true;
    }
    if is_reserved_for_other(view, ask, target) {
        return false;
    }
    // An idle target takes any prompt that fits: nothing else could ever make more room.
    if slot.in_flight.is_empty() && slot.untracked == 0 {
        return u64::from(ask.prompt_tokens) < usable_kv(view, slot, ask.class);
    }
    let unknown = view.pool.untracked_kv(target, view.now);
    if ask.made > 0 {
        // A generation that moves is lost where it finds no place; one that is preempted is late.
        return view.pool.in_flight_kv(target) + u64::from(ask.prompt_tokens) + unknown
            < slot.kv_capacity();
    }
    // A part that no short request asks for would only hold long ones up.
    let usable = match view.pool.expects_short_requests(view.now) {
        true => usable_kv(view, slot, ask.class),
        false => plannable_kv(view, slot),
    };
    view.pool.projected_peak_kv(target, Some(ask)) + unknown < usable
}

/// Whether the target is held for another request, which has waited long for its memory.
///
/// Short requests pass as far as their own part of the memory goes.
fn is_reserved_for_other(view: &policy::View<'_>, ask: &Ask, target: usize) -> bool {
    let held = view.pool.reservation.as_ref();
    let Some(held) = held.filter(|held| held.target_ix == target && held.id != ask.id) else {
        return false;
    };
    let slot = &view.pool.targets[target];
    ask.class >= held.class
        || slot.projected_kv_short + view.pool.projected_kv(ask)
            >= plannable_kv(view, slot) / SHORT_RESERVE_DIVISOR
}

/// Whether only memory keeps the request from this target.
pub(crate) fn lacks_memory(view: &policy::View<'_>, ask: &Ask, target: usize) -> bool {
    let slot = &view.pool.targets[target];
    !slot.is_leaving()
        && slot.is_healthy(view.now)
        && !ask.exclude.contains(&slot.name)
        && view.pool.concurrency_limit(slot) > 0
        && has_slot(view, ask, target)
        && !has_memory(view, ask, target)
}

/// KV tokens of a target that projections may fill.
fn plannable_kv(view: &policy::View<'_>, slot: &TargetState) -> u64 {
    slot.kv_capacity() * u64::from(view.pool.config.kv_percent) / 100
}

/// KV tokens of a target that requests of a class may fill together with what runs.
fn usable_kv(view: &policy::View<'_>, slot: &TargetState, class: Class) -> u64 {
    let capacity = plannable_kv(view, slot);
    match class {
        Class::Short => capacity,
        // What short requests use of their part is not kept free a second time.
        Class::Long => {
            capacity - (capacity / SHORT_RESERVE_DIVISOR).saturating_sub(slot.projected_kv_short)
        }
    }
}
