//! Several kernels connected by in-memory queues, with a store whose failures are controlled by the
//! test.
//!
//! Time is logical and advances in steps. Each VM has its own clock with a different origin.

// No test file uses the whole module.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hornbeamloom_kernel::event::{Event, Vm};
use hornbeamloom_kernel::ids::{Fence, Incarnation, Millis, Name, Revision};
use hornbeamloom_kernel::kernel::{Identity, Kernel};
use hornbeamloom_kernel::map::Map;
use hornbeamloom_kernel::outcome::{Counter, Outcome, Refusal, Start};
use hornbeamloom_kernel::peer::{Delta, Message};
use hornbeamloom_kernel::pool::Key;
use hornbeamloom_kernel::reach::Path;
use hornbeamloom_kernel::reconcile::Order;
use hornbeamloom_kernel::request::Id;
use hornbeamloom_kernel::resource::{self, Kind, Record, Spec};
use hornbeamloom_kernel::store::{
    self, Answer, Call, Condition, Family, Op, Value, Write, WriteResult,
};

/// Logical time per step; every VM runs once per step.
pub const STEP_MS: u64 = 20;
/// Time until the store answers a call.
const STORE_LATENCY_MS: u64 = 40;
/// Difference between the clocks of two consecutive VMs.
const CLOCK_OFFSET_MS: u64 = 1_234;

/// How the store behaves towards one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    /// Calls have no effect and are answered as unavailable.
    Down,
    /// Writes are applied, but answered as unknown.
    WriteAnswersLost,
    /// Writes are applied, but no call is answered.
    Silent,
}

#[derive(Debug)]
pub struct Node {
    pub name: Name,
    pub kernel: Kernel,
    pub is_paused: bool,
    pub is_stopped: bool,
    pub store_mode: StoreMode,
    /// Time until the store answers a call.
    pub store_latency_ms: u64,
    pub counts: Map<String, u64>,
    pub orders: Vec<(Millis, Order)>,
    /// Attempts that it started.
    pub starts: Vec<Start>,
    /// The targets that it probed.
    pub probes: Vec<Name>,
    /// The VMs that relay its connections to targets.
    pub relays: Vec<Name>,
    /// The requests that it refused.
    pub refusals: Vec<(Id, Refusal)>,
    /// The targets whose reports it asked for.
    pub polls: Vec<Name>,
    /// Number of messages sent.
    pub sent_messages: u64,
    pub max_gossip_items: usize,
    /// Difference between this VM's clock and logical time, modulo 2^64.
    clock_offset_ms: u64,
    inbox: VecDeque<(Name, Message)>,
    answers: VecDeque<(u64, store::CallId, Answer)>,
}

#[derive(Debug, Default)]
pub struct Fleet {
    pub now: u64,
    pub nodes: Vec<Node>,
    /// Directed pairs of VMs whose messages are dropped.
    pub cut_links: BTreeSet<(Name, Name)>,
    pub table: BTreeMap<String, (store::Key, Revision, Value)>,
    /// For each pool, the highest fencing token with which it was held, and the holder.
    last_holders: Map<Key, (Fence, Name)>,
    /// When each record was last written.
    written_at: BTreeMap<String, u64>,
    /// Number of store calls so far.
    pub store_calls: u64,
    /// The VM whose messages are recorded.
    pub traced_vm: Option<Name>,
    pub trace: Vec<Message>,
    revision: u64,
    /// Revision of the last declared resources. Lease writes use the same sequence of revisions.
    declared_revision: u64,
}

/// A copy of the store's records.
#[derive(Debug)]
pub struct Backup {
    table: BTreeMap<String, (store::Key, Revision, Value)>,
    revision: u64,
}

pub fn name(text: &str) -> Name {
    text.into()
}

pub fn address(vm: &str) -> String {
    format!("peers-of-{vm}")
}

impl Fleet {
    /// VMs `a1` to `aN` of zone `riga-a` that know `a1` as a seed.
    pub fn of_zone(count: usize) -> Fleet {
        let mut fleet = Fleet::default();
        for ix in 1..=count {
            fleet.start_vm(&format!("a{ix}"), "riga-a", 1);
        }
        fleet
    }

    /// Starts a VM again, with a clock that starts at zero.
    pub fn restart_vm(&mut self, vm: &str, zone: &str, incarnation: u64) {
        self.start_vm(vm, zone, incarnation);
        self.node(vm).clock_offset_ms = 0_u64.wrapping_sub(self.now);
    }

