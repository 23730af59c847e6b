//! One attempt on a target, from the grant to its end or retry.

use std::collections::BTreeMap;

use crate::ask::{self, MAX_GRANT_AGE_MS};
use crate::entry::{self, Phase, Request};
use crate::event::TokenCount;
use crate::ids::{Fence, Millis, Name};
use crate::kernel::{Outbox, State};
use crate::outcome::{Counter, Outcome, Ran, Reason, Refusal, RetryReason, Standby, Start};
use crate::peer::{Grant, Message, Progress, Release, Running, TargetPace, UsageReport};
use crate::pool;
use crate::request::{End, Id};
use crate::rerun::Verdict;
use crate::store::StoredResponse;
use crate::{claim, pace, pauses, quarantine, relocate, spread, standby};

/// Limit on the attempts of one request that fail after a grant.
const MAX_RETRIES: u32 = 8;
/// Number of targets that may die while running one request before it is refused. The reports that
/// lead to a quarantine arrive half a second late, and a third target would die in that time.
const MAX_TARGET_DEATHS: u32 = 2;
/// Limit on the targets that one request excludes; beyond it, the oldest are allowed again.
const MAX_EXCLUDED: usize = 16;
/// Minimum time that a retried request may wait for its next start, in milliseconds.
const MIN_RETRY_QUEUE_TIMEOUT_MS: u64 = 2_000;

/// A running attempt.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    target: Name,
    granted_by: Name,
    may_have_sent: bool,
    tokens: u32,
    /// Where its KV cache is replicated while it grows.
    standby: Option<Standby>,
    /// Waiting time left when it started, in milliseconds.
    remaining_wait_ms: u64,
}

impl RunningAttempt {
    /// The target it runs on.
    pub(crate) fn target(&self) -> &Name {
        &self.target
    }

    /// Output tokens so far.
    pub(crate) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Where its KV cache is replicated while it grows.
    pub(crate) fn standby(&self) -> Option<&Standby> {
        self.standby.as_ref()
    }
}

/// The end of an attempt, as reported by the traffic task.
#[derive(Debug)]
pub(crate) struct AttemptEnd<'a> {
    pub(crate) id: &'a Id,
    pub(crate) attempt: u32,
    pub(crate) end: End,
    pub(crate) tokens: u32,
    pub(crate) first_token_ms: Option<u32>,
    pub(crate) stored: Option<&'a StoredResponse>,
}

/// Why a grant cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unusable {
    /// It is too old.
    Expired,
    /// Its zone was taken out, or its target is leaving or wants no request of this VM.
    Left,
    /// Since the ask was sent, the body has been quarantined, or the prompt of a rerun suspected.
    Quarantined,
    /// This VM was paused and may not know yet that a zone or target has left. No attempt starts
    /// before the given time.
    Paused(Millis),
}

/// The next step after the end of an attempt.
#[derive(Debug, PartialEq, Eq)]
enum NextStep {
    /// The answer is complete.
    Finish,
    /// The caller has disconnected.
    Cancel,
    /// Ask again, excluding the target.
    Retry { reason: RetryReason, spends_budget: bool },
    /// Refuse the request.
    Fail(Ran),
}

/// Starts the attempt that an owner granted, if the grant is still usable.
pub(crate) fn on_grant(
    state: &mut State,
    from: &str,
    grant: &Grant,
    now: Millis,
    out: &mut Outbox,
) {
    let Some(request) = state.entry.requests.get(&grant.id) else {
        return release_grant(from, grant, out);
    };
    match &request.phase {
        Phase::Running(run)
            if run.target == grant.target && request.ask.attempt == grant.attempt =>
        {
            out.count(Counter::Ignored("duplicate_grant"));
        }
        Phase::Asking(asking) if request.ask.attempt == grant.attempt => {
            match check_grant(state, request, asking.last_sent, grant, now) {
                Ok(()) => start_attempt(state, from, grant, now, out),
                Err(unusable) => decline_grant(state, from, grant, unusable, now, out),
            }
        }
        _ => {
            out.count(Counter::Ignored("late_grant"));
            release_grant(from, grant, out);
        }
    }
}

