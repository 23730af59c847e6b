//! Places prompts where they do not interrupt running streams for too long, and long generations on
//! fast targets.
//!
//! An engine that processes a prompt delays every event of the streams beside it. The policy only
//! ranks targets: a stream with a pause is better than a request that does not run.

use crate::event::Event;
use crate::ids::Millis;
use crate::intent::Intent;
use crate::kernel::{Outbox, State};
use crate::pace::{Pace, Reading};
use crate::peer::{Ask, Message, Release, TargetPace};
use crate::plugin::{control, policy};
use crate::pool::{Key, Pool};
use crate::request::Class;

/// Name of the policy in `Configuration.policy.score`.
pub(crate) const NAME: &str = "pauses";
/// Score of a target where running streams would break their bound. It outweighs the other scores,
/// which are some thousands at most.
const BREAKS_BOUND_SCORE: i64 = 100_000;
/// Score of each of these streams, so that among such targets the fewest streams are interrupted.
const STREAM_SCORE: i64 = 1_000;
/// Score of a target whose streams would just keep their bound; a full target has -1,000 by
/// `kvload`.
const NEAR_BOUND_SCORE: i64 = 300;
/// Number of running streams from which the score of a target does not change further.
const MAX_STREAMS: i64 = 8;
/// Score of a target for a long generation that takes twice the time of the fastest per event.
const LONG_SLOWNESS_SCORE: i64 = 400;
/// Score of such a target for a short one, in the other direction: the fast targets are left to long
/// generations.
const SHORT_SLOWNESS_SCORE: i64 = 100;
/// Score of a target that takes twice the time of the fastest per prompt token.
const PROMPT_SLOWNESS_SCORE: i64 = 100;
/// Score of a prompt that a target has not processed yet, for a long generation.
const PENDING_PROMPT_SCORE: i64 = 100;
/// Slowness from which the score does not change further, in thousandths above the fastest target.
const MAX_SLOWNESS: u64 = 2_000;

inventory::submit! {
    policy::Plugin { name: NAME, rank: 35, stage: policy::Stage::Score(score) }
}

// It runs before the plug-in of pools, which removes a request that has ended.
inventory::submit! {
    control::Plugin { name: NAME, rank: 55, handle, wakeup: |_| None }
}

/// Whether the pools of a service are scheduled by this policy.
pub(crate) fn is_on(intent: &Intent, service: &str) -> bool {
    let config = intent.configuration_for(service);
    config.is_some_and(|config| config.policy.score.iter().any(|name| **name == *NAME))
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, _out: &mut Outbox) {
    match event {
        Event::Peer { message: Message::Progress { pool, pace, .. }, .. } if !pace.is_empty() => {
            record_events(state, pool, pace, now);
        }
        Event::Peer { message: Message::Release(release), .. } => {
            record_first_event(state, release, now);
        }
        _ => {}
    }
}

fn record_events(state: &mut State, key: &Key, pace: &[TargetPace], now: Millis) {
    let bound_ms = pause_bound_ms(&state.intent, &key.service);
    let Some(pool) = state.pools.get_mut(key) else {
        return;
    };
    pool.paces.bound_ms = bound_ms;
    for entry in pace {
        let Some(ix) = pool.target_index(&entry.target) else {
            continue;
        };
        let beside_prompt = pending_prompts(pool, ix) > 0;
        let (gaps, total_ms, worst_ms) = (entry.gaps, entry.total_ms, entry.worst_ms);
        let reading = Reading { gaps, total_ms, worst_ms };
        pool.paces.entry(&entry.target).record_events(reading, beside_prompt, now);
    }
    let Pool { paces, targets, .. } = pool;
    paces.retain(|name| targets.iter().any(|target| *target.name == *name));
}

fn record_first_event(state: &mut State, release: &Release, now: Millis) {
    if !is_on(&state.intent, &release.pool.service) {
        return;
    }
    let Some(pool) = state.pools.get_mut(&release.pool) else {
        return;
    };
    let running = pool.in_flight.get(&release.id);
    let Some(running) = running.filter(|running| running.ask.generated_tokens == 0) else {
        return;
    };
    if let Some(first_ms) = release.first_token_ms {
        let waited_ms = u32::try_from(running.ask.waited_ms).unwrap_or(u32::MAX);
        let prompt_tokens = running.ask.prompt_tokens;
        let pace = pool.paces.entry(&release.target);
        pace.record_first_event(first_ms.saturating_sub(waited_ms), prompt_tokens, now);
    }
}

