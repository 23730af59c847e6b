//! The owner's side of a request: queue, running work and grants of one pool.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::event::Event;
use crate::ids::{Fence, Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::outcome::Refusal;
use crate::peer::{Ask, Grant, Message, Release};
use crate::plugin::{control, policy};
use crate::quarantine::Registry;
use crate::request::Id;
use crate::resource;

/// A pool: one service in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: Name,
    /// The availability zone.
    pub zone: Name,
}

impl Key {
    /// The pool of `service` in `zone`.
    pub fn new(service: &str, zone: &str) -> Key {
        Key {
            service: service.into(),
            zone: zone.into(),
        }
    }
}

/// The state that a holder hands to its successor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The pool.
    pub pool: Key,
    /// The leaving holder's fencing token.
    pub fence: Fence,
}

/// An organisation's queue and service counter in a pool.
#[derive(Debug)]
pub struct Organisation {
    /// Its name.
    pub name: Name,
    /// Its weight.
    pub weight: u32,
    /// Service received, in weighted token units.
    pub served: u64,
    /// Waiting requests, oldest first.
    pub queue: VecDeque<Queued>,
}

/// A waiting request.
#[derive(Debug)]
pub struct Queued {
    /// What was asked.
    pub ask: Ask,
    /// When the request arrived at its entry VM.
    pub arrived: Millis,
}

/// A target of the pool.
#[derive(Debug)]
pub struct Slot {
    /// Its name.
    pub name: Name,
    /// Its specification.
    pub spec: resource::Target,
    /// Requests granted to it and not released.
    pub running: u32,
}

/// Work granted and not released.
#[derive(Debug)]
pub struct Running {
    /// What was asked.
    pub ask: Ask,
    /// Index into the pool's targets.
    pub target: usize,
    /// Output tokens accounted so far.
    pub tokens: u32,
}

/// One pool as its scheduler sees it.
#[derive(Debug)]
pub struct Pool {
    /// Which pool.
    pub key: Key,
    /// Arena of organisations.
    pub organisations: Vec<Organisation>,
    /// Arena of targets.
    pub targets: Vec<Slot>,
    /// Granted work.
    pub running: Map<Id, Running>,
}

/// The pools that this VM schedules.
#[derive(Debug)]
pub struct Set {
    pools: Map<Key, Pool>,
    policies: Vec<policy::Plugin>,
}

impl Set {
    pub(crate) fn new(policies: Vec<policy::Plugin>) -> Set {
        Set {
            pools: Map::default(),
            policies,
        }
    }

    /// The pool `key`, if it is scheduled here.
    pub fn get(&self, key: &Key) -> Option<&Pool> {
        self.pools.get(key)
    }
}

inventory::submit! {
    control::Plugin { name: "pool", rank: 60, handle, wakeup: |_| None }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::Peer {
            from,
            message: Message::Ask(ask),
        } => asked(state, from, ask, now, out),
        Event::Peer {
            message: Message::Release(release),
            ..
        } => {
            released(state, release);
            schedule(state, &release.pool, now, out);
        }
        _ => {}
    }
}

fn asked(state: &mut State, from: &str, ask: &Ask, now: Millis, out: &mut Outbox) {
    let State {
        pools,
        intent,
        quarantine,
        ..
    } = state;
    let pool = pools
        .pools
        .entry(ask.pool.clone())
        .or_insert_with(|| Pool::new(&ask.pool));
    pool.refresh(intent);
    if let Err(refusal) = admit(&pools.policies, pool, quarantine, ask, now) {
        let (id, attempt) = (ask.id.clone(), ask.attempt);
        return out.send(
            &from.into(),
            Message::Refuse {
                id,
                attempt,
                refusal,
            },
        );
    }
    pool.enqueue(ask, now);
    schedule(state, &ask.pool, now, out);
}

fn released(state: &mut State, release: &Release) {
    let Some(pool) = state.pools.pools.get_mut(&release.pool) else {
        return;
    };
    let Some(running) = pool.running.remove(&release.id) else {
        return;
    };
    pool.targets[running.target].running -= 1;
}

fn schedule(state: &mut State, key: &Key, now: Millis, out: &mut Outbox) {
    let State {
        pools, quarantine, ..
    } = state;
    let Set { pools, policies } = pools;
    let Some(pool) = pools.get_mut(key) else {
        return;
    };
    while let Some(start) = choose(policies, pool, quarantine, now) {
        let grant = pool.start(&start);
        out.send(&grant.id.vm.clone(), Message::Grant(grant));
    }
}

/// A request and the target chosen for it, as indices into the pool.
struct Choice {
    organisation: usize,
    target: usize,
}

