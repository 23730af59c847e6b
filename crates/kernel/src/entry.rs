//! The entry VM's side of a request: admits it, tracks its state, and answers or refuses it.
//!
//! `ask` implements the exchange with the owners of pools, `attempt` everything after a grant, and
//! `claim` the claims of at-most-once calls.

use std::collections::BTreeSet;

use crate::event::Event;
use crate::ids::{Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::outcome::{Counter, Outcome, Ran, Reason, Refusal};
use crate::peer::{Ask, Message};
use crate::plugin::control;
use crate::request::{Class, Id, Idempotency, RouteOptions, View};
use crate::{ask, attempt, claim, ingress, pool, relocate, retry, route, usage};

/// Limit on requests that this VM handles concurrently. The daemon accepts 4,096 connections by
/// default.
const MAX_REQUESTS: usize = 8_192;
/// Longest wait for a claim to be written, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 5_000;
/// Longest time that a drain waits for the outcomes of claims to be written, in milliseconds.
const CLAIM_DRAIN_TIMEOUT_MS: u64 = 10_000;
/// Retry delay sent to callers that no target can serve at present, in milliseconds.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;

/// Retry delay sent to callers while this VM shuts down, in milliseconds. It is short because
/// another VM can serve them immediately.
const SHUTDOWN_RETRY_AFTER_MS: u64 = 50;

/// The requests accepted by this VM.
#[derive(Debug, Default)]
pub struct Table {
    pub(crate) requests: Map<Id, Request>,
    pub(crate) owners: ask::OwnerContacts,
    timers: BTreeSet<(Millis, Id)>,
    /// Retry budgets by service.
    retry_budgets: Map<Name, retry::Budget>,
    jitter_draws: u64,
    pub(crate) usage: usage::PoolUsage,
    idle_since: Option<Millis>,
    is_drained: bool,
    /// When the last event was handled.
    last_event_at: Option<Millis>,
    /// No attempt starts before this time, because this VM was paused and may have missed changes.
    catch_up_until: Millis,
}

/// Gap between two events that shows that the process was paused, in milliseconds. The daemon
/// handles an event at least every 500 ms.
const PAUSE_THRESHOLD_MS: u64 = 2_000;
/// Time after a pause within which missed changes arrive from the store or a peer, in milliseconds.
const CATCH_UP_MS: u64 = 1_500;

/// A request from its arrival to its answer.
#[derive(Debug)]
pub(crate) struct Request {
    /// The ask sent to owners; its `attempt` counts from 1.
    pub(crate) ask: Ask,
    /// When it arrived.
    pub(crate) arrived: Millis,
    /// When the wait for a start ends.
    pub(crate) deadline: Millis,
    /// The request is executed at most once.
    pub(crate) is_at_most_once: bool,
    /// An attempt that has ended may have been executed in part.
    pub(crate) may_have_run: bool,
    /// Number of attempts that may have been executed at least in part.
    pub(crate) executed_attempts: u32,
    /// Targets on which a request of a resumable route has run, each once.
    pub(crate) run_targets: Vec<Name>,
    /// Options of the route that the request matched.
    pub(crate) options: RouteOptions,
    /// The request waits in queues. Until it is set, pools that cannot start the request
    /// immediately are skipped.
    pub(crate) waits_in_queues: bool,
    /// The zone that the scheduler of another pool named as able to start the request earlier.
    pub(crate) advised_zone: Option<Name>,
    /// The zone tried first: this VM's for a new request; for a next placement, the zone of the
    /// standby or else of the running placement.
    pub(crate) preferred_zone: Name,
    /// For a next placement to which the generation has not moved yet: the running placement.
    pub(crate) relocation_source: Option<Id>,
    /// The next placement of this generation, if one has been requested.
    pub(crate) next_placement: Option<Id>,
    /// Attempts that failed after a grant.
    pub(crate) retries: u32,
    /// Number of targets that died while running the request.
    pub(crate) target_deaths: u32,
    /// The targets in `ask.exclude` were allowed again because no other target was left.
    pub(crate) has_cleared_exclusions: bool,
    /// Zones that refused the request or did not start it in time.
    pub(crate) tried_zones: Vec<Name>,
    /// The refusal of the first of these zones.
    pub(crate) first_refusal: Option<Refusal>,
    /// When one of these zones may start the request at the earliest.
    pub(crate) soonest_start: Option<Millis>,
    /// The current phase.
    pub(crate) phase: Phase,
    timer: Option<Millis>,
}

impl Request {
    /// The next placement of a generation that runs as `source`.
    pub(crate) fn new_placement(
        ask: Ask,
        running: &Request,
        source: Id,
        preferred_zone: Name,
        now: Millis,
        timeout_ms: u64,
    ) -> Request {
        Request {
            // A generation that has started is not admitted anew.
            ask: Ask { slack: None, ..ask },
            preferred_zone,
            arrived: now,
            deadline: now.after(timeout_ms),
            is_at_most_once: true,
            may_have_run: false,
            executed_attempts: 0,
            run_targets: Vec::new(),
            options: running.options,
            waits_in_queues: false,
            advised_zone: None,
            relocation_source: Some(source),
            next_placement: None,
            retries: 0,
            target_deaths: 0,
            has_cleared_exclusions: true,
            tried_zones: Vec::new(),
            first_refusal: None,
            soonest_start: None,
            phase: Phase::Waiting,
            timer: None,
        }
    }

    /// Records that the request has run on `target`.
    pub(crate) fn record_run(&mut self, target: &Name) {
        if self.options.resumable && !self.run_targets.contains(target) {
            self.run_targets.push(target.clone());
        }
    }

    /// Takes over what limits a rerun of the generation from the placement that it has moved from.
    pub(crate) fn inherit_runs(&mut self, moved: Request) {
        self.run_targets = moved.run_targets;
        if let Phase::Running(run) = &moved.phase {
            self.record_run(run.target());
        }
        self.is_at_most_once = moved.is_at_most_once;
        self.executed_attempts = moved.executed_attempts;
        self.retries = moved.retries;
        self.target_deaths = moved.target_deaths;
        self.arrived = moved.arrived;
        self.has_cleared_exclusions = false;
    }
}

/// The phase of a request.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Its claim is being written.
    Claiming,
    /// An owner was asked for a start, and the answer is pending.
    Asking(ask::PendingAsk),
    /// The request waits before it asks again.
    Waiting,
    /// An attempt is running.
    Running(attempt::RunningAttempt),
}

