//! Four kernels in two zones, a store and targets, connected by one queue of pending events.

mod clock;
mod outcomes;

use std::collections::{BTreeMap, VecDeque};
use std::hash::DefaultHasher;

use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::ids::{Incarnation, Name, Revision};
use hornbeamloom_kernel::kernel::{Identity, Kernel};
use hornbeamloom_kernel::outcome::Start;
use hornbeamloom_kernel::peer::{Delta, Message};
use hornbeamloom_kernel::request::{End, Id, Idempotency, View};
use hornbeamloom_kernel::resource::{self, Spec};
use hornbeamloom_kernel::store::{Answer, CallId};
use hornbeamloom_kernel::target::{PollError, Report};

use crate::model::Target;
use crate::oracle::{Oracle, VMS};
use crate::schedule::{Step, StoreMode};
use crate::table::{BrokenGuarantees, Table};

/// Logical time per turn, in milliseconds; every VM runs once per turn.
const TURN_MS: u64 = 25;
/// Time without faults at the end of a schedule, in milliseconds. It covers the wait for a claim,
/// the queue deadlines and the retries of a request.
const SETTLE_MS: u64 = 60_000;
/// Queue deadline of the service, in milliseconds.
const QUEUE_MS: u64 = 4_000;
/// Queue bounds, small enough that schedules reach them.
const ORGANISATION_QUEUE: u32 = 12;
const POOL_QUEUE: u32 = 16;

const NAMES: [&str; VMS] = ["a1", "a2", "b1", "b2"];
const ZONES: [&str; 2] = ["riga-a", "riga-b"];
const SERVICE: &str = "menu-model";
const ORGANISATIONS: [&str; 3] = ["school", "clinic", "depot"];

/// The fault injected by a negative control.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// The limit on cold targets is switched off.
    RampDisabled,
    /// Kernels are not told that a zone is out of service.
    ZoneHidden,
    /// Kernels are not told that a target is leaving.
    LeavingHidden,
    /// Kernels are told that a broken attempt was never sent.
    ExecutionHidden,
    ClaimsForgotten,
    /// One VM receives no changes of resources.
    ChangesDropped,
    /// A replaced VM keeps its incarnation.
    SameIncarnation,
    RefusedTwice,
    StartedTwice,
    /// The ends of attempts are dropped.
    EndsDropped,
    /// Conditions of lease writes are ignored.
    ConditionsIgnored,
    LeasesForgotten,
    /// The configuration allows longer queues than the oracle.
    OversizedQueues,
}

#[derive(Debug)]
enum PendingEvent {
    Message(Name, Message),
    Answer(CallId, Answer),
    Report(usize, Result<Report, PollError>),
    Head(Option<Delta>),
    Begin(Start),
    Ended(Id, u32, End, u32),
}

#[derive(Debug)]
struct Vm {
    kernel: Kernel,
    incarnation: u64,
    counter: u64,
    is_paused: bool,
    store: StoreMode,
    clock: u64,
    deferred: VecDeque<PendingEvent>,
    /// Attempts with an open stream.
    open_streams: BTreeMap<Id, (u32, usize)>,
    next_head_read_at: u64,
    next_progress_at: u64,
    next_list_at: u64,
    /// For each target, the time since which all its reports to this VM have been cold.
    cold_reported_since: [Option<u64>; 4],
}

pub struct Harness {
    pub now: u64,
    pub oracle: Oracle,
    pub digest: DefaultHasher,
    /// Number of outcomes by kind, to verify that schedules reach the code under test.
    pub outcome_counts: BTreeMap<&'static str, u64>,
    fault: Fault,
    vms: Vec<Vm>,
    targets: Vec<Target>,
    table: Table,
    /// Events by due time and order of creation, with the VM and, if it matters, the incarnation
    /// that they are for.
    pending: BTreeMap<(u64, u64), (usize, Option<u64>, PendingEvent)>,
    sequence: u64,
    rng_state: u64,
    cut_links: [[bool; VMS]; VMS],
    network: (u8, u8),
    /// The VM that granted each attempt.
    granted_by: BTreeMap<(Id, u32), usize>,
    recent_requests: VecDeque<(usize, Id)>,
}

fn peer_address(vm: &str) -> Name {
    format!("peers-of-{vm}").into()
}

