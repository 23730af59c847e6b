//! Work granted and not released, and what its entry VMs say about it.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::{Fence, Millis};
use crate::map::Map;
use crate::peer::{Ask, Grant};
use crate::request::Id;

/// For this time a grant may be used; the same time for which it is sent again.
pub(crate) const GRANT_TTL_MS: u64 = 2_000;
/// Progress comes every 500 ms; after this time without any, work counts as silent.
pub(crate) const SILENCE_TIMEOUT_MS: u64 = 6_000;
/// Ended requests remembered, so that a delayed message does not bring one back.
const ENDED_REQUESTS_MAX: usize = 1_024;

/// Work granted and not released.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    /// What was asked.
    pub ask: Ask,
    /// Index into the pool's targets.
    pub target_ix: usize,
    /// Output tokens accounted so far.
    pub tokens: u32,
    /// Projected KV use in tokens.
    pub projected_kv: u64,
    /// When the start was granted.
    pub granted_at: Millis,
    /// When the entry VM last said that it runs; the time of the grant before that.
    pub last_heard: Millis,
    /// The entry VM has said that it runs.
    pub confirmed: bool,
    /// Since when it counts as silent.
    pub silent_since: Option<Millis>,
    /// The grant, for sending it again.
    pub grant: Option<Grant>,
}

impl InFlightRequest {
    /// Work that was granted at `now`.
    pub(crate) fn new(ask: Ask, target: usize, now: Millis) -> InFlightRequest {
        InFlightRequest {
            ask,
            target_ix: target,
            tokens: 0,
            projected_kv: 0,
            granted_at: now,
            last_heard: now,
            confirmed: false,
            silent_since: None,
            grant: None,
        }
    }

    /// The fencing token under which it was granted.
    pub fn fence(&self) -> Fence {
        self.grant.as_ref().map_or(Fence::default(), |grant| grant.fence)
    }
}

/// The running work of one pool.
#[derive(Debug, Default)]
pub struct InFlight {
    requests: BTreeMap<Id, InFlightRequest>,
    ended_order: VecDeque<Id>,
    ended_attempts: Map<Id, u32>,
}

impl InFlight {
    /// Number of running requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether nothing runs.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The running request `id`.
    pub fn get(&self, id: &Id) -> Option<&InFlightRequest> {
        self.requests.get(id)
    }

    /// Every running request, by id.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &InFlightRequest)> {
        self.requests.iter()
    }

    /// Every running request, in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &InFlightRequest> {
        self.requests.values()
    }

    pub(crate) fn get_mut(&mut self, id: &Id) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(id)
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut InFlightRequest> {
        self.requests.values_mut()
    }

    pub(crate) fn insert(&mut self, running: InFlightRequest) {
        self.requests.insert(running.ask.id.clone(), running);
    }

    pub(crate) fn remove(&mut self, id: &Id) -> Option<InFlightRequest> {
        self.requests.remove(id)
    }

    /// Remembers that `attempt` and all before it have ended.
    pub(crate) fn mark_ended(&mut self, id: &Id, attempt: u32) {
        if let Some(ended) = self.ended_attempts.get_mut(id) {
            *ended = attempt.max(*ended);
            return;
        }
        if self.ended_order.len() == ENDED_REQUESTS_MAX {
            if let Some(oldest) = self.ended_order.pop_front() {
                self.ended_attempts.remove(&oldest);
            }
        }
        self.ended_order.push_back(id.clone());
        self.ended_attempts.insert(id.clone(), attempt);
    }

    /// Whether `attempt` is known to have ended.
    pub fn is_ended(&self, id: &Id, attempt: u32) -> bool {
        self.ended_attempts.get(id).is_some_and(|&ended| attempt <= ended)
    }

    /// Ids that `is_due` selects, in order.
    pub(crate) fn select(&self, is_due: impl Fn(&InFlightRequest) -> bool) -> Vec<Id> {
        self.requests
            .iter()
            .filter(|(_, running)| is_due(running))
            .map(|(id, _)| id.clone())
            .collect()
    }
}