/// Checks a grant when it is about to be used, because the owner may have sent it with outdated
/// state.
fn check_grant(
    state: &State,
    request: &Request,
    asked: Millis,
    grant: &Grant,
    now: Millis,
) -> Result<(), Unusable> {
    if now.since(asked) >= MAX_GRANT_AGE_MS {
        return Err(Unusable::Expired);
    }
    if let Some(until) = state.entry.catching_up_until(now) {
        return Err(Unusable::Paused(until));
    }
    let target = state.intent.target(&grant.target);
    let start_id = target.map_or(0, |target| target.start_id);
    let is_blocked = state.backpressure.is_blocked(&grant.target, start_id, now);
    // An owner that does not reach the store grants targets that are gone.
    let is_gone = target.is_none() && state.discovery.is_removed(&grant.target, now);
    let is_refused = state.rollouts.refuses(&state.intent, &grant.pool.service, &grant.target);
    let is_leaving =
        is_blocked || is_gone || is_refused || target.is_some_and(|target| target.leaving);
    let is_out = target.is_some_and(|target| state.intent.is_zone_out(&target.zone));
    if is_leaving || is_out || state.intent.is_zone_out(&grant.pool.zone) {
        return Err(Unusable::Left);
    }
    let is_suspected = relocate::is_suspected_rerun(state, request);
    if is_suspected || state.quarantine.refuses(&request.ask, now) {
        return Err(Unusable::Quarantined);
    }
    Ok(())
}

fn start_attempt(state: &mut State, from: &str, grant: &Grant, now: Millis, out: &mut Outbox) {
    record_usage(state, grant, now);
    let start_id = state.intent.target(&grant.target).map_or(0, |target| target.start_id);
    state.backpressure.record_grant(grant, from, start_id, now);
    let standby = standby::choose_standby(state, grant, now);
    let Some(request) = state.entry.requests.get_mut(&grant.id) else {
        return;
    };
    request.phase = Phase::Running(RunningAttempt {
        target: grant.target.clone(),
        granted_by: from.into(),
        may_have_sent: false,
        tokens: 0,
        standby: standby.clone(),
        remaining_wait_ms: request.deadline.since(now),
    });
    let source = request.relocation_source.clone();
    let text = format!("started on {} by grant of {from}", grant.target);
    state.decisions.record(now, &grant.id, text);
    state.entry.clear_timer(&grant.id);
    let start = Start {
        id: grant.id.clone(),
        attempt: grant.attempt,
        target: grant.target.clone(),
        address: grant.address.clone(),
        priority: grant.priority,
        fence: grant.fence,
        standby,
    };
    out.push(match source {
        Some(from) => Outcome::Move { from, start },
        None => Outcome::Start(start),
    });
}

/// Records the usage of the pool that a grant contains.
fn record_usage(state: &mut State, grant: &Grant, now: Millis) {
    let usage = &mut state.entry.usage;
    usage.record(&grant.pool, grant.usage, now);
    if let Some(request) = state.entry.requests.get(&grant.id) {
        // The usage in a grant does not contain the granted request.
        let size = spread::size_permille(&state.intent, &request.ask, &grant.pool.zone);
        usage.record_send(&grant.pool, size, now);
    }
}

/// Releases a grant that cannot be used and asks again, unless the body is quarantined.
fn decline_grant(
    state: &mut State,
    from: &str,
    grant: &Grant,
    unusable: Unusable,
    now: Millis,
    out: &mut Outbox,
) {
    release_grant(from, grant, out);
    let id = &grant.id;
    let text = format!("grant of {} not used: {unusable:?}", grant.target);
    state.decisions.record(now, id, text);
    match unusable {
        Unusable::Expired => {
            out.count(Counter::Retry(RetryReason::GrantExpired));
            ask::request_start(state, id, now, out);
        }
        Unusable::Left => {
            out.count(Counter::Retry(RetryReason::TargetLeft));
            exclude_target(state, id, &grant.target);
            ask::back_off(state, id, now);
        }
        Unusable::Paused(until) => {
            out.count(Counter::Retry(RetryReason::VmPaused));
            ask::wait_until(state, id, until);
        }
        Unusable::Quarantined => {
            entry::refuse(state, id, Refusal::new(Reason::Quarantined), now, out);
        }
    }
}