fn kernel(vm: usize, incarnation: u64) -> Kernel {
    let identity = Identity::new(NAMES[vm], ZONES[vm / 2], Incarnation(incarnation))
        .with_addresses(&peer_address(NAMES[vm]), "198.51.100.10:8100")
        .with_seeds(NAMES.iter().map(|vm| peer_address(vm)).collect())
        .with_seed(7 + vm as u64);
    Kernel::new(identity)
}

impl Harness {
    pub fn new(seed: u64, fault: Fault) -> Harness {
        let vm = |ix: usize| Vm {
            kernel: kernel(ix, 1),
            incarnation: 1,
            counter: 0,
            is_paused: false,
            store: StoreMode::Up,
            clock: 1_234 * ix as u64 + 1,
            deferred: VecDeque::new(),
            open_streams: BTreeMap::new(),
            next_head_read_at: 100 * ix as u64,
            next_progress_at: 0,
            next_list_at: 0,
            cold_reported_since: [None; 4],
        };
        let targets = vec![
            Target::new("engine-a1", ZONES[0], 1),
            Target::new("engine-a2", ZONES[0], 2),
            Target::new("engine-b1", ZONES[1], 1),
            Target::new("engine-b2", ZONES[1], 2),
        ];
        let mut harness = Harness {
            now: 0,
            oracle: Oracle::default(),
            digest: DefaultHasher::new(),
            outcome_counts: BTreeMap::new(),
            fault,
            vms: (0..VMS).map(vm).collect(),
            targets,
            table: Table::default(),
            pending: BTreeMap::new(),
            sequence: 0,
            rng_state: seed,
            cut_links: [[false; VMS]; VMS],
            network: (0, 0),
            granted_by: BTreeMap::new(),
            recent_requests: VecDeque::new(),
        };
        harness.table.broken = BrokenGuarantees {
            forgets_claims: fault == Fault::ClaimsForgotten,
            ignores_conditions: fault == Fault::ConditionsIgnored,
            forgets_leases: fault == Fault::LeasesForgotten,
        };
        harness.oracle.max_queue = match fault {
            Fault::OversizedQueues => 2,
            _ => POOL_QUEUE as usize,
        };
        harness.declare_all();
        harness
    }

    fn declare_all(&mut self) {
        let policy = resource::Policy {
            off: match self.fault {
                Fault::RampDisabled => vec!["ramp".into()],
                _ => Vec::new(),
            },
            ..resource::Policy::default()
        };
        let configuration = resource::Configuration {
            organisation_queue: ORGANISATION_QUEUE,
            pool_queue: POOL_QUEUE,
            policy,
            ..resource::Configuration::default()
        };
        let service = resource::Service {
            protocol: Default::default(),
            interactive: false,
            once_methods: Vec::new(),
            queue_ms: QUEUE_MS,
            configuration: None,
            relocatable: false,
        };
        self.declare("default", Spec::Configuration(configuration));
        self.declare(SERVICE, Spec::Service(service));
        (0..2).for_each(|zone| self.set_zone(zone, false));
        (0..4).for_each(|target| self.set_leaving(target, false));
    }

    fn declare(&mut self, name: &str, spec: Spec) -> Revision {
        let revision = self.table.put(name, spec);
        self.oracle.record_accepted(revision, self.now);
        revision
    }

    fn set_zone(&mut self, zone: usize, is_out: bool) {
        let state = match is_out && self.fault != Fault::ZoneHidden {
            true => resource::ZoneState::OutOfService,
            false => resource::ZoneState::InService,
        };
        let region = "riga".into();
        let spec = Spec::AvailabilityZone(resource::AvailabilityZone { region, state });
        let revision = self.declare(ZONES[zone], spec);
        let withdrawn = is_out.then_some((revision, self.now));
        self.oracle.set_withdrawn(ZONES[zone], withdrawn);
    }

