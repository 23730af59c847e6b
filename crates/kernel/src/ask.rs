//! The dialogue of an entry VM with the owners of pools, until a grant or a refusal.

use crate::entry::{self, Phase, Request, RETRY_AFTER_MS};
use crate::ids::{Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::outcome::{Counter, Reason, Refusal, RetryReason};
use crate::peer::{Ask, Message};
use crate::request::Id;
use crate::{retry, route};

/// Time after which an unanswered ask is sent again, in milliseconds.
const REPEAT_MS: u64 = 500;
/// Silence after which an owner is taken to be unreachable, in milliseconds.
const SILENCE_MS: u64 = 1_000;
/// The same for a request that another pool may start: a message and its answer take some
/// milliseconds, on a VM with a quarter of a core some tens.
const SPILL_SILENCE_MS: u64 = 250;
/// However short the patience of a request is, an owner gets this long to answer, in milliseconds.
const SPILL_SILENCE_MIN_MS: u64 = 75;
/// Time for which an owner that was silent is not asked, in milliseconds.
const AVOID_MS: u64 = 3_000;
/// Longest wait in one queue of a request that other pools may start, in milliseconds: their
/// targets become free while it waits.
const SPILL_MS: u64 = 100;
/// Time in fallback without a grant after which another zone is tried, in milliseconds.
const FALLBACK_MS: u64 = 1_000;
/// A repeat that is sent this long after the one before shows that this process was paused.
const PAUSE_MS: u64 = 1_000;
/// Age beyond which a grant must not be used, in milliseconds.
pub(crate) const GRANT_MS: u64 = 2_000;
/// Least time between two acknowledgements to one VM, in milliseconds.
const ACK_MS: u64 = 250;
/// VMs of which contact is remembered.
const CONTACTS_MAX: usize = 4_096;

/// The ask that waits for an answer.
#[derive(Debug)]
pub(crate) struct Asking {
    /// The VM asked.
    pub(crate) to: Name,
    /// This VM was asked because the pool has no reachable owner.
    is_fallback: bool,
    /// When this VM was asked first.
    since: Millis,
    /// When the last ask was sent.
    pub(crate) last: Millis,
}

/// Contact with the VMs that are asked or that ask.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    heard: Map<Name, Millis>,
    silent: Map<Name, Millis>,
    acks: Map<Name, Millis>,
}

impl Owners {
    /// Records an answer of a VM.
    pub(crate) fn heard(&mut self, vm: &str, now: Millis) {
        remember(&mut self.heard, vm, now);
        self.silent.remove(vm);
    }

    fn last_heard(&self, vm: &str) -> Millis {
        self.heard.get(vm).copied().unwrap_or_default()
    }

    /// VMs that did not answer lately.
    pub(crate) fn silent(&self, now: Millis) -> Vec<Name> {
        let is_silent = |at: Millis| now.since(at) < AVOID_MS;
        let silent = self.silent.iter().filter(|(_, at)| is_silent(**at));
        silent.map(|(vm, _)| vm.clone()).collect()
    }
}

fn remember(map: &mut Map<Name, Millis>, vm: &str, now: Millis) {
    if let Some(at) = map.get_mut(vm) {
        *at = now;
        return;
    }
    if map.len() >= CONTACTS_MAX {
        map.clear();
    }
    map.insert(vm.into(), now);
}

/// Tells another VM that its asks arrive, so that a long wait in the queue is not taken for a
/// lost owner. A VM that knows another owner is silent, because it ignores the ask.
pub(crate) fn acknowledge(state: &mut State, from: &str, ask: &Ask, now: Millis, out: &mut Outbox) {
    let is_elsewhere =
        state.members.owner(&ask.pool).is_some_and(|(owner, _)| *owner != state.identity.vm);
    let is_held = state.leases.fence(&ask.pool, now).is_some();
    if *from == *state.identity.vm || (is_elsewhere && !is_held) {
        return;
    }
    let acks = &mut state.entry.owners.acks;
    let is_recent = acks.get(from).is_some_and(|at| now.since(*at) < ACK_MS);
    if is_recent {
        return;
    }
    remember(acks, from, now);
    let pool = ask.pool.clone();
    out.send(&from.into(), Message::Ack { pool });
}

/// Asks for a start in the best pool that has not refused, or refuses the request.
pub(crate) fn next(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let silent = state.entry.owners.silent(now);
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    let view = entry::route_view(state, request, &silent);
    match route::next_destination(&view, &request.ask, &request.tried_zones) {
        Some(destination) => go(state, id, destination, now, out),
        None => exhausted(state, id, now, out),
    }
}

