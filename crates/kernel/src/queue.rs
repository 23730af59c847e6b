//! The queue of one pool: waiting requests by organisation and class, with fair-queueing counters.

use std::collections::VecDeque;

use crate::ids::{Millis, Name};
use crate::map::Map;
use crate::peer::Ask;
use crate::request::{Class, Id};

/// Service counters are in thousandths of a token, so that weights up to 1,000 divide them with
/// little loss.
const SERVICE_SCALE: u64 = 1_000;
/// An entry VM repeats an ask every 500 ms; after six missing repeats it no longer wants a start.
const REASK_TIMEOUT_MS: u64 = 3_000;
/// An organisation without requests is dropped after this time.
const IDLE_ORGANISATION_TTL_MS: u64 = 600_000;

/// A waiting request.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// The entry VM's request for a start, with the class that the scheduler chose.
    pub ask: Ask,
    /// When the request arrived at its entry VM.
    pub arrived: Millis,
    /// When the entry VM last asked for it.
    pub last_asked: Millis,
    /// When it is refused if it still waits.
    pub deadline: Millis,
    /// Time after the deadline for which it may wait as well, in milliseconds.
    pub grace_ms: u64,
    /// KV tokens that it is expected to use. Known for requests that are admitted by slack; the
    /// prompt for others.
    pub projected_kv: u64,
}

impl QueuedRequest {
    fn new(ask: Ask, now: Millis) -> QueuedRequest {
        QueuedRequest {
            arrived: ask.arrived(now),
            last_asked: now,
            deadline: now.after(ask.max_wait_ms),
            grace_ms: 0,
            projected_kv: ask.prompt_tokens.into(),
            ask,
        }
    }

    /// Returns when it is refused if it still waits, with the time after its deadline.
    pub(crate) fn last_start(&self) -> Millis {
        self.deadline.after(self.grace_ms)
    }
}

/// The queue and the service counter of one organisation in a pool.
#[derive(Debug)]
pub struct OrganisationQueue {
    /// Name of the organisation.
    pub name: Name,
    /// Weight of the organisation.
    pub weight: u32,
    /// Service received, in thousandths of a token, divided by the weight.
    pub service_counter: u64,
    short: VecDeque<QueuedRequest>,
    long: VecDeque<QueuedRequest>,
    last_active: Millis,
}

impl OrganisationQueue {
    /// Returns the waiting requests of one class, in the order in which they are tried.
    pub fn waiting(&self, class: Class) -> &VecDeque<QueuedRequest> {
        match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        }
    }

    fn waiting_mut(&mut self, class: Class) -> &mut VecDeque<QueuedRequest> {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn weighted_cost(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(SERVICE_SCALE) / u64::from(self.weight.max(1))
    }
}