fn release_grant(from: &str, grant: &Grant, out: &mut Outbox) {
    let release = Release {
        pool: grant.pool.clone(),
        id: grant.id.clone(),
        attempt: grant.attempt,
        target: grant.target.clone(),
        end: End::Unsent,
        tokens: 0,
        first_token_ms: None,
    };
    out.send(&from.into(), Message::Release(release));
}

fn exclude_target(state: &mut State, id: &Id, target: &Name) {
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    let exclude = &mut request.ask.exclude;
    if exclude.len() == MAX_EXCLUDED {
        exclude.remove(0);
    }
    exclude.push(target.clone());
}

/// The first byte of an attempt may have been sent.
pub(crate) fn on_send_started(state: &mut State, id: &Id, attempt: u32) {
    let request = state.entry.requests.get_mut(id);
    if let Some(request) = request.filter(|request| request.ask.attempt == attempt) {
        if let Phase::Running(run) = &mut request.phase {
            run.may_have_sent = true;
        }
    }
}

/// Records the tokens that a running attempt has delivered.
pub(crate) fn record_tokens(state: &mut State, id: &Id, tokens: u32) {
    if let Some(request) = state.entry.requests.get_mut(id) {
        if let Phase::Running(run) = &mut request.phase {
            run.tokens = run.tokens.max(tokens);
        }
    }
}

/// The VMs that keep an in-flight entry for the attempt: the one that granted it and the current
/// owner of the pool.
fn in_flight_vms(state: &State, pool: &pool::Key, run: &RunningAttempt) -> Vec<Name> {
    let mut vms = vec![run.granted_by.clone()];
    if let Some((owner, _)) = state.members.owner(pool) {
        if *owner != run.granted_by {
            vms.push(owner.clone());
        }
    }
    vms
}

/// The usage of a service's pools to pass on, if VMs spread its load.
pub(crate) fn known_usage(state: &State, service: &str, now: Millis) -> Vec<UsageReport> {
    match state.intent.spreads_load(service) {
        true => state.entry.usage.reports(service, now),
        false => Vec::new(),
    }
}

/// Reports progress to each owner for the requests of its pool.
pub(crate) fn on_progress(state: &mut State, counts: &[TokenCount], now: Millis, out: &mut Outbox) {
    let mut batches: BTreeMap<(Name, pool::Key), (Vec<Progress>, Vec<TargetPace>)> =
        BTreeMap::new();
    for count in counts {
        let Some(request) = state.entry.requests.get_mut(&count.id) else {
            continue;
        };
        let Phase::Running(run) = &mut request.phase else {
            continue;
        };
        run.tokens = run.tokens.max(count.tokens);
        let entry = Progress {
            incarnation: count.id.incarnation,
            counter: count.id.counter,
            tokens: run.tokens,
        };
        let Some(request) = state.entry.requests.get(&count.id) else {
            continue;
        };
        let Phase::Running(run) = &request.phase else {
            continue;
        };
        for vm in in_flight_vms(state, &request.ask.pool, run) {
            let batch = batches.entry((vm, request.ask.pool.clone()));
            let (entries, readings) = batch.or_default();
            entries.push(entry);
            if pauses::is_on(&state.intent, &request.ask.pool.service) {
                pace::add_reading(readings, &run.target, count.pace);
            }
        }
    }
    for ((vm, pool), (entries, pace)) in batches {
        let usage = known_usage(state, &pool.service, now);
        out.send(&vm, Message::Progress { pool, entries, usage, pace });
    }
}

/// Reports to the new owner of a pool what runs there from this VM, even if that is nothing.
pub(crate) fn send_inventory(
    state: &State,
    from: &str,
    pool: &pool::Key,
    fence: Fence,
    out: &mut Outbox,
) {
    let mut running: Vec<Running> = state
        .entry
        .requests
        .values()
        .filter(|request| request.ask.pool == *pool)
        .filter_map(|request| match &request.phase {
            Phase::Running(run) => Some(Running {
                ask: request.ask.clone(),
                target: run.target.clone(),
                tokens: run.tokens,
            }),
            _ => None,
        })
        .collect();
    running.sort_by(|a, b| a.ask.id.cmp(&b.ask.id));
    let pool = pool.clone();
    let inventory = Message::Inventory { pool, fence, running };
    out.send(&from.into(), inventory);
}

