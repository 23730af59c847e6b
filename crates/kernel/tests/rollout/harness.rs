//! A fleet under load whose targets are of two versions.

use std::collections::BTreeMap;

use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::feed::{Rows, Table};
use hornbeamloom_kernel::ids::{Incarnation, Name, Revision};
use hornbeamloom_kernel::request::{End, Id, Idempotency, RouteOptions, View};
use hornbeamloom_kernel::resource::Spec;
use hornbeamloom_kernel::rollout::{Bounds, Order, Phase, StatusState};
use hornbeamloom_kernel::store::{self, Condition, Value, Write, WriteResult};
use hornbeamloom_kernel::target::{self, Report};

use crate::fleet::{self, service, zone, Fleet, STEP_MS};

/// Time of a roll-out.
pub const DURATION_MS: u64 = 12_000;
/// Time after the 50th bad response after which a bad version gets nothing more.
pub const ROLLBACK_MS: u64 = 5_000;
/// Time of a sound response.
pub const RESPONSE_MS: u64 = 60;
/// Time until the pools have owners and the VMs know each other.
const SETTLE_MS: u64 = 4_000;
const SERVICE: &str = "menu-model";
const ZONES: [&str; 2] = ["riga-a", "riga-b"];
/// Targets of each version in each zone.
const TARGETS: usize = 3;
const ROUTES: u64 = 4;

/// A request as its target sees it.
#[derive(Debug, Clone, Copy)]
pub struct Sent<'a> {
    /// A number that is spread evenly over the requests.
    pub number: u64,
    pub is_new: bool,
    pub target: &'a str,
    pub route: u32,
    /// Time since the order.
    pub at_ms: u64,
    /// Requests that run on the new version, this one included.
    pub running_new: usize,
}

