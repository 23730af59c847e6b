//! Requests granted and not released, and what their entry VMs report about them.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::{Fence, Millis, Name, Revision};
use crate::map::Map;
use crate::peer::{Ask, Grant};
use crate::request::Id;

/// A grant may be used for this time, and is sent again unchanged within it.
pub(crate) const GRANT_TTL_MS: u64 = 2_000;
/// Progress comes every 500 ms; a request without any for this time counts as silent.
pub(crate) const SILENCE_TIMEOUT_MS: u64 = 6_000;
/// Number of ended requests kept, so that a delayed message does not restart one.
const MAX_ENDED_REQUESTS: usize = 1_024;

/// A request granted and not released.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    /// The entry VM's request for a start.
    pub ask: Ask,
    /// Index of its target in the pool.
    pub target_ix: usize,
    /// Output tokens recorded so far.
    pub tokens: u32,
    /// Projected KV use in tokens.
    pub projected_kv: u64,
    /// When it was granted, or its grant was last renewed.
    pub granted_at: Millis,
    /// How long it had waited by then since it arrived, in milliseconds; zero if another scheduler
    /// granted it.
    pub waited_ms: u64,
    /// When the entry VM last reported that it runs; the time of the grant before that.
    pub last_heard: Millis,
    /// The entry VM has reported that it runs.
    pub confirmed: bool,
    /// When it was found to be silent, if it is.
    pub silent_since: Option<Millis>,
    /// The grant, to be sent again; `None` if another scheduler granted it.
    pub grant: Option<Grant>,
    /// The target's version when it was granted.
    pub(crate) version: Option<Name>,
    /// The roll-out order under which it was granted here, if any.
    pub(crate) order: Option<Revision>,
}

impl InFlightRequest {
    /// Returns a request that was granted at `now`.
    pub(crate) fn new(ask: Ask, target: usize, now: Millis) -> InFlightRequest {
        InFlightRequest {
            ask,
            target_ix: target,
            tokens: 0,
            projected_kv: 0,
            granted_at: now,
            waited_ms: 0,
            last_heard: now,
            confirmed: false,
            silent_since: None,
            grant: None,
            version: None,
            order: None,
        }
    }

    /// Returns the milliseconds from its grant to its first token, of which the adapter of routes
    /// reports those from its arrival; `None` if its generation began on an earlier target or
    /// another scheduler granted it.
    pub(crate) fn first_token_ms(&self, reported_ms: u32) -> Option<u32> {
        let is_known = self.ask.generated_tokens == 0 && self.grant.is_some();
        let waited_ms = u32::try_from(self.waited_ms).unwrap_or(u32::MAX);
        is_known.then(|| reported_ms.saturating_sub(waited_ms))
    }

    /// Returns whether no output of its generation is known, here or on earlier targets.
    pub fn has_no_output(&self) -> bool {
        self.tokens == 0 && self.ask.generated_tokens == 0
    }

    /// Returns the fencing token of its grant; zero if another scheduler granted it.
    pub fn fence(&self) -> Fence {
        self.grant.as_ref().map_or(Fence::default(), |grant| grant.fence)
    }
}

/// The requests in flight of one pool.
#[derive(Debug, Default)]
pub struct InFlight {
    requests: BTreeMap<Id, InFlightRequest>,
    ended_order: VecDeque<Id>,
    ended_attempts: Map<Id, u32>,
}

impl InFlight {
    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the request `id` if it is in flight.
    pub fn get(&self, id: &Id) -> Option<&InFlightRequest> {
        self.requests.get(id)
    }

    /// Iterates over all requests with their ids, in the order of the ids.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &InFlightRequest)> {
        self.requests.iter()
    }

    /// Iterates over all requests, in the order of their ids.
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

    /// Records that `attempt` and all earlier ones of the request have ended.
    pub(crate) fn mark_ended(&mut self, id: &Id, attempt: u32) {
        if let Some(ended) = self.ended_attempts.get_mut(id) {
            *ended = attempt.max(*ended);
            return;
        }
        if self.ended_order.len() == MAX_ENDED_REQUESTS {
            if let Some(oldest) = self.ended_order.pop_front() {
                self.ended_attempts.remove(&oldest);
            }
        }
        self.ended_order.push_back(id.clone());
        self.ended_attempts.insert(id.clone(), attempt);
    }

    /// Returns whether `attempt` is known to have ended.
    pub fn is_ended(&self, id: &Id, attempt: u32) -> bool {
        self.ended_attempts.get(id).is_some_and(|&ended| attempt <= ended)
    }

    /// Returns the ids of the requests that `is_due` selects, in order.
    pub(crate) fn select(&self, is_due: impl Fn(&InFlightRequest) -> bool) -> Vec<Id> {
        self.requests
            .iter()
            .filter(|(_, running)| is_due(running))
            .map(|(id, _)| id.clone())
            .collect()
    }
}
