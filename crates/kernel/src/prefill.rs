//! Avoids targets that still have prompts of other requests to prefill.
//!
//! An engine prefills one prompt after another, so that a first token waits for all prompts before
//! it. A target that has just started has the most free memory and would otherwise get every
//! request.

use crate::peer::Ask;
use crate::plugin::policy;

/// Number of pending prompts on a target from which on a request that may spill goes elsewhere.
const MAX_PENDING_PROMPTS: usize = 2;
/// Number of prompts without a known first token from which on no request starts, however long ago
/// they began: the target may be slower than others.
const MAX_UNKNOWN_PROMPTS: usize = 4 * MAX_PENDING_PROMPTS;
/// Weight of pending prompts against memory in use, both as parts of the target's memory. Prompts
/// are a small part of it, and their prefill takes most of the time to the first token.
const PENDING_PROMPT_WEIGHT: u64 = 4;
/// Score of a full target; scores are in thousandths of it.
const FULL_TARGET_SCORE: u64 = 1_000;

inventory::submit! {
    policy::Plugin { name: "prefill", rank: 40, stage: policy::Stage::Filter(filter) }
}

inventory::submit! {
    policy::Plugin { name: "prefill", rank: 30, stage: policy::Stage::Score(score) }
}

/// Returns the prompt lengths in tokens of the requests on a target that have no token yet.
fn pending_prompts<'a>(view: &'a policy::View<'_>, ix: usize) -> impl Iterator<Item = u32> + 'a {
    let in_flight = view.pool.targets[ix].in_flight.iter();
    let running = in_flight.filter_map(|id| view.pool.in_flight.get(id));
    // A relocated generation brings its KV memory along.
    let pending = running.filter(|running| running.tokens == 0 && !running.ask.has_kv_copy());
    pending.map(|running| running.ask.prompt_tokens)
}

/// Only a request that may go to another pool is kept away: a late first token is better than none.
fn filter(view: &policy::View<'_>, ask: &Ask, ix: usize) -> bool {
    let is_engine = view.pool.targets[ix].kv_capacity() > 0;
    let may_wait = (ask.spills || ask.slack.is_some()) && ask.generated_tokens == 0 && is_engine;
    !may_wait
        || pending_prompts(view, ix).count() < MAX_PENDING_PROMPTS
        || (ask.slack.is_some() && has_read_prompts(view, ix))
}

/// Returns whether the target should have read all but one of its pending prompts by now.
///
/// A first token is known only with the next progress, up to 500 ms late. Requests that wait in one
/// queue would otherwise start no faster than two in that time.
fn has_read_prompts(view: &policy::View<'_>, ix: usize) -> bool {
    let in_flight = view.pool.targets[ix].in_flight.iter();
    let running = in_flight.filter_map(|id| view.pool.in_flight.get(id));
    let (mut unknown, mut unread) = (0, 0);
    for running in running.filter(|running| running.has_no_output()) {
        let first_ms = view.pool.outlook.first_token_ms(running.ask.class);
        unknown += 1;
        unread += usize::from(
            first_ms.is_none_or(|first_ms| view.now.since(running.granted_at) < first_ms),
        );
    }
    unread < MAX_PENDING_PROMPTS && unknown < MAX_UNKNOWN_PROMPTS
}

fn score(view: &policy::View<'_>, _ask: &Ask, ix: usize) -> i64 {
    let pending: u64 = pending_prompts(view, ix).map(u64::from).sum();
    let capacity = view.pool.targets[ix].kv_capacity();
    let share =
        (pending * PENDING_PROMPT_WEIGHT * FULL_TARGET_SCORE).checked_div(capacity).unwrap_or(0);
    -i64::try_from(share).unwrap_or(i64::MAX)
}
