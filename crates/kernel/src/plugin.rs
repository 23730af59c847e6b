//! Plug-in types and their registries.
//!
//! A plug-in is a plain struct that its own module submits with `inventory::submit!`. The
//! registries sort plug-ins by rank and name, so the link order has no effect.

/// Plug-ins that own part of the control state.
pub mod control {
    use crate::event::Event;
    use crate::ids::Millis;
    use crate::kernel::{Outbox, State};

    /// A control plug-in. Every event is passed to all of them in rank order.
    #[derive(Debug, Clone, Copy)]
    pub struct Plugin {
        /// Unique name, also used to break ties between equal ranks.
        pub name: &'static str,
        /// Position among the control plug-ins; lower runs first.
        pub rank: u16,
        /// Applies an event to the state.
        pub handle: fn(&mut State, &Event<'_>, Millis, &mut Outbox),
        /// The time of the next `Tick` that the plug-in needs, if any.
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

/// Plug-ins that take part in the scheduling of a pool.
pub mod policy {
    use crate::ids::Millis;
    use crate::outcome::Refusal;
    use crate::peer::Ask;
    use crate::pool::Pool;
    use crate::quarantine::Registry;

    /// The state that a policy may read.
    #[derive(Debug, Clone, Copy)]
    pub struct View<'a> {
        /// The pool.
        pub pool: &'a Pool,
        /// Crash correlation and quarantined bodies.
        pub quarantine: &'a Registry,
        /// The current time.
        pub now: Millis,
    }

    /// Decides whether a request may enter the queue.
    pub type Admit = fn(&View<'_>, &Ask) -> Result<(), Refusal>;
    /// Orders organisations; takes the index of the organisation and the head of its queue.
    pub type Order = fn(&View<'_>, usize, &Ask) -> u64;
    /// Decides whether the target with the given index may take the request.
    pub type Filter = fn(&View<'_>, &Ask, usize) -> bool;
    /// Scores the target with the given index for the request.
    pub type Score = fn(&View<'_>, &Ask, usize) -> i64;

    /// The scheduling stage of a policy, with its function.
    #[derive(Debug, Clone, Copy)]
    pub enum Stage {
        /// Admission of a request to the queue.
        Admit(Admit),
        /// Choice of the organisation to serve next; the lowest value is served first.
        Order(Order),
        /// Exclusion of targets that may not take the request.
        Filter(Filter),
        /// Choice among the remaining targets; the highest score wins.
        Score(Score),
    }

    /// A scheduling policy.
    #[derive(Debug, Clone, Copy)]
    pub struct Plugin {
        /// Unique name, as used in `Configuration.policy`.
        pub name: &'static str,
        /// Position within its stage; lower runs first.
        pub rank: u16,
        /// The stage and its function.
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
