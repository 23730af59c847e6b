//! Orders and admits requests by how long each can still wait for its first token.
//!
//! The `Order` policy `slack` switches this on for model services. An entry VM then asks one pool
//! and waits in its queue; the scheduler of the pool predicts the start from the rate at which room
//! has been freed, and lets the request wait, moves it to a pool that can start it in time, or
//! refuses it with the time at which a retry finds room. Decisions are functions over views.

use std::collections::VecDeque;

use crate::ids::{Millis, Name};
use crate::map::Map;
use crate::peer::{Ask, Load};
use crate::plugin::policy;
use crate::pool::Pool;
use crate::queue::{Queue, QueuedRequest};
use crate::request::{Class, Id};
use crate::resource::{Protocol, Route};
use crate::retry;
use crate::room::{self, Forecast};

/// Name of the `Order` policy that switches on admission by slack.
pub const ORDER: &str = "slack";
/// Number of starts over which the rate is measured: four seconds of a pool with a dozen engines.
const MAX_STARTS: usize = 64;
/// Smallest number of starts that gives a rate.
const MIN_STARTS: usize = 8;
/// Age up to which the rate of an earlier shortage is used, in milliseconds.
const MAX_RATE_AGE_MS: u64 = 10_000;
/// Differences in service below this many tokens do not decide between organisations. It is less
/// than the service of two long generations.
const FAIR_STEP_TOKENS: u64 = 4_000;
/// Thousandths of a token in the service counters.
const SERVICE_SCALE: u64 = 1_000;
/// A request moves to another pool only if it gains at least this much, in milliseconds. A move
/// takes two messages, and the load of the other pool is up to 250 ms old.
const MOVE_GAIN_MS: u64 = 250;
/// Expected wait up to which a request does not move for free room elsewhere, in milliseconds.
const SHORT_WAIT_MS: u64 = 100;
/// A pool must have this many times the room that a request takes, because other schedulers know of
/// the same room.
const ROOM_MARGIN: u64 = 2;
/// Age from which the load of another pool is unknown, in milliseconds; it is sent every 250 ms.
const MAX_LOAD_AGE_MS: u64 = 1_500;
/// A caller that was told to retry may be early by this much, in milliseconds.
const RETURN_EARLY_MS: u64 = 100;
/// Room stays reserved for a caller for this time after it should have returned, in milliseconds.
const RETURN_GRACE_MS: u64 = 750;
/// Limit on the returns for which room is reserved.
const MAX_RETURNS: usize = 1_024;
/// Shortest `Retry-After`, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 200;
/// One part in this many of a `Retry-After` is jitter.
const JITTER_DIVISOR: u64 = 8;
/// Bounds of the time reserved for the first token, as divisors of the latency target. Half of it
/// is also used before any first token was seen, as for other requests of routes.
const MAX_FIRST_TOKEN_DIVISOR: u64 = 2;
const MIN_FIRST_TOKEN_DIVISOR: u64 = 8;
/// Smoothing of first-token times, as for round-trip times in TCP (RFC 6298).
const MEAN_DIVISOR: i64 = 8;
const DEVIATION_DIVISOR: i64 = 4;
const DEVIATIONS: i64 = 2;
/// Smoothing of the time for each token.
const PACE_DIVISOR: u64 = 8;
/// Fewest tokens of a generation that shows the time for each token.
pub(crate) const MIN_PACE_TOKENS: u32 = 64;
/// A waiting request is refused early only if its expected wait exceeds its time left by this
/// factor, because predictions vary.
const EARLY_REFUSAL_FACTOR: u64 = 2;

/// Whether the routes of a configuration gain by order `slack`: two kinds of stream share a service,
/// and the more urgent one is due earlier, so that the other one has time to let it pass. Where the
/// streams that are due later are the more urgent ones, both orders agree on who is first.
///
/// ```
/// use hornbeamloom_kernel::slack;
///
/// assert!(!slack::suits(std::iter::empty()));
/// ```
pub fn suits<'a>(routes: impl Iterator<Item = &'a Route>) -> bool {
    let streams: Vec<&Route> = routes.filter(|route| route.streaming).collect();
    let shares_service = |one: &Route, other: &Route| {
        one.shares.iter().any(|share| other.shares.iter().any(|o| o.service == share.service))
    };
    streams.iter().any(|urgent| {
        streams.iter().any(|other| {
            urgent.priority < other.priority
                && urgent.target_latency_ms < other.target_latency_ms
                && shares_service(urgent, other)
        })
    })
}

