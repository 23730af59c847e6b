//! Prefers a target that is likely to have cached the prompt's prefix.

use crate::peer::Ask;
use crate::plugin::policy;

/// Score of a fully cached prompt: as much as a third of a target's load.
const FULLY_CACHED_SCORE: usize = 333;

inventory::submit! {
    policy::Plugin { name: "affinity", rank: 20, stage: policy::Stage::Score(score) }
}

fn score(view: &policy::View<'_>, ask: &Ask, ix: usize) -> i64 {
    let cached = view.pool.targets[ix].cached_prefix_count(&ask.prefixes);
    let part = cached * FULLY_CACHED_SCORE / ask.prefixes.len().max(1);
    part as i64
}
