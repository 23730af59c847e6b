//! Applies the decisions of `slack` to the queues of the pools that this VM schedules.

use crate::explain::DecisionLog;
use crate::ids::{Millis, Name};
use crate::in_flight::InFlightRequest;
use crate::intent::Intent;
use crate::kernel::{Outbox, State};
use crate::outcome::{Counter, Reason, Refusal};
use crate::peer::{Advice, Ask, Load, Message, Release};
use crate::pool::{Key, Pool};
use crate::quarantine::Registry;
use crate::queue::QueuedRequest;
use crate::request::{End, Id};
use crate::room::Forecast;
use crate::schedule;
use crate::slack::{self, Decision, Review};
use crate::takeover::Rights;

/// Number of waiting requests that are reviewed in each round, those with the least time first.
const MAX_REVIEWS: usize = 32;
/// Interval at which a pool with waiting requests is scheduled, in milliseconds. An engine reads a
/// prompt of 2,500 tokens in about 180 ms.
const WAITING_INTERVAL_MS: u64 = 50;

/// The ask with the time for which the request may wait for its start in place of the time to its
/// first token, if it is admitted by slack.
pub(crate) fn timed(pool: &Pool, ask: &Ask) -> Option<Ask> {
    if ask.slack.is_none() || !pool.orders_by_slack() {
        return None;
    }
    let ask = Ask { class: pool.classify(ask), ..ask.clone() };
    let max_wait_ms = pool.outlook.useful_wait_ms(&ask);
    Some(Ask { max_wait_ms, ..ask })
}

/// Takes the reservation of a request that returns as told; false if there is none like it.
pub(crate) fn take_return(pool: &mut Pool, ask: &Ask, now: Millis) -> bool {
    let size = pool.projected_kv(ask);
    pool.outlook.take_return(ask, size, now)
}

/// Records the room that a queued request takes.
pub(crate) fn record_size(pool: &mut Pool, ask: &Ask) {
    let size = pool.projected_kv(ask);
    pool.queue.update(&ask.id, |queued| queued.projected_kv = size);
}

/// Decides on a request that has just been admitted to the queue and could not start at once;
/// `may_return` says whether its room was reserved when it was told to retry.
pub(crate) fn decide_new(
    state: &mut State,
    key: &Key,
    id: &Id,
    may_return: bool,
    now: Millis,
    out: &mut Outbox,
) {
    let State { pools, quarantine, .. } = state;
    let Some(pool) = pools.get_mut(key) else {
        return;
    };
    if may_return {
        out.count(Counter::Event("slack_return"));
        // Late is better for its caller than a second refusal.
        let grace_ms = pool.queue.find(id).map_or(0, |queued| queued.ask.max_wait_ms);
        pool.queue.update(id, |queued| queued.grace_ms = grace_ms);
    }
    if pool.queue.find(id).is_some() {
        let forecast = forecast(pool, quarantine, now);
        review(state, key, id, forecast.as_ref(), Some(may_return), now, out);
    }
}

/// Decides on a waiting request. `may_return` is absent if it was admitted earlier, and otherwise
/// says whether its room was reserved when it was told to retry.
fn review(
    state: &mut State,
    key: &Key,
    id: &Id,
    forecast: Option<&Forecast>,
    may_return: Option<bool>,
    now: Millis,
    out: &mut Outbox,
) {
    let State { pools, decisions, .. } = state;
    let Some(pool) = pools.get_mut(key) else {
        return;
    };
    let Some(queued) = pool.queue.find(id).cloned() else {
        return;
    };
    let is_admitted = may_return != Some(false);
    let review = Review { queued: &queued, forecast, is_admitted };
    let decision = slack::decide(pool, &review, now);
    let is_unchanged = may_return.is_none() && matches!(decision, Decision::Wait { .. });
    if !is_unchanged {
        decisions.record(now, id, slack::explain(pool, &queued, &decision, now));
    }
    match decision {
        Decision::Wait { .. } => {}
        Decision::Move(zone) => {
            pool.queue.remove(id);
            pool.outlook.record_move(&zone, &queued);
            out.count(Counter::Event("slack_move"));
            refuse(&queued, Refusal::new(Reason::Busy), Some(Advice::Ask(zone)), out);
        }
        Decision::Refuse { retry_after_ms, is_reservable, is_final } => {
            pool.queue.remove(id);
            let is_final = is_final || !queued.ask.spills;
            if is_final && is_reservable {
                pool.outlook.reserve_return(&queued, retry_after_ms, now);
            }
            out.count(Counter::Event("slack_refusal"));
            let refusal = Refusal::new(Reason::QueueDeadline).with_retry_after(retry_after_ms);
            refuse(&queued, refusal, is_final.then_some(Advice::Stop), out);
        }
    }
}

fn forecast(pool: &Pool, quarantine: &Registry, now: Millis) -> Option<Forecast> {
    let free = schedule::free_room(pool, quarantine, now);
    pool.outlook.forecast(pool, free, now)
}