inventory::submit! {
    control::Plugin { name: "entry", rank: 50, handle, wakeup }
}

fn wakeup(state: &State) -> Option<Millis> {
    let table = &state.entry;
    let drain = table
        .idle_since
        .filter(|_| !table.is_drained)
        .map(|since| since.after(CLAIM_DRAIN_TIMEOUT_MS));
    let timer = table.timers.first().map(|(at, _)| *at);
    timer.into_iter().chain(drain).min()
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    state.entry.detect_pause(now);
    match event {
        Event::Tick => run_timers(state, now, out),
        Event::RequestArrived(view) => on_arrival(state, view, now, out),
        Event::CallerDisconnected { id } => attempt::on_caller_disconnected(state, id, now, out),
        Event::SendStarted { id, attempt } => attempt::on_send_started(state, id, *attempt),
        Event::Progress(counts) => attempt::on_progress(state, counts, now, out),
        Event::AttemptEnded { id, attempt, end, tokens, first_token_ms, stored } => {
            let ended = attempt::AttemptEnd {
                id,
                attempt: *attempt,
                end: *end,
                tokens: *tokens,
                first_token_ms: *first_token_ms,
                stored: *stored,
            };
            attempt::on_attempt_ended(state, &ended, now, out);
        }
        Event::Peer { from, message } => on_message(state, from, message, now, out),
        Event::ShutdownStarted { .. } => refuse_waiting(state, now, out),
        _ => {}
    }
    check_drained(state, now, out);
}

fn on_message(state: &mut State, from: &str, message: &Message, now: Millis, out: &mut Outbox) {
    match message {
        Message::Ask(ask) => ask::acknowledge(state, from, ask, now, out),
        Message::Ack { .. } => state.entry.owners.record_answer(from, now),
        Message::Grant(grant) => {
            state.entry.owners.record_answer(from, now);
            attempt::on_grant(state, from, grant, now, out);
        }
        Message::Refuse { id, attempt, refusal, advice } => {
            state.entry.owners.record_answer(from, now);
            let answer = ask::Answer { id, attempt: *attempt, refusal, advice: advice.as_ref() };
            ask::on_refusal(state, from, &answer, now, out);
        }
        Message::Progress { pool, usage, .. } | Message::Targets { pool, usage, .. } => {
            state.entry.usage.record_reports(&pool.service, usage, now);
        }
        Message::Hello { pool, fence } => attempt::send_inventory(state, from, pool, *fence, out),
        _ => {}
    }
}