fn admit(
    policies: &[policy::Plugin],
    pool: &Pool,
    quarantine: &Registry,
    ask: &Ask,
    now: Millis,
) -> Result<(), Refusal> {
    let view = policy::View {
        pool,
        quarantine,
        now,
    };
    for policy in policies {
        if let policy::Stage::Admit(admit) = policy.stage {
            admit(&view, ask)?;
        }
    }
    Ok(())
}

fn choose(
    policies: &[policy::Plugin],
    pool: &Pool,
    quarantine: &Registry,
    now: Millis,
) -> Option<Choice> {
    let view = policy::View {
        pool,
        quarantine,
        now,
    };
    let mut backlogged: Vec<usize> = (0..pool.organisations.len())
        .filter(|&ix| !pool.organisations[ix].queue.is_empty())
        .collect();
    backlogged.sort_by_cached_key(|&ix| order(policies, &view, ix));
    backlogged.into_iter().find_map(|organisation| {
        let ask = &pool.organisations[organisation].queue.front()?.ask;
        let target = place(policies, &view, ask)?;
        Some(Choice {
            organisation,
            target,
        })
    })
}

fn order(policies: &[policy::Plugin], view: &policy::View<'_>, organisation: usize) -> u64 {
    let Some(head) = view.pool.organisations[organisation].queue.front() else {
        return u64::MAX;
    };
    policies
        .iter()
        .find_map(|policy| match policy.stage {
            policy::Stage::Order(order) if policy.name == "fair" => {
                Some(order(view, organisation, &head.ask))
            }
            _ => None,
        })
        .unwrap_or(u64::MAX)
}

fn place(policies: &[policy::Plugin], view: &policy::View<'_>, ask: &Ask) -> Option<usize> {
    (0..view.pool.targets.len())
        .filter(|&target| {
            policies.iter().all(|policy| match policy.stage {
                policy::Stage::Filter(filter) => filter(view, ask, target),
                _ => true,
            })
        })
        .max_by_key(|&target| score(policies, view, ask, target))
}

fn score(policies: &[policy::Plugin], view: &policy::View<'_>, ask: &Ask, target: usize) -> i64 {
    policies
        .iter()
        .map(|policy| match policy.stage {
            policy::Stage::Score(score) => score(view, ask, target),
            _ => 0,
        })
        .sum()
}

impl Pool {
    fn new(key: &Key) -> Pool {
        Pool {
            key: key.clone(),
            organisations: Vec::new(),
            targets: Vec::new(),
            running: Map::default(),
        }
    }

    fn refresh(&mut self, intent: &crate::intent::Intent) {
        for (name, spec) in intent.targets() {
            if spec.service != self.key.service || spec.zone != self.key.zone {
                continue;
            }
            match self.targets.iter_mut().find(|slot| slot.name == *name) {
                Some(slot) => slot.spec = spec.clone(),
                None => {
                    let slot = Slot {
                        name: name.clone(),
                        spec: spec.clone(),
                        running: 0,
                    };
                    self.targets.push(slot);
                }
            }
        }
    }

    fn enqueue(&mut self, ask: &Ask, now: Millis) {
        let queued = Queued {
            ask: ask.clone(),
            arrived: ask.arrived(now),
        };
        let ix = self.organisation(&ask.organisation);
        self.organisations[ix].queue.push_back(queued);
    }

    fn organisation(&mut self, name: &Name) -> usize {
        let found = self
            .organisations
            .iter()
            .position(|organisation| organisation.name == *name);
        found.unwrap_or_else(|| {
            let queue = VecDeque::new();
            self.organisations.push(Organisation {
                name: name.clone(),
                weight: 1,
                served: 0,
                queue,
            });
            self.organisations.len() - 1
        })
    }

    fn start(&mut self, choice: &Choice) -> Grant {
        let organisation = &mut self.organisations[choice.organisation];
        let queued = organisation
            .queue
            .pop_front()
            .expect("a chosen organisation has a request");
        organisation.served += u64::from(queued.ask.prompt_tokens) + 1;
        let slot = &mut self.targets[choice.target];
        slot.running += 1;
        let grant = Grant {
            pool: self.key.clone(),
            id: queued.ask.id.clone(),
            attempt: queued.ask.attempt,
            target: slot.name.clone(),
            address: slot.spec.address.clone(),
            fence: Fence(0),
            priority: queued.ask.class as i32,
        };
        let running = Running {
            ask: queued.ask,
            target: choice.target,
            tokens: 0,
        };
        self.running.insert(grant.id.clone(), running);
        grant
    }
}
