//! What targets say about new requests in their responses: control plug-in and policies.
//!
//! A target in need names how many requests a second it takes from all VMs together, how many it can
//! reject in a second without falling over, says that it leaves, or turns one VM away for some time. A VM that receives such a response sends nothing to
//! a target that leaves or has turned it away, whoever grants it, and tells the scheduler of the
//! target's pool of the limit and the departure. The scheduler spreads the limit over time and
//! grants nothing beyond it. Grants carry the limit, so that each VM which uses the target notices a
//! response that no longer names it.

use serde::{Deserialize, Serialize};

use crate::event::Event;
use crate::ids::{Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::outcome::{Counter, Reason, Refusal};
use crate::peer::{Ask, Grant, Message};
use crate::plugin::{control, policy};
use crate::pool::{self, Pool};
use crate::target::TargetState;

/// Interval at which a scheduler is told of an unchanged limit. A successor learns it from the next
/// response, or before the next ask.
const RESEND_MS: u64 = 500;
/// A limit that was not named for this time is not passed on to another scheduler.
const RECENT_MS: u64 = 10_000;
/// Smallest limit that is applied, in requests per 1,000 s. Without requests, no response would tell
/// that the limit has ended.
const MIN_LIMIT: u64 = 100;
/// Largest limit that is applied, in requests per 1,000 s.
const MAX_LIMIT: u64 = 1_000_000_000;
/// Longest time for which a target can turn a VM away, in milliseconds.
const MAX_PAUSE_MS: u64 = 600_000;
/// Number of targets of which signals are kept.
const MAX_TARGETS: usize = 4_096;
/// Credit that one request takes: a limit of one request per 1,000 s earns one unit a millisecond.
const REQUEST_CREDIT: u64 = 1_000_000;
/// Time for which unused credit is kept, in milliseconds, beyond that for one request. A limit is
/// given for a second.
const BURST_MS: u64 = 1_000;
/// The schedulers without a lease share half of a limit, since a holder that they cannot reach may
/// use it in full.
const FALLBACK_DIVISOR: u64 = 2;

/// What a target says about new requests in one response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Signal {
    /// Requests per 1,000 s that it takes from all VMs together; `None` without a limit.
    pub limit: Option<u64>,
    /// Rejections a second, to all VMs together, beyond which it falls over; `None` if it bears any
    /// number.
    pub max_rejections: Option<u32>,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Time for which it wants no request of the VM that it answers, in milliseconds.
    pub pause_ms: u64,
}

/// What one target has said to this VM.
#[derive(Debug, Default)]
struct TargetRecord {
    /// The process that said it.
    start_id: u64,
    limit: Option<u64>,
    max_rejections: Option<u32>,
    is_leaving: bool,
    paused_until: Millis,
    /// When a response named a limit or the departure; `None` if a grant told of the limit.
    named_at: Option<Millis>,
    /// The scheduler that was told last, and when.
    told: Option<(Name, Millis)>,
}

impl TargetRecord {
    fn is_empty(&self, now: Millis) -> bool {
        let has_bounds = self.limit.is_some() || self.max_rejections.is_some();
        !has_bounds && !self.is_leaving && self.paused_until <= now
    }
}

/// What the targets have said to this VM.
#[derive(Debug, Default)]
pub struct Registry {
    targets: Map<Name, TargetRecord>,
}

impl Registry {
    /// Whether this VM must not send a request to the target, of which `start_id` is the process.
    pub(crate) fn is_blocked(&self, target: &str, start_id: u64, now: Millis) -> bool {
        let record = self.targets.get(target).filter(|record| record.start_id == start_id);
        record.is_some_and(|record| record.is_leaving || now < record.paused_until)
    }

    /// Records the limit that a grant carries.
    pub(crate) fn record_grant(&mut self, grant: &Grant, from: &str, start_id: u64, now: Millis) {
        if grant.limit.is_none() || self.targets.len() >= MAX_TARGETS {
            return;
        }
        let record = self.targets.entry(grant.target.clone()).or_default();
        if record.start_id != start_id {
            *record = TargetRecord { start_id, ..TargetRecord::default() };
        }
        record.limit = grant.limit;
        record.told = Some((from.into(), now));
    }
}

/// The requests that a scheduler may grant under the limit of a target.
#[derive(Debug)]
pub(crate) struct Limiter {
    /// Requests per 1,000 s.
    limit: u64,
    /// The scheduler uses one part in this many of the limit.
    divisor: u64,
    credit: u64,
    updated_at: Millis,
}

impl Limiter {
    fn new(limit: u64, now: Millis) -> Limiter {
        Limiter { limit, divisor: 1, credit: REQUEST_CREDIT, updated_at: now }
    }

    /// Requests per 1,000 s that this scheduler may grant.
    fn rate(&self) -> u64 {
        (self.limit / self.divisor).max(1)
    }

