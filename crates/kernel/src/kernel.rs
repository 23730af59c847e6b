//! The state machine: runs the control plug-ins in rank order over one shared state.

use std::collections::VecDeque;

use crate::event::Event;
use crate::ids::{Incarnation, Millis, Name};
use crate::outcome::{Counter, Outcome};
use crate::peer::Message;
use crate::plugin::{control, policy};
use crate::{
    backpressure, claim, departure, discovery, entry, explain, feed, freshness, intent, lease,
    member, pool, quarantine, reach, reconcile, relocate, rollout_control,
};

/// The identity of this VM, from its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The VM's name.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// `IP:port` for connections from peers.
    pub peer_address: Name,
    /// `IP:port` for connections from callers.
    pub caller_address: Name,
    /// `IP:port` of the peers to contact first.
    pub seeds: Vec<Name>,
    /// Seed of all pseudo-random choices.
    pub seed: u64,
}

impl Identity {
    /// An identity without addresses or seed peers, and with the random seed 0.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Incarnation;
    /// use hornbeamloom_kernel::kernel::Identity;
    ///
    /// let identity = Identity::new("entry-1", "lodz-a", Incarnation(1));
    /// assert_eq!(&*identity.zone, "lodz-a");
    /// assert!(identity.seeds.is_empty());
    /// ```
    pub fn new(vm: &str, zone: &str, incarnation: Incarnation) -> Identity {
        Identity {
            vm: vm.into(),
            zone: zone.into(),
            incarnation,
            peer_address: "".into(),
            caller_address: "".into(),
            seeds: Vec::new(),
            seed: 0,
        }
    }

    /// The same identity with the addresses for peers and callers.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Incarnation;
    /// use hornbeamloom_kernel::kernel::Identity;
    ///
    /// let identity = Identity::new("entry-1", "lodz-a", Incarnation(1))
    ///     .with_addresses("127.0.0.1:8300", "127.0.0.1:8100");
    /// assert_eq!(&*identity.peer_address, "127.0.0.1:8300");
    /// ```
    pub fn with_addresses(self, peer: &str, caller: &str) -> Identity {
        Identity { peer_address: peer.into(), caller_address: caller.into(), ..self }
    }

    /// The same identity with the addresses of the peers to contact first.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Incarnation;
    /// use hornbeamloom_kernel::kernel::Identity;
    ///
    /// let identity = Identity::new("entry-1", "lodz-a", Incarnation(1))
    ///     .with_seeds(vec!["127.0.0.1:8301".into()]);
    /// assert_eq!(identity.seeds.len(), 1);
    /// ```
    pub fn with_seeds(self, seeds: Vec<Name>) -> Identity {
        Identity { seeds, ..self }
    }

    /// The same identity with another random seed.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Incarnation;
    /// use hornbeamloom_kernel::kernel::Identity;
    ///
    /// let identity = Identity::new("entry-1", "lodz-a", Incarnation(1)).with_seed(7);
    /// assert_eq!(identity.seed, 7);
    /// ```
    pub fn with_seed(self, seed: u64) -> Identity {
        Identity { seed, ..self }
    }
}

/// All control state of one VM. Each field is owned by the module that defines its type.
#[derive(Debug)]
pub struct State {
    /// The identity of this VM.
    pub identity: Identity,
    /// The resources in force.
    pub intent: intent::Intent,
    /// How up to date the resources in force are.
    pub freshness: freshness::Freshness,
    /// Targets that are no longer in the platform's list.
    pub(crate) discovery: discovery::Discovery,
    /// Generations whose target is leaving.
    pub(crate) relocations: relocate::ScanState,
    /// Version roll-outs.
    pub rollouts: rollout_control::Rollouts,
    /// Targets that the schedulers of their pools have reported as leaving.
    pub(crate) departures: departure::Notices,
    /// The platform's tables and which VM reads each of them.
    pub feeds: feed::Feeds,
    /// The other VMs.
    pub members: member::Membership,
    /// Leases on pools.
    pub leases: lease::LeaseManager,
    /// Requests that this VM accepted.
    pub entry: entry::Table,
    /// Pools that this VM schedules.
    pub pools: pool::Pools,
    /// Whether this VM reaches the targets.
    pub reach: reach::Reach,
    /// What targets have said about new requests.
    pub(crate) backpressure: backpressure::Registry,
    /// Crash correlation and quarantined bodies.
    pub quarantine: quarantine::Registry,
    /// Claims of at-most-once calls.
    pub claims: claim::Registry,
    /// Reconciliation of engines.
    pub planner: reconcile::Planner,
    /// Decisions about requests, for `explain`.
    pub decisions: explain::DecisionLog,
    /// Graceful shutdown has started.
    pub leaving: bool,
    /// When every request needs its response, because the process ends soon after.
    pub answer_by: Option<Millis>,
    /// Callers have had time to switch to other VMs, and this VM finishes its remaining work.
    pub draining: bool,
    last_call_id: u64,
}

impl State {
    fn new(identity: Identity) -> State {
        State {
            intent: intent::Intent::default(),
            freshness: freshness::Freshness::default(),
            discovery: discovery::Discovery::default(),
            relocations: relocate::ScanState::default(),
            rollouts: rollout_control::Rollouts::default(),
            departures: departure::Notices::default(),
            feeds: feed::Feeds::default(),
            members: member::Membership::new(&identity),
            leases: lease::LeaseManager::default(),
            entry: entry::Table::default(),
            pools: pool::Pools::new(policy::all()),
            reach: reach::Reach::default(),
            backpressure: backpressure::Registry::default(),
            quarantine: quarantine::Registry::default(),
            claims: claim::Registry::default(),
            planner: reconcile::Planner::default(),
            decisions: explain::DecisionLog::default(),
            leaving: false,
            answer_by: None,
            draining: false,
            last_call_id: 0,
            identity,
        }
    }

