//! Chooses the target to which the KV cache of a running generation is replicated.
//!
//! A replica saves a generation whose target dies, or leaves before its KV cache can be copied.
//! Because replicas occupy KV memory, they are made only where much of it is free: replication
//! stops as the load grows and displaces no request.

use crate::ids::{Millis, Name};
use crate::kernel::State;
use crate::outcome::Standby;
use crate::peer::Grant;
use crate::pool::SHORT_TOKENS;
use crate::resource::Target;
use crate::retry::draw;

/// Usage is in thousandths, the configured limit in percent.
const PERMILLE_PER_PERCENT: u32 = 10;

/// The standby for a granted start, if it gets one.
pub(crate) fn choose_standby(state: &State, grant: &Grant, now: Millis) -> Option<Standby> {
    let request = state.entry.requests.get(&grant.id)?;
    let is_short = request.ask.max_tokens.is_some_and(|tokens| tokens <= SHORT_TOKENS);
    // The usage in the grant is the most recent one available.
    let config = state.intent.configuration_for(&grant.pool.service)?;
    let limit = config.standby_percent * PERMILLE_PER_PERCENT;
    // A copy of a generation that may crash its targets would crash the standby as well.
    if state.quarantine.parts.has_suspect(&request.ask.parts) {
        return None;
    }
    if !request.options.relocatable || is_short || grant.usage >= limit {
        return None;
    }
    let candidates: Vec<(&Name, &Target)> = state
        .intent
        .pools_of_service(&grant.pool.service)
        .iter()
        .filter(|group| !state.intent.is_zone_out(&group.key.zone))
        .filter(|group| state.entry.usage.get(&group.key, now).is_none_or(|usage| usage < limit))
        .flat_map(|group| state.intent.pool_targets(&group.key.service, &group.key.zone))
        .filter(|(name, target)| !target.leaving && **name != grant.target)
        .collect();
    let ix = draw(request.ask.fingerprint, grant.id.counter).checked_rem(candidates.len() as u64)?;
    let (target, spec) = candidates.get(usize::try_from(ix).ok()?)?;
    Some(Standby { target: (*target).clone(), address: spec.address.clone() })
}