fn on_arrival(state: &mut State, view: &View<'_>, now: Millis, out: &mut Outbox) {
    let request = match admit(state, view, now) {
        Ok(request) => request,
        Err(refusal) => {
            let text = format!("refused on arrival: {}", refusal.reason.as_str());
            state.decisions.record(now, view.id, text);
            return send_refusal(out, view.id, refusal);
        }
    };
    let deadline = request.deadline;
    let retry_budgets = &mut state.entry.retry_budgets;
    retry_budgets.entry(request.ask.pool.service.clone()).or_default().record_arrival(now);
    state.entry.requests.insert(view.id.clone(), request);
    match view.idempotency {
        Idempotency::Idempotent | Idempotency::AtMostOnce => {
            ask::request_start(state, view.id, now, out)
        }
        Idempotency::Keyed { key } => {
            let due = deadline.min(now.after(CLAIM_TIMEOUT_MS));
            state.entry.set_timer(view.id, due);
            claim::begin(state, view, key, now, out);
        }
    }
}

fn admit(state: &State, view: &View<'_>, now: Millis) -> Result<Request, Refusal> {
    let service = state.intent.service(view.service);
    let service = service.ok_or_else(|| Refusal::new(Reason::NotFound))?;
    if !may_call(state, view) {
        return Err(Refusal::new(Reason::NotFound));
    }
    let config = state.intent.configuration_for(view.service);
    let key_age_ms = config.map_or(0, |config| config.key_age_ms);
    // Only callers of public routes have no organisation.
    if !view.organisation.is_empty() && !state.freshness.accepts_keys(key_age_ms, now) {
        return Err(Refusal::new(Reason::KeyUnconfirmed).with_retry_after(RETRY_AFTER_MS));
    }
    if state.quarantine.is_any_quarantined(view.fingerprint, view.parts, now) {
        return Err(Refusal::new(Reason::Quarantined));
    }
    if is_refused_for_shutdown(state, view, now) {
        return Err(Refusal::new(Reason::ShuttingDown).with_retry_after(SHUTDOWN_RETRY_AFTER_MS));
    }
    if state.entry.requests.len() >= MAX_REQUESTS {
        return Err(Refusal::new(Reason::PoolQueue).with_retry_after(RETRY_AFTER_MS));
    }
    let class = match service.interactive {
        true => Class::Short,
        false => Class::Long,
    };
    let ask = Ask {
        pool: pool::Key::new(view.service, &state.identity.zone),
        id: view.id.clone(),
        attempt: 0,
        organisation: view.organisation.into(),
        prompt_tokens: view.prompt_tokens,
        max_tokens: view.max_tokens,
        class,
        fingerprint: view.fingerprint,
        prefixes: view.prefixes.to_vec(),
        parts: view.parts.to_vec(),
        waited_ms: 0,
        max_wait_ms: service.queue_ms,
        exclude: Vec::new(),
        priority: view.options.priority,
        spills: false,
        standby_target: None,
        generated_tokens: 0,
        is_recomputed: false,
        slack: ask::slack_terms(service, config, &view.options),
    };
    let timeout_ms = match (ask.slack, view.options.queue_timeout_ms) {
        // The scheduler refuses it when it would start too late, and later if it was told to retry.
        (Some(_), Some(queue_ms)) => 2 * ingress::latency_target_ms(queue_ms),
        (_, queue_ms) => queue_ms.unwrap_or(service.queue_ms),
    };
    Ok(Request {
        ask,
        arrived: now,
        deadline: now.after(timeout_ms),
        is_at_most_once: !matches!(view.idempotency, Idempotency::Idempotent),
        may_have_run: false,
        executed_attempts: 0,
        run_targets: Vec::new(),
        options: view.options,
        waits_in_queues: false,
        advised_zone: None,
        preferred_zone: state.identity.zone.clone(),
        relocation_source: None,
        next_placement: None,
        retries: 0,
        target_deaths: 0,
        has_cleared_exclusions: false,
        tried_zones: Vec::new(),
        first_refusal: None,
        soonest_start: None,
        phase: Phase::Claiming,
        timer: None,
    })
}

