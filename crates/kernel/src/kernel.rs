//! The state machine: control plug-ins in rank order over one plain state.

use std::collections::VecDeque;

use crate::event::Event;
use crate::ids::{Incarnation, Millis, Name};
use crate::outcome::{Counter, Outcome};
use crate::peer::Message;
use crate::plugin::{control, policy};
use crate::{
    claim, currency, departure, discovery, entry, explain, feed, intent, lease, member, pool,
    quarantine, reconcile, relocate,
};

/// Who this VM is, from its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The VM's name.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// `IP:port` for peers.
    pub peer_address: Name,
    /// `IP:port` for callers.
    pub caller_address: Name,
    /// `IP:port` of peers to contact first.
    pub seeds: Vec<Name>,
    /// Seed of everything random.
    pub seed: u64,
}

impl Identity {
    /// An identity without addresses, seeds and jitter.
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

    /// The same identity with the addresses that other VMs and callers use.
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

    /// The same identity with addresses of peers to contact first.
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

/// All control state of one VM; each field belongs to the module of its type.
#[derive(Debug)]
pub struct State {
    /// Who this VM is.
    pub identity: Identity,
    /// Resources in force.
    pub intent: intent::Intent,
    /// How current the resources in force are.
    pub(crate) currency: currency::Watch,
    /// Targets that the platform's list no longer has.
    pub(crate) discovery: discovery::Watch,
    /// Generations whose target leaves.
    pub(crate) relocations: relocate::ScanState,
    /// Targets that leave by the account of the schedulers of their pools.
    pub(crate) departures: departure::Notices,
    /// The platform's tables and who reads them.
    pub feeds: feed::Feeds,
    /// Other VMs.
    pub members: member::Table,
    /// Pool ownership.
    pub leases: lease::Keeper,
    /// Requests accepted here.
    pub entry: entry::Table,
    /// Pools scheduled here.
    pub pools: pool::Set,
    /// Crash correlation.
    pub quarantine: quarantine::Registry,
    /// At-most-once claims.
    pub claims: claim::Registry,
    /// Orders to engines.
    pub planner: reconcile::Planner,
    /// Explanations.
    pub decisions: explain::DecisionLog,
    /// A graceful shutdown has begun.
    pub leaving: bool,
    /// Callers have had the time to notice it.
    pub draining: bool,
    last_call_id: u64,
}

impl State {
    fn new(identity: Identity) -> State {
        State {
            intent: intent::Intent::default(),
            currency: currency::Watch::default(),
            discovery: discovery::Watch::default(),
            relocations: relocate::ScanState::default(),
            departures: departure::Notices::default(),
            feeds: feed::Feeds::default(),
            members: member::Table::new(&identity),
            leases: lease::Keeper::default(),
            entry: entry::Table::default(),
            pools: pool::Set::new(policy::all()),
            quarantine: quarantine::Registry::default(),
            claims: claim::Registry::default(),
            planner: reconcile::Planner::default(),
            decisions: explain::DecisionLog::default(),
            leaving: false,
            draining: false,
            last_call_id: 0,
            identity,
        }
    }

    /// A new id for a store call.
    pub fn next_call_id(&mut self) -> crate::store::CallId {
        self.last_call_id += 1;
        crate::store::CallId(self.last_call_id)
    }
}

/// Collects what plug-ins ask for while one event is handled.
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

    /// Sends a message to a VM, possibly to this one.
    pub fn send(&mut self, to: &Name, message: Message) {
        self.messages.push_back((to.clone(), message));
    }

    /// Increments a counter.
    pub fn count(&mut self, counter: Counter) {
        self.push(Outcome::Count(counter));
    }

    /// Writes an informational log line.
    pub fn log(&mut self, text: String) {
        self.push(Outcome::Log { warn: false, text });
    }

    /// Writes a warning.
    pub fn warn(&mut self, text: String) {
        self.push(Outcome::Log { warn: true, text });
    }
}

/// The deterministic kernel of one VM.
#[derive(Debug)]
pub struct Kernel {
    state: State,
    plugins: Vec<control::Plugin>,
}

impl Kernel {
    /// A kernel without resources and without peers.
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

    /// Applies `event` at `now` and appends what has to be done to `out`.
    ///
    /// The same events at the same times give the same outcomes.
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
        self.state.leaving |= matches!(event, Event::Leaving | Event::Drain);
        self.state.draining |= matches!(event, Event::Drain);
        for plugin in &self.plugins {
            (plugin.handle)(&mut self.state, event, now, out);
        }
    }

    /// When the kernel next needs a `Tick`.
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

    /// The state, for status pages and checks.
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
