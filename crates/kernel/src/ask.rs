//! Asks the owners of pools for a start, until one grants it or the request is refused.

use crate::backpressure;
use crate::entry::{self, Phase, Request, RETRY_AFTER_MS};
use crate::ids::{Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::outcome::{Counter, Reason, Refusal, RetryReason};
use crate::peer::{Advice, Ask, Message, Slack};
use crate::request::{Id, RouteOptions};
use crate::resource::{Configuration, Protocol, Service};
use crate::{ingress, relocate, retry, route, slack, spread};

/// Time after which an unanswered ask is sent again, in milliseconds.
const RESEND_MS: u64 = 500;
/// Time without an answer after which an owner counts as unreachable, in milliseconds.
const OWNER_TIMEOUT_MS: u64 = 1_000;
/// Owner timeout of a request that another pool may start, in milliseconds. A round trip takes a
/// few milliseconds, and some tens on a VM with a quarter of a core.
const SPILL_OWNER_TIMEOUT_MS: u64 = 250;
/// Lower limit of the owner timeout of such a request however short its queue timeout is, in
/// milliseconds.
const MIN_SPILL_OWNER_TIMEOUT_MS: u64 = 75;
/// Time for which an owner that did not answer is not asked again, in milliseconds.
const UNRESPONSIVE_MS: u64 = 3_000;
/// Time after which an unanswered ask of a request that is admitted by slack is sent again, in
/// milliseconds. An owner acknowledges one ask in 250 ms.
const SLACK_RESEND_MS: u64 = 300;
/// Owner timeout of such a request, in milliseconds.
const SLACK_OWNER_TIMEOUT_MS: u64 = 600;
/// A caller honours a delay before a retry up to one part in this many of the time it has left.
const RETRY_AFTER_DIVISOR: u64 = 3;
/// Longest wait in one queue for a request that other pools may start, in milliseconds. Targets of
/// the other pools become free meanwhile.
const SPILL_QUEUE_MS: u64 = 100;
/// Time in fallback without a grant after which another zone is tried, in milliseconds.
const FALLBACK_TIMEOUT_MS: u64 = 1_000;
/// Time since the last send that, when the timer of an ask runs, shows that this process was
/// paused, in milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 1_000;
/// Age from which a grant must not be used, in milliseconds.
pub(crate) const MAX_GRANT_AGE_MS: u64 = 2_000;
/// Minimum time between two acknowledgements to one VM, in milliseconds.
const ACK_INTERVAL_MS: u64 = 250;
/// Limit on the VMs in each map of `OwnerContacts`.
const MAX_CONTACTS: usize = 4_096;

/// An ask whose answer is pending.
#[derive(Debug)]
pub(crate) struct PendingAsk {
    /// The VM that was asked.
    pub(crate) to: Name,
    /// This VM was asked, because the pool has no reachable owner.
    is_fallback: bool,
    /// When the VM was first asked.
    since: Millis,
    /// When the ask was last sent.
    pub(crate) last_sent: Millis,
}

/// Times of contact with other VMs.
#[derive(Debug, Default)]
pub(crate) struct OwnerContacts {
    last_answers: Map<Name, Millis>,
    unresponsive_since: Map<Name, Millis>,
    last_acks: Map<Name, Millis>,
}

impl OwnerContacts {
    /// Records that a VM answered.
    pub(crate) fn record_answer(&mut self, vm: &str, now: Millis) {
        record_time(&mut self.last_answers, vm, now);
        self.unresponsive_since.remove(vm);
    }

    fn last_answer(&self, vm: &str) -> Millis {
        self.last_answers.get(vm).copied().unwrap_or_default()
    }

    /// The VMs that recently failed to answer.
    pub(crate) fn unresponsive(&self, now: Millis) -> Vec<Name> {
        let is_recent = |at: Millis| now.since(at) < UNRESPONSIVE_MS;
        let unresponsive = self.unresponsive_since.iter().filter(|(_, at)| is_recent(**at));
        unresponsive.map(|(vm, _)| vm.clone()).collect()
    }
}

fn record_time(map: &mut Map<Name, Millis>, vm: &str, now: Millis) {
    if let Some(at) = map.get_mut(vm) {
        *at = now;
        return;
    }
    if map.len() >= MAX_CONTACTS {
        map.clear();
    }
    map.insert(vm.into(), now);
}

/// Acknowledges the asks of another VM, so that it does not take a long wait in the queue for an
/// unreachable owner. If this VM knows of another owner and does not hold the lease, it ignores the
/// ask and sends nothing.
pub(crate) fn acknowledge(state: &mut State, from: &str, ask: &Ask, now: Millis, out: &mut Outbox) {
    let has_other_owner =
        state.members.owner(&ask.pool).is_some_and(|(owner, _)| *owner != state.identity.vm);
    let holds_lease = state.leases.fence(&ask.pool, now).is_some();
    if *from == *state.identity.vm || (has_other_owner && !holds_lease) {
        return;
    }
    let last_acks = &mut state.entry.owners.last_acks;
    let is_recent = last_acks.get(from).is_some_and(|at| now.since(*at) < ACK_INTERVAL_MS);
    if is_recent {
        return;
    }
    record_time(last_acks, from, now);
    let pool = ask.pool.clone();
    out.send(&from.into(), Message::Ack { pool });
}

/// Asks for a start in the best pool that has not been tried, or handles that none is left.
pub(crate) fn request_start(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let unresponsive = state.entry.owners.unresponsive(now);
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    if state.quarantine.refuses(&request.ask, now) {
        return entry::refuse(state, id, Refusal::new(Reason::Quarantined), now, out);
    }
    if relocate::is_suspected_rerun(state, request) {
        out.log(format!("request={id} not run again: its prompt is suspected"));
        return entry::refuse(state, id, Refusal::new(Reason::TargetFailed), now, out);
    }
    let view = entry::route_view(state, request, &unresponsive);
    match route::next_destination(&view, &request.ask, &request.tried_zones) {
        Some(destination) => ask_pool(state, id, destination, now, out),
        None => on_pools_exhausted(state, id, now, out),
    }
}

/// Asks the VM of `destination` under a new attempt number.
fn ask_pool(
    state: &mut State,
    id: &Id,
    destination: route::Destination,
    now: Millis,
    out: &mut Outbox,
) {
    let spills = has_other_pool(state, id, &destination, now);
    let basis = record_choice(state, id, &destination, now, out);
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    let fallback = if destination.is_fallback { " in fallback" } else { "" };
    let basis = basis.map(|usage| format!("; usage {usage}")).unwrap_or_default();
    let text = format!("asked {} for {}{fallback}{basis}", destination.to, destination.pool.zone);
    state.decisions.record(now, id, text);
    request.ask.attempt += 1;
    request.ask.pool = destination.pool;
    request.ask.spills = spills;
    let (to, pool) = (destination.to.clone(), request.ask.pool.clone());
    request.phase = Phase::Asking(PendingAsk {
        to: destination.to,
        is_fallback: destination.is_fallback,
        since: now,
        last_sent: now,
    });
    backpressure::tell_scheduler(state, &pool, &to, now, out);
    send_ask(state, id, now, out);
}

/// Records where a request is sent and returns the usage that the choice was based on, if it was.
fn record_choice(
    state: &mut State,
    id: &Id,
    destination: &route::Destination,
    now: Millis,
    out: &mut Outbox,
) -> Option<String> {
    let request = state.entry.requests.get(id)?;
    let view = entry::route_view(state, request, &[]);
    let basis = route::describe_usage(&view, &request.ask)?;
    let shift = route::next_shift(&view, &request.ask);
    let zone = &destination.pool.zone;
    if request.tried_zones.is_empty() && *zone != state.identity.zone {
        out.count(Counter::Event("spread_to_other_zone"));
    }
    let size = spread::size_permille(&state.intent, &request.ask, zone);
    let usage = &mut state.entry.usage;
    usage.set_shift(&destination.pool.service, shift);
    usage.record_send(&destination.pool, size, now);
    Some(basis)
}

/// Whether another pool can be asked immediately if the pool of `destination` cannot start the
/// request.
fn has_other_pool(state: &State, id: &Id, destination: &route::Destination, now: Millis) -> bool {
    let Some(request) = state.entry.requests.get(id) else {
        return false;
    };
    if !request.options.spills || request.waits_in_queues || request.advised_zone.is_some() {
        return false;
    }
    let unresponsive = state.entry.owners.unresponsive(now);
    let mut tried_zones = request.tried_zones.clone();
    tried_zones.push(destination.pool.zone.clone());
    route::next_destination(
        &entry::route_view(state, request, &unresponsive),
        &request.ask,
        &tried_zones,
    )
    .is_some()
}

/// Time after which an unanswered ask is reconsidered, in milliseconds.
fn timer_delay_ms(request: &Request) -> u64 {
    if request.ask.slack.is_some() {
        return SLACK_RESEND_MS;
    }
    match (request.options.spills, request.ask.spills) {
        (true, true) => owner_timeout_ms(request),
        (true, false) => SPILL_QUEUE_MS,
        (false, _) => RESEND_MS,
    }
}

/// Time without an answer after which the asked owner counts as unreachable, in milliseconds.
///
/// A request that may spill is answered immediately, so the timeout is shorter.
fn owner_timeout_ms(request: &Request) -> u64 {
    if request.ask.slack.is_some() {
        return SLACK_OWNER_TIMEOUT_MS;
    }
    match (request.options.spills, request.options.queue_timeout_ms) {
        (true, Some(timeout_ms)) => {
            (timeout_ms / 2).clamp(MIN_SPILL_OWNER_TIMEOUT_MS, SPILL_OWNER_TIMEOUT_MS)
        }
        _ => OWNER_TIMEOUT_MS,
    }
}

/// Sends the ask of a request in phase `Asking`.
fn send_ask(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    let blocked = backpressure::blocked_targets(state, &request.ask.pool, now);
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    let Phase::Asking(asking) = &mut request.phase else {
        return;
    };
    asking.last_sent = now;
    request.ask.waited_ms = now.since(request.arrived);
    request.ask.max_wait_ms = request.deadline.since(now);
    if let (Some(slack), Some(timeout_ms)) = (&mut request.ask.slack, request.options.timeout_ms) {
        let left_ms = timeout_ms.saturating_sub(request.ask.waited_ms);
        slack.max_retry_after_ms = left_ms / RETRY_AFTER_DIVISOR;
        // An attempt after a failed one may be late.
        if request.retries == 0 {
            let queue_ms = request.options.queue_timeout_ms.unwrap_or(0);
            let due_ms = ingress::latency_target_ms(queue_ms).min(timeout_ms);
            request.ask.max_wait_ms = due_ms.saturating_sub(request.ask.waited_ms);
        }
    } else if request.options.spills {
        request.ask.max_wait_ms = request.ask.max_wait_ms.min(SPILL_QUEUE_MS);
    }
    let mut ask = request.ask.clone();
    ask.exclude.extend(blocked);
    out.send(&asking.to, Message::Ask(ask));
    let due = now.after(timer_delay_ms(request)).min(request.deadline);
    state.entry.set_timer(id, due);
}

/// Handles that no zone is left: allows the excluded targets once more or refuses the request.
fn on_pools_exhausted(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    let may_clear_exclusions = !request.has_cleared_exclusions
        && request.first_refusal.is_none()
        && !request.ask.exclude.is_empty();
    if may_clear_exclusions {
        request.has_cleared_exclusions = true;
        request.ask.exclude.clear();
        let text = "no other target left: excluded targets are allowed again".to_owned();
        state.decisions.record(now, id, text);
        return back_off(state, id, now);
    }
    // No pool can start the request before its deadline, so it need not wait for that.
    let is_hopeless = request.soonest_start.is_some_and(|at| at > request.deadline);
    // A scheduler that decides by slack has let the request wait for as long as that helps, while
    // one of an earlier version answers `busy` at once.
    let is_decision = |refusal: &Refusal| refusal.reason != Reason::Busy;
    let was_decided =
        request.ask.slack.is_some() && request.first_refusal.as_ref().is_some_and(is_decision);
    if request.options.spills && now < request.deadline && !is_hopeless && !was_decided {
        // Every pool was asked. From now on the request waits in their queues, one after another.
        request.waits_in_queues = true;
        request.tried_zones.clear();
        request.first_refusal = None;
        request.soonest_start = None;
        return back_off(state, id, now);
    }
    let soonest_ms = request.soonest_start.filter(|_| is_hopeless).map(|at| at.since(now));
    let refusal = soonest_ms
        .map(|ms| Refusal::new(Reason::RateLimited).with_retry_after(ms))
        .or(request.first_refusal.take())
        .unwrap_or_else(|| Refusal::new(Reason::NoTarget).with_retry_after(RETRY_AFTER_MS));
    entry::refuse(state, id, refusal, now, out);
}

/// Lets a request wait for the back-off delay before it asks again.
pub(crate) fn back_off(state: &mut State, id: &Id, now: Millis) {
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    let seed = retry::seed(&state.identity);
    let delay = state.entry.backoff(seed, request.retries);
    wait_until(state, id, now.after(delay));
}

/// Lets a request wait until `at` or its deadline, whichever is earlier.
pub(crate) fn wait_until(state: &mut State, id: &Id, at: Millis) {
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    request.phase = Phase::Waiting;
    let deadline = request.deadline;
    state.entry.set_timer(id, at.min(deadline));
}

/// Handles the timer of an unanswered ask.
pub(crate) fn on_ask_timer(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    let Phase::Asking(asking) = &request.phase else {
        return;
    };
    if now >= request.deadline {
        return expire(state, id, now, out);
    }
    match timer_action(state, request, asking, now) {
        TimerAction::Resend => send_ask(state, id, now, out),
        TimerAction::Reissue => reissue(state, id, now, out),
        TimerAction::MarkUnresponsive => on_owner_timeout(state, id, now, out),
        TimerAction::AskAgain => {
            withdraw(state, id, out);
            request_start(state, id, now, out);
        }
        TimerAction::TryNextPool => {
            withdraw(state, id, out);
            if let Some(request) = state.entry.requests.get_mut(id) {
                request.tried_zones.push(request.ask.pool.zone.clone());
            }
            request_start(state, id, now, out);
        }
        TimerAction::LeaveFallback => leave_fallback(state, id, now, out),
    }
}

/// What to do about an ask that is still unanswered.
enum TimerAction {
    /// Send the ask again.
    Resend,
    /// Send the ask under a new attempt number.
    Reissue,
    /// Mark the owner as unresponsive and ask elsewhere.
    MarkUnresponsive,
    /// Withdraw the ask and ask again, because the VM to ask has changed or the zone was taken out
    /// of service.
    AskAgain,
    /// Withdraw the ask and ask the next pool, because the time in this queue is over.
    TryNextPool,
    /// Ask another zone, if there is one.
    LeaveFallback,
}

fn timer_action(state: &State, request: &Request, asking: &PendingAsk, now: Millis) -> TimerAction {
    let ask = &request.ask;
    if now.since(asking.last_sent) > PAUSE_THRESHOLD_MS {
        // Otherwise a grant sent before the pause would count as a fresh one.
        return TimerAction::Reissue;
    }
    if state.intent.is_zone_out(&ask.pool.zone) {
        return TimerAction::AskAgain;
    }
    let waits_briefly = request.options.spills && !ask.spills && ask.slack.is_none();
    if waits_briefly && now.since(asking.since) >= SPILL_QUEUE_MS {
        return TimerAction::TryNextPool;
    }
    let own_vm = state.members.own();
    let unresponsive = state.entry.owners.unresponsive(now);
    let owner =
        route::reachable_owner(&entry::route_view(state, request, &unresponsive), &ask.pool);
    if owner.is_some_and(|owner| *owner != asking.to) {
        return TimerAction::AskAgain;
    }
    if asking.to != *own_vm {
        let answered = state.entry.owners.last_answer(&asking.to).max(asking.since);
        return match (now.since(answered) >= owner_timeout_ms(request), owner) {
            (true, _) => TimerAction::MarkUnresponsive,
            (false, None) => TimerAction::AskAgain,
            (false, Some(_)) => TimerAction::Resend,
        };
    }
    match asking.is_fallback && owner.is_none() && now.since(asking.since) >= FALLBACK_TIMEOUT_MS {
        true => TimerAction::LeaveFallback,
        false => TimerAction::Resend,
    }
}

fn reissue(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    // The higher attempt number invalidates the earlier ask.
    if let Some(request) = state.entry.requests.get_mut(id) {
        request.ask.attempt += 1;
        if let Phase::Asking(asking) = &mut request.phase {
            asking.since = now;
        }
    }
    send_ask(state, id, now, out);
}

fn on_owner_timeout(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let to = match state.entry.requests.get(id).map(|request| &request.phase) {
        Some(Phase::Asking(asking)) => asking.to.clone(),
        _ => return,
    };
    out.count(Counter::Retry(RetryReason::AskTimeout));
    state.decisions.record(now, id, format!("no answer from {to}"));
    record_time(&mut state.entry.owners.unresponsive_since, &to, now);
    withdraw(state, id, out);
    request_start(state, id, now, out);
}

/// Leaves a fallback that grants nothing for another zone; stays if there is none.
fn leave_fallback(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let unresponsive = state.entry.owners.unresponsive(now);
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    let mut tried_zones = request.tried_zones.clone();
    tried_zones.push(request.ask.pool.zone.clone());
    let view = entry::route_view(state, request, &unresponsive);
    match route::next_destination(&view, &request.ask, &tried_zones)
        .filter(|destination| !destination.is_fallback)
    {
        Some(destination) => {
            withdraw(state, id, out);
            ask_pool(state, id, destination, now, out);
        }
        None => send_ask(state, id, now, out),
    }
}

/// Withdraws an unanswered ask. The request may ask again later under a higher attempt number.
pub(crate) fn withdraw(state: &State, id: &Id, out: &mut Outbox) {
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    if let Phase::Asking(asking) = &request.phase {
        let (pool, id) = (request.ask.pool.clone(), id.clone());
        out.send(&asking.to, Message::Withdraw { pool, id });
    }
}

/// The request has reached its queue deadline.
pub(crate) fn expire(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    withdraw(state, id, out);
    let refusal = Refusal::new(Reason::QueueDeadline).with_retry_after(RETRY_AFTER_MS);
    entry::refuse(state, id, refusal, now, out);
}

/// The terms of a request that is admitted by slack; `None` for any other.
pub(crate) fn slack_terms(
    service: &Service,
    config: Option<&Configuration>,
    options: &RouteOptions,
) -> Option<Slack> {
    let is_on = config.is_some_and(|config| *config.policy.order == *slack::ORDER);
    let is_route = options.spills && options.queue_timeout_ms.is_some();
    let timeout_ms = options.timeout_ms.unwrap_or(u64::MAX);
    let is_admitted = is_on && is_route && service.protocol == Protocol::Model;
    is_admitted.then_some(Slack { max_retry_after_ms: timeout_ms / RETRY_AFTER_DIVISOR })
}

/// The refusal of one attempt by an owner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answer<'a> {
    pub(crate) id: &'a Id,
    pub(crate) attempt: u32,
    pub(crate) refusal: &'a Refusal,
    pub(crate) advice: Option<&'a Advice>,
}

