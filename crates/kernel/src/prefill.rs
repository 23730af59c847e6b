//! Keeps requests from targets that still read the prompts of others.
//!
//! An engine reads one prompt after the other, so a first token waits for all prompts before it. A
//! target that has just started has the freest memory and would otherwise get every request.

use crate::peer::Ask;
use crate::plugin::policy;

/// Requests without a first token on a target from which on others are asked to take the next one.
const PENDING_PROMPTS_MAX: usize = 2;
/// Weight of unread prompts against memory in use, both in parts of the target's memory. Prompts are
/// a small part of it, and reading them takes most of the time to the first token.
const PENDING_PROMPT_WEIGHT: u64 = 4;
/// Scores are in thousandths of a full target.
const FULL_TARGET_SCORE: u64 = 1_000;

inventory::submit! {
    policy::Plugin { name: "prefill", rank: 40, stage: policy::Stage::Filter(filter) }
}

inventory::submit! {
    policy::Plugin { name: "prefill", rank: 30, stage: policy::Stage::Score(score) }
}

/// Prompt lengths in tokens of the requests on a target that have no token yet.
fn pending_prompts<'a>(view: &'a policy::View<'_>, ix: usize) -> impl Iterator<Item = u32> + 'a {
    let in_flight = view.pool.targets[ix].in_flight.iter();
    let running = in_flight.filter_map(|id| view.pool.in_flight.get(id));
    // A generation that moves brings its memory along.
    let pending = running.filter(|running| running.tokens == 0 && running.ask.made == 0);
    pending.map(|running| running.ask.prompt_tokens)
}

/// Only a request that another pool may take is kept away; a late token is better than none.
fn filter(view: &policy::View<'_>, ask: &Ask, ix: usize) -> bool {
    let is_engine = view.pool.targets[ix].kv_capacity() > 0;
    let may_wait = ask.spills && ask.made == 0 && is_engine;
    !may_wait || pending_prompts(view, ix).count() < PENDING_PROMPTS_MAX
}

fn score(view: &policy::View<'_>, _ask: &Ask, ix: usize) -> i64 {
    let pending: u64 = pending_prompts(view, ix).map(u64::from).sum();
    let capacity = view.pool.targets[ix].kv_capacity();
    let share =
        (pending * PENDING_PROMPT_WEIGHT * FULL_TARGET_SCORE).checked_div(capacity).unwrap_or(0);
    -i64::try_from(share).unwrap_or(i64::MAX)
}