inventory::submit! {
    policy::Plugin { name: ORDER, rank: 30, stage: policy::Stage::Order(order) }
}

impl Pool {
    /// Returns whether the pool's targets are model engines.
    pub(crate) fn is_model(&self) -> bool {
        self.protocol == Protocol::Model
    }

    /// Returns whether requests are admitted and ordered by slack.
    pub(crate) fn orders_by_slack(&self) -> bool {
        self.is_model() && *self.config.policy.order == *ORDER
    }
}

/// Orders by priority, then by fair share in steps, then by the latest useful start.
fn order(view: &policy::View<'_>, organisation: usize, head: &Ask) -> u64 {
    let organisations = &view.pool.queue.organisations;
    let own = &organisations[organisation];
    if !view.pool.is_model() {
        return own.service_counter;
    }
    let backlogged = organisations.iter().filter(|organisation| !organisation.is_empty());
    let lowest = backlogged.map(|organisation| organisation.service_counter).min().unwrap_or(0);
    let ahead = own.service_counter.saturating_sub(lowest);
    let step = ahead / (FAIR_STEP_TOKENS * SERVICE_SCALE);
    let first = own.waiting(head.class).front();
    let deadline = first.map_or(u64::MAX, |queued| queued.deadline.0);
    rank(priority(head), step, deadline.saturating_sub(view.now.0))
}

/// Packs priority, step of fair share and time left into a number that sorts in this order.
fn rank(priority: u8, step: u64, left_ms: u64) -> u64 {
    let step = step.min((1 << 24) - 1);
    let left_ms = left_ms.min(u64::from(u32::MAX));
    u64::from(priority) << 56 | step << 32 | left_ms
}

/// The priority of a request, 0 being the most urgent.
fn priority(ask: &Ask) -> u8 {
    ask.priority.unwrap_or(ask.class as u8)
}

/// Whether a waiting request has so much time that others may pass it.
pub(crate) fn may_be_passed(queued: &QueuedRequest, now: Millis) -> bool {
    queued.ask.slack.is_some() && queued.deadline.since(now) > now.since(queued.arrived)
}

/// How fast room is freed, from the starts of a pool with a backlog.
#[derive(Debug, Default)]
struct RoomRate {
    starts: VecDeque<(Millis, u64)>,
    /// Tokens and milliseconds of an earlier backlog, and when it ended.
    earlier: Option<(u64, u64, Millis)>,
}

impl RoomRate {
    fn record(&mut self, tokens: u64, now: Millis) {
        if self.starts.len() == MAX_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back((now, tokens));
    }

    /// Forgets the starts: without a backlog they show the demand and not the capacity.
    fn reset(&mut self, now: Millis) {
        if let Some((tokens, span_ms)) = self.measured(now) {
            self.earlier = Some((tokens, span_ms, now));
        }
        self.starts.clear();
    }

    fn measured(&self, now: Millis) -> Option<(u64, u64)> {
        let (oldest, _) = self.starts.front()?;
        let tokens = self.starts.iter().skip(1).map(|(_, tokens)| tokens).sum::<u64>();
        let is_known = self.starts.len() >= MIN_STARTS && tokens > 0;
        is_known.then(|| (tokens, now.since(*oldest).max(1)))
    }

    /// Tokens of room freed in a number of milliseconds.
    fn get(&self, now: Millis) -> Option<(u64, u64)> {
        let earlier = self.earlier.filter(|(_, _, at)| now.since(*at) <= MAX_RATE_AGE_MS);
        self.measured(now).or(earlier.map(|(tokens, span_ms, _)| (tokens, span_ms)))
    }

    fn time_for(&self, tokens: u64, now: Millis) -> Option<u64> {
        let (freed, span_ms) = self.get(now)?;
        Some(tokens.saturating_mul(span_ms) / freed)
    }
}

/// Smoothed time from a start to the first token.
#[derive(Debug, Clone, Copy)]
struct FirstToken {
    mean_ms: i64,
    deviation_ms: i64,
}