/// An owner refused to start a request.
pub(crate) fn on_refusal(
    state: &mut State,
    from: &str,
    answer: &Answer<'_>,
    now: Millis,
    out: &mut Outbox,
) {
    let Answer { id, attempt, refusal, advice } = *answer;
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    let is_current = match &request.phase {
        Phase::Asking(asking) => *asking.to == *from && request.ask.attempt == attempt,
        _ => false,
    };
    if !is_current {
        return out.count(Counter::Ignored("refusal"));
    }
    let zone = request.ask.pool.zone.clone();
    let reason = refusal.reason;
    let text = format!("{from} refused for {zone}: {}", reason.as_str());
    state.decisions.record(now, id, text);
    if !is_pool_specific(reason) || advice == Some(&Advice::Stop) {
        return entry::refuse(state, id, refusal.clone(), now, out);
    }
    request.tried_zones.push(zone);
    if let Some(Advice::Ask(zone)) = advice {
        request.advised_zone = Some(zone.clone());
        return request_start(state, id, now, out);
    }
    request.first_refusal.get_or_insert_with(|| refusal.clone());
    let start = match (reason, refusal.retry_after_ms) {
        (Reason::RateLimited, Some(ms)) => now.after(ms),
        // It may start at any time.
        _ => now,
    };
    request.soonest_start = Some(request.soonest_start.map_or(start, |soonest| soonest.min(start)));
    request_start(state, id, now, out);
}

/// Whether the reason for a refusal concerns one pool only, so that another pool may accept the
/// request.
fn is_pool_specific(reason: Reason) -> bool {
    match reason {
        Reason::Busy
        | Reason::OrganisationQueue
        | Reason::PoolQueue
        | Reason::QueueDeadline
        | Reason::RateLimited
        | Reason::NoTarget
        | Reason::TooLarge
        | Reason::ShuttingDown => true,
        Reason::NotFound
        | Reason::Quarantined
        | Reason::StoreUnavailable
        | Reason::KeyUnconfirmed
        | Reason::InProgress
        | Reason::KeyReused
        | Reason::OutcomeUnknown
        | Reason::RetryBudget
        | Reason::TargetFailed => false,
    }
}