    /// The credit at `now`.
    fn credit(&self, now: Millis) -> u64 {
        let earned = self.rate().saturating_mul(now.since(self.updated_at));
        let max = self.rate().saturating_mul(BURST_MS).saturating_add(REQUEST_CREDIT);
        self.credit.saturating_add(earned).min(max)
    }

    pub(crate) fn limit(&self) -> u64 {
        self.limit
    }

    pub(crate) fn allows_request(&self, now: Millis) -> bool {
        self.credit(now) >= REQUEST_CREDIT
    }

    pub(crate) fn record_request(&mut self, now: Millis) {
        self.credit = self.credit(now).saturating_sub(REQUEST_CREDIT);
        self.updated_at = now;
    }

    fn update(&mut self, limit: u64, divisor: u64, now: Millis) {
        (self.credit, self.updated_at) = (self.credit(now), now);
        (self.limit, self.divisor) = (limit, divisor);
    }
}

inventory::submit! {
    // Runs before the pools, so that they schedule with what the response says.
    control::Plugin { name: "backpressure", rank: 56, handle, wakeup: |_| None }
}

inventory::submit! {
    policy::Plugin { name: "rate_limit", rank: 15, stage: policy::Stage::Filter(filter) }
}

inventory::submit! {
    policy::Plugin { name: "rate_limit", rank: 20, stage: policy::Stage::Admit(admit) }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::TargetSignal { target, signal, is_control } => {
            handle_signal(state, target, signal, *is_control, now, out)
        }
        Event::Peer {
            message: Message::Backpressure { pool, target, limit, max_rejections, is_leaving },
            ..
        } => {
            let State { pools, intent, .. } = state;
            if intent.service(&pool.service).is_some() {
                // The ask that follows creates the pool as well.
                let pool = pools.get_or_create(pool, intent, now);
                let bounds = Bounds { limit: *limit, max_rejections: *max_rejections };
                apply_to_pool(pool, target, bounds, *is_leaving, now);
            }
        }
        Event::TargetsDiscovered(_) => {
            let State { backpressure, intent, .. } = state;
            backpressure.targets.retain(|name, _| intent.target(name).is_some());
        }
        _ => {}
    }
}

/// Records what a target said. The responses to control calls may leave out what it still says to
/// requests.
fn handle_signal(
    state: &mut State,
    target: &str,
    signal: &Signal,
    is_control: bool,
    now: Millis,
    out: &mut Outbox,
) {
    let State { backpressure, intent, members, .. } = state;
    let Some(spec) = intent.target(target) else {
        return;
    };
    let targets = &mut backpressure.targets;
    let is_silent = *signal == Signal::default();
    if is_silent && (is_control || !targets.contains_key(target)) {
        return;
    }
    if targets.len() >= MAX_TARGETS {
        targets.retain(|_, record| !record.is_empty(now));
    }
    let record = targets.entry(target.into()).or_default();
    if record.start_id != spec.start_id {
        *record = TargetRecord { start_id: spec.start_id, ..TargetRecord::default() };
    }
    let limit = signal.limit.map(|limit| limit.clamp(MIN_LIMIT, MAX_LIMIT));
    let limit = limit.or(record.limit.filter(|_| is_control));
    let max_rejections = signal.max_rejections.or(record.max_rejections.filter(|_| is_control));
    let is_leaving = signal.is_leaving || (record.is_leaving && is_control);
    let known = (record.limit, record.max_rejections, record.is_leaving);
    let is_changed = (limit, max_rejections, is_leaving) != known;
    (record.limit, record.max_rejections, record.is_leaving) = (limit, max_rejections, is_leaving);
    record.paused_until = record.paused_until.max(now.after(signal.pause_ms.min(MAX_PAUSE_MS)));
    if limit.is_some() || max_rejections.is_some() || is_leaving {
        record.named_at = Some(now);
    }
    if is_changed {
        out.count(Counter::Event("target_signal"));
        let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
        let rejections = max_rejections.map_or_else(|| "any".to_owned(), |max| max.to_string());
        out.log(format!(
            "target={target} limit_per_1000_s={limit} rejections_per_s={rejections} \
             leaving={is_leaving}"
        ));
    }
    if signal.pause_ms > 0 {
        out.log(format!("target={target} turns this VM away for {} ms", signal.pause_ms));
    }
    let pool = pool::Key::new(&spec.service, &spec.zone);
    let owner = members.owner(&pool).map_or_else(|| members.own().clone(), |(vm, _)| vm.clone());
    let is_told =
        record.told.as_ref().is_some_and(|(vm, at)| *vm == owner && now.since(*at) < RESEND_MS);
    if is_changed || !is_told {
        tell(record, target, &pool, &owner, now, out);
    }
    let bounds = Bounds { limit: record.limit, max_rejections: record.max_rejections };
    let is_leaving = record.is_leaving;
    if record.is_empty(now) {
        targets.remove(target);
    }
    // This VM may schedule the pool as well, if it does not reach the owner.
    if let Some(pool) = state.pools.get_mut(&pool) {
        apply_to_pool(pool, target, bounds, is_leaving, now);
    }
}

