//! Work granted and not released, and what its entry VMs say about it.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::{Fence, Millis};
use crate::map::Map;
use crate::peer::{Ask, Grant};
use crate::request::Id;

/// For this time a grant may be used; the same time for which it is sent again.
pub(crate) const GRANT_VALID: u64 = 2_000;
/// Progress comes every 500 ms; after this time without any, work counts as silent.
pub(crate) const SILENCE: u64 = 6_000;
/// Ended requests remembered, so that a delayed message does not bring one back.
const ENDED_MAX: usize = 1_024;

/// Work granted and not released.
#[derive(Debug, Clone)]
pub struct Running {
    /// What was asked.
    pub ask: Ask,
    /// Index into the pool's targets.
    pub target: usize,
    /// Output tokens accounted so far.
    pub tokens: u32,
    /// Projected KV use in tokens.
    pub kv: u64,
    /// When the start was granted.
    pub granted: Millis,
    /// When the entry VM last said that it runs; the time of the grant before that.
    pub heard: Millis,
    /// The entry VM has said that it runs.
    pub confirmed: bool,
    /// Since when it counts as silent.
    pub silent: Option<Millis>,
    /// The grant, for sending it again.
    pub grant: Option<Grant>,
}

impl Running {
    /// Work that was granted at `now`.
    pub(crate) fn new(ask: Ask, target: usize, now: Millis) -> Running {
        Running {
            ask,
            target,
            tokens: 0,
            kv: 0,
            granted: now,
            heard: now,
            confirmed: false,
            silent: None,
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
pub struct Ledger {
    running: BTreeMap<Id, Running>,
    ended: VecDeque<Id>,
    attempts: Map<Id, u32>,
}

impl Ledger {
    /// Number of running requests.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Whether nothing runs.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// The running request `id`.
    pub fn get(&self, id: &Id) -> Option<&Running> {
        self.running.get(id)
    }

    /// Every running request, by id.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &Running)> {
        self.running.iter()
    }

    /// Every running request, in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &Running> {
        self.running.values()
    }

    pub(crate) fn get_mut(&mut self, id: &Id) -> Option<&mut Running> {
        self.running.get_mut(id)
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Running> {
        self.running.values_mut()
    }

    pub(crate) fn insert(&mut self, running: Running) {
        self.running.insert(running.ask.id.clone(), running);
    }

    pub(crate) fn remove(&mut self, id: &Id) -> Option<Running> {
        self.running.remove(id)
    }

    /// Remembers that `attempt` and all before it have ended.
    pub(crate) fn end(&mut self, id: &Id, attempt: u32) {
        if let Some(ended) = self.attempts.get_mut(id) {
            *ended = attempt.max(*ended);
            return;
        }
        if self.ended.len() == ENDED_MAX {
            if let Some(oldest) = self.ended.pop_front() {
                self.attempts.remove(&oldest);
            }
        }
        self.ended.push_back(id.clone());
        self.attempts.insert(id.clone(), attempt);
    }

    /// Whether `attempt` is known to have ended.
    pub fn is_ended(&self, id: &Id, attempt: u32) -> bool {
        self.attempts.get(id).is_some_and(|&ended| attempt <= ended)
    }

    /// Ids that `is_due` selects, in order.
    pub(crate) fn select(&self, is_due: impl Fn(&Running) -> bool) -> Vec<Id> {
        self.running
            .iter()
            .filter(|(_, running)| is_due(running))
            .map(|(id, _)| id.clone())
            .collect()
    }
}