/// The shortest bound on pauses of the streaming routes that use a service.
fn pause_bound_ms(intent: &Intent, service: &str) -> Option<u64> {
    let routes = intent.routes().map(|(_, route)| route);
    let routes = routes.filter(|route| route.shares.iter().any(|share| *share.service == *service));
    routes.filter_map(|route| route.target_pause_ms).min()
}

/// Number of prompts that a target has not processed yet.
fn pending_prompts(pool: &Pool, ix: usize) -> usize {
    let running = pool.targets[ix].in_flight.iter().filter_map(|id| pool.in_flight.get(id));
    running.filter(|running| running.has_no_output()).count()
}

/// Number of streams that a prompt on the target would delay.
fn running_streams(pool: &Pool, ix: usize) -> i64 {
    let streams = pool.targets[ix].in_flight_count() as usize - pending_prompts(pool, ix);
    i64::try_from(streams).unwrap_or(i64::MAX)
}

/// Whether a prompt on the target is likely to break the bound of the streams there.
pub(crate) fn breaks_bound(view: &policy::View<'_>, ask: &Ask, ix: usize) -> bool {
    let pool = view.pool;
    let pace = pool.paces.get(&pool.targets[ix].name);
    let pause_ms = pace.and_then(|pace| pace.pause_beside_prompt_ms(view.now));
    let is_exceeded = pause_ms.zip(pool.paces.bound_ms).is_some_and(|(pause, bound)| pause > bound);
    // A moved generation brings its KV memory along.
    is_exceeded && ask.generated_tokens == 0 && running_streams(pool, ix) > 0
}

fn score(view: &policy::View<'_>, ask: &Ask, ix: usize) -> i64 {
    let pool = view.pool;
    let pending = i64::try_from(pending_prompts(pool, ix)).unwrap_or(i64::MAX);
    let pending_score = match ask.class {
        Class::Long => pending * PENDING_PROMPT_SCORE,
        Class::Short => 0,
    };
    let Some(pace) = pool.paces.get(&pool.targets[ix].name) else {
        return -pending_score;
    };
    -pending_score - pause_score(view, ask, ix, pace) - slowness_score(view, ask, pace)
}

fn pause_score(view: &policy::View<'_>, ask: &Ask, ix: usize, pace: &Pace) -> i64 {
    let streams = running_streams(view.pool, ix);
    if breaks_bound(view, ask, ix) {
        return BREAKS_BOUND_SCORE + streams * STREAM_SCORE;
    }
    let pause_ms = pace.pause_beside_prompt_ms(view.now);
    let share = pause_ms.zip(view.pool.paces.bound_ms).map_or(0, |(pause_ms, bound_ms)| {
        i64::try_from((pause_ms * 1_000).checked_div(bound_ms).unwrap_or(0)).unwrap_or(0)
    });
    match ask.generated_tokens {
        0 => NEAR_BOUND_SCORE * share.min(1_000) / 1_000 * streams.min(MAX_STREAMS) / MAX_STREAMS,
        _ => 0,
    }
}

fn slowness_score(view: &policy::View<'_>, ask: &Ask, pace: &Pace) -> i64 {
    let (best_event, best_prompt) = view.pool.paces.best_us(view.now);
    let events = slowness(pace.event_us(view.now), best_event);
    let prompts = slowness(pace.prompt_us(view.now), best_prompt);
    let weighted = match ask.class {
        Class::Long => events * LONG_SLOWNESS_SCORE,
        Class::Short => -events * SHORT_SLOWNESS_SCORE,
    };
    (weighted + prompts * PROMPT_SLOWNESS_SCORE) / 1_000
}

/// How much more time a target takes than the fastest, in thousandths.
fn slowness(us: Option<u64>, best_us: Option<u64>) -> i64 {
    let permille = us.zip(best_us).and_then(|(us, best)| (us * 1_000).checked_div(best));
    let above = permille.unwrap_or(1_000).saturating_sub(1_000).min(MAX_SLOWNESS);
    i64::try_from(above).unwrap_or(0)
}

/// Describes what is known of a target's pace, for the log of a request; empty if nothing is.
pub(crate) fn describe(pool: &Pool, ix: usize, now: Millis) -> String {
    let pace = pool.paces.get(&pool.targets[ix].name);
    let Some((pace, age_ms)) = pace.and_then(|pace| Some((pace, pace.age_ms(now)?))) else {
        return String::new();
    };
    format!(
        ", {} us per event, worst pause {} ms, {} us per prompt token, at {age_ms} ms",
        pace.event_us(now).unwrap_or(0),
        pace.worst_ms(now),
        pace.prompt_us(now).unwrap_or(0),
    )
}