fn tell(
    record: &mut TargetRecord,
    target: &str,
    pool: &pool::Key,
    to: &Name,
    now: Millis,
    out: &mut Outbox,
) {
    record.told = Some((to.clone(), now));
    let (pool, target) = (pool.clone(), target.into());
    let TargetRecord { limit, max_rejections, is_leaving, .. } = *record;
    out.send(to, Message::Backpressure { pool, target, limit, max_rejections, is_leaving });
}

/// Tells a scheduler that this VM is about to ask what it may not know, as the successor of another.
pub(crate) fn tell_scheduler(
    state: &mut State,
    key: &pool::Key,
    to: &Name,
    now: Millis,
    out: &mut Outbox,
) {
    let State { backpressure, intent, .. } = state;
    for (target, spec) in intent.pool_targets(&key.service, &key.zone) {
        let Some(record) = backpressure.targets.get_mut(target) else {
            continue;
        };
        let is_recent = record.named_at.is_some_and(|at| now.since(at) < RECENT_MS);
        let is_told = record.told.as_ref().is_some_and(|(vm, _)| vm == to);
        if is_recent && !is_told && record.start_id == spec.start_id {
            tell(record, target, key, to, now, out);
        }
    }
}

/// The targets of a pool to which this VM must not send requests.
pub(crate) fn blocked_targets(state: &State, key: &pool::Key, now: Millis) -> Vec<Name> {
    let State { backpressure, intent, .. } = state;
    if backpressure.targets.is_empty() {
        return Vec::new();
    }
    let targets = intent.pool_targets(&key.service, &key.zone);
    let blocked = targets.filter(|(name, spec)| backpressure.is_blocked(name, spec.start_id, now));
    blocked.map(|(name, _)| name.clone()).collect()
}

/// The bounds on requests that a target names.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    limit: Option<u64>,
    max_rejections: Option<u32>,
}

fn apply_to_pool(pool: &mut Pool, target: &str, bounds: Bounds, is_leaving: bool, now: Millis) {
    let divisor = divisor(pool);
    let Some(ix) = pool.target_index(target) else {
        return;
    };
    let target = &mut pool.targets[ix];
    target.says_leaving = is_leaving;
    target.rejections.set_max(bounds.max_rejections);
    match (bounds.limit, &mut target.limiter) {
        (Some(limit), Some(limiter)) => limiter.update(limit, divisor, now),
        (Some(limit), None) => target.limiter = Some(Limiter::new(limit, now)),
        (None, _) => target.limiter = None,
    }
}

/// The part of a limit that this VM may use under its rights in the pool, as its reciprocal.
fn divisor(pool: &Pool) -> u64 {
    match pool.rights.fallback_vms() {
        Some(vms) => FALLBACK_DIVISOR * u64::from(vms.max(1)),
        None => 1,
    }
}

/// Applies the rights of this VM to the limits of a pool's targets.
pub(crate) fn refresh_limits(pool: &mut Pool, now: Millis) {
    let divisor = divisor(pool);
    let limiters = pool.targets.iter_mut().filter_map(|target| target.limiter.as_mut());
    for limiter in limiters.filter(|limiter| limiter.divisor != divisor) {
        limiter.update(limiter.limit, divisor, now);
    }
}

fn filter(view: &policy::View<'_>, _ask: &Ask, ix: usize) -> bool {
    let target = &view.pool.targets[ix];
    let limiter = target.limiter.as_ref();
    limiter.is_none_or(|limiter| limiter.allows_request(view.now))
        && target.rejections.allows_request(view.now, divisor(view.pool))
}

/// Refuses a request that the limits of all targets keep waiting for longer than it may.
fn admit(view: &policy::View<'_>, ask: &Ask) -> Result<(), Refusal> {
    let pool = view.pool;
    let is_usable = |target: &&TargetState| {
        !target.is_leaving() && target.is_healthy(view.now) && !ask.exclude.contains(&target.name)
    };
    let mut limiters = Vec::new();
    for target in pool.targets.iter().filter(is_usable) {
        match &target.limiter {
            Some(limiter) => limiters.push(limiter),
            None => return Ok(()),
        }
    }
    let rate: u64 = limiters.iter().map(|limiter| limiter.rate()).sum();
    if rate == 0 {
        return Ok(());
    }
    let credit: u64 = limiters.iter().map(|limiter| limiter.credit(view.now)).sum();
    let wanted = (pool.queue.len() as u64 + 1).saturating_mul(REQUEST_CREDIT);
    let wait_ms = wanted.saturating_sub(credit).div_ceil(rate);
    match wait_ms > ask.max_wait_ms {
        true => Err(Refusal::new(Reason::RateLimited).with_retry_after(wait_ms)),
        false => Ok(()),
    }
}