/// Refuses a request that has reached its latest useful start and was removed from the queue.
pub(crate) fn refuse_overdue(
    pool: &mut Pool,
    quarantine: &Registry,
    decisions: &mut DecisionLog,
    queued: &QueuedRequest,
    now: Millis,
    out: &mut Outbox,
) {
    let forecast = forecast(pool, quarantine, now);
    let (retry_after_ms, is_reservable) =
        slack::overdue_retry_after(pool, queued, forecast.as_ref(), now);
    if is_reservable {
        pool.outlook.reserve_return(queued, retry_after_ms, now);
    }
    let text = format!("slack: latest useful start reached, retry after {retry_after_ms} ms");
    decisions.record(now, &queued.ask.id, text);
    out.count(Counter::Event("slack_overdue"));
    let refusal = Refusal::new(Reason::QueueDeadline).with_retry_after(retry_after_ms);
    refuse(queued, refusal, Some(Advice::Stop), out);
}

fn refuse(queued: &QueuedRequest, refusal: Refusal, advice: Option<Advice>, out: &mut Outbox) {
    let (id, attempt) = (queued.ask.id.clone(), queued.ask.attempt);
    out.send(&id.vm.clone(), Message::Refuse { id, attempt, refusal, advice });
}

/// Records the load that the scheduler of another pool has sent.
pub(crate) fn record_load(state: &mut State, key: &Key, load: Load, now: Millis) {
    let pools = state.pools.pools.values_mut();
    for pool in pools.filter(|pool| pool.key.service == key.service && pool.key != *key) {
        pool.outlook.record_load(&key.zone, load, now);
    }
}

/// Sends the pool's load to the schedulers of the service's other pools, and reviews the waiting
/// requests that have the least time.
pub(crate) fn run_periodic(state: &mut State, key: &Key, now: Millis, out: &mut Outbox) {
    let State { pools, intent, quarantine, members, .. } = state;
    let Some(pool) = pools.get_mut(key).filter(|pool| pool.orders_by_slack()) else {
        return;
    };
    pool.outlook.zones = other_zones(intent, key);
    let forecast = forecast(pool, quarantine, now);
    if matches!(pool.rights, Rights::Holder(_) | Rights::LapsedHolder) {
        let room = schedule::free_room(pool, quarantine, now).iter().sum();
        let load = slack::load(pool, room, forecast.as_ref(), now);
        for zone in &pool.outlook.zones {
            let other = Key { service: key.service.clone(), zone: zone.clone() };
            if let Some((owner, _)) = members.owner(&other) {
                out.send(owner, Message::Load { pool: key.clone(), load });
            }
        }
    }
    let waiting = pool.queue.iter().filter(|queued| queued.ask.slack.is_some());
    let mut waiting: Vec<(Millis, Id)> =
        waiting.map(|queued| (queued.deadline, queued.ask.id.clone())).collect();
    waiting.sort();
    waiting.truncate(MAX_REVIEWS);
    for (_, id) in &waiting {
        review(state, key, id, forecast.as_ref(), None, now, out);
    }
}

/// Schedules the pools with waiting requests again after a short time, because prompts are taken as
/// read without an event that says so.
pub(crate) fn run_waiting(state: &mut State, now: Millis, out: &mut Outbox) {
    if state.pools.next_waiting_run.is_some_and(|at| at <= now) {
        state.pools.next_waiting_run = None;
        for key in waiting_pools(state) {
            schedule::run(state, &key, now, out);
        }
    }
    if state.pools.next_waiting_run.is_none() && !waiting_pools(state).is_empty() {
        state.pools.next_waiting_run = Some(now.after(WAITING_INTERVAL_MS));
    }
}

fn waiting_pools(state: &State) -> Vec<Key> {
    let pools = state.pools.iter();
    let waiting = pools.filter(|pool| pool.orders_by_slack() && !pool.queue.is_empty());
    waiting.map(|pool| pool.key.clone()).collect()
}

/// The other zones in service that have targets of the service.
fn other_zones(intent: &Intent, key: &Key) -> Vec<Name> {
    let targets = intent.targets().into_iter().map(|(_, target)| target);
    let usable = targets.filter(|target| target.service == key.service && !target.leaving);
    let mut zones: Vec<Name> = usable.map(|target| target.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones.retain(|zone| *zone != key.zone && !intent.is_zone_out(zone));
    zones
}

/// Records how fast a target served a request that was admitted by slack.
pub(crate) fn record_end(
    pool: &mut Pool,
    running: &InFlightRequest,
    release: &Release,
    now: Millis,
) {
    let first_ms = release.first_token_ms.filter(|_| running.ask.slack.is_some());
    let Some(first_ms) = first_ms.and_then(|first_ms| running.first_token_ms(first_ms)) else {
        return;
    };
    pool.outlook.record_first_token(running.ask.class, first_ms);
    if release.end == End::Complete && release.tokens >= slack::MIN_PACE_TOKENS {
        let ms = now.since(running.granted_at).saturating_sub(first_ms.into());
        pool.outlook.record_pace(release.tokens, ms);
    }
}