impl FirstToken {
    fn update(previous: Option<FirstToken>, sample_ms: u32) -> FirstToken {
        let sample_ms = i64::from(sample_ms);
        let Some(FirstToken { mean_ms, deviation_ms }) = previous else {
            return FirstToken { mean_ms: sample_ms, deviation_ms: sample_ms / 2 };
        };
        let error_ms = sample_ms - mean_ms;
        FirstToken {
            mean_ms: mean_ms + error_ms / MEAN_DIVISOR,
            deviation_ms: deviation_ms + (error_ms.abs() - deviation_ms) / DEVIATION_DIVISOR,
        }
    }

    fn mean_ms(self) -> u64 {
        u64::try_from(self.mean_ms).unwrap_or(0)
    }

    /// The time within which nearly all first tokens come.
    fn expected_ms(self) -> u64 {
        u64::try_from(self.mean_ms + DEVIATIONS * self.deviation_ms).unwrap_or(0)
    }
}

/// Room reserved for a request that was told to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Return {
    due: Millis,
    priority: u8,
    tokens: u64,
}

/// The load of another pool of the service, with what was moved there since it was received.
#[derive(Debug, Clone, Copy)]
struct KnownLoad {
    load: Load,
    received_at: Millis,
    moved_tokens: u64,
}

impl KnownLoad {
    fn room(&self) -> u64 {
        self.load.room.saturating_sub(self.moved_tokens)
    }

    fn wait_ms(&self) -> u64 {
        let beyond_room = self.moved_tokens.saturating_sub(self.load.room);
        let added_ms = beyond_room.saturating_mul(1_000).checked_div(self.load.rate).unwrap_or(0);
        self.load.wait_ms.saturating_add(added_ms)
    }
}

/// What a scheduler knows for admission by slack, of one pool.
#[derive(Debug, Default)]
pub struct Outlook {
    rate: RoomRate,
    first_tokens: [Option<FirstToken>; 2],
    /// Smoothed time for each output token, in microseconds.
    pace_us: Option<u64>,
    /// Room that the latest start took.
    latest_size: u64,
    returns: Vec<Return>,
    /// The other zones with targets of the service.
    pub(crate) zones: Vec<Name>,
    loads: Map<Name, KnownLoad>,
}

impl Outlook {
    /// Records that a request got room of `size` tokens.
    pub(crate) fn record_start(&mut self, size: u64, now: Millis) {
        self.latest_size = size;
        self.rate.record(self.latest_size, now);
    }

    /// Records that no request waits.
    pub(crate) fn record_empty_queue(&mut self, now: Millis) {
        self.rate.reset(now);
    }

    /// Records the time from the start of a request to its first token.
    pub(crate) fn record_first_token(&mut self, class: Class, first_ms: u32) {
        let known = &mut self.first_tokens[class as usize];
        *known = Some(FirstToken::update(*known, first_ms));
    }

    /// The time within which a first token comes, by the class of the request; `None` before one was
    /// observed.
    pub(crate) fn first_token_ms(&self, class: Class) -> Option<u64> {
        self.first_tokens[class as usize].map(FirstToken::expected_ms)
    }

    /// Records that a generation took `ms` from its first token to its end.
    pub(crate) fn record_pace(&mut self, tokens: u32, ms: u64) {
        let Some(sample_us) = (ms * 1_000).checked_div(u64::from(tokens)) else {
            return;
        };
        let known_us = self.pace_us.unwrap_or(sample_us);
        self.pace_us = Some((known_us * (PACE_DIVISOR - 1) + sample_us) / PACE_DIVISOR);
    }

    /// When the targets with these free tokens have room; `None` before a generation has ended.
    pub(crate) fn forecast(&self, pool: &Pool, free: Vec<u64>, now: Millis) -> Option<Forecast> {
        let pace_us = self.pace_us?;
        let first_ms = self.first_tokens.map(|known| known.map_or(0, FirstToken::mean_ms));
        Some(room::forecast(pool, free, first_ms, pace_us, now))
    }

    /// Records the load of the pool in another zone.
    pub(crate) fn record_load(&mut self, zone: &Name, load: Load, now: Millis) {
        self.loads.retain(|zone, _| self.zones.contains(zone));
        let known = KnownLoad { load, received_at: now, moved_tokens: 0 };
        self.loads.insert(zone.clone(), known);
    }

