//! A kernel that schedules pools, with simulated store, targets and entry VM.

use std::collections::{BTreeMap, BTreeSet};

use hornbeamloom_kernel::event::{Event, Vm};
use hornbeamloom_kernel::ids::{Fence, Incarnation, Millis, Name, Revision};
use hornbeamloom_kernel::kernel::{Identity, Kernel};
use hornbeamloom_kernel::outcome::{Counter, Outcome, Reason};
use hornbeamloom_kernel::peer::{
    Ask, Delta, Gossip, MemberEntry, MemberStatus, Message, Progress, Release, Running,
};
use hornbeamloom_kernel::pool::{Key, Pool};
use hornbeamloom_kernel::request::{Class, End, Id};
use hornbeamloom_kernel::resource::{self, Configuration, Kind, Record, Spec, Target};
use hornbeamloom_kernel::store::{self, Answer, Condition, Op, WriteResult};
use hornbeamloom_kernel::target::{Phase, PollError, Report};

pub const OWNER: &str = "entry-1";
pub const ENTRY: &str = "entry-2";
pub const ZONE: &str = "lodz-a";
pub const SERVICE: &str = "pisarz-modelu";

pub fn key() -> Key {
    Key::new(SERVICE, ZONE)
}

/// Returns a target of the pool with these limits and KV tokens.
pub fn target(cold_limit: u32, warm_limit: u32, kv_tokens: u64) -> Target {
    Target {
        service: SERVICE.into(),
        zone: ZONE.into(),
        address: "127.0.0.1:9000".into(),
        cold_limit,
        warm_limit,
        cold_rate: 0,
        start_id: 0,
        kv_tokens,
        fencing: true,
        leaving: false,
        role: None,
        version: None,
    }
}

pub fn config(order: &str, score: &[&str], off: &[&str]) -> Configuration {
    let names = |names: &[&str]| names.iter().map(|name| Name::from(*name)).collect();
    Configuration {
        policy: resource::Policy {
            order: order.into(),
            score: names(score),
            off: names(off),
            ..resource::Policy::default()
        },
        ..Configuration::default()
    }
}

/// What a simulated target reports.
#[derive(Debug, Clone)]
pub struct Engine {
    pub phase: Phase,
    pub start_id: u64,
    /// Number of requests reported beyond those in flight.
    pub untracked: u32,
    /// Number of requests reported instead of those in flight.
    pub running: Option<u32>,
    pub kv_used: u64,
    pub silence: Option<PollError>,
}

pub struct Harness {
    pub kernel: Kernel,
    pub now: Millis,
    pub engines: BTreeMap<Name, Engine>,
    pub store_up: bool,
    pub counted: Vec<Counter>,
    pub polled: Vec<Name>,
    pub sent: Vec<(Name, Message)>,
    /// Whether the entry VM repeats asks and reports progress.
    pub entry_up: bool,
    pub tokens: BTreeMap<Id, u32>,
    /// Requests that progress leaves out although they were not released.
    pub unreported: BTreeSet<Id>,
    asks: BTreeMap<Id, Ask>,
    resources: BTreeMap<Kind, BTreeMap<Name, Spec>>,
    store_records: Vec<store::Record>,
    revision: u64,
    counter: u64,
    next_entry_round: Millis,
    pub config: Configuration,
}

impl Harness {
    /// Returns a kernel without store and lease, whose targets all report `phase`.
    pub fn idle(targets: &[(&str, Target)], phase: Phase, config: Configuration) -> Harness {
        let identity = Identity::new(OWNER, ZONE, Incarnation(5)).with_addresses("p", "c");
        let mut harness = Harness {
            kernel: Kernel::new(identity),
            now: Millis(1_000),
            engines: BTreeMap::new(),
            store_up: false,
            counted: Vec::new(),
            polled: Vec::new(),
            sent: Vec::new(),
            entry_up: true,
            tokens: BTreeMap::new(),
            unreported: BTreeSet::new(),
            asks: BTreeMap::new(),
            resources: BTreeMap::new(),
            store_records: Vec::new(),
            revision: 0,
            counter: 0,
            next_entry_round: Millis(1_000),
            config,
        };
        let zone = resource::AvailabilityZone {
            region: "pl-centrum".into(),
            state: resource::ZoneState::InService,
        };
        harness.declare(ZONE, Spec::AvailabilityZone(zone));
        harness.declare("default", Spec::Configuration(harness.config.clone()));
        harness.declare(SERVICE, Spec::Service(service()));
        for (name, spec) in targets {
            harness.add_engine(name, phase);
            harness.declare(name, Spec::Target(spec.clone()));
        }
        harness.apply_resources();
        harness
    }

