//! Waiting requests of one pool, by organisation and class, with the fair-share counters.

use std::collections::VecDeque;

use crate::ids::{Millis, Name};
use crate::map::Map;
use crate::peer::Ask;
use crate::request::{Class, Id};

/// Service is counted in thousandths so that weights up to 1,000 divide it with little loss.
const SERVICE_SCALE: u64 = 1_000;
/// An entry VM re-asks every 500 ms; six missed ones mean that it no longer wants a start.
const REASK_LIMIT: u64 = 3_000;
/// An organisation without work is forgotten after this time.
const IDLE_LIMIT: u64 = 600_000;

/// A waiting request.
#[derive(Debug, Clone)]
pub struct Queued {
    /// What was asked; its class is the scheduler's.
    pub ask: Ask,
    /// When the request arrived at its entry VM.
    pub arrived: Millis,
    /// When it was last asked for.
    pub asked: Millis,
    /// When it may wait no longer.
    pub deadline: Millis,
}

impl Queued {
    fn new(ask: Ask, now: Millis) -> Queued {
        Queued { arrived: ask.arrived(now), asked: now, deadline: now.after(ask.max_wait_ms), ask }
    }
}

/// An organisation's queue and service counter in a pool.
#[derive(Debug)]
pub struct Organisation {
    /// Its name.
    pub name: Name,
    /// Its weight.
    pub weight: u32,
    /// Service received, in thousandths of a token, divided by the weight.
    pub served: u64,
    short: VecDeque<Queued>,
    long: VecDeque<Queued>,
    active: Millis,
}

impl Organisation {
    /// The waiting requests of one class, oldest first.
    pub fn waiting(&self, class: Class) -> &VecDeque<Queued> {
        match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        }
    }

    fn waiting_mut(&mut self, class: Class) -> &mut VecDeque<Queued> {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn cost(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(SERVICE_SCALE) / u64::from(self.weight.max(1))
    }
}

