//! Limits the concurrent requests of each target, with a slow start for cold targets.

use serde::{Deserialize, Serialize};

use crate::peer::Ask;
use crate::plugin::policy;
use crate::resource;

/// The slow start of a target, from its cold limit to its warm limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ramp {
    /// Concurrent requests allowed while it is cold.
    pub limit: u32,
    /// Number of successful answers at this limit.
    pub answers: u32,
    /// The target may be given its full load.
    pub warm: bool,
}

impl Ramp {
    /// Returns a ramp at its start.
    pub fn cold(spec: &resource::Target) -> Ramp {
        Ramp { limit: spec.cold_limit.max(1), answers: 0, warm: false }
    }

    /// Returns a ramp at its end.
    pub fn warm(spec: &resource::Target) -> Ramp {
        Ramp { limit: spec.warm_limit, answers: 0, warm: true }
    }

    /// Ends a ramp that has reached the warm limit. The target must report warm.
    pub(crate) fn promote_at_warm_limit(&mut self, spec: &resource::Target) {
        if self.limit >= spec.warm_limit {
            *self = Ramp::warm(spec);
        }
    }

    /// Counts a successful answer of a target that reports warm; the limit doubles after as many
    /// answers as it allows requests.
    pub(crate) fn record_success(&mut self, spec: &resource::Target) {
        if self.warm {
            return;
        }
        self.answers += 1;
        if self.answers >= self.limit {
            self.answers = 0;
            self.limit = self.limit.saturating_mul(2);
        }
        self.promote_at_warm_limit(spec);
    }
}

inventory::submit! {
    policy::Plugin { name: "ramp", rank: 20, stage: policy::Stage::Filter(filter) }
}

fn filter(view: &policy::View<'_>, _ask: &Ask, ix: usize) -> bool {
    let target = &view.pool.targets[ix];
    !target.is_cold_rate_reached(view.now)
        && view.pool.occupancy(ix) < view.pool.concurrency_limit(target)
}
