//! Chooses where the memory of a generation is copied while it runs.
//!
//! A copy made ahead saves a generation whose target dies, or leaves before its memory could be
//! copied. It occupies memory, so it is made only where much is free: copies then stop by
//! themselves as the load grows, and cost no request its place.

use crate::ids::{Millis, Name};
use crate::kernel::State;
use crate::map::Map;
use crate::outcome::Standby;
use crate::peer::Grant;
use crate::pool::{self, SHORT_TOKENS};
use crate::resource::Target;
use crate::retry::draw;

/// Fills are in thousandths, the limit in percent.
const FILL_PER_PERCENT: u32 = 10;
/// A fill heard longer ago than this says nothing, in milliseconds.
const FILL_AGE: u64 = 5_000;
/// Pools of which the fill is remembered.
const FILLS_MAX: usize = 1_024;

/// How full pools were when they last granted a start to this VM.
#[derive(Debug, Default)]
pub(crate) struct Fills {
    heard: Map<pool::Key, (u32, Millis)>,
}

impl Fills {
    /// Remembers the fill of a pool.
    pub(crate) fn note(&mut self, pool: &pool::Key, fill: u32, now: Millis) {
        if let Some(heard) = self.heard.get_mut(pool) {
            *heard = (fill, now);
            return;
        }
        if self.heard.len() >= FILLS_MAX {
            self.heard.clear();
        }
        self.heard.insert(pool.clone(), (fill, now));
    }

    /// Whether a pool is filled less than `limit`, in thousandths, as far as this VM knows.
    fn is_roomy(&self, pool: &pool::Key, limit: u32, now: Millis) -> bool {
        let heard = self.heard.get(pool).filter(|(_, at)| now.since(*at) <= FILL_AGE);
        heard.is_none_or(|(fill, _)| *fill < limit)
    }
}

/// The standby of a start that was granted, if it is to have one.
pub(crate) fn choose(state: &State, grant: &Grant, now: Millis) -> Option<Standby> {
    let request = state.entry.requests.get(&grant.id)?;
    let is_short = request.ask.max_tokens.is_some_and(|tokens| tokens <= SHORT_TOKENS);
    // The pool that grants is the one whose fill is known best.
    let config = state.intent.governing(&grant.pool.service)?;
    let limit = config.standby_percent * FILL_PER_PERCENT;
    if !request.terms.relocates || is_short || grant.fill >= limit {
        return None;
    }
    let others: Vec<(&Name, &Target)> = state
        .intent
        .pools_of(&grant.pool.service)
        .iter()
        .filter(|group| !state.intent.is_out(&group.key.zone))
        .filter(|group| state.entry.fills.is_roomy(&group.key, limit, now))
        .flat_map(|group| state.intent.pool_targets(&group.key.service, &group.key.zone))
        .filter(|(name, target)| !target.leaving && **name != grant.target)
        .collect();
    let ix = draw(request.ask.fingerprint, grant.id.counter).checked_rem(others.len() as u64)?;
    let (target, spec) = others.get(usize::try_from(ix).ok()?)?;
    Some(Standby { target: (*target).clone(), address: spec.address.clone() })
}