/// Whether this VM is shutting down and should leave the request to another one.
///
/// The platform gives a VM a few seconds to stop. A long generation of a route may outlast them,
/// and so may any request of a route that arrives after callers had time to notice the shutdown.
fn is_refused_for_shutdown(state: &State, view: &View<'_>, now: Millis) -> bool {
    let is_long = view.max_tokens.is_none_or(|tokens| tokens > pool::SHORT_TOKENS);
    let is_long = view.options.relocatable && is_long;
    let is_late = view.options.spills && state.draining;
    let may_outlast = may_outlast_shutdown(state, &view.options, now);
    state.entry.is_drained || is_late || may_outlast || (state.leaving && is_long)
}

/// Whether the response to a request of a route may be due later than the shutdown allows.
fn may_outlast_shutdown(state: &State, options: &RouteOptions, arrived: Millis) -> bool {
    let is_after = |by| options.timeout_ms.is_none_or(|timeout_ms| arrived.after(timeout_ms) > by);
    options.spills && state.answer_by.is_some_and(is_after)
}

/// The refusal of a request that waits for a start, if it may outlast the shutdown that has begun.
/// Another VM can serve it immediately.
pub(crate) fn shutdown_refusal(state: &State, request: &Request) -> Option<Refusal> {
    let is_refused = request.relocation_source.is_none()
        && may_outlast_shutdown(state, &request.options, request.arrived);
    let refusal = Refusal::new(Reason::ShuttingDown).with_retry_after(SHUTDOWN_RETRY_AFTER_MS);
    is_refused.then_some(refusal)
}

fn refuse_waiting(state: &mut State, now: Millis, out: &mut Outbox) {
    let is_waiting =
        |request: &&Request| matches!(request.phase, Phase::Asking(_) | Phase::Waiting);
    let waiting = state.entry.requests.values().filter(is_waiting);
    let refusals = waiting
        .filter_map(|request| Some((request.ask.id.clone(), shutdown_refusal(state, request)?)));
    let mut refusals: Vec<(Id, Refusal)> = refusals.collect();
    refusals.sort_by(|(a, _), (b, _)| a.cmp(b));
    for (id, refusal) in refusals {
        ask::withdraw(state, &id, out);
        refuse(state, &id, refusal, now, out);
    }
}

/// Whether the organisation may call the service.
///
/// The caller adapter has already authenticated the organisation by its key. An organisation that
/// is not declared here is therefore one that this VM has not learned of yet, and is allowed.
fn may_call(state: &State, view: &View<'_>) -> bool {
    let organisation = state.intent.organisation(view.organisation);
    organisation.is_none_or(|organisation| {
        let services = &organisation.services;
        services.is_empty() || services.iter().any(|name| **name == *view.service)
    })
}

/// The claim of a call was written, so the call may run.
pub(crate) fn on_claimed(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    state.decisions.record(now, id, "claim written".to_owned());
    ask::request_start(state, id, now, out);
}

/// Answers a call with the stored outcome of an earlier call with the same key.
pub(crate) fn replay(
    state: &mut State,
    id: &Id,
    stored: crate::store::StoredResponse,
    now: Millis,
    out: &mut Outbox,
) {
    if state.entry.remove(id).is_none() {
        return;
    }
    state.decisions.record(now, id, "answered with the stored outcome".to_owned());
    out.count(Counter::Event("replay"));
    out.push(Outcome::Replay { id: id.clone(), stored });
}

/// Refuses a request and releases everything that is held for it.
pub(crate) fn refuse(state: &mut State, id: &Id, refusal: Refusal, now: Millis, out: &mut Outbox) {
    let Some(request) = state.entry.remove(id) else {
        return;
    };
    if let Some(source) = &request.relocation_source {
        return relocate::on_placement_refused(state, id, source, now, out);
    }
    let ran = match refusal.ran {
        Ran::No if request.may_have_run => Ran::Unknown,
        ran => ran,
    };
    let text = format!("refused: {}, ran: {ran:?}", refusal.reason.as_str());
    state.decisions.record(now, id, text);
    if request.is_at_most_once {
        match ran {
            Ran::No => claim::discard(state, id, now, out),
            Ran::Yes | Ran::Unknown => claim::abandon(state, id, now, out),
        }
    }
    send_refusal(out, id, refusal.with_ran(ran));
}

fn send_refusal(out: &mut Outbox, id: &Id, refusal: Refusal) {
    out.count(Counter::Refusal(refusal.reason));
    out.push(Outcome::Refuse { id: id.clone(), refusal });
}

