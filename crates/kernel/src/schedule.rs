//! Chooses the next request and its target by the policies that the configuration selects.

use std::cmp::Reverse;

use crate::headroom;
use crate::ids::Millis;
use crate::in_flight::InFlightRequest;
use crate::kernel::{Outbox, State};
use crate::outcome::{Counter, Refusal};
use crate::pauses;
use crate::peer::{Ask, Grant, Message};
use crate::plugin::policy;
use crate::pool::{Key, Pool, Reservation};
use crate::prompt_part;
use crate::quarantine::Registry;
use crate::request::{Class, Id};
use crate::resource;
use crate::rollout_pool::Exposure;
use crate::slack;
use crate::takeover;
use crate::target::TargetState;

/// Number of requests tried from the front of each queue, so that one which must avoid some targets
/// does not block those behind it.
const LOOKAHEAD: usize = 4;
/// Number of grants that may bypass the first request in order before a target is reserved for it.
const MAX_BYPASSES: u32 = 8;

/// The policies of one pool, by stage.
#[derive(Debug, Default)]
pub(crate) struct ActivePolicies {
    admit: Vec<policy::Admit>,
    order: Option<policy::Order>,
    filter: Vec<policy::Filter>,
    score: Vec<(&'static str, policy::Score)>,
}

impl ActivePolicies {
    /// Selects the policies that a configuration names (order, score) or does not switch off
    /// (admit, filter).
    pub(crate) fn new(registered: &[policy::Plugin], wanted: &resource::Policy) -> ActivePolicies {
        let mut stages = ActivePolicies::default();
        let is_on = |name: &str| !wanted.off.iter().any(|off| **off == *name);
        for plugin in registered {
            match plugin.stage {
                policy::Stage::Admit(admit) if is_on(plugin.name) => stages.admit.push(admit),
                policy::Stage::Filter(filter) if is_on(plugin.name) => stages.filter.push(filter),
                policy::Stage::Order(order) if *wanted.order == *plugin.name => {
                    stages.order = Some(order);
                }
                policy::Stage::Score(score)
                    if wanted.score.iter().any(|name| **name == *plugin.name) =>
                {
                    stages.score.push((plugin.name, score));
                }
                _ => {}
            }
        }
        stages
    }
}

/// A request and the target chosen for it.
struct Assignment {
    id: Id,
    target_ix: usize,
    /// The first request in order, if this assignment bypasses it.
    bypassed: Option<Id>,
}

/// Applies the admission policies to a request.
pub(crate) fn admit(
    pool: &Pool,
    quarantine: &Registry,
    ask: &Ask,
    now: Millis,
) -> Result<(), Refusal> {
    let view = policy::View { pool, quarantine, now };
    pool.policies.admit.iter().try_for_each(|admit| admit(&view, ask))
}

/// Grants waiting requests of a pool until none can be assigned to a target.
pub(crate) fn run(state: &mut State, key: &Key, now: Millis, out: &mut Outbox) {
    // The lease is checked on each event, since the process may have been paused meanwhile.
    takeover::update_rights(state, key, now, out);
    if state.entry.catching_up_until(now).is_some() {
        return;
    }
    let State { pools, quarantine, decisions, .. } = state;
    let Some(pool) = pools.get_mut(key) else {
        return;
    };
    pool.drop_void_reservation();
    while let Some(assignment) = next_assignment(pool, quarantine, now) {
        if let Some(bypassed) = &assignment.bypassed {
            record_bypass(pool, quarantine, bypassed, now);
        }
        let explanation = explain(pool, quarantine, &assignment, now);
        let puts_bound_at_risk = puts_bound_at_risk(pool, quarantine, &assignment, now);
        let Some(grant) = issue_grant(pool, &assignment, now) else {
            break;
        };
        if puts_bound_at_risk {
            out.count(Counter::Event("pause_bound_at_risk"));
        }
        decisions.record(now, &grant.id, explanation);
        out.send(&grant.id.vm.clone(), Message::Grant(grant));
    }
    if pool.queue.is_empty() {
        pool.start_rate.reset();
        pool.outlook.record_empty_queue(now);
    }
}

/// Returns the non-empty queues, as organisation and class, in the order in which they are served.
fn queue_heads(view: &policy::View<'_>) -> Vec<(usize, Class)> {
    let organisations = &view.pool.queue.organisations;
    let mut heads: Vec<(usize, Class)> = (0..organisations.len())
        .flat_map(|ix| [(ix, Class::Short), (ix, Class::Long)])
        .filter(|&(ix, class)| !organisations[ix].waiting(class).is_empty())
        .collect();
    heads.sort_by_cached_key(|&(ix, class)| {
        let head = organisations[ix].waiting(class).front();
        let rank = head.map_or(u64::MAX, |head| match view.pool.policies.order {
            Some(order) => order(view, ix, &head.ask),
            None => head.arrived.0,
        });
        let arrived = head.map(|head| head.arrived);
        // A generation whose target is leaving has less time than a request that has not started.
        let is_new = head.is_none_or(|head| head.ask.generated_tokens == 0);
        (is_new, rank, class, arrived, &organisations[ix].name)
    });
    heads
}

fn next_assignment(pool: &Pool, quarantine: &Registry, now: Millis) -> Option<Assignment> {
    let view = policy::View { pool, quarantine, now };
    if pool.queue.is_empty() {
        return None;
    }
    let open = [candidate_targets(&view, Class::Short), candidate_targets(&view, Class::Long)];
    let mut first = None;
    for (ix, class) in queue_heads(&view) {
        let targets = &open[class as usize];
        let waiting = pool.queue.organisations[ix].waiting(class);
        let mut tried = 0;
        for queued in waiting {
            let ask = &queued.ask;
            if prompt_part::is_held_back(&view, ask) {
                continue;
            }
            if let Some(target_ix) = best_target(&view, ask, targets) {
                let id = ask.id.clone();
                return Some(Assignment { id, target_ix, bypassed: first });
            }
            first.get_or_insert_with(|| ask.id.clone());
            tried += 1;
            if tried == LOOKAHEAD || !is_restricted(&view, ask) {
                break;
            }
        }
    }
    None
}

/// Returns whether a request may be kept from targets that the next one of its queue may use.
fn is_restricted(view: &policy::View<'_>, ask: &Ask) -> bool {
    !ask.exclude.is_empty()
        || view.quarantine.is_suspect(ask.fingerprint, view.now)
        || view.quarantine.parts.has_suspect(&ask.parts)
}

/// Returns the targets that could take the smallest request of a class.
///
/// Filters are at least as strict for any other request, so that a full pool is searched once and
/// not for each organisation.
fn candidate_targets(view: &policy::View<'_>, class: Class) -> Vec<usize> {
    let smallest = Ask {
        pool: view.pool.key.clone(),
        id: Id::new("", Default::default(), 0),
        attempt: 0,
        organisation: "".into(),
        prompt_tokens: 0,
        max_tokens: Some(0),
        class,
        fingerprint: 0,
        prefixes: Vec::new(),
        parts: Vec::new(),
        waited_ms: 0,
        max_wait_ms: 0,
        priority: None,
        spills: false,
        standby_target: None,
        generated_tokens: 0,
        is_recomputed: false,
        exclude: Vec::new(),
        slack: None,
    };
    let reserved = view.pool.reservation.as_ref().map(|reserved| reserved.target_ix);
    (0..view.pool.targets.len())
        .filter(|&ix| reserved == Some(ix) || passes_filters(view, &smallest, ix))
        .collect()
}

/// Returns the free KV tokens of each target, zero for one that takes no request.
pub(crate) fn free_room(pool: &Pool, quarantine: &Registry, now: Millis) -> Vec<u64> {
    let view = policy::View { pool, quarantine, now };
    let mut free = vec![0; pool.targets.len()];
    for ix in candidate_targets(&view, Class::Long) {
        free[ix] = headroom::free_kv(&view, ix);
    }
    free
}

fn passes_filters(view: &policy::View<'_>, ask: &Ask, ix: usize) -> bool {
    view.pool.policies.filter.iter().all(|filter| filter(view, ask, ix))
}

fn best_target(view: &policy::View<'_>, ask: &Ask, targets: &[usize]) -> Option<usize> {
    // Only this target holds the copy of the generation's KV memory.
    let copy_ix = ask.standby_target.as_deref().and_then(|name| view.pool.target_index(name));
    if let Some(copy_ix) = copy_ix.filter(|&copy_ix| passes_filters(view, ask, copy_ix)) {
        return Some(copy_ix);
    }
    let targets = targets.iter().copied();
    targets
        .filter(|&ix| passes_filters(view, ask, ix))
        .max_by_key(|&ix| (score(view, ask, ix), Reverse(ix)))
}

fn score(view: &policy::View<'_>, ask: &Ask, ix: usize) -> i64 {
    let scores = view.pool.policies.score.iter();
    scores.fold(0_i64, |sum, (_, score)| sum.saturating_add(score(view, ask, ix)))
}

/// Counts a bypass of the first request in order, and reserves a target for it after
/// [`MAX_BYPASSES`] in succession.
fn record_bypass(pool: &mut Pool, quarantine: &Registry, id: &Id, now: Millis) {
    if pool.queue.find(id).is_some_and(|queued| slack::may_be_passed(queued, now)) {
        return;
    }
    let bypasses = match &pool.bypassed {
        Some((bypassed, bypasses)) if bypassed == id => bypasses + 1,
        _ => 1,
    };
    pool.bypassed = Some((id.clone(), bypasses));
    if bypasses < MAX_BYPASSES || pool.reservation.is_some() {
        return;
    }
    let view = policy::View { pool, quarantine, now };
    let Some(queued) = pool.queue.find(id) else {
        return;
    };
    let target_ix = (0..pool.targets.len())
        .filter(|&ix| headroom::lacks_memory(&view, &queued.ask, ix))
        .min_by_key(|&ix| (pool.targets[ix].estimated_kv(now), ix));
    let class = queued.ask.class;
    pool.reservation = target_ix.map(|target_ix| Reservation { id: id.clone(), class, target_ix });
}

impl Pool {
    /// Drops the reservation if its request no longer waits or its target is leaving.
    pub(crate) fn drop_void_reservation(&mut self) {
        let is_void = |reservation: &Reservation| {
            self.queue.find(&reservation.id).is_none()
                || self.targets.get(reservation.target_ix).is_none_or(TargetState::is_leaving)
        };
        if self.reservation.as_ref().is_some_and(is_void) {
            self.reservation = None;
        }
    }
}

/// Returns whether an assignment is likely to break the pause bound of streams on its target.
fn puts_bound_at_risk(
    pool: &Pool,
    quarantine: &Registry,
    assignment: &Assignment,
    now: Millis,
) -> bool {
    let view = policy::View { pool, quarantine, now };
    let queued = pool.queue.find(&assignment.id);
    queued.is_some_and(|queued| pauses::breaks_bound(&view, &queued.ask, assignment.target_ix))
}

/// Returns the reason for an assignment, for the log of the request.
fn explain(pool: &Pool, quarantine: &Registry, assignment: &Assignment, now: Millis) -> String {
    let view = policy::View { pool, quarantine, now };
    let Some(queued) = pool.queue.find(&assignment.id) else {
        return String::new();
    };
    let ask = &queued.ask;
    let open = (0..pool.targets.len()).filter(|&ix| passes_filters(&view, ask, ix));
    let scores: Vec<String> = pool
        .policies
        .score
        .iter()
        .map(|(name, score)| format!("{name} {}", score(&view, ask, assignment.target_ix)))
        .collect();
    let target = &pool.targets[assignment.target_ix];
    format!(
        "granted {}: best of {} open targets ({}), {} running of {}, waited {} ms{}{}",
        target.name,
        open.count(),
        scores.join(", "),
        pool.occupancy(assignment.target_ix),
        pool.concurrency_limit(target),
        now.since(queued.arrived),
        pool.exposure.as_ref().map(Exposure::describe).unwrap_or_default(),
        pauses::describe(pool, assignment.target_ix, now),
    )
}

/// Records an assignment as a request in flight and returns its grant.
fn issue_grant(pool: &mut Pool, assignment: &Assignment, now: Millis) -> Option<Grant> {
    let queued = pool.queue.dequeue(&assignment.id, now)?;
    let ask = queued.ask;
    pool.grants += 1;
    let usage = pool.usage_permille(now);
    let target = &mut pool.targets[assignment.target_ix];
    target.last_grant = pool.grants;
    target.record_grant(now);
    target.rejections.record_grant(now);
    let limiter = target.limiter.as_mut();
    let limit = limiter.map(|limiter| {
        limiter.record_request(now);
        limiter.limit()
    });
    let grant = Grant {
        pool: pool.key.clone(),
        id: ask.id.clone(),
        attempt: ask.attempt,
        target: target.name.clone(),
        address: target.spec.address.clone(),
        fence: pool.rights.fence(),
        priority: ask.priority.map_or(ask.class as i32, i32::from),
        usage,
        limit,
    };
    pool.outlook.record_start(queued.projected_kv, now);
    let mut running = InFlightRequest::new(ask, assignment.target_ix, now);
    running.waited_ms = now.since(queued.arrived);
    running.grant = Some(grant.clone());
    running.version = pool.targets[assignment.target_ix].spec.version.clone();
    if let Some(exposure) = &mut pool.exposure {
        running.order = Some(exposure.plan.order);
        exposure.record_grant(&running);
    }
    pool.add_request(running);
    pool.start_rate.record(now);
    Some(grant)
}
