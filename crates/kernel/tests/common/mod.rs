//! Runs scripts against one kernel, the entry VM `e1` in zone `a1`, and records a trace of its
//! outcomes, one line each.
//!
//! The peers `e2` (zone `a1`), `e3` (zone `a2`, same region) and `e4` (zone `b1`, another region)
//! own the pools of their zones. In the trace, messages to peers come after the other outcomes of
//! the same event. An in-memory table answers store calls about claims and quarantine records;
//! other calls stay unanswered.
//!
//! Tags such as (I3) in the tests refer to the invariants in `docs/design.md`.

#![allow(dead_code)]

mod table;

use std::collections::HashMap;

use hornbeamloom_kernel::event::{Event, TokenCount, Vm};
use hornbeamloom_kernel::ids::{Fence, Incarnation, Millis, Revision};
use hornbeamloom_kernel::kernel::{Identity, Kernel};
use hornbeamloom_kernel::outcome::{Counter, Outcome, Reason, Refusal};
use hornbeamloom_kernel::peer::{
    Delta, Gossip, Grant, MemberEntry, MemberStatus, Message, Suspect,
};
use hornbeamloom_kernel::pool;
use hornbeamloom_kernel::request::{End, Id, Idempotency, RouteOptions, View};
use hornbeamloom_kernel::resource::{self, Configuration, Kind, Record, Spec};
use hornbeamloom_kernel::store::{Call, Key, StoredResponse, Value, Write};

/// Time between two ticks during `Step::Wait`, in milliseconds.
const TICK_MS: u64 = 50;

/// How the table answers calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    Down,
    /// The next write is applied, but its answer is lost.
    LoseAnswer,
    /// The next write is not applied, and its answer is lost.
    LoseWrite,
    /// Calls are not answered.
    Silent,
}