/// Handles the end of an attempt.
pub(crate) fn on_attempt_ended(
    state: &mut State,
    ended: &AttemptEnd<'_>,
    now: Millis,
    out: &mut Outbox,
) {
    let Some(request) = state.entry.requests.get(ended.id) else {
        // The caller of an at-most-once call disconnected before the answer arrived.
        return claim::complete_orphan(state, ended.id, ended.stored, now, out);
    };
    let Phase::Running(run) = &request.phase else {
        return out.count(Counter::Ignored("end_without_attempt"));
    };
    if request.ask.attempt != ended.attempt {
        return out.count(Counter::Ignored("end_of_old_attempt"));
    }
    // A target that the generation has not moved to yet has delivered nothing.
    let tokens = match request.relocation_source {
        Some(_) => 0,
        None => ended.tokens.max(run.tokens),
    };
    let verdict = relocate::decide_rerun(state, request, ended.end, tokens, now, out);
    let next = match verdict {
        Verdict::Other => next_step(ended.end, tokens, request.is_at_most_once),
        // What follows is a new run of the remainder, as if nothing had been delivered.
        Verdict::Rerun => next_step(ended.end, 0, false),
        Verdict::Truncate(_) if tokens == 0 => NextStep::Fail(Ran::Unknown),
        Verdict::Truncate(_) => NextStep::Fail(Ran::Yes),
    };
    let next_placement = request.next_placement.clone();
    send_release(state, request, run, ended, tokens, out);
    let text = format!("{:?} on {} after {tokens} tokens", ended.end, run.target);
    state.decisions.record(now, ended.id, text);
    relocate::cancel_placement(state, next_placement, out);
    match next {
        NextStep::Finish => finish(state, ended, now, out),
        NextStep::Cancel => cancel(state, ended.id, now, out),
        NextStep::Retry { reason, spends_budget } => {
            let has_run = matches!(ended.end, End::Broken | End::Died | End::Failed);
            if verdict == Verdict::Rerun {
                relocate::prepare_rerun(state, ended.id, tokens);
            }
            retry_attempt(state, ended.id, reason, spends_budget, has_run, now, out);
        }
        NextStep::Fail(ran) => {
            let refusal = Refusal::new(Reason::TargetFailed).with_ran(ran);
            entry::refuse(state, ended.id, refusal, now, out);
        }
    }
}

/// Decides what follows the end of an attempt.
///
/// Once a token has been delivered, another generation would put two answers into one stream. A
/// call that runs at most once is retried only if no byte of it can have been sent or the target
/// rejected it.
fn next_step(end: End, tokens: u32, is_at_most_once: bool) -> NextStep {
    let retry = |reason, spends_budget| NextStep::Retry { reason, spends_budget };
    match end {
        End::Complete | End::Moved => NextStep::Finish,
        End::Cancelled => NextStep::Cancel,
        _ if tokens > 0 => NextStep::Fail(Ran::Yes),
        End::Unsent => retry(RetryReason::TargetBroken, false),
        End::Rejected => retry(RetryReason::TargetRejected, true),
        End::Failed if is_at_most_once => NextStep::Fail(Ran::Yes),
        End::Failed => retry(RetryReason::TargetFailed, true),
        End::Broken | End::Died if is_at_most_once => NextStep::Fail(Ran::Unknown),
        End::Broken => retry(RetryReason::TargetBroken, true),
        End::Died => retry(RetryReason::TargetDied, true),
    }
}

fn send_release(
    state: &State,
    request: &Request,
    run: &RunningAttempt,
    ended: &AttemptEnd<'_>,
    tokens: u32,
    out: &mut Outbox,
) {
    for vm in in_flight_vms(state, &request.ask.pool, run) {
        let release = Release {
            pool: request.ask.pool.clone(),
            id: ended.id.clone(),
            attempt: ended.attempt,
            target: run.target.clone(),
            end: ended.end,
            tokens,
            first_token_ms: ended.first_token_ms,
        };
        out.send(&vm, Message::Release(release));
    }
}

fn finish(state: &mut State, ended: &AttemptEnd<'_>, now: Millis, out: &mut Outbox) {
    let Some(request) = state.entry.remove(ended.id) else {
        return;
    };
    quarantine::on_completed(state, request.ask.fingerprint, out);
    if request.is_at_most_once {
        claim::complete(state, ended.id, ended.stored, now, out);
    }
}