    /// Starts a VM, replacing any VM of the same name.
    pub fn start_vm(&mut self, vm: &str, zone: &str, incarnation: u64) {
        let identity = Identity::new(vm, zone, Incarnation(incarnation))
            .with_addresses(&address(vm), "198.51.100.10:8100")
            .with_seeds(vec![name(&address("a1")), name(&address("entry-a1"))])
            .with_seed(7);
        let clock_offset_ms = CLOCK_OFFSET_MS * self.nodes.len() as u64 + 1;
        let node = Node {
            name: name(vm),
            kernel: Kernel::new(identity),
            is_paused: false,
            is_stopped: false,
            store_mode: StoreMode::Up,
            store_latency_ms: STORE_LATENCY_MS,
            counts: Map::default(),
            orders: Vec::new(),
            starts: Vec::new(),
            probes: Vec::new(),
            relays: Vec::new(),
            refusals: Vec::new(),
            polls: Vec::new(),
            sent_messages: 0,
            max_gossip_items: 0,
            clock_offset_ms,
            inbox: VecDeque::new(),
            answers: VecDeque::new(),
        };
        match self.nodes.iter_mut().find(|node| *node.name == *vm) {
            Some(old) => *old = node,
            None => self.nodes.push(node),
        }
    }

    pub fn node(&mut self, vm: &str) -> &mut Node {
        self.nodes.iter_mut().find(|node| *node.name == *vm).unwrap()
    }

    /// The current time on the VM's clock.
    pub fn clock(&self, vm: &str) -> Millis {
        let node = self.nodes.iter().find(|node| *node.name == *vm).unwrap();
        node.clock(self.now)
    }

    /// Declares resources on every VM as one revision of the store.
    pub fn declare(&mut self, specs: &[(&str, Spec)]) {
        self.revision += 1;
        let delta = delta(self.declared_revision, self.revision, specs);
        self.declared_revision = self.revision;
        for ix in 0..self.nodes.len() {
            self.event(ix, Event::Changes(&delta));
        }
    }

    /// Makes the next declaration start from an empty store, as for VMs that were all restarted.
    pub fn forget_declared(&mut self) {
        self.declared_revision = 0;
    }

    /// Cuts all links between two groups in both directions.
    pub fn partition(&mut self, left: &[&str], right: &[&str]) {
        for one in left {
            for other in right {
                self.cut_links.insert((name(one), name(other)));
                self.cut_links.insert((name(other), name(one)));
            }
        }
    }

    pub fn event(&mut self, ix: usize, event: Event<'_>) {
        if self.nodes[ix].is_stopped {
            return;
        }
        let mut out = Vec::new();
        let now = self.nodes[ix].clock(self.now);
        self.nodes[ix].kernel.handle(event, now, &mut out);
        for outcome in out {
            self.apply_outcome(ix, outcome);
        }
    }

    pub fn event_at(&mut self, vm: &str, event: Event<'_>) {
        let ix = self.nodes.iter().position(|node| *node.name == *vm).unwrap();
        self.event(ix, event);
    }

    pub fn set_vm_list(&mut self, vms: &[&str]) {
        let vms: Vec<Vm> = vms.iter().map(|vm| Vm { name: name(vm), leaving: false }).collect();
        for ix in 0..self.nodes.len() {
            self.event(ix, Event::Vms(&vms));
        }
    }