    fn set_leaving(&mut self, ix: usize, is_leaving: bool) {
        let target = &self.targets[ix];
        let name = target.name;
        let spec = Spec::Target(resource::Target {
            service: SERVICE.into(),
            zone: target.zone.into(),
            address: format!("127.0.0.1:{}", 9_000 + ix),
            cold_limit: target.cold_limit,
            warm_limit: 6,
            cold_rate: 0,
            start_id: 0,
            kv_tokens: 100_000,
            fencing: true,
            leaving: is_leaving && self.fault != Fault::LeavingHidden,
            role: None,
            version: None,
        });
        let revision = self.declare(name, spec);
        let withdrawn = is_leaving.then_some((revision, self.now));
        self.oracle.set_withdrawn(name, withdrawn);
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 33) % below.max(1)
    }

    fn count_outcome(&mut self, what: &'static str) {
        *self.outcome_counts.entry(what).or_default() += 1;
    }

    fn schedule(&mut self, after: u64, vm: usize, incarnation: Option<u64>, what: PendingEvent) {
        self.sequence += 1;
        let place = (self.now + after, self.sequence);
        self.pending.insert(place, (vm, incarnation, what));
    }

    fn schedule_local(&mut self, after: u64, vm: usize, what: PendingEvent) {
        let incarnation = Some(self.vms[vm].incarnation);
        self.schedule(after, vm, incarnation, what);
    }
}

