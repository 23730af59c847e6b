//! Takes in what entry VMs, targets and the platform say about the work of a pool.

use std::collections::BTreeSet;

use crate::event::Vm;
use crate::ids::{Incarnation, Millis, Name};
use crate::kernel::{Outbox, State};
use crate::ledger::{Running, GRANT_VALID, SILENCE};
use crate::outcome::{Counter, Outcome, Reason, Refusal};
use crate::peer::{Ask, Death, Message, Progress, Release, Standing, Suspect};
use crate::pool::{self, Key, Pool};
use crate::request::{Class, End, Id};
use crate::schedule;
use crate::takeover::{self, Rights};
use crate::target::{CacheBatch, Finding, Report, Silence, REPORT_LAG};

/// Interval of polls of each target.
const POLL_INTERVAL: u64 = 500;
/// Interval at which a holder describes its targets to the zone.
const TELL_INTERVAL: u64 = 1_000;
/// Bound on a pool's queue whatever its configuration says, to bound memory.
const QUEUE_MAX: usize = 16_384;

/// Takes in that an entry VM asks for a start.
pub(crate) fn asked(state: &mut State, from: &str, ask: &Ask, now: Millis, out: &mut Outbox) {
    let State { pools, intent, .. } = state;
    if intent.service(&ask.pool.service).is_none() {
        return out.count(Counter::Ignored("ask_unknown_service"));
    }
    if ask.pool.zone != state.identity.zone && intent.zone(&ask.pool.zone).is_none() {
        return out.count(Counter::Ignored("ask_unknown_zone"));
    }
    pools.ensure(&ask.pool, intent, now).used = now;
    takeover::check(state, &ask.pool, now, out);
    // A scheduler that has just begun knows nothing of its targets before their first reports.
    poll(state, &ask.pool, now, out);
    let own = &state.identity.vm;
    let Some(pool) = state.pools.get_mut(&ask.pool) else {
        return;
    };
    if matches!(pool.rights, Rights::Other { .. }) && *from != **own {
        return out.count(Counter::Ignored("ask_not_owner"));
    }
    if pool.ledger.is_ended(&ask.id, ask.attempt) {
        return out.count(Counter::Ignored("ask_ended"));
    }
    if is_answered(pool, ask, now, out) {
        return;
    }
    if pool.queue.find(&ask.id).is_some() {
        // Nothing has changed that could let it start.
        return pool.queue.refresh(ask, now);
    }
    join(state, from, ask, now, out);
    schedule::run(state, &ask.pool, now, out);
    if ask.spills {
        spill(state, from, ask, now, out);
    }
}

/// Sends a request that could not start at once to another pool.
fn spill(state: &mut State, from: &str, ask: &Ask, now: Millis, out: &mut Outbox) {
    let queue = state.pools.get_mut(&ask.pool).map(|pool| &mut pool.queue);
    if queue.and_then(|queue| queue.remove(&ask.id)).is_some() {
        let refusal = Refusal::new(Reason::Busy);
        state.decisions.record(now, &ask.id, format!("refused: {}", refusal.reason.as_str()));
        refuse(&from.into(), &ask.id, ask.attempt, refusal, out);
    }
}

/// Deals with an ask for a request that already has a grant; says whether nothing is left to do.
fn is_answered(pool: &mut Pool, ask: &Ask, now: Millis, out: &mut Outbox) -> bool {
    let Some(running) = pool.ledger.get(&ask.id) else {
        return false;
    };
    if running.ask.attempt < ask.attempt {
        // The entry VM has given up the earlier attempt; its release was lost or is late.
        let earlier = running.ask.attempt;
        pool.forget(&ask.id, now);
        pool.ledger.end(&ask.id, earlier);
        return false;
    }
    if running.ask.attempt > ask.attempt || running.confirmed {
        out.count(Counter::Ignored("ask_running"));
        return true;
    }
    let is_fresh = now.since(running.granted) < GRANT_VALID;
    let target = running.target;
    if !is_fresh && !is_usable(pool, target, now) {
        pool.forget(&ask.id, now);
        return false;
    }
    resend(pool, &ask.id, is_fresh, now, out);
    true
}