    /// Advances time by `ms`. Checks after every step that each pool has at most one holder, whose
    /// lease was written within the last 5 s.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            for ix in 0..self.nodes.len() {
                self.run_node(ix);
            }
            self.check_holders();
        }
    }

    fn run_node(&mut self, ix: usize) {
        if self.nodes[ix].is_paused || self.nodes[ix].is_stopped {
            return;
        }
        let inbox: Vec<_> = self.nodes[ix].inbox.drain(..).collect();
        for (from, message) in inbox {
            let message = &message;
            self.event(ix, Event::Peer { from: &from, message });
        }
        while self.nodes[ix].answers.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, call, answer) = self.nodes[ix].answers.pop_front().unwrap();
            let answer = &answer;
            self.event(ix, Event::StoreAnswered { call, answer });
        }
        let node = &self.nodes[ix];
        let now = node.clock(self.now);
        if node.kernel.next_wakeup().is_some_and(|at| at <= now) {
            self.event(ix, Event::Tick);
        }
    }

    fn apply_outcome(&mut self, ix: usize, outcome: Outcome) {
        match outcome {
            Outcome::Send { address: to, message, .. } => self.send(ix, &to, message),
            Outcome::Store(call) => self.call_store(ix, call),
            Outcome::Start(start) => self.nodes[ix].starts.push(start),
            Outcome::Refuse { id, refusal } => self.nodes[ix].refusals.push((id, refusal)),
            Outcome::Poll { target, .. } => self.nodes[ix].polls.push(target),
            Outcome::Probe { target, .. } => self.nodes[ix].probes.push(target),
            Outcome::SetPath(path) => {
                self.nodes[ix].relays = match &path {
                    Path::Direct => Vec::new(),
                    Path::Relayed(relays) => relays.iter().map(|relay| relay.vm.clone()).collect(),
                };
            }
            Outcome::ApplyRows(rows) => self.event(ix, Event::RowsApplied { table: rows.table }),
            Outcome::Order(order) => {
                let now = Millis(self.now);
                self.nodes[ix].orders.push((now, order));
            }
            Outcome::Count(Counter::Ignored(what) | Counter::Event(what)) => {
                *self.nodes[ix].counts.entry(what.to_owned()).or_default() += 1;
            }
            _ => {}
        }
    }

    fn send(&mut self, ix: usize, to: &str, message: Message) {
        let from = self.nodes[ix].name.clone();
        self.nodes[ix].sent_messages += 1;
        if self.traced_vm.as_ref() == Some(&from) {
            self.trace.push(message.clone());
        }
        if let Message::Gossip(gossip) = &message {
            let items = gossip.entries.len() + gossip.heartbeats.len();
            self.nodes[ix].max_gossip_items = self.nodes[ix].max_gossip_items.max(items);
        }
        let Some(node) = self.nodes.iter_mut().find(|node| address(&node.name) == to) else {
            return;
        };
        if !node.is_stopped && !self.cut_links.contains(&(from.clone(), node.name.clone())) {
            node.inbox.push_back((from, message));
        }
    }

    fn call_store(&mut self, ix: usize, call: Call) {
        self.store_calls += 1;
        let mode = self.nodes[ix].store_mode;
        let is_write = matches!(call.op, Op::Write(_));
        let answer = match mode {
            StoreMode::Down => Answer::Unavailable,
            _ => self.perform(&call.op),
        };
        let answer = match mode {
            StoreMode::Silent => return,
            StoreMode::WriteAnswersLost if is_write => Answer::Unknown,
            _ => answer,
        };
        let at = self.now + self.nodes[ix].store_latency_ms;
        self.nodes[ix].answers.push_back((at, call.id, answer));
    }

    fn perform(&mut self, op: &Op) -> Answer {
        match op {
            Op::Read(key) => Answer::Read(self.record(key)),
            Op::List(family) => {
                let records = self.table.values().filter(|(key, ..)| is_in_family(key, family));
                Answer::Listed(records.map(record).collect())
            }
            Op::Write(writes) => {
                Answer::Written(writes.iter().map(|write| self.write(write)).collect())
            }
        }
    }

    fn record(&self, key: &store::Key) -> Option<store::Record> {
        self.table.get(&format!("{key:?}")).map(record)
    }

    pub fn write(&mut self, write: &Write) -> WriteResult {
        let found = self.record(&write.key);
        let version = found.as_ref().map(|found| found.version);
        let holds = match write.condition {
            Condition::Absent => version.is_none(),
            Condition::Version(wanted) => version == Some(wanted),
            Condition::Any => true,
        };
        if !holds {
            return WriteResult::Conflict(found);
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        let row_key = format!("{:?}", write.key);
        self.written_at.insert(row_key.clone(), self.now);
        match &write.value {
            Some(value) => self.table.insert(row_key, (write.key.clone(), revision, value.clone())),
            None => self.table.remove(&row_key),
        };
        WriteResult::Applied(revision)
    }

    /// Copies all records of the store.
    pub fn back_up(&self) -> Backup {
        Backup { table: self.table.clone(), revision: self.revision }
    }

    /// Makes the store go back to a copy and issue the numbers since again.
    pub fn restore(&mut self, backup: Backup) {
        let era = Revision(self.revision).era() + 1;
        self.table = backup.table;
        self.revision = Revision::new(era, Revision(backup.revision).number()).0;
        for (_, version, _) in self.table.values_mut() {
            *version = Revision::new(era, version.number());
        }
    }

    /// Advances time until the pool's lease has just been written.
    pub fn run_to_renewal(&mut self, pool: &Key) {
        let row_key = format!("{:?}", store::Key::Lease(pool.clone()));
        self.run(STEP_MS);
        while self.written_at[&row_key] < self.now {
            self.run(STEP_MS);
        }
    }

    /// The running VMs that currently act as holder of the pool.
    pub fn holders(&self, pool: &Key) -> Vec<(Name, Fence)> {
        let running = self.nodes.iter().filter(|node| !node.is_paused && !node.is_stopped);
        running
            .filter_map(|node| {
                let now = node.clock(self.now);
                let fence = node.kernel.state().leases.fence(pool, now)?;
                Some((node.name.clone(), fence))
            })
            .collect()
    }

    pub fn holder(&self, pool: &Key) -> Option<Name> {
        self.holders(pool).first().map(|(vm, _)| vm.clone())
    }

    fn check_holders(&mut self) {
        let pools: BTreeSet<Key> = self
            .table
            .values()
            .filter_map(|(key, ..)| match key {
                store::Key::Lease(pool) => Some(pool.clone()),
                _ => None,
            })
            .collect();
        for pool in pools {
            let holders = self.holders(&pool);
            assert!(holders.len() <= 1, "two holders at {}: {holders:?}", self.now);
            let Some((vm, fence)) = holders.into_iter().next() else {
                continue;
            };
            let row_key = format!("{:?}", store::Key::Lease(pool.clone()));
            let age = self.now - self.written_at[&row_key];
            assert!(age <= 5_000, "{vm} acts as holder {age} ms after its last write");
            let known = self.last_holders.entry(pool).or_insert((fence, vm.clone()));
            assert!(fence >= known.0, "the fencing token went back at {}", self.now);
            assert!(
                fence > known.0 || vm == known.1,
                "two VMs used one fencing token at {}",
                self.now
            );
            *known = (fence, vm);
        }
    }
}