    /// Records that a request was told to ask the pool of another zone.
    pub(crate) fn record_move(&mut self, zone: &Name, queued: &QueuedRequest) {
        if let Some(known) = self.loads.get_mut(zone) {
            known.moved_tokens += queued.projected_kv;
        }
    }

    /// The time for which a request may wait for its start, when its first token is due in
    /// `ask.max_wait_ms`.
    pub(crate) fn useful_wait_ms(&self, ask: &Ask) -> u64 {
        let target_ms = ask.waited_ms + ask.max_wait_ms;
        let longest_ms = target_ms / MAX_FIRST_TOKEN_DIVISOR;
        let first_ms =
            self.first_tokens[ask.class as usize].map_or(longest_ms, FirstToken::expected_ms);
        let first_ms = first_ms.clamp(target_ms / MIN_FIRST_TOKEN_DIVISOR, longest_ms);
        ask.max_wait_ms.saturating_sub(first_ms)
    }

    /// Takes the reservation of a request of `tokens` that returns as told; false if there is none
    /// like it.
    pub(crate) fn take_return(&mut self, ask: &Ask, tokens: u64, now: Millis) -> bool {
        self.returns.retain(|waited| now.since(waited.due) <= RETURN_GRACE_MS);
        let is_like = |waited: &Return| {
            waited.due <= now.after(RETURN_EARLY_MS)
                && waited.priority == priority(ask)
                && tokens <= 2 * waited.tokens
        };
        let found = self.returns.iter().position(is_like);
        found.map(|ix| self.returns.remove(ix)).is_some()
    }

    /// Reserves room for a request that is told to retry after `retry_after_ms`.
    pub(crate) fn reserve_return(
        &mut self,
        queued: &QueuedRequest,
        retry_after_ms: u64,
        now: Millis,
    ) {
        self.returns.retain(|waited| now.since(waited.due) <= RETURN_GRACE_MS);
        if self.returns.len() < MAX_RETURNS {
            let due = now.after(retry_after_ms);
            let (priority, tokens) = (priority(&queued.ask), queued.projected_kv);
            self.returns.push(Return { due, priority, tokens });
        }
    }

    /// Tokens reserved for returns by `by` that are at least as urgent as `ask`.
    fn reserved(&self, ask: &Ask, by: Option<Millis>, now: Millis) -> u64 {
        let counts = |waited: &&Return| {
            waited.priority <= priority(ask)
                && now.since(waited.due) <= RETURN_GRACE_MS
                && by.is_none_or(|by| waited.due <= by)
        };
        self.returns.iter().filter(counts).map(|waited| waited.tokens).sum()
    }

    fn known_loads(&self, now: Millis) -> impl Iterator<Item = (&Name, &KnownLoad)> {
        let is_fresh = move |known: &KnownLoad| now.since(known.received_at) <= MAX_LOAD_AGE_MS;
        let zones = self.zones.iter();
        let known = zones.filter_map(|zone| Some((zone, self.loads.get(zone)?)));
        known.filter(move |(_, known)| is_fresh(known))
    }
}

/// Tokens that start before `ask`, which may wait in the queue itself.
///
/// More urgent requests all go first. While the request's own organisation gets what it has ahead,
/// each other organisation gets no more than its fair share.
fn work_ahead(queue: &Queue, request: &QueuedRequest) -> u64 {
    let (ask, deadline) = (&request.ask, request.deadline);
    let mut urgent = 0;
    let mut own = 0;
    let mut others: Vec<(u64, u64)> = Vec::new();
    for organisation in &queue.organisations {
        let is_own = organisation.name == ask.organisation;
        let mut equal = 0;
        for class in [Class::Short, Class::Long] {
            for queued in organisation.waiting(class) {
                let is_before = !is_own || queued.deadline <= deadline;
                match priority(&queued.ask).cmp(&priority(ask)) {
                    std::cmp::Ordering::Less => urgent += queued.projected_kv,
                    std::cmp::Ordering::Equal if queued.ask.id != ask.id && is_before => {
                        equal += queued.projected_kv;
                    }
                    _ => {}
                }
            }
        }
        match is_own {
            true => own = equal,
            false if equal > 0 => others.push((equal, u64::from(organisation.weight))),
            false => {}
        }
    }
    let weight = queue.get(&ask.organisation).map_or(1, |own| u64::from(own.weight)).max(1);
    let share = own + request.projected_kv;
    let others = others.iter().map(|(tokens, other)| (*tokens).min(share * other / weight));
    urgent + own + others.sum::<u64>()
}