/// How a target responds, and after which time.
pub type Behaviour = fn(&Sent<'_>) -> (End, u64);

#[derive(Debug)]
struct Running {
    ends_at: u64,
    node: usize,
    id: Id,
    attempt: u32,
    end: End,
    is_new: bool,
}

pub struct World {
    pub fleet: Fleet,
    /// VMs that no longer get the operator's rows.
    pub stale: Vec<Name>,
    /// Requests per step.
    pub rate: usize,
    pub arrived: u64,
    /// Requests sent to the new version, by VM.
    pub sent_new: BTreeMap<Name, u64>,
    /// When the last request was sent to each version.
    pub sent_at: BTreeMap<String, u64>,
    /// Whether the rollback is checked.
    pub checks_rollback: bool,
    /// Requests that may be exposed beyond the share.
    pub tolerance: u64,
    /// When the 50th bad response of the new version arrived.
    pub bad_at: Option<u64>,
    /// The states that the status row has shown.
    pub states: Vec<StatusState>,
    /// When the last of them was first shown.
    pub state_at: u64,
    pub ordered_at: u64,
    /// The version to move to, and the version of the order's row.
    to: String,
    revision: Revision,
    behaviour: Behaviour,
    running: Vec<Running>,
    bad: u64,
    next_vm: usize,
    targets: Vec<String>,
}

fn version_of(target: &str) -> &str {
    target.rsplit('-').nth(1).expect("the name of a target contains its version")
}

/// Spreads consecutive numbers evenly.
fn spread(number: u64) -> u64 {
    (number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) % 1_000
}

impl World {
    /// `vms` VMs in two zones that have served for a while, with targets of versions `v1` and `v2`.
    pub fn new(vms: usize, behaviour: Behaviour) -> World {
        let mut fleet = Fleet::default();
        for ix in 0..vms {
            fleet.start_vm(&format!("a{}", ix + 1), ZONES[ix % 2], 1);
        }
        let mut world = World {
            fleet,
            stale: Vec::new(),
            rate: 2,
            arrived: 0,
            sent_new: BTreeMap::new(),
            sent_at: BTreeMap::new(),
            checks_rollback: true,
            tolerance: 0,
            to: "v2".to_owned(),
            revision: Revision(0),
            bad_at: None,
            states: Vec::new(),
            state_at: 0,
            ordered_at: u64::MAX,
            behaviour,
            running: Vec::new(),
            bad: 0,
            next_vm: 0,
            targets: Vec::new(),
        };
        let names: Vec<Name> = world.fleet.nodes.iter().map(|node| node.name.clone()).collect();
        let names: Vec<&str> = names.iter().map(|name| &**name).collect();
        world.fleet.set_vm_list(&names);
        world.declare(&["v1"]);
        world.tell_orders(&[]);
        world.run(SETTLE_MS);
        world.declare(&["v1", "v2"]);
        world.run(1_000);
        assert_eq!(world.sent_new_total(), 0, "exposed without an order");
        world
    }

    /// Declares the targets of these versions.
    pub fn declare(&mut self, versions: &[&str]) {
        let mut specs: Vec<(String, Spec)> = vec![(SERVICE.to_owned(), service())];
        for zone_name in ZONES {
            specs.push((zone_name.to_owned(), zone()));
            for version in versions {
                for number in 1..=TARGETS {
                    let more =
                        format!(r#", "coldLimit": 200, "warmLimit": 200, "version": "{version}""#);
                    let name = format!("{zone_name}-{version}-{number}");
                    specs.push((name, fleet::target(SERVICE, zone_name, &more)));
                }
            }
        }
        let specs: Vec<(&str, Spec)> =
            specs.iter().map(|(name, spec)| (&**name, spec.clone())).collect();
        self.targets = specs
            .iter()
            .filter(|(_, spec)| matches!(spec, Spec::Target(_)))
            .map(|(name, _)| (*name).to_owned())
            .collect();
        self.fleet.declare(&specs);
    }

    /// The operator orders a roll-out to `version`; returns the version of the order's row.
    pub fn order(&mut self, version: &str) -> Revision {
        self.ordered_at = self.fleet.now;
        (self.arrived, self.bad, self.bad_at) = (0, 0, None);
        self.states.clear();
        self.sent_at.clear();
        self.to = version.to_owned();
        self.sent_new.clear();
        // Any row gets a version in the order of writes.
        let write =
            Write { key: store::Key::Slot(99), condition: Condition::Any, value: Some(slot()) };
        let WriteResult::Applied(revision) = self.fleet.write(&write) else {
            panic!("an unconditional write is applied");
        };
        self.revision = revision;
        let bounds = Bounds { share_permille: 100, rollback_ms: ROLLBACK_MS };
        let (service, to) = (SERVICE.into(), version.into());
        self.tell_orders(&[Order { service, to, duration_ms: DURATION_MS, revision, bounds }]);
        revision
    }

    pub fn tell_orders(&mut self, orders: &[Order]) {
        for ix in 0..self.fleet.nodes.len() {
            self.fleet.event(ix, Event::Rollouts(orders));
        }
    }

    pub fn since_order(&self) -> u64 {
        self.fleet.now.saturating_sub(self.ordered_at)
    }

    /// The VM that decides.
    pub fn decider(&self) -> Option<Name> {
        let nodes = self.fleet.nodes.iter().filter(|node| !node.is_stopped);
        let mut deciders = nodes.filter(|node| {
            let now = self.fleet.clock(&node.name);
            node.kernel.state().rollouts.decides(SERVICE, now)
        });
        deciders.next().map(|node| node.name.clone())
    }

    /// Whether any VM knows that the version was found good.
    pub fn is_promoted(&self) -> bool {
        let mut nodes = self.fleet.nodes.iter();
        nodes.any(|node| {
            let phase = node.kernel.state().rollouts.phase(SERVICE);
            matches!(phase, Some(Phase::Promoting | Phase::Completed))
        })
    }

    pub fn sent_new_total(&self) -> u64 {
        self.sent_new.values().sum()
    }

    /// Grants to the new version, and all grants, as the schedulers count them.
    pub fn exposure(&self) -> (u64, u64) {
        let pools = self.fleet.nodes.iter().flat_map(|node| node.kernel.state().pools.iter());
        let counts = pools.filter_map(|pool| pool.exposure());
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    }

    /// Runs the fleet under load. Checks after every step that the exposure is within its share, that
    /// the version gets nothing when it is overdue, and that a verdict never changes.
    pub fn run(&mut self, ms: u64) {
        let end = self.fleet.now + ms;
        while self.fleet.now < end {
            self.step();
            self.check();
        }
    }

    /// Runs until `is_reached` or the time of the roll-out is over; returns whether it was reached.
    pub fn run_until(&mut self, is_reached: impl Fn(&World) -> bool) -> bool {
        while self.since_order() < DURATION_MS {
            if is_reached(self) {
                return true;
            }
            self.run(STEP_MS);
        }
        false
    }

    fn step(&mut self) {
        if self.fleet.now % 400 == 0 {
            self.read_rows();
        }
        for _ in 0..self.rate {
            self.arrive();
        }
        self.end_attempts();
        self.fleet.run(STEP_MS);
        self.start_attempts();
    }

    /// Every VM but the stale ones learns that its copy of the operator's rows is current, and all
    /// learn that the targets are warm.
    fn read_rows(&mut self) {
        let rows = Rows {
            table: Table::Resources,
            from: Revision(0),
            version: Revision(0),
            is_whole: false,
            rows: Vec::new(),
        };
        for ix in 0..self.fleet.nodes.len() {
            let name = self.fleet.nodes[ix].name.clone();
            if !self.stale.contains(&name) {
                let at = self.fleet.clock(&name);
                self.fleet.event(ix, Event::RowsRead { rows: &rows, at });
            }
            let report = Report { start_id: 1, phase: target::Phase::Warm, ..Report::default() };
            for target in &self.targets {
                self.fleet.event(ix, Event::Report { target, report: Ok(&report) });
            }
        }
    }

    fn arrive(&mut self) {
        self.next_vm = (self.next_vm + 1) % self.fleet.nodes.len();
        let node = &self.fleet.nodes[self.next_vm];
        if node.is_stopped {
            return;
        }
        self.arrived += 1;
        let id = Id::new(&node.name, Incarnation(1), (self.fleet.now << 8) | (self.arrived % 256));
        let route = 1 + (spread(self.arrived) % ROUTES) as u32;
        self.fleet.event(
            self.next_vm,
            Event::RequestArrived(View {
                id: &id,
                organisation: "",
                service: SERVICE,
                prompt_tokens: 10,
                max_tokens: Some(10),
                fingerprint: self.arrived,
                prefixes: &[],
                parts: &[],
                idempotency: Idempotency::Idempotent,
                options: RouteOptions { route, spills: true, ..RouteOptions::default() },
            }),
        );
    }

    fn start_attempts(&mut self) {
        for node in 0..self.fleet.nodes.len() {
            for start in std::mem::take(&mut self.fleet.nodes[node].starts) {
                let version = version_of(&start.target);
                let is_new = version == self.to;
                let now = self.fleet.now;
                if is_new {
                    *self.sent_new.entry(self.fleet.nodes[node].name.clone()).or_default() += 1;
                }
                self.sent_at.insert(version.to_owned(), now);
                let running_new = self.running.iter().filter(|running| running.is_new).count();
                let sent = Sent {
                    number: spread(start.id.counter),
                    is_new,
                    target: &start.target,
                    route: 1 + (spread(start.id.counter % 256) % ROUTES) as u32,
                    at_ms: self.since_order(),
                    running_new: running_new + usize::from(is_new),
                };
                let (end, took_ms) = (self.behaviour)(&sent);
                self.running.push(Running {
                    ends_at: now + took_ms,
                    node,
                    id: start.id,
                    attempt: start.attempt,
                    end,
                    is_new,
                });
            }
        }
    }

    fn end_attempts(&mut self) {
        let now = self.fleet.now;
        let (ended, running) =
            std::mem::take(&mut self.running).into_iter().partition(|one| one.ends_at <= now);
        self.running = running;
        for Running { node, id, attempt, end, is_new, .. } in ended {
            let is_bad = is_new && (end != End::Complete);
            self.bad += u64::from(is_bad);
            if self.bad == 50 {
                self.bad_at.get_or_insert(now);
            }
            self.fleet.event(
                node,
                Event::AttemptEnded {
                    id: &id,
                    attempt,
                    end,
                    tokens: 0,
                    first_token_ms: None,
                    stored: None,
                },
            );
        }
    }

    fn check(&mut self) {
        let now = self.fleet.now;
        if self.ordered_at > now {
            return;
        }
        if !self.is_promoted() {
            let sent = self.sent_new_total();
            assert!(
                sent * 10 <= self.arrived + 10 * self.tolerance,
                "{sent} of {} requests are exposed",
                self.arrived
            );
        }
        let bad_at = self.bad_at.filter(|_| self.checks_rollback);
        if let (Some(bad_at), Some(&sent_at)) = (bad_at, self.sent_at.get(&self.to)) {
            assert!(sent_at <= bad_at + ROLLBACK_MS, "sent {} ms after the 50th", sent_at - bad_at);
        }
        let row = self.fleet.table.values().find_map(|(key, version, value)| match (key, value) {
            (store::Key::RolloutStatus(_), Value::RolloutStatus(status)) => Some((version, status)),
            _ => None,
        });
        if let Some((_, status)) = row.filter(|(version, _)| **version > self.revision) {
            if self.states.last() != Some(&status.state) {
                assert!(
                    self.states.last().is_none_or(|last| *last == StatusState::InProgress),
                    "the verdict {:?} changed to {:?}",
                    self.states,
                    status.state
                );
                self.states.push(status.state);
                self.state_at = now;
            }
        }
    }
}

fn slot() -> Value {
    Value::Slot(store::Slot { target: "order".into(), vm: "operator".into(), renewal: 1 })
}