/// The queue of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    /// Arena of organisations.
    pub organisations: Vec<Organisation>,
    places: Map<Id, (usize, Class)>,
    names: Map<Name, usize>,
    reached: u64,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The counter at which the last request was taken from the queue.
    pub fn reached(&self) -> u64 {
        self.reached
    }

    /// Number of organisations with waiting requests.
    pub fn backlogged(&self) -> usize {
        self.organisations.iter().filter(|organisation| !organisation.is_empty()).count()
    }

    /// The organisation `name`, if it is known.
    pub fn get(&self, name: &str) -> Option<&Organisation> {
        self.names.get(name).map(|&ix| &self.organisations[ix])
    }

    /// The waiting request `id`.
    pub fn find(&self, id: &Id) -> Option<&Queued> {
        let &(ix, class) = self.places.get(id)?;
        let waiting = self.organisations[ix].waiting(class);
        waiting.iter().find(|queued| queued.ask.id == *id)
    }

    /// The organisation `name`, added if it is new.
    pub(crate) fn organisation(&mut self, name: &Name, now: Millis) -> &mut Organisation {
        let next = self.organisations.len();
        let ix = *self.names.entry(name.clone()).or_insert(next);
        if ix == next {
            self.organisations.push(Organisation {
                name: name.clone(),
                weight: 1,
                served: self.reached,
                short: VecDeque::new(),
                long: VecDeque::new(),
                active: now,
            });
        }
        let organisation = &mut self.organisations[ix];
        organisation.active = now;
        organisation
    }

    /// Adds a request at the end of its organisation's queue.
    pub(crate) fn push(&mut self, ask: Ask, now: Millis) {
        let lowest = self.lowest();
        let (id, class) = (ask.id.clone(), ask.class);
        let organisation = self.organisation(&ask.organisation, now);
        if organisation.is_empty() {
            // Idle time earns no credit.
            organisation.served = organisation.served.max(lowest);
        }
        let name = organisation.name.clone();
        let is_moving = ask.generated_tokens > 0;
        let waiting = organisation.waiting_mut(class);
        match is_moving {
            true => waiting.push_front(Queued::new(ask, now)),
            false => waiting.push_back(Queued::new(ask, now)),
        }
        let ix = self.names[&name];
        self.places.insert(id, (ix, class));
    }

    /// The lowest counter among the backlogged organisations; without any, where service stands.
    fn lowest(&self) -> u64 {
        self.organisations
            .iter()
            .filter(|organisation| !organisation.is_empty())
            .map(|organisation| organisation.served)
            .min()
            .unwrap_or(self.reached)
    }

    /// Notes that a request was asked for again and takes over what has changed.
    pub(crate) fn refresh(&mut self, ask: &Ask, now: Millis) {
        let Some(&(ix, class)) = self.places.get(&ask.id) else {
            return;
        };
        let waiting = self.organisations[ix].waiting_mut(class);
        if let Some(queued) = waiting.iter_mut().find(|queued| queued.ask.id == ask.id) {
            queued.asked = now;
            queued.deadline = now.after(ask.max_wait_ms);
            if queued.ask.attempt < ask.attempt {
                queued.ask = ask.clone();
                queued.ask.class = class;
            }
        }
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, id: &Id) -> Option<Queued> {
        let (ix, class) = self.places.remove(id)?;
        let waiting = self.organisations[ix].waiting_mut(class);
        let position = waiting.iter().position(|queued| queued.ask.id == *id)?;
        waiting.remove(position)
    }

    /// Removes a request that is granted and charges its prompt to its organisation.
    pub(crate) fn take(&mut self, id: &Id, now: Millis) -> Option<Queued> {
        let queued = self.remove(id)?;
        let served = self.organisation(&queued.ask.organisation, now).served;
        self.reached = self.reached.max(served);
        // The first target has read the prompt of a generation that moves.
        if queued.ask.generated_tokens == 0 {
            self.charge(&queued.ask.organisation, u64::from(queued.ask.prompt_tokens), now);
        }
        Some(queued)
    }

    /// Counts service in tokens for an organisation.
    pub(crate) fn charge(&mut self, name: &Name, tokens: u64, now: Millis) {
        let organisation = self.organisation(name, now);
        organisation.served = organisation.served.saturating_add(organisation.cost(tokens));
    }

    /// Takes back service that was counted and not received.
    pub(crate) fn refund(&mut self, name: &Name, tokens: u64, now: Millis) {
        let organisation = self.organisation(name, now);
        organisation.served = organisation.served.saturating_sub(organisation.cost(tokens));
    }

    /// Takes over counters from an earlier scheduler.
    pub(crate) fn adopt(&mut self, reached: u64, counters: &[(Name, u64)], now: Millis) {
        self.reached = self.reached.max(reached);
        for (name, served) in counters {
            let organisation = self.organisation(name, now);
            organisation.served = organisation.served.max(*served);
        }
    }

    /// Ids of the requests that `is_due` selects, in a fixed order.
    pub(crate) fn select(&self, is_due: impl Fn(&Queued) -> bool) -> Vec<Id> {
        let all = self
            .organisations
            .iter()
            .flat_map(|organisation| organisation.short.iter().chain(&organisation.long));
        all.filter(|queued| is_due(queued)).map(|queued| queued.ask.id.clone()).collect()
    }

    /// Every waiting request, in a fixed order.
    pub fn iter(&self) -> impl Iterator<Item = &Queued> {
        self.organisations
            .iter()
            .flat_map(|organisation| organisation.short.iter().chain(&organisation.long))
    }

    /// Requests whose entry VM no longer asks for them.
    pub(crate) fn forgotten(&self, now: Millis) -> Vec<Id> {
        self.select(|queued| now.since(queued.asked) > REASK_LIMIT)
    }

    /// Requests that may wait no longer.
    pub(crate) fn overdue(&self, now: Millis) -> Vec<Id> {
        self.select(|queued| queued.deadline <= now)
    }

    /// Forgets organisations that have had no work for a long time.
    pub(crate) fn prune(&mut self, now: Millis) {
        let before = self.organisations.len();
        let reached = self.reached;
        self.organisations.retain(|organisation| {
            !organisation.is_empty()
                || organisation.served > reached
                || now.since(organisation.active) < IDLE_LIMIT
        });
        if self.organisations.len() == before {
            return;
        }
        self.names.clear();
        self.places.clear();
        for (ix, organisation) in self.organisations.iter().enumerate() {
            self.names.insert(organisation.name.clone(), ix);
            for queued in organisation.short.iter().chain(&organisation.long) {
                let place = (ix, queued.ask.class);
                self.places.insert(queued.ask.id.clone(), place);
            }
        }
    }
}