    /// Returns a holder of the pool that has all inventories; its targets report `phase`.
    pub fn holder(targets: &[(&str, Target)], phase: Phase, config: Configuration) -> Harness {
        let mut harness = Harness::idle(targets, phase, config);
        harness.list_vms(&[OWNER]);
        harness.become_holder();
        harness
    }

    /// Returns a holder whose predecessor had announced all targets as warm.
    pub fn warm(targets: &[(&str, Target)], config: Configuration) -> Harness {
        let mut harness = Harness::idle(targets, Phase::Warm, config);
        harness.list_vms(&[OWNER]);
        let names: Vec<&str> = targets.iter().map(|(name, _)| *name).collect();
        harness.announce_warm(&names);
        harness.become_holder();
        harness
    }

    /// Announces, as the holder of the pool, that exactly these targets are warm.
    pub fn announce_warm(&mut self, warm: &[&str]) {
        let warm = warm.iter().map(|name| Name::from(*name)).collect();
        let (pool, cold) = (key(), Vec::new());
        self.receive("entry-0", Message::Targets { pool, warm, cold, usage: Vec::new() });
    }

    /// Announces another VM of the zone to the kernel, so that messages can be sent to it.
    pub fn add_vm(&mut self, vm: &str, incarnation: u64) {
        self.send_gossip(vm, incarnation, Vec::new());
    }

    /// Sends gossip of another VM of the zone, with the pools that it holds.
    pub fn send_gossip(&mut self, vm: &str, incarnation: u64, pools: Vec<(Key, Fence)>) {
        let entry = MemberEntry {
            vm: vm.into(),
            zone: ZONE.into(),
            peer_address: format!("{vm}:1").into(),
            caller_address: format!("{vm}:2").into(),
            incarnation: Incarnation(incarnation),
            heartbeat: self.now.0,
            revision: Revision(self.revision),
            status: MemberStatus::Serving,
            pools,
        };
        let (entries, heartbeats) = (vec![entry], Vec::new());
        self.receive(vm, Message::Gossip(Gossip { entries, heartbeats }));
    }

    /// Returns the messages sent to a VM that `is_wanted` selects.
    pub fn sent_to(&self, vm: &str, is_wanted: fn(&Message) -> bool) -> Vec<Message> {
        let sent = self.sent.iter().filter(|(to, _)| **to == *vm);
        let messages = sent.map(|(_, message)| message.clone());
        messages.filter(is_wanted).collect()
    }

    /// Waits for the lease and sends the inventory of the kernel's own VM.
    pub fn become_holder(&mut self) {
        self.store_up = true;
        for _ in 0..200 {
            self.advance(100);
            if self.held().is_some() {
                break;
            }
        }
        self.send_inventory(OWNER, Vec::new());
    }

    pub fn held(&self) -> Option<Fence> {
        self.kernel.state().pools.get(&key()).and_then(|pool| pool.held_fence)
    }

    pub fn send_inventory(&mut self, from: &str, running: Vec<Running>) {
        let fence = self.held().expect("the pool is held");
        let pool = key();
        self.receive(from, Message::Inventory { pool, fence, running });
    }

    fn add_engine(&mut self, name: &str, phase: Phase) {
        let engine =
            Engine { phase, start_id: 1, untracked: 0, running: None, kv_used: 0, silence: None };
        self.engines.insert(name.into(), engine);
    }

    pub fn declare(&mut self, name: &str, spec: Spec) {
        let records = self.resources.entry(spec.kind()).or_default();
        records.insert(name.into(), spec);
    }

    pub fn set_target(&mut self, name: &str, spec: Target) {
        self.declare(name, Spec::Target(spec));
        self.apply_resources();
    }

    pub fn set_zone(&mut self, state: resource::ZoneState) {
        let region = "pl-centrum".into();
        let zone = resource::AvailabilityZone { region, state };
        self.declare(ZONE, Spec::AvailabilityZone(zone));
        self.apply_resources();
    }

    pub fn set_weight(&mut self, name: &str, weight: u32) {
        let organisation = resource::Organisation {
            weight,
            keys: Vec::new(),
            services: Vec::new(),
            priority: None,
        };
        self.declare(name, Spec::Organisation(organisation));
        self.apply_resources();
    }

    /// Applies the declared resources under a new revision.
    pub fn apply_resources(&mut self) {
        let from = Revision(self.revision);
        self.revision += 1;
        let to = Revision(self.revision);
        let records = self.resources.iter().flat_map(|(kind, specs)| {
            specs.iter().map(move |(name, spec)| Record {
                key: resource::Key { kind: *kind, name: name.clone() },
                version: to,
                generation: to.0,
                labels: BTreeMap::new(),
                spec: Some(spec.clone()),
            })
        });
        let delta = Delta { from, to, sequence: 0, complete: true, records: records.collect() };
        self.handle(Event::Changes(&delta));
    }