/// Whether a grant of a target may be renewed.
fn is_usable(pool: &Pool, target: usize, now: Millis) -> bool {
    let slot = &pool.targets[target];
    !pool.out && !slot.is_leaving() && slot.is_healthy(now) && pool.limit(slot) > 0
}

/// Sends a grant again. An expired one is renewed for the same target, so that the ledger is right
/// whichever copy the entry VM uses.
fn resend(pool: &mut Pool, id: &Id, is_fresh: bool, now: Millis, out: &mut Outbox) {
    let rights = pool.rights;
    let Some(running) = pool.ledger.get_mut(id) else {
        return;
    };
    let Some(grant) = &mut running.grant else {
        return;
    };
    if !is_fresh {
        running.granted = now;
        running.heard = now;
        grant.fence = rights.fence();
    }
    out.count(Counter::Event("grant_resent"));
    out.send(&id.vm.clone(), Message::Grant(grant.clone()));
}

/// Lets a request join the queue, or refuses it.
fn join(state: &mut State, from: &str, ask: &Ask, now: Millis, out: &mut Outbox) {
    let State { pools, intent, quarantine, decisions, .. } = state;
    let Some(pool) = pools.get_mut(&ask.pool) else {
        return;
    };
    let mut ask = ask.clone();
    ask.class = pool.class(&ask);
    if ask.class == Class::Short {
        pool.short_at = Some(now);
    }
    let refusal =
        schedule::admit(pool, quarantine, &ask, now).and_then(|()| is_servable(pool, &ask));
    if let Err(refusal) = refusal {
        decisions.record(now, &ask.id, format!("refused: {}", refusal.reason.as_str()));
        return refuse(&from.into(), &ask.id, ask.attempt, refusal, out);
    }
    let text = format!("queued behind {} in the pool", pool.queue.len());
    decisions.record(now, &ask.id, text);
    let organisation = pool.queue.organisation(&ask.organisation, now);
    organisation.weight = pool::weight(intent, &ask.organisation);
    pool.queue.push(ask, now);
}

/// Refuses a request that has excluded every target, or that no queue length should let in.
fn is_servable(pool: &Pool, ask: &Ask) -> Result<(), Refusal> {
    if pool.queue.len() >= QUEUE_MAX {
        return Err(Refusal::new(Reason::PoolQueue));
    }
    let mut targets = pool.targets.iter();
    let is_left = targets.any(|slot| !slot.is_leaving() && !ask.exclude.contains(&slot.name));
    // Without exclusions the request waits: the entry VM may know of a target sooner than this VM.
    match is_left || ask.exclude.is_empty() {
        true => Ok(()),
        false => Err(Refusal::new(Reason::NoTarget)),
    }
}

fn refuse(to: &Name, id: &Id, attempt: u32, refusal: Refusal, out: &mut Outbox) {
    let id = id.clone();
    out.send(to, Message::Refuse { id, attempt, refusal });
}

/// Takes in that a request no longer wants a start.
pub(crate) fn withdrawn(state: &mut State, key: &Key, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(pool) = state.pools.get_mut(key) else {
        return;
    };
    pool.queue.remove(id);
    let is_unused = pool.ledger.get(id).is_some_and(|running| !running.confirmed);
    if is_unused {
        if let Some(running) = pool.forget(id, now) {
            take_back(pool, &running, now);
        }
    }
    schedule::run(state, key, now, out);
}

/// Takes back the service counted for a start that was not used.
fn take_back(pool: &mut Pool, running: &Running, now: Millis) {
    if running.ask.made > 0 {
        return;
    }
    let prompt = u64::from(running.ask.prompt_tokens);
    pool.queue.refund(&running.ask.organisation, prompt, now);
}