impl Node {
    /// The VM's clock at the logical time `now`.
    fn clock(&self, now: u64) -> Millis {
        Millis(now.wrapping_add(self.clock_offset_ms))
    }

    pub fn clear_inbox(&mut self) {
        self.inbox.clear();
    }

    pub fn count(&self, what: &str) -> u64 {
        self.counts.get(what).copied().unwrap_or(0)
    }
}

fn record((key, version, value): &(store::Key, Revision, Value)) -> store::Record {
    store::Record { key: key.clone(), version: *version, value: Some(value.clone()) }
}

fn is_in_family(key: &store::Key, family: &Family) -> bool {
    match (key, family) {
        (store::Key::Lease(pool), Family::Leases { zone }) => pool.zone == *zone,
        (store::Key::Quarantine(_), Family::Quarantine) => true,
        (store::Key::Slot(_), Family::Slots) => true,
        _ => false,
    }
}

pub fn pool() -> Key {
    Key::new("menu-model", "riga-a")
}

pub fn spec_key(key: &str, spec: &Spec) -> resource::Key {
    resource::Key { kind: spec.kind(), name: key.into() }
}

pub fn record_of(key: &str, version: u64, spec: Spec) -> Record {
    Record {
        key: spec_key(key, &spec),
        version: Revision(version),
        generation: 1,
        labels: Default::default(),
        spec: Some(spec),
    }
}

pub fn tombstone(kind: Kind, key: &str, version: u64) -> Record {
    Record {
        key: resource::Key { kind, name: key.into() },
        version: Revision(version),
        generation: 1,
        labels: Default::default(),
        spec: None,
    }
}

pub fn delta(from: u64, to: u64, specs: &[(&str, Spec)]) -> Delta {
    let records = specs.iter().map(|(key, spec)| record_of(key, to, spec.clone()));
    Delta {
        from: Revision(from),
        to: Revision(to),
        sequence: 0,
        complete: false,
        records: records.collect(),
    }
}

pub fn service() -> Spec {
    serde_json::from_str(r#"{"kind": "Service", "spec": {}}"#).unwrap()
}

pub fn zone() -> Spec {
    serde_json::from_str(r#"{"kind": "AvailabilityZone", "spec": {"region": "riga"}}"#).unwrap()
}

pub fn target(service: &str, zone: &str, more: &str) -> Spec {
    let text = format!(
        r#"{{"kind": "Target", "spec":
            {{"service": "{service}", "zone": "{zone}", "address": "127.0.0.1:1"{more}}}}}"#
    );
    serde_json::from_str(&text).unwrap()
}

pub fn configuration(fields: &str) -> Spec {
    serde_json::from_str(&format!(r#"{{"kind": "Configuration", "spec": {{{fields}}}}}"#)).unwrap()
}

/// A service in zone `riga-a` with one engine.
pub fn one_pool() -> Vec<(&'static str, Spec)> {
    vec![
        ("riga-a", zone()),
        ("menu-model", service()),
        ("engine-1", target("menu-model", "riga-a", "")),
    ]
}
