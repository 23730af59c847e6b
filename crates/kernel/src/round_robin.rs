//! Prefers the target whose latest grant is the oldest; a baseline.

use crate::peer::Ask;
use crate::plugin::policy;

inventory::submit! {
    policy::Plugin { name: "round-robin", rank: 40, stage: policy::Stage::Score(score) }
}

fn score(view: &policy::View<'_>, _ask: &Ask, ix: usize) -> i64 {
    -i64::try_from(view.pool.targets[ix].last_grant).unwrap_or(i64::MAX)
}
