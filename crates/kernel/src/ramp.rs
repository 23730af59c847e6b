//! Limits the concurrent work of each target: cold targets strictly, warm ones by their limit.

use serde::{Deserialize, Serialize};

use crate::peer::Ask;
use crate::plugin::policy;
use crate::resource;

/// How far a target has come from cold to warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ramp {
    /// Concurrent requests allowed while it is cold.
    pub limit: u32,
    /// Successful answers at this limit.
    pub answers: u32,
    /// It carries its full load.
    pub warm: bool,
}

impl Ramp {
    /// A ramp at its start.
    pub fn cold(spec: &resource::Target) -> Ramp {
        Ramp { limit: spec.cold_limit.max(1), answers: 0, warm: false }
    }

    /// A ramp at its end.
    pub fn warm(spec: &resource::Target) -> Ramp {
        Ramp { limit: spec.warm_limit, answers: 0, warm: true }
    }

    /// Ends a ramp that has reached the warm limit; its target reports warm.
    pub(crate) fn promote_at_warm_limit(&mut self, spec: &resource::Target) {
        if self.limit >= spec.warm_limit {
            *self = Ramp::warm(spec);
        }
    }

    /// Counts a successful answer of a target that reports warm.
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
