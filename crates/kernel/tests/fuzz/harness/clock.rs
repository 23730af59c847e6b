//! Advances time: deliveries, runs on targets, the daemons' periodic work, and the checks.

use hornbeamloom_kernel::event::{Event, TokenCount, Vm as Listed};
use hornbeamloom_kernel::ids::{Incarnation, Millis};
use hornbeamloom_kernel::pool::Key;
use hornbeamloom_kernel::request::{End, Id};

use super::{Fault, Harness, PendingEvent, Vm, NAMES, SERVICE, TURN_MS, ZONES};
use crate::model::Run;
use crate::oracle::VMS;
use crate::schedule::StoreMode;

/// Interval between reads of the store's head, in milliseconds (docs/design.md, section 3.10).
const HEAD_MS: u64 = 1_000;
/// Interval between progress batches, in milliseconds.
const PROGRESS_MS: u64 = 500;
/// Interval between lists of the platform's VMs, in milliseconds.
const LIST_MS: u64 = 2_000;
/// Time after which a silent stream counts as broken, in milliseconds.
const SILENT_MS: u64 = 4_000;

impl Harness {
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TURN_MS;
            self.record_topology();
            while let Some(next) = self.pending.first_entry() {
                if next.key().0 > self.now {
                    break;
                }
                let (vm, incarnation, pending) = next.remove();
                let node = &mut self.vms[vm];
                let is_stale = incarnation.is_some_and(|wanted| wanted != node.incarnation);
                match (is_stale, node.is_paused) {
                    (true, _) => {}
                    (false, true) => node.deferred.push_back(pending),
                    (false, false) => self.deliver(vm, pending),
                }
            }
            self.run_targets();
            (0..VMS).for_each(|vm| self.run_vm(vm));
            self.check_invariants();
        }
    }

    fn record_topology(&mut self) {
        for vm in 0..VMS {
            let node = &self.vms[vm];
            let since = &mut self.oracle.stable_since;
            if node.is_paused {
                since.up[vm] = self.now;
            }
            if !matches!(node.store, StoreMode::Up | StoreMode::AnswersLost) {
                since.store[vm] = self.now;
            }
            for to in 0..VMS {
                if self.cut_links[vm][to] {
                    since.link[vm][to] = self.now;
                }
            }
        }
    }

    fn run_targets(&mut self) {
        for ix in 0..self.targets.len() {
            let now = self.now;
            let target = &mut self.targets[ix];
            target.record_state(now);
            let is_stalled = target.is_stalled;
            let due = |run: &Run| match is_stalled {
                true => run.begun && now > run.ends_at + SILENT_MS,
                false => run.begun && now >= run.ends_at,
            };
            let runs = target.runs.iter().filter(|(_, run)| due(run));
            let done: Vec<(Id, u32)> = runs.map(|(key, _)| key.clone()).collect();
            for (id, attempt) in done {
                self.targets[ix].runs.remove(&(id.clone(), attempt));
                match is_stalled {
                    true => self.end_attempt(&id, attempt, End::Broken, 0),
                    false => self.end_attempt(&id, attempt, End::Complete, 20),
                }
            }
        }
    }

    fn run_vm(&mut self, vm: usize) {
        if self.vms[vm].is_paused {
            return;
        }
        if self.now >= self.vms[vm].next_head_read_at {
            self.read_head(vm);
        }
        if self.now >= self.vms[vm].next_progress_at {
            self.vms[vm].next_progress_at = self.now + PROGRESS_MS;
            let open = self.vms[vm].open_streams.keys();
            let counts: Vec<TokenCount> = open
                .map(|id| TokenCount { id: id.clone(), tokens: 0, pace: Default::default() })
                .collect();
            self.handle_event(vm, Event::Progress(&counts));
        }
        if self.now >= self.vms[vm].next_list_at {
            self.vms[vm].next_list_at = self.now + LIST_MS;
            let listed = |name: &&str| Listed { name: (*name).into(), leaving: false };
            let listed: Vec<Listed> = NAMES.iter().map(listed).collect();
            self.handle_event(vm, Event::Vms(&listed));
        }
        let node = &self.vms[vm];
        let now = Millis(self.now + node.clock);
        if node.kernel.next_wakeup().is_some_and(|at| at <= now) {
            self.handle_event(vm, Event::Tick);
        }
    }

    fn read_head(&mut self, vm: usize) {
        let jitter = self.random_below(HEAD_MS / 4);
        self.vms[vm].next_head_read_at = self.now + HEAD_MS - jitter;
        let held = self.vms[vm].kernel.state().intent.revision;
        let head = match self.vms[vm].store {
            StoreMode::Up | StoreMode::AnswersLost => Some(self.table.changes(held)),
            StoreMode::Down => None,
            StoreMode::Silent => return,
        };
        self.schedule_local(20, vm, PendingEvent::Head(head));
    }

    fn check_invariants(&mut self) {
        for vm in 0..VMS {
            let node = &self.vms[vm];
            let incarnation = Incarnation(match self.fault {
                Fault::SameIncarnation => 1,
                _ => node.incarnation,
            });
            let held = node.kernel.state().intent.revision;
            self.oracle.check_revision(vm, incarnation, held, self.now);
            for pool in node.kernel.state().pools.iter() {
                self.oracle.check_queue(&pool.key, pool.queue.len(), self.now);
            }
        }
        for zone in ZONES {
            let pool = Key::new(SERVICE, zone);
            let held = |(ix, vm): (usize, &Vm)| {
                let now = Millis(self.now + vm.clock);
                let fence = vm.kernel.state().leases.fence(&pool, now)?;
                Some((ix, fence))
            };
            let holders: Vec<_> = self.vms.iter().enumerate().filter_map(held).collect();
            self.oracle.check_holders(&pool, &holders, self.now);
        }
    }
}