/// Takes in what an entry VM's running requests have put out.
pub(crate) fn progress(
    state: &mut State,
    from: &str,
    key: &Key,
    entries: &[Progress],
    now: Millis,
    out: &mut Outbox,
) {
    let Some(pool) = state.pools.get_mut(key) else {
        return;
    };
    let mut is_unknown = false;
    for entry in entries {
        let id = Id::new(from, entry.incarnation, entry.counter);
        match pool.ledger.get_mut(&id) {
            Some(running) => {
                running.heard = now;
                running.confirmed = true;
                running.silent = None;
            }
            None => is_unknown = true,
        }
        pool.advance(&id, entry.tokens, now);
    }
    if let Some(takeover) = pool.takeover.as_mut().filter(|_| is_unknown) {
        takeover.reopen(from, now);
    }
    // The batch names all that runs: what it has left out for long has ended.
    let left_out = pool
        .ledger
        .select(|running| *running.ask.id.vm == *from && now.since(running.heard) >= SILENCE);
    for id in &left_out {
        pool.forget(id, now);
        out.count(Counter::Event("work_left_out"));
    }
    if !left_out.is_empty() {
        schedule::run(state, key, now, out);
    }
}

/// Takes in that an attempt ended.
pub(crate) fn released(state: &mut State, release: &Release, now: Millis, out: &mut Outbox) {
    let Some(pool) = state.pools.get_mut(&release.pool) else {
        return;
    };
    let id = &release.id;
    let queued = pool.queue.find(id).map(|queued| queued.ask.attempt);
    if queued.is_some_and(|attempt| attempt <= release.attempt) && release.end != End::Unsent {
        pool.queue.remove(id);
    }
    let attempt = pool.ledger.get(id).map(|running| running.ask.attempt);
    if attempt.is_some_and(|attempt| attempt <= release.attempt) {
        settle(pool, release, now);
    }
    if release.end != End::Unsent {
        pool.ledger.end(id, release.attempt);
    }
    pool.drop_removed();
    schedule::run(state, &release.pool, now, out);
}

/// Books the end of granted work.
fn settle(pool: &mut Pool, release: &Release, now: Millis) {
    pool.advance(&release.id, release.tokens, now);
    let Some(running) = pool.forget(&release.id, now) else {
        return;
    };
    match release.end {
        End::Unsent | End::Rejected => take_back(pool, &running, now),
        End::Complete => {
            let tokens = running.ask.made + release.tokens;
            pool.lengths.record(&running.ask.organisation, tokens);
        }
        _ => {}
    }
    let slot = &mut pool.targets[running.target];
    if slot.name != release.target {
        return;
    }
    slot.ended(release.end, suspect(&running.ask), running.granted, now);
    if let Some(first_ms) = release.first_token_ms {
        slot.first_token(first_ms);
    }
}

fn suspect(ask: &Ask) -> Suspect {
    Suspect {
        fingerprint: ask.fingerprint,
        organisation: ask.organisation.clone(),
        service: ask.pool.service.clone(),
    }
}

/// The pool that a target belongs to.
fn pool_of(state: &State, target: &str) -> Option<Key> {
    let spec = state.intent.target(target)?;
    Some(Key::new(&spec.service, &spec.zone))
}

/// Takes in a target's report or its absence.
pub(crate) fn report(
    state: &mut State,
    target: &str,
    report: Result<&Report, Silence>,
    now: Millis,
    out: &mut Outbox,
) {
    let Some(key) = pool_of(state, target) else {
        return out.count(Counter::Ignored("report_of_unknown_target"));
    };
    let Some(pool) = state.pools.get_mut(&key) else {
        return;
    };
    let Some(ix) = pool.position(target) else {
        return;
    };
    let foreign = pool.targets[ix].foreign;
    let is_learning = pool.is_learning();
    let finding = match report {
        Ok(report) => pool.targets[ix].report(report, now),
        Err(silence) => pool.targets[ix].failed(silence),
    };
    if let Ok(report) = report {
        let visible = if is_learning { 0 } else { visible(pool, ix, now) };
        pool.targets[ix].keep_foreign(foreign, report, visible);
        free_unseen(pool, ix, report, now);
    }
    if let Finding::Died(start_id) = finding {
        let death = death(pool, ix, start_id, now);
        out.warn(format!("target={target} start_id={start_id} died"));
        // A death of an idle target says nothing about any body.
        let vms = takeover::vms(state);
        for vm in vms.iter().filter(|_| !death.running.is_empty()) {
            out.send(vm, Message::Death(death.clone()));
        }
    }
    schedule::run(state, &key, now, out);
}