/// Execution of schedule steps.
impl Harness {
    pub fn step(&mut self, step: Step) {
        match step {
            Step::Wait(ms) => self.advance(u64::from(ms)),
            Step::Arrive(vm, body) => self.arrive(vm.into(), body, None),
            Step::ArriveOnce(vm, key) => self.arrive(vm.into(), key, Some(key)),
            Step::Cancel(nth) => self.cancel(nth.into()),
            Step::Pause(vm) => self.vms[usize::from(vm)].is_paused = true,
            Step::Resume(vm) => self.resume(vm.into()),
            Step::Restart(vm) => self.restart(vm.into()),
            Step::Zone(zone, is_out) => self.set_zone(zone.into(), is_out),
            Step::Leaving(target, is_leaving) => self.set_leaving(target.into(), is_leaving),
            Step::Weight(weight) => {
                let organisation = resource::Organisation {
                    weight: u32::from(weight) + 1,
                    keys: Vec::new(),
                    services: Vec::new(),
                    priority: None,
                };
                self.declare("school", Spec::Organisation(organisation));
            }
            Step::Cut(from, to, is_cut) => {
                self.cut_links[usize::from(from)][usize::from(to)] = is_cut
            }
            Step::PartitionZones => {
                for (from, to) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
                    self.cut_links[from][to] = true;
                    self.cut_links[to][from] = true;
                }
            }
            Step::Heal => self.cut_links = [[false; VMS]; VMS],
            Step::SetStoreMode(vm, store) => self.vms[usize::from(vm)].store = store,
            Step::StoreUp => self.vms.iter_mut().for_each(|vm| vm.store = StoreMode::Up),
            Step::Network(duplicated, delay) => self.network = (duplicated, delay),
            Step::Crash(target) => self.crash(target.into()),
            Step::TurnCold(target) => self.targets[usize::from(target)].turn_cold(self.now),
            Step::TurnWarm(target) => self.targets[usize::from(target)].cold_since = None,
            Step::Stall(target, is_on) => self.targets[usize::from(target)].is_stalled = is_on,
            Step::Lag(target, lag) => self.targets[usize::from(target)].lag = 10 * u64::from(lag),
            Step::BreakConnections(target) => self.break_runs(target.into(), End::Broken),
            Step::Full(target, is_on) => self.targets[usize::from(target)].is_full = is_on,
        }
        self.advance(TURN_MS);
    }

    /// Repairs all faults, lets every request complete, and checks that it did.
    pub fn settle(&mut self) {
        let vms = 0..VMS as u8;
        let targets = 0..4u8;
        [Step::Heal, Step::StoreUp, Step::Network(0, 0)]
            .into_iter()
            .chain(vms.map(Step::Resume))
            .chain((0..2).map(|zone| Step::Zone(zone, false)))
            .chain(targets.clone().map(|target| Step::Leaving(target, false)))
            .chain(targets.clone().map(|target| Step::Stall(target, false)))
            .chain(targets.clone().map(|target| Step::Full(target, false)))
            .chain(targets.map(Step::TurnWarm))
            .for_each(|step| self.step(step));
        self.advance(SETTLE_MS);
        self.oracle.finish(self.now);
    }

    fn arrive(&mut self, vm: usize, body: u8, key: Option<u8>) {
        let node = &mut self.vms[vm];
        if node.is_paused {
            return;
        }
        node.counter += 1;
        let id = Id::new(NAMES[vm], Incarnation(node.incarnation), node.counter);
        self.oracle.arrived(&id, vm, key);
        self.recent_requests.push_front((vm, id.clone()));
        self.recent_requests.truncate(8);
        let text = format!("key-{body}");
        let repeat = match key {
            Some(_) => Idempotency::Keyed { key: &text },
            None => Idempotency::Idempotent,
        };
        // Only a few bodies are repeated; all others are made unique by the sequence number.
        let fingerprint = match (key, body < 16) {
            (Some(key), _) => 1_000 + u64::from(key),
            (None, true) => u64::from(body),
            (None, false) => 1_000_000 + self.sequence,
        };
        let organisation = ORGANISATIONS[usize::from(body) % 3];
        self.handle_event(
            vm,
            Event::RequestArrived(View {
                id: &id,
                organisation,
                service: SERVICE,
                prompt_tokens: 10,
                max_tokens: Some(100),
                fingerprint,
                prefixes: &[],
                parts: &[],
                idempotency: repeat,
                options: Default::default(),
            }),
        );
    }

    fn cancel(&mut self, nth: usize) {
        let Some((vm, id)) = self.recent_requests.get(nth).cloned() else {
            return;
        };
        let node = &self.vms[vm];
        let is_here = id.incarnation.0 == node.incarnation && !node.is_paused;
        if !is_here || !self.oracle.is_open(&id) {
            return;
        }
        self.close_stream(vm, &id);
        self.oracle.completed(&id, self.now);
        self.handle_event(vm, Event::CallerDisconnected { id: &id });
    }

    fn resume(&mut self, vm: usize) {
        self.vms[vm].is_paused = false;
        while let Some(pending) = self.vms[vm].deferred.pop_front() {
            self.deliver(vm, pending);
        }
    }

    fn restart(&mut self, vm: usize) {
        let open: Vec<Id> = self.vms[vm].open_streams.keys().cloned().collect();
        for id in &open {
            self.close_stream(vm, id);
        }
        self.oracle.vm_replaced(vm);
        self.table.vm_replaced(NAMES[vm]);
        let (now, fault) = (self.now, self.fault);
        let node = &mut self.vms[vm];
        node.incarnation += 1;
        node.kernel = kernel(vm, node.incarnation);
        node.counter = 0;
        node.is_paused = false;
        node.deferred.clear();
        node.cold_reported_since = [None; 4];
        node.next_head_read_at = now;
        self.oracle.stable_since.up[vm] = now;
        if fault != Fault::SameIncarnation {
            self.oracle.reset_revision(vm, Incarnation(node.incarnation));
        }
    }

    fn crash(&mut self, target: usize) {
        let now = self.now;
        self.break_runs(target, End::Died);
        self.targets[target].crash(now);
    }

    fn break_runs(&mut self, target: usize, end: End) {
        let runs = std::mem::take(&mut self.targets[target].runs);
        for ((id, attempt), run) in runs {
            let tokens = match run.begun {
                true => self.random_below(2) as u32,
                false => 0,
            };
            let end = if run.begun { end } else { End::Unsent };
            self.end_attempt(&id, attempt, end, tokens);
        }
    }

    fn end_attempt(&mut self, id: &Id, attempt: u32, end: End, tokens: u32) {
        let vm = NAMES.iter().position(|name| **name == *id.vm);
        let Some(vm) = vm.filter(|vm| self.vms[*vm].incarnation == id.incarnation.0) else {
            return;
        };
        if self.fault == Fault::EndsDropped {
            return;
        }
        let end = match (self.fault, end) {
            (Fault::ExecutionHidden, End::Broken | End::Died) => End::Unsent,
            _ => end,
        };
        self.schedule_local(5, vm, PendingEvent::Ended(id.clone(), attempt, end, tokens));
    }

    /// Closes the stream of a request, which makes the target stop the run.
    fn close_stream(&mut self, vm: usize, id: &Id) {
        if let Some((attempt, target)) = self.vms[vm].open_streams.remove(id) {
            self.targets[target].runs.remove(&(id.clone(), attempt));
        }
    }
}
