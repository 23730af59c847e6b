//! The exposure to a new version in one pool, counted by the pool's scheduler from its own grants.

use crate::ids::{Millis, Name, Revision};
use crate::in_flight::InFlightRequest;
use crate::kernel::Outbox;
use crate::outcome::Counter;
use crate::peer::{Ask, Release};
use crate::plugin::policy;
use crate::pool::Pool;
use crate::request::End;
use crate::rollout::{is_within_share, Gate};
use crate::rollout_judge::trips_breaker;

inventory::submit! {
    policy::Plugin { name: "rollout", rank: 5, stage: policy::Stage::Filter(filter) }
}

/// Which versions of a service may get requests, as the control plug-in last determined it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The order's row version.
    pub order: Revision,
    /// The new version.
    pub to: Name,
    /// Which versions are open.
    pub gate: Gate,
    /// Versions of earlier roll-outs that were not found good; they get nothing.
    pub closed: Vec<Name>,
}

/// The plan of a pool's service, and what the pool's scheduler has granted under the order.
#[derive(Debug)]
pub(crate) struct Exposure {
    pub(crate) plan: Plan,
    granted: u64,
    granted_new: u64,
    /// Bad and all ended attempts of other versions and of the new one.
    old: (u32, u32),
    new: (u32, u32),
    /// The new version failed by the pool's own count.
    pub(crate) is_tripped: bool,
}

impl Plan {
    /// Whether the plan leaves a version open apart from its share.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Revision;
    /// use hornbeamloom_kernel::rollout::Gate;
    /// use hornbeamloom_kernel::rollout_pool::Plan;
    ///
    /// let plan =
    ///     Plan { order: Revision(1), to: "v2".into(), gate: Gate::NewOnly, closed: Vec::new() };
    /// assert!(plan.is_open(Some("v2")));
    /// assert!(!plan.is_open(Some("v1")));
    /// assert!(!plan.is_open(None));
    /// ```
    pub fn is_open(&self, version: Option<&str>) -> bool {
        let is_new = version == Some(&*self.to);
        if !is_new
            && version.is_some_and(|version| self.closed.iter().any(|closed| **closed == *version))
        {
            return false;
        }
        match self.gate {
            Gate::OldOnly => !is_new,
            Gate::NewOnly => is_new,
            Gate::Shared { .. } | Gate::Open => true,
        }
    }
}

impl Exposure {
    pub(crate) fn new(plan: Plan) -> Exposure {
        let none = (0, 0);
        Exposure { plan, granted: 0, granted_new: 0, old: none, new: none, is_tripped: false }
    }

    /// Takes over a plan; the counts start anew with another order.
    pub(crate) fn update(&mut self, plan: &Plan) {
        match self.plan.order == plan.order {
            true => self.plan.clone_from(plan),
            false => *self = Exposure::new(plan.clone()),
        }
    }

    fn is_new(&self, version: Option<&Name>) -> bool {
        version == Some(&self.plan.to)
    }

    /// Whether a target of `version` may get a request now.
    pub(crate) fn allows(&self, version: Option<&Name>, now: Millis) -> bool {
        if !self.plan.is_open(version.map(|version| &**version)) {
            return false;
        }
        match self.plan.gate {
            Gate::Shared { permille, until } if self.is_new(version) => {
                now < until
                    && !self.is_tripped
                    && is_within_share(self.granted_new, self.granted, permille)
            }
            _ => true,
        }
    }

    /// Counts a grant. A request that was tried elsewhere before is not another request of which the
    /// new version may get a share.
    pub(crate) fn record_grant(&mut self, running: &InFlightRequest) {
        self.granted += u64::from(is_first(&running.ask));
        self.granted_new += u64::from(self.is_new(running.version.as_ref()));
    }

    /// Takes back a grant that reached no target.
    pub(crate) fn revoke_grant(&mut self, running: &InFlightRequest) {
        if running.order != Some(self.plan.order) {
            return;
        }
        self.granted = self.granted.saturating_sub(u64::from(is_first(&running.ask)));
        let is_new = self.is_new(running.version.as_ref());
        self.granted_new = self.granted_new.saturating_sub(u64::from(is_new));
    }

    /// Counts the end of an attempt; returns whether the new version is found failing by it.
    pub(crate) fn record_end(&mut self, running: &InFlightRequest, end: End) -> bool {
        let bad = match end {
            End::Unsent => {
                self.revoke_grant(running);
                return false;
            }
            End::Complete => 0,
            End::Failed | End::Broken | End::Died => 1,
            End::Rejected | End::Moved | End::Cancelled => return false,
        };
        if running.order != Some(self.plan.order) {
            return false;
        }
        let counts = match running.version.as_ref() == Some(&self.plan.to) {
            true => &mut self.new,
            false => &mut self.old,
        };
        *counts = (counts.0 + bad, counts.1 + 1);
        let was_tripped = self.is_tripped;
        self.is_tripped |= trips_breaker(self.old, self.new);
        self.is_tripped && !was_tripped
    }

    /// Describes the counts, for the log line of a grant.
    pub(crate) fn describe(&self) -> String {
        // Versions without an order are held back without any counts.
        if self.plan.order == Revision(0) {
            return String::new();
        }
        format!(
            ", {} of {} grants since the roll-out order for {}",
            self.granted_new, self.granted, self.plan.to
        )
    }
}

/// Whether an ask is the first one of its request, as far as it shows.
fn is_first(ask: &Ask) -> bool {
    ask.exclude.is_empty() && ask.generated_tokens == 0
}

impl Pool {
    /// Whether a roll-out leaves the target with index `ix` open.
    pub(crate) fn is_version_open(&self, ix: usize, now: Millis) -> bool {
        let version = self.targets[ix].spec.version.as_ref();
        self.exposure.as_ref().is_none_or(|exposure| exposure.allows(version, now))
    }

    /// Applies the plan of the service; `None` ends the roll-out.
    pub(crate) fn apply_plan(&mut self, plan: Option<&Plan>) {
        match (plan, &mut self.exposure) {
            (Some(plan), Some(exposure)) => exposure.update(plan),
            (Some(plan), None) => self.exposure = Some(Exposure::new(plan.clone())),
            (None, _) => self.exposure = None,
        }
    }

    /// Number of grants to the new version, and of all grants, since the order.
    pub fn exposure(&self) -> Option<(u64, u64)> {
        self.exposure.as_ref().map(|exposure| (exposure.granted_new, exposure.granted))
    }
}

/// Allows the targets of the versions that the roll-out leaves open.
///
/// A repeated request does not get a target of a version that is still being judged: that its first
/// attempt failed may be the fault of this version.
fn filter(view: &policy::View<'_>, ask: &Ask, target: usize) -> bool {
    let is_exposed = view.pool.exposure.as_ref().is_some_and(|exposure| {
        matches!(exposure.plan.gate, Gate::Shared { .. })
            && exposure.is_new(view.pool.targets[target].spec.version.as_ref())
    });
    view.pool.is_version_open(target, view.now) && (is_first(ask) || !is_exposed)
}

/// Records how a granted request ended, and tells when the new version is closed because of it.
pub(crate) fn record_end(
    pool: &mut Pool,
    running: &InFlightRequest,
    release: &Release,
    out: &mut Outbox,
) {
    let Some(exposure) = &mut pool.exposure else {
        return;
    };
    if exposure.record_end(running, release.end) {
        out.count(Counter::Event("rollout_breaker"));
        out.warn(format!(
            "request={} rollout service={} breaker: the version fails here{}",
            release.id,
            pool.key.service,
            exposure.describe()
        ));
    }
}