/// What happens to a request that could not start at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Decision {
    /// It waits in the queue.
    Wait {
        /// Its expected wait; `None` if the rate is unknown.
        expected_ms: Option<u64>,
    },
    /// The pool of another zone can start it earlier.
    Move(Name),
    /// No known pool can start it in time.
    Refuse {
        /// When a retry is expected to find room.
        retry_after_ms: u64,
        /// Room is free at that time, so it can be reserved.
        is_reservable: bool,
        /// The load of every other pool is known, so none of them needs to be asked.
        is_final: bool,
    },
}

/// What a decision on a waiting request depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Review<'a> {
    /// The request.
    pub(crate) queued: &'a QueuedRequest,
    /// When the targets have room, if that is known.
    pub(crate) forecast: Option<&'a Forecast>,
    /// It was admitted earlier, or its room was reserved when it was told to retry.
    pub(crate) is_admitted: bool,
}

impl Review<'_> {
    fn new_work(&self, pool: &Pool) -> u64 {
        let Review { queued, .. } = self;
        work_ahead(&pool.queue, queued) + queued.projected_kv
    }
}

/// Time until `work` tokens of requests like `ask` have started. Where memory is free the engines'
/// reading of prompts limits the starts, which the rate shows.
fn time_for(
    outlook: &Outlook,
    forecast: Option<&Forecast>,
    work: u64,
    size: u64,
    now: Millis,
) -> Option<u64> {
    let by_room = forecast.and_then(|forecast| forecast.time_for(work, size));
    by_room.filter(|ms| *ms > 0).or_else(|| outlook.rate.time_for(work, now))
}

/// Decides on a request that waits in the queue of `pool`.
pub(crate) fn decide(pool: &Pool, review: &Review<'_>, now: Millis) -> Decision {
    let (queued, outlook) = (review.queued, &pool.outlook);
    let ask = &queued.ask;
    let left_ms = queued.last_start().since(now);
    let work = review.new_work(pool);
    let reserved = match review.is_admitted {
        true => 0,
        false => outlook.reserved(ask, Some(queued.deadline), now),
    };
    let time_for = |work| time_for(outlook, review.forecast, work, queued.projected_kv, now);
    let expected_ms = time_for(work + reserved);
    if ask.spills {
        if let Some(zone) = better_zone(outlook, queued.projected_kv, expected_ms, left_ms, now) {
            return Decision::Move(zone);
        }
    }
    let limit_ms = match review.is_admitted {
        true => left_ms.saturating_mul(EARLY_REFUSAL_FACTOR),
        false => left_ms,
    };
    let Some(expected) = expected_ms.filter(|expected| *expected > limit_ms) else {
        return Decision::Wait { expected_ms };
    };
    let served_ms = time_for(work + outlook.reserved(ask, None, now)).unwrap_or(expected);
    let (retry_after_ms, is_reservable) = retry_after(ask, served_ms, left_ms);
    let is_final = outlook.known_loads(now).count() == outlook.zones.len();
    Decision::Refuse { retry_after_ms, is_reservable, is_final }
}

/// The zone whose pool can start the request clearly earlier, or in time when this one cannot.
fn better_zone(
    outlook: &Outlook,
    size: u64,
    expected_ms: Option<u64>,
    left_ms: u64,
    now: Millis,
) -> Option<Name> {
    if expected_ms.is_some_and(|expected| expected <= SHORT_WAIT_MS) {
        return None;
    }
    let has_room =
        |known: &KnownLoad| known.load.wait_ms == 0 && known.room() >= ROOM_MARGIN * size;
    let roomy = outlook.known_loads(now).filter(|(_, known)| has_room(known));
    if let Some((zone, _)) = roomy.max_by_key(|(_, known)| known.room()) {
        return Some(zone.clone());
    }
    let (zone, known) = outlook.known_loads(now).min_by_key(|(_, known)| known.wait_ms())?;
    let wait_ms = known.wait_ms().saturating_add(MOVE_GAIN_MS);
    // Without room there, a move helps only a request that would start too late here.
    let is_late_here = expected_ms.is_some_and(|expected| expected > left_ms);
    (is_late_here && wait_ms <= left_ms).then(|| zone.clone())
}