/// Asks the VM of `hop` under a new attempt number.
fn go(state: &mut State, id: &Id, destination: route::Destination, now: Millis, out: &mut Outbox) {
    let spills = is_other_left(state, id, &destination, now);
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    let fallback = if destination.is_fallback { " in fallback" } else { "" };
    let text = format!("asked {} for {}{fallback}", destination.to, destination.pool.zone);
    state.decisions.record(now, id, text);
    request.ask.attempt += 1;
    request.ask.pool = destination.pool;
    request.ask.spills = spills;
    request.phase = Phase::Asking(Asking {
        to: destination.to,
        is_fallback: destination.is_fallback,
        since: now,
        last: now,
    });
    send(state, id, now, out);
}

/// Whether another pool can be asked at once if the one of `hop` cannot start the request.
fn is_other_left(state: &State, id: &Id, destination: &route::Destination, now: Millis) -> bool {
    let Some(request) = state.entry.requests.get(id) else {
        return false;
    };
    if !request.options.spills || request.waits_in_queues {
        return false;
    }
    let silent = state.entry.owners.silent(now);
    let mut tried_zones = request.tried_zones.clone();
    tried_zones.push(destination.pool.zone.clone());
    route::next_destination(&entry::route_view(state, request, &silent), &request.ask, &tried_zones)
        .is_some()
}

/// Time after which an unanswered ask is looked at again, in milliseconds.
fn wait_ms(request: &Request) -> u64 {
    match (request.options.spills, request.ask.spills) {
        (true, true) => repeat_ms(request),
        (true, false) => SPILL_MS,
        (false, _) => REPEAT_MS,
    }
}

/// Silence after which the owner asked is taken to be unreachable, in milliseconds.
///
/// A request that spills is answered at once, so its owner is not waited for as long.
fn repeat_ms(request: &Request) -> u64 {
    match (request.options.spills, request.options.queue_timeout_ms) {
        (true, Some(patience)) => (patience / 2).clamp(SPILL_SILENCE_MIN_MS, SPILL_SILENCE_MS),
        _ => SILENCE_MS,
    }
}

/// Sends the ask of a request that is in phase `Asking`.
fn send(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    let Phase::Asking(asking) = &mut request.phase else {
        return;
    };
    asking.last = now;
    request.ask.waited_ms = now.since(request.arrived);
    request.ask.patience_ms = request.deadline.since(now);
    if request.options.spills {
        request.ask.patience_ms = request.ask.patience_ms.min(SPILL_MS);
    }
    out.send(&asking.to, Message::Ask(request.ask.clone()));
    let due = now.after(wait_ms(request)).min(request.deadline);
    state.entry.set_timer(id, due);
}

/// No zone is left: allows excluded targets once more or refuses.
fn exhausted(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    let may_relax = !request.has_cleared_exclusions
        && request.first_refusal.is_none()
        && !request.ask.exclude.is_empty();
    if may_relax {
        request.has_cleared_exclusions = true;
        request.ask.exclude.clear();
        let text = "no other target: the excluded ones are allowed again".to_owned();
        state.decisions.record(now, id, text);
        return wait(state, id, now);
    }
    if request.options.spills && now < request.deadline {
        // Every pool was asked: from now on the request waits in their queues, one after the other.
        request.waits_in_queues = true;
        request.tried_zones.clear();
        request.first_refusal = None;
        return wait(state, id, now);
    }
    let refusal = request
        .first_refusal
        .take()
        .unwrap_or_else(|| Refusal::new(Reason::NoTarget).with_retry_after(RETRY_AFTER_MS));
    entry::refuse(state, id, refusal, now, out);
}

/// Lets a request wait before it asks again.
pub(crate) fn wait(state: &mut State, id: &Id, now: Millis) {
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    let seed = retry::seed(&state.identity);
    let delay = state.entry.backoff(seed, request.retries);
    wait_until(state, id, now.after(delay));
}

/// Lets a request wait until `at`, or until its deadline if that is earlier.
pub(crate) fn wait_until(state: &mut State, id: &Id, at: Millis) {
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    request.phase = Phase::Waiting;
    let deadline = request.deadline;
    state.entry.set_timer(id, at.min(deadline));
}

/// The timer of an unanswered ask: repeats it, goes elsewhere or gives up.
pub(crate) fn again(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    let Phase::Asking(asking) = &request.phase else {
        return;
    };
    if now >= request.deadline {
        return expire(state, id, now, out);
    }
    match step(state, request, asking, now) {
        Step::Repeat => send(state, id, now, out),
        Step::Renew => renew(state, id, now, out),
        Step::Silent => give_up(state, id, now, out),
        Step::Elsewhere => {
            withdraw(state, id, out);
            next(state, id, now, out);
        }
        Step::MoveOn => {
            withdraw(state, id, out);
            if let Some(request) = state.entry.requests.get_mut(id) {
                request.tried_zones.push(request.ask.pool.zone.clone());
            }
            next(state, id, now, out);
        }
        Step::Spill => spill(state, id, now, out),
    }
}