fn run_timers(state: &mut State, now: Millis, out: &mut Outbox) {
    let due: Vec<Id> = state
        .entry
        .timers
        .iter()
        .take_while(|(at, _)| *at <= now)
        .map(|(_, id)| id.clone())
        .collect();
    for id in due {
        state.entry.clear_timer(&id);
        let Some(request) = state.entry.requests.get(&id) else {
            continue;
        };
        match request.phase {
            Phase::Claiming => {
                let refusal = Refusal::new(Reason::StoreUnavailable);
                refuse(state, &id, refusal.with_retry_after(RETRY_AFTER_MS), now, out);
            }
            Phase::Waiting if now < request.deadline => ask::request_start(state, &id, now, out),
            Phase::Waiting => ask::expire(state, &id, now, out),
            Phase::Asking(_) => ask::on_ask_timer(state, &id, now, out),
            Phase::Running(_) => {}
        }
    }
}

/// Reports once that a draining VM has no work left.
fn check_drained(state: &mut State, now: Millis, out: &mut Outbox) {
    if !state.draining || state.entry.is_drained {
        return;
    }
    if !state.entry.requests.is_empty() {
        state.entry.idle_since = None;
        return;
    }
    let since = *state.entry.idle_since.get_or_insert(now);
    // If the release does not reach the table, the successor has to wait for the lease to expire.
    if !state.leases.is_released(now) {
        return;
    }
    if state.claims.has_no_pending_writes() || now.since(since) >= CLAIM_DRAIN_TIMEOUT_MS {
        state.entry.is_drained = true;
        out.push(Outcome::Drained);
    }
}

impl Table {
    /// Number of requests without an answer.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether every request has been answered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Detects that the process was paused.
    fn detect_pause(&mut self, now: Millis) {
        if self.last_event_at.is_some_and(|at| now.since(at) >= PAUSE_THRESHOLD_MS) {
            self.catch_up_until = now.after(CATCH_UP_MS);
        }
        self.last_event_at = Some(now);
    }

    /// The time before which no attempt may start after a pause, if it is in the future.
    pub(crate) fn catching_up_until(&self, now: Millis) -> Option<Millis> {
        (now < self.catch_up_until).then_some(self.catch_up_until)
    }

    /// Number of attempts that run on targets.
    pub fn running(&self) -> usize {
        let is_running = |request: &&Request| matches!(request.phase, Phase::Running(_));
        self.requests.values().filter(is_running).count()
    }

    pub(crate) fn remove(&mut self, id: &Id) -> Option<Request> {
        self.clear_timer(id);
        self.requests.remove(id)
    }

    pub(crate) fn set_timer(&mut self, id: &Id, at: Millis) {
        self.clear_timer(id);
        if let Some(request) = self.requests.get_mut(id) {
            request.timer = Some(at);
            self.timers.insert((at, id.clone()));
        }
    }

    pub(crate) fn clear_timer(&mut self, id: &Id) {
        let due = self.requests.get_mut(id).and_then(|request| request.timer.take());
        if let Some(at) = due {
            self.timers.remove(&(at, id.clone()));
        }
    }

    /// The jittered delay in milliseconds before a request asks again after `retries` failed
    /// attempts.
    pub(crate) fn backoff(&mut self, seed: u64, retries: u32) -> u64 {
        self.jitter_draws += 1;
        retry::backoff(retries, retry::draw(seed, self.jitter_draws))
    }
}

/// Takes one retry from the budget of a service; returns false if none is left.
pub(crate) fn try_spend_retry(state: &mut State, service: &Name, now: Millis) -> bool {
    let config = state.intent.configuration_for(service).cloned().unwrap_or_default();
    let limit = retry::RetryLimit::new(&config, state.members.iter().count());
    state.entry.retry_budgets.entry(service.clone()).or_default().try_spend(now, limit)
}

/// The input for choosing a pool.
pub(crate) fn route_view<'a>(
    state: &'a State,
    request: &'a Request,
    unresponsive: &'a [Name],
) -> route::View<'a> {
    // Copying a KV cache within a zone takes half as long as copying it between zones.
    let preferred_zone = match (&request.relocation_source, &request.advised_zone) {
        (Some(_), _) => &request.preferred_zone,
        (None, Some(advised)) => advised,
        (None, None) => &state.identity.zone,
    };
    let is_new = request.relocation_source.is_none() && request.advised_zone.is_none();
    let usage = Some(&state.entry.usage).filter(|_| request.options.balances_zones && is_new);
    let now = state.entry.last_event_at.unwrap_or_default();
    route::View {
        intent: &state.intent,
        members: &state.members,
        preferred_zone,
        usage,
        unresponsive,
        now,
    }
}
