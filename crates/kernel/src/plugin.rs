//! The kinds of plug-in and their registries.
//!
//! A plug-in is a plain struct that its own file submits with `inventory::submit!`. The kernel
//! sorts by stage, rank and name, so link order has no influence.

/// Plug-ins that own a part of the control state.
pub mod control {
    use crate::event::Event;
    use crate::ids::Millis;
    use crate::kernel::{Outbox, State};

    /// Handles every event in rank order.
    #[derive(Debug, Clone, Copy)]
    pub struct Plugin {
        /// Unique name, for logs and ordering.
        pub name: &'static str,
        /// Position among the control plug-ins; lower runs first.
        pub rank: u16,
        /// Applies an event to the state.
        pub handle: fn(&mut State, &Event<'_>, Millis, &mut Outbox),
        /// When the plug-in next needs a `Tick`, if ever.
        pub wakeup: fn(&State) -> Option<Millis>,
    }

    inventory::collect!(Plugin);

    /// All registered plug-ins in rank order.
    pub fn all() -> Vec<Plugin> {
        let mut plugins: Vec<Plugin> = inventory::iter::<Plugin>.into_iter().copied().collect();
        plugins.sort_by_key(|plugin| (plugin.rank, plugin.name));
        plugins
    }
}

/// Plug-ins that decide about scheduling in a pool.
pub mod policy {
    use crate::ids::Millis;
    use crate::outcome::Refusal;
    use crate::peer::Ask;
    use crate::pool::Pool;
    use crate::quarantine::Registry;

    /// What a policy may look at.
    #[derive(Debug, Clone, Copy)]
    pub struct View<'a> {
        /// The pool.
        pub pool: &'a Pool,
        /// Crash correlation and quarantined bodies.
        pub quarantine: &'a Registry,
        /// The time.
        pub now: Millis,
    }

    /// Decides whether a request may join the queue.
    pub type Admit = fn(&View<'_>, &Ask) -> Result<(), Refusal>;
    /// Ranks an organisation by its index and the head of its queue.
    pub type Order = fn(&View<'_>, usize, &Ask) -> u64;
    /// Decides whether the target with this index may take the request.
    pub type Filter = fn(&View<'_>, &Ask, usize) -> bool;
    /// Rates the target with this index for the request.
    pub type Score = fn(&View<'_>, &Ask, usize) -> i64;

    /// The decision that a policy takes part in.
    #[derive(Debug, Clone, Copy)]
    pub enum Stage {
        /// May a request join the queue?
        Admit(Admit),
        /// Which organisation is served next? Lower goes first.
        Order(Order),
        /// May this target take the request?
        Filter(Filter),
        /// How good is this target for the request? Higher is better.
        Score(Score),
    }

    /// A scheduling policy.
    #[derive(Debug, Clone, Copy)]
    pub struct Plugin {
        /// Unique name, used in `Configuration.policy`.
        pub name: &'static str,
        /// Position within its stage; lower runs first.
        pub rank: u16,
        /// The stage and the decision.
        pub stage: Stage,
    }

    inventory::collect!(Plugin);

    /// All registered policies in rank order.
    pub fn all() -> Vec<Plugin> {
        let mut plugins: Vec<Plugin> = inventory::iter::<Plugin>.into_iter().copied().collect();
        plugins.sort_by_key(|plugin| (plugin.rank, plugin.name));
        plugins
    }
}