/// Granted work on a target that has run for long enough to be part of any report.
fn visible(pool: &Pool, target: usize, now: Millis) -> u32 {
    let work = pool.targets[target].work.iter().filter_map(|id| pool.ledger.get(id));
    work.filter(|running| now.since(running.granted) > REPORT_LAG).count() as u32
}

/// Frees silent work of which a target's report shows nothing.
fn free_unseen(pool: &mut Pool, target: usize, report: &Report, now: Millis) {
    let shown = (report.running + report.waiting) as usize;
    let excess = pool.targets[target].work.len().saturating_sub(shown);
    let unseen = pool.ledger.select(|running| {
        running.target == target
            && running.silent.is_some_and(|silent| now.since(silent) >= REPORT_LAG)
    });
    for id in unseen.into_iter().take(excess) {
        pool.forget(&id, now);
    }
}

/// A death with the bodies that ran on the target.
fn death(pool: &mut Pool, target: usize, start_id: u64, now: Millis) -> Death {
    let slot = &pool.targets[target];
    let mut running: Vec<Suspect> = slot
        .work
        .iter()
        .filter_map(|id| pool.ledger.get(id))
        .filter(|running| !slot.is_blamed(running.granted))
        .map(|running| suspect(&running.ask))
        .collect();
    running.extend(pool.targets[target].take_broken(now));
    running.sort_by_key(|suspect| suspect.fingerprint);
    running.dedup_by_key(|suspect| suspect.fingerprint);
    Death { target: pool.targets[target].name.clone(), start_id, running, age_ms: 0 }
}

/// Takes in prefix-cache events of an engine.
pub(crate) fn cache(state: &mut State, target: &str, batch: &CacheBatch) {
    let Some(key) = pool_of(state, target) else {
        return;
    };
    let pool = state.pools.get_mut(&key);
    if let Some(slot) = pool.and_then(|pool| {
        let ix = pool.position(target)?;
        pool.targets.get_mut(ix)
    }) {
        slot.cache(batch);
    }
}

/// Takes in the platform's list of VMs.
pub(crate) fn vms(state: &mut State, vms: &[Vm], now: Millis, out: &mut Outbox) {
    let listed: BTreeSet<Name> = vms.iter().map(|vm| vm.name.clone()).collect();
    state.pools.listing.update(listed, now);
    let listing = &state.pools.listing;
    let departed: BTreeSet<Name> = listing.departed.keys().cloned().collect();
    for pool in state.pools.pools.values_mut() {
        for slot in &mut pool.targets {
            if let Some(vm) = vms.iter().find(|vm| vm.name == slot.name) {
                slot.set_platform(vm.leaving);
            }
        }
        let gone = pool
            .ledger
            .select(|running| running.silent.is_some() && departed.contains(&running.ask.id.vm));
        for id in gone {
            pool.forget(&id, now);
        }
    }
    let keys: Vec<Key> = state.pools.pools.keys().cloned().collect();
    for key in keys {
        takeover::inquire(state, &key, now, out);
        schedule::run(state, &key, now, out);
    }
}