/// The queue of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    /// The organisations; other state refers to them by index.
    pub organisations: Vec<OrganisationQueue>,
    positions: Map<Id, (usize, Class)>,
    index_by_name: Map<Name, usize>,
    virtual_time: u64,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the highest service counter of an organisation when one of its requests was granted.
    pub fn virtual_time(&self) -> u64 {
        self.virtual_time
    }

    /// Returns the number of organisations with waiting requests.
    pub fn backlogged(&self) -> usize {
        self.organisations.iter().filter(|organisation| !organisation.is_empty()).count()
    }

    /// Returns the organisation `name` if it is known.
    pub fn get(&self, name: &str) -> Option<&OrganisationQueue> {
        self.index_by_name.get(name).map(|&ix| &self.organisations[ix])
    }

    /// Returns the request `id` if it waits.
    pub fn find(&self, id: &Id) -> Option<&QueuedRequest> {
        let &(ix, class) = self.positions.get(id)?;
        let waiting = self.organisations[ix].waiting(class);
        waiting.iter().find(|queued| queued.ask.id == *id)
    }

    /// Returns the organisation `name` and adds it if it is new.
    pub(crate) fn organisation(&mut self, name: &Name, now: Millis) -> &mut OrganisationQueue {
        let next = self.organisations.len();
        let ix = *self.index_by_name.entry(name.clone()).or_insert(next);
        if ix == next {
            self.organisations.push(OrganisationQueue {
                name: name.clone(),
                weight: 1,
                service_counter: self.virtual_time,
                short: VecDeque::new(),
                long: VecDeque::new(),
                last_active: now,
            });
        }
        let organisation = &mut self.organisations[ix];
        organisation.last_active = now;
        organisation
    }

    /// Adds a request to its organisation's queue: a relocated generation in front, others at the
    /// end.
    pub(crate) fn push(&mut self, ask: Ask, now: Millis) {
        let lowest = self.min_backlogged_counter();
        let (id, class) = (ask.id.clone(), ask.class);
        let organisation = self.organisation(&ask.organisation, now);
        if organisation.is_empty() {
            // An organisation earns no credit for the time in which it was idle.
            organisation.service_counter = organisation.service_counter.max(lowest);
        }
        let name = organisation.name.clone();
        let is_relocated = ask.generated_tokens > 0;
        let waiting = organisation.waiting_mut(class);
        match is_relocated {
            true => waiting.push_front(QueuedRequest::new(ask, now)),
            false if ask.slack.is_some() => {
                let queued = QueuedRequest::new(ask, now);
                let ix = waiting.partition_point(|earlier| earlier.deadline <= queued.deadline);
                waiting.insert(ix, queued);
            }
            false => waiting.push_back(QueuedRequest::new(ask, now)),
        }
        let ix = self.index_by_name[&name];
        self.positions.insert(id, (ix, class));
    }

    /// Returns the lowest counter among backlogged organisations, or the virtual time without any.
    fn min_backlogged_counter(&self) -> u64 {
        self.organisations
            .iter()
            .filter(|organisation| !organisation.is_empty())
            .map(|organisation| organisation.service_counter)
            .min()
            .unwrap_or(self.virtual_time)
    }

    /// Changes a waiting request; its place in the queue stays.
    pub(crate) fn update(&mut self, id: &Id, change: impl FnOnce(&mut QueuedRequest)) {
        let Some(&(ix, class)) = self.positions.get(id) else {
            return;
        };
        let waiting = self.organisations[ix].waiting_mut(class);
        if let Some(queued) = waiting.iter_mut().find(|queued| queued.ask.id == *id) {
            change(queued);
        }
    }

    /// Records that a request was asked for again, and applies its new deadline and attempt.
    pub(crate) fn renew(&mut self, ask: &Ask, now: Millis) {
        let Some(&(ix, class)) = self.positions.get(&ask.id) else {
            return;
        };
        let waiting = self.organisations[ix].waiting_mut(class);
        if let Some(queued) = waiting.iter_mut().find(|queued| queued.ask.id == ask.id) {
            queued.last_asked = now;
            queued.deadline = now.after(ask.max_wait_ms);
            if queued.ask.attempt < ask.attempt {
                queued.ask = ask.clone();
                queued.ask.class = class;
            }
        }
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, id: &Id) -> Option<QueuedRequest> {
        let (ix, class) = self.positions.remove(id)?;
        let waiting = self.organisations[ix].waiting_mut(class);
        let position = waiting.iter().position(|queued| queued.ask.id == *id)?;
        waiting.remove(position)
    }

    /// Removes a request that gets a grant and charges its prompt to its organisation.
    pub(crate) fn dequeue(&mut self, id: &Id, now: Millis) -> Option<QueuedRequest> {
        let queued = self.remove(id)?;
        let served = self.organisation(&queued.ask.organisation, now).service_counter;
        self.virtual_time = self.virtual_time.max(served);
        // The prompt of a relocated generation was charged for its first target.
        if !queued.ask.has_kv_copy() {
            self.charge(&queued.ask.organisation, u64::from(queued.ask.prompt_tokens), now);
        }
        Some(queued)
    }

    /// Charges service in tokens to an organisation.
    pub(crate) fn charge(&mut self, name: &Name, tokens: u64, now: Millis) {
        let organisation = self.organisation(name, now);
        organisation.service_counter =
            organisation.service_counter.saturating_add(organisation.weighted_cost(tokens));
    }

    /// Refunds service in tokens that was charged and not received.
    pub(crate) fn refund(&mut self, name: &Name, tokens: u64, now: Millis) {
        let organisation = self.organisation(name, now);
        organisation.service_counter =
            organisation.service_counter.saturating_sub(organisation.weighted_cost(tokens));
    }

    /// Raises the counters to those of an earlier scheduler.
    pub(crate) fn restore_counters(
        &mut self,
        virtual_time: u64,
        counters: &[(Name, u64)],
        now: Millis,
    ) {
        self.virtual_time = self.virtual_time.max(virtual_time);
        for (name, served) in counters {
            let organisation = self.organisation(name, now);
            organisation.service_counter = organisation.service_counter.max(*served);
        }
    }

    /// Returns the ids of the requests that `is_due` selects, in a fixed order.
    pub(crate) fn select(&self, is_due: impl Fn(&QueuedRequest) -> bool) -> Vec<Id> {
        let all = self
            .organisations
            .iter()
            .flat_map(|organisation| organisation.short.iter().chain(&organisation.long));
        all.filter(|queued| is_due(queued)).map(|queued| queued.ask.id.clone()).collect()
    }

    /// Iterates over all waiting requests, in a fixed order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.organisations
            .iter()
            .flat_map(|organisation| organisation.short.iter().chain(&organisation.long))
    }

    /// Returns the requests whose entry VM no longer asks for them.
    pub(crate) fn abandoned(&self, now: Millis) -> Vec<Id> {
        self.select(|queued| now.since(queued.last_asked) > REASK_TIMEOUT_MS)
    }

    /// Returns the requests that have reached their deadline.
    pub(crate) fn overdue(&self, now: Millis) -> Vec<Id> {
        self.select(|queued| queued.last_start() <= now)
    }

    /// Drops organisations that were idle for long and whose counter is not ahead of the virtual
    /// time.
    pub(crate) fn prune(&mut self, now: Millis) {
        let before = self.organisations.len();
        let virtual_time = self.virtual_time;
        self.organisations.retain(|organisation| {
            !organisation.is_empty()
                || organisation.service_counter > virtual_time
                || now.since(organisation.last_active) < IDLE_ORGANISATION_TTL_MS
        });
        if self.organisations.len() == before {
            return;
        }
        self.index_by_name.clear();
        self.positions.clear();
        for (ix, organisation) in self.organisations.iter().enumerate() {
            self.index_by_name.insert(organisation.name.clone(), ix);
            for queued in organisation.short.iter().chain(&organisation.long) {
                let place = (ix, queued.ask.class);
                self.positions.insert(queued.ask.id.clone(), place);
            }
        }
    }
}