    pub fn list_vms(&mut self, names: &[&str]) {
        let vms: Vec<Vm> =
            names.iter().map(|name| Vm { name: (*name).into(), leaving: false }).collect();
        self.handle(Event::Vms(&vms));
    }

    pub fn receive(&mut self, from: &str, message: Message) {
        let message = &message;
        self.handle(Event::Peer { from, message });
    }

    pub fn handle(&mut self, event: Event<'_>) {
        let mut out = Vec::new();
        self.kernel.handle(event, self.now, &mut out);
        for outcome in out {
            self.apply_outcome(outcome);
        }
    }

    fn apply_outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Count(counter) => self.counted.push(counter),
            Outcome::Send { to, message, .. } => self.sent.push((to, message)),
            Outcome::Store(call) => {
                let answer = match self.store_up {
                    true => self.answer(&call.op),
                    false => Answer::Unavailable,
                };
                let (call, answer) = (call.id, &answer);
                self.handle(Event::StoreAnswered { call, answer });
            }
            Outcome::Poll { target, .. } => {
                self.report(&target);
                self.polled.push(target);
            }
            _ => {}
        }
    }

    fn answer(&mut self, op: &Op) -> Answer {
        match op {
            Op::Read(key) => {
                Answer::Read(self.store_records.iter().find(|row| row.key == *key).cloned())
            }
            Op::List(_) => Answer::Listed(self.store_records.clone()),
            Op::Write(writes) => {
                Answer::Written(writes.iter().map(|write| self.write(write)).collect())
            }
        }
    }

    fn write(&mut self, write: &store::Write) -> WriteResult {
        let found = self.store_records.iter().position(|row| row.key == write.key);
        let version = found.map(|ix| self.store_records[ix].version);
        let applies = match write.condition {
            Condition::Absent => version.is_none(),
            Condition::Version(wanted) => version == Some(wanted),
            Condition::Any => true,
        };
        if !applies {
            return WriteResult::Conflict(found.map(|ix| self.store_records[ix].clone()));
        }
        if let Some(ix) = found {
            self.store_records.remove(ix);
        }
        let version = Revision(1_000_000 + self.now.0 * 100 + self.store_records.len() as u64);
        if let Some(value) = &write.value {
            self.store_records.push(store::Record {
                key: write.key.clone(),
                version,
                value: Some(value.clone()),
            });
        }
        WriteResult::Applied(version)
    }

    /// Stores a lease of the pool that another VM took and released under this token.
    pub fn release_elsewhere(&mut self, fence: u64) {
        let version = Revision(9_000_000 + self.now.0);
        let lease = store::Lease {
            vm: "entry-0".into(),
            incarnation: Incarnation(1),
            fence: Fence(fence),
            renewal: 1,
            released: true,
        };
        let key = store::Key::Lease(key());
        self.store_records.retain(|row| row.key != key);
        let value = Some(store::Value::Lease(lease));
        self.store_records.push(store::Record { key, version, value });
    }

    /// Answers a poll of a target.
    pub fn report(&mut self, name: &str) {
        let Some(engine) = self.engines.get(name).cloned() else {
            return;
        };
        let running =
            engine.running.unwrap_or_else(|| engine.untracked + self.running_on(name).len() as u32);
        let report = Report {
            start_id: engine.start_id,
            phase: engine.phase,
            running,
            kv_used: engine.kv_used,
            ..Report::default()
        };
        let report = match engine.silence {
            Some(silence) => Err(silence),
            None => Ok(&report),
        };
        let target = name;
        self.handle(Event::Report { target, report });
    }

    /// Advances the time, with wake-ups of the kernel and rounds of the entry VM.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now.after(ms);
        while self.now < end {
            let wakeup = self.kernel.next_wakeup().unwrap_or(end);
            let next = wakeup.min(self.next_entry_round).min(end);
            self.now = next.max(self.now.after(1));
            if wakeup <= self.now {
                self.handle(Event::Tick);
            }
            if self.next_entry_round <= self.now {
                self.next_entry_round = self.now.after(500);
                self.run_entry_vm();
            }
        }
    }

    fn run_entry_vm(&mut self) {
        if !self.entry_up {
            return;
        }
        let granted: BTreeSet<Id> = self.running().into_iter().map(|(id, _)| id).collect();
        let entries: Vec<Progress> = granted
            .iter()
            .filter(|id| *id.vm == *ENTRY && !self.unreported.contains(id))
            .map(|id| Progress {
                incarnation: id.incarnation,
                counter: id.counter,
                tokens: self.tokens.get(id).copied().unwrap_or(0),
            })
            .collect();
        let pool = key();
        self.receive(ENTRY, Message::Progress { pool, entries, usage: vec![], pace: vec![] });
        self.asks.retain(|id, _| !granted.contains(id));
        let asks: Vec<Ask> = self.asks.values().cloned().collect();
        for ask in asks {
            self.receive(ENTRY, Message::Ask(ask));
        }
    }

    /// Returns an ask for a new request of `organisation` and does not send it.
    pub fn new_ask(&mut self, organisation: &str) -> Ask {
        self.counter += 1;
        Ask {
            pool: key(),
            id: Id::new(ENTRY, Incarnation(9), self.counter),
            attempt: 1,
            organisation: organisation.into(),
            prompt_tokens: 10,
            max_tokens: Some(200),
            class: Class::Long,
            fingerprint: self.counter,
            prefixes: Vec::new(),
            parts: Vec::new(),
            waited_ms: 0,
            max_wait_ms: 30_000,
            exclude: Vec::new(),
            priority: None,
            spills: false,
            standby_target: None,
            generated_tokens: 0,
            is_recomputed: false,
            slack: None,
        }
    }

    /// Sends an ask; the entry VM repeats it until there is a grant.
    pub fn send(&mut self, ask: &Ask) -> Id {
        self.asks.insert(ask.id.clone(), ask.clone());
        self.receive(ENTRY, Message::Ask(ask.clone()));
        ask.id.clone()
    }

    pub fn ask(&mut self, organisation: &str) -> Id {
        let ask = self.new_ask(organisation);
        self.send(&ask)
    }

    /// Sends asks for `n` requests of one organisation.
    pub fn ask_many(&mut self, organisation: &str, n: usize) -> Vec<Id> {
        (0..n).map(|_| self.ask(organisation)).collect()
    }

    pub fn stop_asking(&mut self) {
        self.asks.clear();
    }

    pub fn pool(&self) -> &Pool {
        let pool = self.kernel.state().pools.get(&key());
        pool.expect("the pool is scheduled here")
    }

    /// Returns every request in flight with its target.
    pub fn running(&self) -> Vec<(Id, Name)> {
        let Some(pool) = self.kernel.state().pools.get(&key()) else {
            return Vec::new();
        };
        let running = pool.in_flight.iter();
        running
            .map(|(id, running)| (id.clone(), pool.targets[running.target_ix].name.clone()))
            .collect()
    }

    pub fn running_on(&self, name: &str) -> Vec<Id> {
        let running = self.running().into_iter();
        let here = running.filter(|(_, target)| **target == *name);
        here.map(|(id, _)| id).collect()
    }

    pub fn granted(&self, id: &Id) -> Option<Name> {
        let mut running = self.running().into_iter();
        running.find(|(other, _)| other == id).map(|(_, target)| target)
    }

    pub fn is_waiting(&self, id: &Id) -> bool {
        let pool = self.kernel.state().pools.get(&key());
        pool.is_some_and(|pool| pool.queue.find(id).is_some())
    }

    pub fn end_attempt(&mut self, id: &Id, end: End, tokens: u32, first_token_ms: Option<u32>) {
        let Some(target) = self.granted(id) else {
            panic!("{id} does not run");
        };
        let release = Release {
            pool: key(),
            id: id.clone(),
            attempt: 1,
            target,
            end,
            tokens,
            first_token_ms,
        };
        self.asks.remove(id);
        self.receive(ENTRY, Message::Release(release));
    }

    pub fn finish(&mut self, id: &Id) {
        self.end_attempt(id, End::Complete, 50, Some(100));
    }

    /// Completes all requests in flight; returns their number.
    pub fn finish_all(&mut self) -> usize {
        let running = self.running();
        running.iter().for_each(|(id, _)| self.finish(id));
        running.len()
    }

    /// Returns the reason of the first refusal in the log of a request.
    pub fn refusal(&self, id: &Id) -> Option<Reason> {
        let reasons = [
            Reason::Busy,
            Reason::OrganisationQueue,
            Reason::PoolQueue,
            Reason::QueueDeadline,
            Reason::RateLimited,
            Reason::NoTarget,
            Reason::TooLarge,
        ];
        let log = &self.kernel.state().decisions;
        let text = log
            .steps(id)
            .find(|step| step.text.starts_with("refused: "))
            .map(|step| step.text.clone())?;
        reasons.into_iter().find(|reason| text.ends_with(reason.as_str()))
    }

    pub fn count(&self, label: &str) -> usize {
        let counted = self.counted.iter();
        counted
            .filter(|counter| match counter {
                Counter::Event(event) | Counter::Ignored(event) => *event == label,
                _ => false,
            })
            .count()
    }
}

fn service() -> resource::Service {
    resource::Service {
        protocol: resource::Protocol::Model,
        interactive: false,
        once_methods: Vec::new(),
        queue_ms: 30_000,
        configuration: None,
        relocatable: false,
    }
}