/// What to do about an ask that is still unanswered.
enum Step {
    /// Send it again.
    Repeat,
    /// Send it under a new attempt number.
    Renew,
    /// The owner does not answer.
    Silent,
    /// Another VM has become the one to ask.
    Elsewhere,
    /// It has waited in this queue for its time; the next pool may have a place.
    MoveOn,
    /// Try another zone, if there is one.
    Spill,
}

fn step(state: &State, request: &Request, asking: &Asking, now: Millis) -> Step {
    let ask = &request.ask;
    if now.since(asking.last) > PAUSE_MS {
        // A grant sent before the pause could otherwise pass for a fresh one.
        return Step::Renew;
    }
    if state.intent.is_out(&ask.pool.zone) {
        return Step::Elsewhere;
    }
    if request.options.spills && !ask.spills && now.since(asking.since) >= SPILL_MS {
        return Step::MoveOn;
    }
    let own = state.members.own();
    let silent = state.entry.owners.silent(now);
    let owner = route::reachable_owner(&entry::route_view(state, request, &silent), &ask.pool);
    if owner.is_some_and(|owner| *owner != asking.to) {
        return Step::Elsewhere;
    }
    if asking.to != *own {
        let answered = state.entry.owners.last_heard(&asking.to).max(asking.since);
        return match (now.since(answered) >= repeat_ms(request), owner) {
            (true, _) => Step::Silent,
            (false, None) => Step::Elsewhere,
            (false, Some(_)) => Step::Repeat,
        };
    }
    match asking.is_fallback && owner.is_none() && now.since(asking.since) >= FALLBACK_MS {
        true => Step::Spill,
        false => Step::Repeat,
    }
}

fn renew(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    // The higher attempt number takes the earlier ask back.
    if let Some(request) = state.entry.requests.get_mut(id) {
        request.ask.attempt += 1;
        if let Phase::Asking(asking) = &mut request.phase {
            asking.since = now;
        }
    }
    send(state, id, now, out);
}

fn give_up(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let to = match state.entry.requests.get(id).map(|request| &request.phase) {
        Some(Phase::Asking(asking)) => asking.to.clone(),
        _ => return,
    };
    out.count(Counter::Retry(RetryReason::AskTimeout));
    state.decisions.record(now, id, format!("no answer from {to}"));
    remember(&mut state.entry.owners.silent, &to, now);
    withdraw(state, id, out);
    next(state, id, now, out);
}

/// Leaves a fallback that grants nothing for another zone; stays if there is none.
fn spill(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let silent = state.entry.owners.silent(now);
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    let mut tried_zones = request.tried_zones.clone();
    tried_zones.push(request.ask.pool.zone.clone());
    let view = entry::route_view(state, request, &silent);
    match route::next_destination(&view, &request.ask, &tried_zones)
        .filter(|destination| !destination.is_fallback)
    {
        Some(destination) => {
            withdraw(state, id, out);
            go(state, id, destination, now, out);
        }
        None => send(state, id, now, out),
    }
}

/// Takes an unanswered ask back; the request may come back later under a higher attempt number.
pub(crate) fn withdraw(state: &State, id: &Id, out: &mut Outbox) {
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    if let Phase::Asking(asking) = &request.phase {
        let (pool, id) = (request.ask.pool.clone(), id.clone());
        out.send(&asking.to, Message::Withdraw { pool, id });
    }
}

/// The request has waited as long as its service allows.
pub(crate) fn expire(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    withdraw(state, id, out);
    let refusal = Refusal::new(Reason::QueueDeadline).with_retry_after(RETRY_AFTER_MS);
    entry::refuse(state, id, refusal, now, out);
}

/// An owner will not let a request start.
pub(crate) fn refused(
    state: &mut State,
    from: &str,
    id: &Id,
    attempt: u32,
    refusal: &Refusal,
    now: Millis,
    out: &mut Outbox,
) {
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    let is_awaited = match &request.phase {
        Phase::Asking(asking) => *asking.to == *from && request.ask.attempt == attempt,
        _ => false,
    };
    if !is_awaited {
        return out.count(Counter::Ignored("refusal"));
    }
    let zone = request.ask.pool.zone.clone();
    let reason = refusal.reason;
    let text = format!("{from} refused for {zone}: {}", reason.as_str());
    state.decisions.record(now, id, text);
    if !may_spill(reason) {
        return entry::refuse(state, id, refusal.clone(), now, out);
    }
    request.tried_zones.push(zone);
    request.first_refusal.get_or_insert_with(|| refusal.clone());
    next(state, id, now, out);
}

/// Whether another pool may accept what one pool refused for this reason.
fn may_spill(reason: Reason) -> bool {
    match reason {
        Reason::Busy
        | Reason::OrganisationQueue
        | Reason::PoolQueue
        | Reason::QueueDeadline
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