/// Asks again without the failed target, within the retry limits.
fn retry_attempt(
    state: &mut State,
    id: &Id,
    reason: RetryReason,
    spends_budget: bool,
    has_run: bool,
    now: Millis,
    out: &mut Outbox,
) {
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    request.may_have_run |= has_run;
    request.executed_attempts += u32::from(has_run);
    request.retries += 1;
    let is_first = request.retries == 1;
    if request.options.max_attempts.is_some_and(|attempts| request.executed_attempts >= attempts) {
        let refusal = Refusal::new(Reason::TargetFailed).with_ran(Ran::Yes);
        return entry::refuse(state, id, refusal, now, out);
    }
    if reason == RetryReason::TargetDied {
        request.target_deaths += 1;
    }
    if request.target_deaths >= MAX_TARGET_DEATHS {
        let refusal = Refusal::new(Reason::TargetFailed);
        return entry::refuse(state, id, refusal, now, out);
    }
    let is_last = request.retries > MAX_RETRIES;
    let service = request.ask.pool.service.clone();
    let shutdown_refusal =
        state.entry.requests.get(id).and_then(|request| entry::shutdown_refusal(state, request));
    if let Some(refusal) = shutdown_refusal {
        return entry::refuse(state, id, refusal, now, out);
    }
    if is_last || (spends_budget && !entry::try_spend_retry(state, &service, now)) {
        let refusal = Refusal::new(Reason::RetryBudget).with_retry_after(entry::RETRY_AFTER_MS);
        return entry::refuse(state, id, refusal, now, out);
    }
    out.count(Counter::Retry(reason));
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    request.tried_zones.clear();
    request.advised_zone = None;
    request.first_refusal = None;
    request.soonest_start = None;
    if let Phase::Running(run) = &request.phase {
        let target = run.target.clone();
        request.deadline = now.after(run.remaining_wait_ms.max(MIN_RETRY_QUEUE_TIMEOUT_MS));
        exclude_target(state, id, &target);
    }
    // The target did answer, so this is not a timeout that other targets may share, and the first
    // retry needs no delay.
    let is_answered = matches!(reason, RetryReason::TargetFailed | RetryReason::TargetRejected);
    match is_answered && is_first {
        true => ask::request_start(state, id, now, out),
        false => ask::back_off(state, id, now),
    }
}

/// Releases a placement whose generation has moved to another target.
pub(crate) fn release_moved(state: &State, id: &Id, tokens: u32, out: &mut Outbox) {
    release_with(state, id, End::Moved, tokens, out);
}

/// Releases a placement to which the generation never moved.
pub(crate) fn release_unstarted(state: &State, id: &Id, out: &mut Outbox) {
    release_with(state, id, End::Unsent, 0, out);
}

fn release_with(state: &State, id: &Id, end: End, tokens: u32, out: &mut Outbox) {
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    let Phase::Running(run) = &request.phase else {
        return;
    };
    let attempt = request.ask.attempt;
    let ended = AttemptEnd { id, attempt, end, tokens, first_token_ms: None, stored: None };
    send_release(state, request, run, &ended, tokens, out);
}

/// The caller disconnected.
pub(crate) fn on_caller_disconnected(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    match &request.phase {
        Phase::Running(run) => {
            let ended = AttemptEnd {
                id,
                attempt: request.ask.attempt,
                end: End::Cancelled,
                tokens: run.tokens,
                first_token_ms: None,
                stored: None,
            };
            send_release(state, request, run, &ended, run.tokens, out);
        }
        Phase::Asking(_) => ask::withdraw(state, id, out),
        Phase::Claiming | Phase::Waiting => {}
    }
    let next_placement = request.next_placement.clone();
    relocate::cancel_placement(state, next_placement, out);
    state.decisions.record(now, id, "caller disconnected".to_owned());
    cancel(state, id, now, out);
}

/// Removes a request whose caller has disconnected.
fn cancel(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(request) = state.entry.remove(id) else {
        return;
    };
    let may_have_sent = matches!(&request.phase, Phase::Running(run) if run.may_have_sent);
    match (request.is_at_most_once, may_have_sent || request.may_have_run) {
        (true, true) => claim::orphan(state, id, now),
        (true, false) => claim::discard(state, id, now, out),
        (false, _) => {}
    }
}