/// The time to tell the caller of a request that has reached its latest useful start, and whether
/// room can be reserved for its return.
pub(crate) fn overdue_retry_after(
    pool: &Pool,
    queued: &QueuedRequest,
    forecast: Option<&Forecast>,
    now: Millis,
) -> (u64, bool) {
    let outlook = &pool.outlook;
    let (ask, size) = (&queued.ask, queued.projected_kv);
    let work = work_ahead(&pool.queue, queued) + size + outlook.reserved(ask, None, now);
    let served_ms = time_for(outlook, forecast, work, size, now);
    retry_after(ask, served_ms.unwrap_or(MIN_RETRY_AFTER_MS), ask.max_wait_ms)
}

/// The time to tell a caller, and whether room can be reserved for its return: the time at which
/// the backlog is served, with jitter by request, up to the longest time that it honours.
fn retry_after(ask: &Ask, soonest_ms: u64, left_ms: u64) -> (u64, bool) {
    let limit_ms = ask.slack.map_or(u64::MAX, |slack| slack.max_retry_after_ms);
    let jitter_ms = draw(&ask.id) % (soonest_ms / JITTER_DIVISOR + 1);
    let told_ms = soonest_ms.saturating_add(jitter_ms).max(MIN_RETRY_AFTER_MS).min(limit_ms);
    (told_ms, soonest_ms <= told_ms.saturating_add(left_ms))
}

fn draw(id: &Id) -> u64 {
    retry::draw(id.incarnation.0 ^ crate::random::hash(&[&id.vm]), id.counter)
}

/// The load of a pool with `room` free tokens, for the schedulers of the service's other pools.
pub(crate) fn load(pool: &Pool, room: u64, forecast: Option<&Forecast>, now: Millis) -> Load {
    let outlook = &pool.outlook;
    let waiting: u64 = pool.queue.iter().map(|queued| queued.projected_kv).sum();
    let soon = now.after(MAX_LOAD_AGE_MS);
    let is_soon = |waited: &&Return| waited.due <= soon && now.since(waited.due) <= RETURN_GRACE_MS;
    let reserved: u64 = outlook.returns.iter().filter(is_soon).map(|waited| waited.tokens).sum();
    let rate = outlook.rate.get(now);
    let rate = rate.map_or(0, |(tokens, span_ms)| tokens.saturating_mul(1_000) / span_ms);
    // Returns use the room that is free now; what is left of it is for moves.
    let room = match pool.queue.is_empty() {
        true => room.saturating_sub(reserved),
        false => 0,
    };
    if room > 0 {
        return Load { wait_ms: 0, room, rate };
    }
    let work = waiting + reserved + outlook.latest_size;
    let wait_ms = time_for(outlook, forecast, work, outlook.latest_size, now);
    Load { wait_ms: wait_ms.unwrap_or(SHORT_WAIT_MS).max(1), room, rate }
}

/// A line on the inputs of a decision, for the log of the request.
pub(crate) fn explain(
    pool: &Pool,
    queued: &QueuedRequest,
    decision: &Decision,
    now: Millis,
) -> String {
    let outlook = &pool.outlook;
    let loads = outlook.known_loads(now).map(|(zone, known)| {
        let age_ms = now.since(known.received_at);
        format!("{zone} wait {} ms room {} age {age_ms} ms", known.wait_ms(), known.room())
    });
    let loads: Vec<String> = loads.collect();
    let verdict = match decision {
        Decision::Wait { expected_ms: Some(expected_ms) } => {
            format!("waits, expected {expected_ms} ms")
        }
        Decision::Wait { expected_ms: None } => "waits, rate unknown".to_owned(),
        Decision::Move(zone) => format!("moves to {zone}"),
        Decision::Refuse { retry_after_ms, is_reservable, is_final } => format!(
            "refused, retry after {retry_after_ms} ms, reserved {is_reservable}, final {is_final}"
        ),
    };
    format!(
        "slack: {verdict}; {} ms left, {} tokens ahead, {} returns, others: {}",
        queued.deadline.since(now),
        work_ahead(&pool.queue, queued),
        outlook.returns.len(),
        loads.join(", "),
    )
}