/// One step of a script.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// Request `n` arrives.
    Arrive(u64),
    /// Request `n` of a route arrives; its generation can be relocated.
    ArriveRouted(u64),
    /// A request arrives by a route, with its longest time to the complete response in
    /// milliseconds.
    ArriveTimed(u64, u64),
    /// Request `n` of a route arrives; it may leave its zone for one with a lower usage.
    ArriveBalanced(u64),
    /// Sets the usage reported in grants, in thousandths.
    Usage(u32),
    /// `from` grants a target for the next placement of request `n`.
    GrantPlacement(u64, &'static str, &'static str),
    /// `from` refuses the next placement of request `n`.
    RefusePlacement(u64, &'static str, Reason),
    /// The next placement of request `n` ends.
    EndPlacement(u64, End),
    /// The generation has moved to its next placement, after so many tokens.
    Move(u64, u32),
    /// The generation was interrupted.
    Lose(u64),
    /// Request `n` arrives with an idempotency key and a body.
    ArriveKeyed(u64, &'static str, u64),
    /// Request `n` arrives with a body.
    ArriveBody(u64, u64),
    /// `from` grants a target for the last attempt that was asked for.
    Grant(u64, &'static str, &'static str),
    /// `from` grants a target for the given attempt.
    GrantAttempt(u64, u32, &'static str, &'static str),
    /// `from` refuses the last attempt that was asked for.
    Refuse(u64, &'static str, Reason),
    StartSend(u64),
    Progress(u64, u32),
    /// The running attempt ends after the given number of tokens.
    End(u64, End, u32),
    /// The running attempt completes with an answer to store.
    Answer(u64),
    Disconnect(u64),
    /// Time passes in ticks, with gossip; VMs that have not stopped answering acknowledge asks.
    Wait(u64),
    /// The process is paused: time passes without ticks.
    Pause(u64),
    /// The VM stops acknowledging asks.
    StopAnswering(&'static str),
    /// The VM takes over the pool of a zone with a higher fencing token.
    TakeOver(&'static str, &'static str),
    Hello(&'static str, &'static str),
    ZoneOut(&'static str),
    TargetLeaving(&'static str),
    /// A peer reports that a target is leaving.
    Departing(&'static str, &'static str),
    /// A peer reports a target's death and the bodies that ran there.
    Death(&'static str, u64, &'static [u64]),
    LiftQuarantine(u64),
    SetStore(StoreMode),
    /// Applies a write whose answer was lost, late.
    ApplyLostWrite,
    /// Adds a claim of another process for a body to the table.
    AddClaim(&'static str, &'static str, u64, u64),
    /// The other process writes the outcome of its call.
    CompleteClaim(&'static str),
    /// The platform lists these VMs.
    ListVms(&'static [&'static str]),
    /// Records the state of the claim with this key.
    ShowClaim(&'static str),
    /// Records whether a body is quarantined or a suspect.
    ShowBody(u64),
    /// Graceful shutdown starts.
    Leave,
    /// Graceful shutdown starts; every request needs its response within this time.
    LeaveWithin(u64),
    /// Callers have had time to notice the shutdown.
    Drain,
}

pub struct Harness {
    pub kernel: Kernel,
    pub now: u64,
    pub trace: Vec<String>,
    pub table: HashMap<Key, (u64, Value)>,
    pub outcomes: Vec<Outcome>,
    /// Limit on the output tokens of requests that arrive.
    pub max_tokens: u32,
    /// Hashes of the shared parts of the prompts of requests that arrive.
    pub parts: Vec<u64>,
    /// Usage reported in every grant, in thousandths.
    pub usage: u32,
    store_mode: StoreMode,
    unanswered_calls: Vec<Call>,
    lost_writes: Vec<Write>,
    revision: u64,
    heartbeat: u64,
    attempts: HashMap<u64, u32>,
    asked: Vec<(String, u64, u32)>,
    silent_vms: Vec<&'static str>,
    owners: HashMap<&'static str, (&'static str, u64)>,
    resources: Vec<Record>,
}

pub fn id(n: u64) -> Id {
    Id::new("e1", Incarnation(1), n)
}

/// The number of a request, followed by the number of its placement unless it is the first.
fn label(id: &Id) -> String {
    let first = id.first_placement().counter;
    let mut placement = id.first_placement();
    let mut number = 0;
    while placement != *id {
        placement = placement.next_placement();
        number += 1;
    }
    match number {
        0 => first.to_string(),
        number => format!("{first}/{number}"),
    }
}

pub fn stored() -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: Some(b"done".to_vec()),
    }
}

pub fn suspects(bodies: &[u64]) -> Vec<Suspect> {
    let suspect = |body: &u64| Suspect {
        fingerprint: *body,
        organisation: "school".into(),
        service: "menu".into(),
        parts: Vec::new(),
        granted_ago_ms: 0,
    };
    bodies.iter().map(suspect).collect()
}

fn record(kind: Kind, name: &str, spec: Spec) -> Record {
    Record {
        key: resource::Key { kind, name: name.into() },
        version: Revision(1),
        generation: 1,
        labels: Default::default(),
        spec: Some(spec),
    }
}

fn resources() -> Vec<Record> {
    let service = resource::Service {
        protocol: Default::default(),
        interactive: false,
        once_methods: Vec::new(),
        queue_ms: 20_000,
        configuration: None,
        relocatable: false,
    };
    let school = resource::Organisation {
        weight: 1,
        keys: Vec::new(),
        services: Vec::new(),
        priority: None,
    };
    let mut records = vec![
        record(Kind::Service, "menu", Spec::Service(service)),
        record(Kind::Organisation, "school", Spec::Organisation(school)),
    ];
    for (zone, region) in [("a1", "a"), ("a2", "a"), ("b1", "b")] {
        let spec = resource::AvailabilityZone {
            region: region.into(),
            state: resource::ZoneState::InService,
        };
        let spec = Spec::AvailabilityZone(spec);
        records.push(record(Kind::AvailabilityZone, zone, spec));
    }
    for (name, zone) in [("t1", "a1"), ("t2", "a1"), ("t3", "a2"), ("t4", "b1")] {
        let spec = resource::Target {
            service: "menu".into(),
            zone: zone.into(),
            address: "127.0.0.1:9".to_owned(),
            cold_limit: 1,
            warm_limit: 8,
            cold_rate: 0,
            start_id: 0,
            kv_tokens: 100_000,
            fencing: true,
            leaving: false,
            role: None,
            version: None,
        };
        records.push(record(Kind::Target, name, Spec::Target(spec)));
    }
    records
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with_resources(|_| {})
    }

    /// A harness whose services use `config`.
    pub fn with_configuration(config: Configuration) -> Harness {
        Harness::with_resources(|records| {
            let mut record = records[0].clone();
            record.key = resource::Key { kind: Kind::Configuration, name: "default".into() };
            record.spec = Some(Spec::Configuration(config));
            records.push(record);
        })
    }

    pub fn with_resources(change: impl FnOnce(&mut Vec<Record>)) -> Harness {
        let identity = Identity::new("e1", "a1", Incarnation(1))
            .with_addresses("127.0.0.1:1", "127.0.0.1:2")
            .with_seed(7);
        let mut records = resources();
        change(&mut records);
        let mut harness = Harness {
            kernel: Kernel::new(identity),
            now: 1_000,
            trace: Vec::new(),
            table: HashMap::new(),
            outcomes: Vec::new(),
            max_tokens: 100,
            parts: Vec::new(),
            usage: 1_000,
            store_mode: StoreMode::Up,
            unanswered_calls: Vec::new(),
            lost_writes: Vec::new(),
            revision: 1,
            heartbeat: 0,
            attempts: HashMap::new(),
            asked: Vec::new(),
            silent_vms: Vec::new(),
            owners: HashMap::from([("a1", ("e2", 5)), ("a2", ("e3", 5)), ("b1", ("e4", 5))]),
            resources: records,
        };
        harness.publish();
        harness.gossip();
        harness
    }

    pub fn run(&mut self, steps: &[Step]) -> &[String] {
        for step in steps {
            self.apply(*step);
        }
        &self.trace
    }

    pub fn handle(&mut self, event: Event<'_>) {
        let mut out = Vec::new();
        self.kernel.handle(event, Millis(self.now), &mut out);
        for outcome in out {
            self.trace_outcome(&outcome);
            self.outcomes.push(outcome.clone());
            if let Outcome::Store(call) = &outcome {
                let answer = self.answer_call(call);
                if let Some(answer) = answer {
                    let call = call.id;
                    let answer = &answer;
                    self.handle(Event::StoreAnswered { call, answer });
                }
            }
        }
    }

    pub fn receive(&mut self, from: &str, message: Message) {
        let message = &message;
        self.handle(Event::Peer { from, message });
    }

    fn publish(&mut self) {
        let delta = Delta {
            from: Revision(0),
            to: Revision(self.revision),
            sequence: 0,
            complete: true,
            records: self.resources.clone(),
        };
        self.handle(Event::Changes(&delta));
    }

    fn gossip(&mut self) {
        self.heartbeat += 1;
        for (vm, zone) in [("e2", "a1"), ("e3", "a2"), ("e4", "b1")] {
            let held = |(zone, (owner, fence)): (&&str, &(&str, u64))| {
                (*owner == vm).then(|| (pool::Key::new("menu", zone), Fence(*fence)))
            };
            let entry = MemberEntry {
                vm: vm.into(),
                zone: zone.into(),
                peer_address: "127.0.0.1:3".into(),
                caller_address: "127.0.0.1:4".into(),
                incarnation: Incarnation(2),
                heartbeat: self.heartbeat,
                revision: Revision(self.revision),
                status: MemberStatus::Serving,
                pools: self.owners.iter().filter_map(held).collect(),
            };
            let entries = vec![entry];
            self.receive(vm, Message::Gossip(Gossip { entries, heartbeats: Vec::new() }));
        }
    }

    fn change_resource(&mut self, name: &str, change: fn(&mut Spec)) {
        self.revision += 1;
        let version = Revision(self.revision);
        for record in &mut self.resources {
            if &*record.key.name == name {
                record.version = version;
                record.generation += 1;
                record.spec.as_mut().into_iter().for_each(change);
            }
        }
        self.publish();
    }

    fn arrive(&mut self, n: u64, fingerprint: u64, idempotency: Idempotency<'_>) {
        self.arrive_with_options(n, fingerprint, idempotency, RouteOptions::default());
    }

    pub fn arrive_with_options(
        &mut self,
        n: u64,
        fingerprint: u64,
        idempotency: Idempotency<'_>,
        options: RouteOptions,
    ) {
        self.handle(Event::RequestArrived(View {
            id: &id(n),
            organisation: "school",
            service: "menu",
            prompt_tokens: 10,
            max_tokens: Some(self.max_tokens),
            fingerprint,
            prefixes: &[],
            parts: &self.parts.clone(),
            idempotency,
            options,
        }));
    }

    fn grant(&mut self, n: u64, attempt: u32, from: &str, target: &str) {
        self.grant_to(id(n), attempt, from, target);
    }

    fn grant_to(&mut self, id: Id, attempt: u32, from: &str, target: &str) {
        let zone = self.resources.iter().find_map(|record| match &record.spec {
            Some(Spec::Target(spec)) if *record.key.name == *target => Some(spec.zone.clone()),
            _ => None,
        });
        self.grant_in_zone(id, attempt, from, &zone.expect("a declared target"), target);
    }

    /// Receives a grant of a target that need not be known.
    pub fn grant_in_zone(&mut self, id: Id, attempt: u32, from: &str, zone: &str, target: &str) {
        let grant = Grant {
            pool: pool::Key::new("menu", zone),
            id,
            attempt,
            target: target.into(),
            address: "127.0.0.1:9".to_owned(),
            fence: Fence(5),
            priority: 0,
            usage: self.usage,
            limit: None,
        };
        self.receive(from, Message::Grant(grant));
    }

    fn end_attempt(&mut self, n: u64, end: End, tokens: u32, stored: Option<&StoredResponse>) {
        let id = &id(n);
        let attempt = self.last_attempt(n);
        let first_token_ms = (tokens > 0).then_some(5);
        self.handle(Event::AttemptEnded { id, attempt, end, tokens, first_token_ms, stored });
    }

    fn last_attempt(&self, n: u64) -> u32 {
        self.attempts.get(&n).copied().unwrap_or(0)
    }

    fn wait(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS.min(end - self.now);
            if self.now % 500 < TICK_MS {
                self.gossip();
                for vm in ["e2", "e3", "e4"] {
                    if !self.silent_vms.contains(&vm) {
                        let pool = pool::Key::new("menu", "a1");
                        self.receive(vm, Message::Ack { pool });
                    }
                }
            }
            self.handle(Event::Tick);
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive(n) => self.arrive(n, n, Idempotency::Idempotent),
            Step::ArriveRouted(n) => {
                let options =
                    RouteOptions { spills: true, relocatable: true, ..RouteOptions::default() };
                self.arrive_with_options(n, n, Idempotency::AtMostOnce, options);
            }
            Step::ArriveTimed(n, timeout_ms) => {
                let options = RouteOptions {
                    spills: true,
                    timeout_ms: Some(timeout_ms),
                    ..RouteOptions::default()
                };
                self.arrive_with_options(n, n, Idempotency::AtMostOnce, options);
            }
            Step::ArriveBalanced(n) => {
                let (queue_timeout_ms, spills) = (Some(500), true);
                let options = RouteOptions {
                    queue_timeout_ms,
                    spills,
                    balances_zones: true,
                    ..RouteOptions::default()
                };
                self.arrive_with_options(n, n, Idempotency::AtMostOnce, options);
            }
            Step::Usage(usage) => self.usage = usage,
            Step::GrantPlacement(n, from, target) => {
                let placement = id(n).next_placement();
                let attempt = self.last_attempt(placement.counter);
                self.grant_to(placement, attempt, from, target);
            }
            Step::RefusePlacement(n, from, reason) => {
                let id = id(n).next_placement();
                let (attempt, refusal) = (self.last_attempt(id.counter), Refusal::new(reason));
                self.receive(from, Message::Refuse { id, attempt, refusal, advice: None });
            }
            Step::EndPlacement(n, end) => {
                let id = &id(n).next_placement();
                let attempt = self.last_attempt(id.counter);
                let (tokens, first_token_ms, stored) = (0, None, None);
                self.handle(Event::AttemptEnded {
                    id,
                    attempt,
                    end,
                    tokens,
                    first_token_ms,
                    stored,
                });
            }
            Step::Lose(n) => self.handle(Event::GenerationLost { id: &id(n), tokens: 0 }),
            Step::Move(n, tokens) => {
                let (from, to) = (&id(n), &id(n).next_placement());
                self.handle(Event::GenerationMoved { from, to, tokens });
            }
            Step::ArriveBody(n, body) => self.arrive(n, body, Idempotency::Idempotent),
            Step::ArriveKeyed(n, key, body) => self.arrive(n, body, Idempotency::Keyed { key }),
            Step::Grant(n, from, target) => self.grant(n, self.last_attempt(n), from, target),
            Step::GrantAttempt(n, attempt, from, target) => self.grant(n, attempt, from, target),
            Step::Refuse(n, from, reason) => {
                let (id, attempt, refusal) = (id(n), self.last_attempt(n), Refusal::new(reason));
                let refuse = Message::Refuse { id, attempt, refusal, advice: None };
                self.receive(from, refuse);
            }
            Step::StartSend(n) => {
                let (id, attempt) = (&id(n), self.last_attempt(n));
                self.handle(Event::SendStarted { id, attempt });
            }
            Step::Progress(n, tokens) => {
                let counts = [TokenCount { id: id(n), tokens, pace: Default::default() }];
                self.handle(Event::Progress(&counts));
            }
            Step::End(n, end, tokens) => self.end_attempt(n, end, tokens, None),
            Step::Answer(n) => self.end_attempt(n, End::Complete, 0, Some(&stored())),
            Step::Disconnect(n) => self.handle(Event::CallerDisconnected { id: &id(n) }),
            Step::Wait(ms) => self.wait(ms),
            Step::Pause(ms) => self.now += ms,
            Step::StopAnswering(vm) => self.silent_vms.push(vm),
            Step::TakeOver(vm, zone) => {
                let fence = self.owners[zone].1 + 1;
                self.owners.insert(zone, (vm, fence));
                self.gossip();
            }
            Step::Hello(vm, zone) => {
                let (pool, fence) = (pool::Key::new("menu", zone), Fence(6));
                self.receive(vm, Message::Hello { pool, fence });
            }
            Step::ZoneOut(zone) => self.change_resource(zone, |spec| {
                if let Spec::AvailabilityZone(zone) = spec {
                    zone.state = resource::ZoneState::OutOfService;
                }
            }),
            Step::TargetLeaving(target) => self.change_resource(target, |spec| {
                if let Spec::Target(target) = spec {
                    target.leaving = true;
                }
            }),
            Step::Departing(vm, target) => {
                self.receive(vm, Message::Departing { target: target.into() });
            }
            Step::Death(target, start_id, bodies) => {
                let death = hornbeamloom_kernel::peer::Death {
                    target: target.into(),
                    start_id,
                    running: suspects(bodies),
                    age_ms: 0,
                };
                self.receive("e2", Message::Death(death));
            }
            Step::LiftQuarantine(fingerprint) => self.handle(Event::LiftQuarantine { fingerprint }),
            Step::SetStore(mode) => self.store_mode = mode,
            Step::AddClaim(key, vm, incarnation, body) => {
                self.add_claim(key, vm, incarnation, body)
            }
            Step::CompleteClaim(key) => self.complete_claim(key),
            Step::ListVms(names) => {
                let vm = |name: &&str| Vm { name: (*name).into(), leaving: false };
                let vms: Vec<Vm> = names.iter().map(vm).collect();
                self.handle(Event::Vms(&vms));
            }
            Step::ApplyLostWrite => self.apply_lost_writes(),
            Step::ShowClaim(key) => self.show_claim(key),
            Step::ShowBody(body) => {
                let (registry, now) = (&self.kernel.state().quarantine, Millis(self.now));
                let text =
                    match (registry.is_quarantined(body, now), registry.is_suspect(body, now)) {
                        (true, _) => "quarantined",
                        (false, true) => "suspect",
                        (false, false) => "clear",
                    };
                self.trace.push(format!("body {body} {text}"));
            }
            Step::Leave => self.handle(Event::ShutdownStarted { answer_within_ms: None }),
            Step::LeaveWithin(ms) => {
                self.handle(Event::ShutdownStarted { answer_within_ms: Some(ms) })
            }
            Step::Drain => self.handle(Event::Drain),
        }
    }
}

/// Trace lines.
impl Harness {
    fn trace_outcome(&mut self, outcome: &Outcome) {
        let line = match outcome {
            Outcome::Start(start) => {
                Some(format!("start {} on {}", label(&start.id), start.target))
            }
            Outcome::Move { from, start } => {
                Some(format!("move {} to {} on {}", label(from), label(&start.id), start.target))
            }
            Outcome::Refuse { id, refusal } => {
                Some(format!("refuse {} {:?} ran {:?}", label(id), refusal.reason, refusal.ran))
            }
            Outcome::Replay { id, .. } => Some(format!("replay {}", id.counter)),
            Outcome::Count(Counter::Retry(retry)) => Some(format!("retry {retry:?}")),
            Outcome::Drained => Some("drained".to_owned()),
            Outcome::Send { to, message, .. } => self.describe_message(to, message),
            _ => None,
        };
        self.trace.extend(line);
    }

    fn describe_message(&mut self, to: &str, message: &Message) -> Option<String> {
        match message {
            Message::Ask(ask) => {
                self.attempts.insert(ask.id.counter, ask.attempt);
                let asked = (to.to_owned(), ask.id.counter, ask.attempt);
                if self.asked.contains(&asked) {
                    return None;
                }
                self.asked.push(asked);
                let excluded: Vec<&str> = ask.exclude.iter().map(|target| &**target).collect();
                let excluded = match excluded.is_empty() {
                    true => String::new(),
                    false => format!(" except {}", excluded.join(" ")),
                };
                let held_at = ask.standby_target.iter().map(|target| format!(" at {target}"));
                let held_at: String = held_at.collect();
                Some(format!("ask {to} for {}{held_at}{excluded}", label(&ask.id)))
            }
            Message::Withdraw { id, .. } => Some(format!("withdraw {} from {to}", label(id))),
            Message::Release(release) => Some(format!(
                "release {} on {} {:?} to {to}",
                label(&release.id),
                release.target,
                release.end
            )),
            Message::Inventory { running, .. } => {
                Some(format!("inventory of {} to {to}", running.len()))
            }
            Message::Progress { entries, .. } => {
                Some(format!("progress {} to {to}", entries[0].tokens))
            }
            Message::Death(death) => Some(format!("death of {} to {to}", death.target)),
            _ => None,
        }
    }
}