/// Drops what has waited or been silent for too long.
pub(crate) fn expire(state: &mut State, key: &Key, now: Millis, out: &mut Outbox) {
    let newest = incarnations(state);
    let State { pools, decisions, .. } = state;
    let Some(pool) = pools.get_mut(key) else {
        return;
    };
    for id in pool.queue.forgotten(now) {
        pool.queue.remove(&id);
        decisions.record(now, &id, "dropped: its entry VM no longer asks".to_owned());
        out.count(Counter::Event("ask_forgotten"));
    }
    for id in pool.queue.overdue(now) {
        let retry_after = pool.rate.retry_after(&pool.queue, now);
        let Some(queued) = pool.queue.remove(&id) else {
            continue;
        };
        let refusal = Refusal::new(Reason::QueueDeadline).with_retry_after(retry_after);
        decisions.record(now, &id, format!("refused: {}", refusal.reason.as_str()));
        refuse(&id.vm, &id, queued.ask.attempt, refusal, out);
    }
    expire_work(pool, &newest, now, out);
    pool.queue.prune(now);
    let Pool { lengths, queue, .. } = pool;
    lengths.retain(|name| queue.get(name).is_some());
    pool.drop_removed();
}

/// The incarnation of each known VM.
fn incarnations(state: &State) -> crate::map::Map<Name, Incarnation> {
    let members = state.members.iter();
    members.map(|member| (member.entry.vm.clone(), member.entry.incarnation)).collect()
}

/// Frees work whose entry VM has restarted, and silent work of warm targets; marks the rest.
///
/// A cold target may still carry work that is silent, so only a sign of its end frees its place.
fn expire_work(
    pool: &mut Pool,
    newest: &crate::map::Map<Name, Incarnation>,
    now: Millis,
    out: &mut Outbox,
) {
    let is_holder = matches!(pool.rights, Rights::Holder(_));
    let targets = &pool.targets;
    let freed = pool.ledger.select(|running| {
        let id = &running.ask.id;
        let is_over = newest.get(&id.vm).is_some_and(|&seen| seen > id.incarnation);
        let is_soft = !is_holder || targets[running.target].is_warm();
        is_over || (is_soft && now.since(running.heard) >= SILENCE)
    });
    for id in freed {
        pool.forget(&id, now);
        out.count(Counter::Event("work_silent"));
    }
    for running in pool.ledger.values_mut() {
        if running.silent.is_none() && now.since(running.heard) >= SILENCE {
            running.silent = Some(now);
        }
    }
}

/// Asks for the report of each target.
pub(crate) fn poll(state: &mut State, key: &Key, now: Millis, out: &mut Outbox) {
    let own_zone = state.identity.zone == key.zone;
    let Some(pool) = state.pools.get_mut(key).filter(|_| own_zone) else {
        return;
    };
    if pool.polled.is_some_and(|at| now.since(at) < POLL_INTERVAL) {
        return;
    }
    pool.polled = Some(now);
    for slot in &pool.targets {
        out.push(Outcome::Poll { target: slot.name.clone(), address: slot.spec.address.clone() });
    }
}

/// Describes the targets to the VMs of the zone, which use it in fallback.
pub(crate) fn describe_targets(state: &mut State, key: &Key, now: Millis, out: &mut Outbox) {
    let own = state.identity.vm.clone();
    let members = state.members.in_zone(&key.zone);
    let mut vms: Vec<Name> = members
        .filter(|member| member.entry.vm != own && member.entry.standing != Standing::Leaving)
        .map(|member| member.entry.vm.clone())
        .collect();
    vms.sort();
    let Some(pool) = state.pools.get_mut(key) else {
        return;
    };
    let is_due = pool.told.is_none_or(|at| now.since(at) >= TELL_INTERVAL);
    if !is_due || !matches!(pool.rights, Rights::Holder(_) | Rights::Last) {
        return;
    }
    pool.told = Some(now);
    let names = |is_warm: bool| {
        let slots = pool.targets.iter().filter(move |slot| {
            !slot.absence.removed && (slot.is_warm() && !slot.absence.down) == is_warm
        });
        slots.map(|slot| slot.name.clone()).collect::<Vec<Name>>()
    };
    let message = Message::Targets { pool: key.clone(), warm: names(true), cold: names(false) };
    for vm in vms {
        out.send(&vm, message.clone());
    }
}
