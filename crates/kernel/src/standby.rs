//! Chooses where the memory of a generation is copied while it runs.
//!
//! A copy made ahead saves a generation whose target dies, or leaves before its memory could be
//! copied. It occupies memory, so it is made only where much is free: copies then stop by
//! themselves as the load grows, and cost no request its place.

use crate::ids::{Millis, Name};
use crate::kernel::State;
use crate::outcome::Standby;
use crate::peer::Grant;
use crate::pool::SHORT_TOKENS;
use crate::resource::Target;
use crate::retry::draw;

/// Fills are in thousandths, the limit in percent.
const PERMILLE_PER_PERCENT: u32 = 10;

/// The standby of a start that was granted, if it is to have one.
pub(crate) fn choose_standby(state: &State, grant: &Grant, now: Millis) -> Option<Standby> {
    let request = state.entry.requests.get(&grant.id)?;
    let is_short = request.ask.max_tokens.is_some_and(|tokens| tokens <= SHORT_TOKENS);
    // The pool that grants is the one whose fill is known best.
    let config = state.intent.governing(&grant.pool.service)?;
    let limit = config.standby_percent * PERMILLE_PER_PERCENT;
    if !request.options.relocatable || is_short || grant.fill >= limit {
        return None;
    }
    let candidates: Vec<(&Name, &Target)> = state
        .intent
        .pools_of(&grant.pool.service)
        .iter()
        .filter(|group| !state.intent.is_out(&group.key.zone))
        .filter(|group| state.entry.usage.get(&group.key, now).is_none_or(|usage| usage < limit))
        .flat_map(|group| state.intent.pool_targets(&group.key.service, &group.key.zone))
        .filter(|(name, target)| !target.leaving && **name != grant.target)
        .collect();
    let ix = draw(request.ask.fingerprint, grant.id.counter).checked_rem(candidates.len() as u64)?;
    let (target, spec) = candidates.get(usize::try_from(ix).ok()?)?;
    Some(Standby { target: (*target).clone(), address: spec.address.clone() })
}