    /// Allocates the id of the next store call.
    pub fn next_call_id(&mut self) -> crate::store::CallId {
        self.last_call_id += 1;
        crate::store::CallId(self.last_call_id)
    }
}

/// Collects the outcomes and messages that plug-ins produce while one event is handled.
#[derive(Debug, Default)]
pub struct Outbox {
    outcomes: Vec<Outcome>,
    messages: VecDeque<(Name, Message)>,
}

impl Outbox {
    /// Adds an outcome for the adapters.
    pub fn push(&mut self, outcome: Outcome) {
        self.outcomes.push(outcome);
    }

    /// Sends a message to a VM, which may be this one.
    pub fn send(&mut self, to: &Name, message: Message) {
        self.messages.push_back((to.clone(), message));
    }

    /// Increments a counter.
    pub fn count(&mut self, counter: Counter) {
        self.push(Outcome::Count(counter));
    }

    /// Logs at information level.
    pub fn log(&mut self, text: String) {
        self.push(Outcome::Log { warn: false, text });
    }

    /// Logs a warning.
    pub fn warn(&mut self, text: String) {
        self.push(Outcome::Log { warn: true, text });
    }
}

/// The kernel of one VM.
#[derive(Debug)]
pub struct Kernel {
    state: State,
    plugins: Vec<control::Plugin>,
}

impl Kernel {
    /// A kernel without resources and peers.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::{Incarnation, Revision};
    /// use hornbeamloom_kernel::kernel::{Identity, Kernel};
    ///
    /// let kernel = Kernel::new(Identity::new("entry-1", "lodz-a", Incarnation(1)));
    /// assert_eq!(kernel.state().intent.revision, Revision(0));
    /// ```
    pub fn new(identity: Identity) -> Kernel {
        Kernel { state: State::new(identity), plugins: control::all() }
    }

    /// Applies `event` at the time `now` and appends the resulting outcomes to `out`.
    ///
    /// The same sequence of events and times always gives the same outcomes.
    ///
    /// ```
    /// use hornbeamloom_kernel::event::Event;
    /// use hornbeamloom_kernel::ids::{Incarnation, Millis};
    /// use hornbeamloom_kernel::kernel::{Identity, Kernel};
    ///
    /// let mut kernel = Kernel::new(Identity::new("entry-1", "lodz-a", Incarnation(1)));
    /// let mut out = Vec::new();
    /// kernel.handle(Event::Tick, Millis(1), &mut out);
    /// let woken_later = kernel.next_wakeup().is_none_or(|at| at >= Millis(1));
    /// assert!(woken_later);
    /// ```
    pub fn handle(&mut self, event: Event<'_>, now: Millis, out: &mut Vec<Outcome>) {
        let mut outbox = Outbox::default();
        self.dispatch(&event, now, &mut outbox);
        let own_vm = self.state.identity.vm.clone();
        while let Some((to, message)) = outbox.messages.pop_front() {
            if to == own_vm {
                self.dispatch(&Event::Peer { from: &own_vm, message: &message }, now, &mut outbox);
                continue;
            }
            match self.state.members.address(&to) {
                Some(address) => outbox.push(Outcome::Send { to, address, message }),
                None => outbox.count(Counter::Ignored("send_without_address")),
            }
        }
        let unread = self.state.decisions.take_unread();
        out.extend(unread.map(|step| Outcome::Log {
            warn: false,
            text: format!("request={} {}", step.id, step.text),
        }));
        out.append(&mut outbox.outcomes);
    }

    fn dispatch(&mut self, event: &Event<'_>, now: Millis, out: &mut Outbox) {
        if let Event::ShutdownStarted { answer_within_ms } = event {
            self.state.answer_by = answer_within_ms.map(|within| now.after(within));
        }
        self.state.leaving |= matches!(event, Event::ShutdownStarted { .. } | Event::Drain);
        self.state.draining |= matches!(event, Event::Drain);
        for plugin in &self.plugins {
            (plugin.handle)(&mut self.state, event, now, out);
        }
    }

    /// The time of the next `Tick` that the kernel needs, if any.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Incarnation;
    /// use hornbeamloom_kernel::kernel::{Identity, Kernel};
    ///
    /// let kernel = Kernel::new(Identity::new("entry-1", "lodz-a", Incarnation(1)));
    /// // Nothing was handled so far: whatever is due may run at once.
    /// let due = kernel.next_wakeup();
    /// assert!(due.is_none_or(|at| at.0 < 60_000));
    /// ```
    pub fn next_wakeup(&self) -> Option<Millis> {
        self.plugins.iter().filter_map(|plugin| (plugin.wakeup)(&self.state)).min()
    }

    /// The state, for status pages and tests.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Incarnation;
    /// use hornbeamloom_kernel::kernel::{Identity, Kernel};
    ///
    /// let kernel = Kernel::new(Identity::new("entry-1", "lodz-a", Incarnation(1)));
    /// assert_eq!(&*kernel.state().identity.vm, "entry-1");
    /// assert!(!kernel.state().draining);
    /// ```
    pub fn state(&self) -> &State {
        &self.state
    }
}
