//! Handles the events of a pool: messages of entry VMs, reports of targets and lists of VMs.

use std::collections::BTreeSet;

use crate::event::Vm;
use crate::ids::{Incarnation, Millis, Name};
use crate::in_flight::{InFlightRequest, GRANT_TTL_MS, SILENCE_TIMEOUT_MS};
use crate::kernel::{Outbox, State};
use crate::outcome::{Counter, Reason, Refusal};
use crate::peer::{Ask, Death, MemberStatus, Message, Progress, Release, Suspect};
use crate::pool::{self, Key, Pool};
use crate::request::{Class, End, Id};
use crate::takeover::{self, Rights};
use crate::target::{CacheBatch, LivenessChange, PollError, Report, REPORT_LAG_MS};
use crate::{attempt, polling, prompt_part, rollout_pool, schedule, slack_queue};

/// Interval at which a holder announces its targets to the VMs of the zone.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;
/// Bound on a pool's queue that holds for any configuration, to bound memory.
const MAX_QUEUE: usize = 16_384;

/// Handles a request of an entry VM for a start.
pub(crate) fn handle_ask(state: &mut State, from: &str, ask: &Ask, now: Millis, out: &mut Outbox) {
    let State { pools, intent, .. } = state;
    if intent.service(&ask.pool.service).is_none() {
        return out.count(Counter::Ignored("ask_unknown_service"));
    }
    if ask.pool.zone != state.identity.zone && intent.zone(&ask.pool.zone).is_none() {
        return out.count(Counter::Ignored("ask_unknown_zone"));
    }
    pools.get_or_create(&ask.pool, intent, now).last_used = now;
    takeover::update_rights(state, &ask.pool, now, out);
    // A new scheduler knows nothing of its targets before their first reports.
    polling::poll_targets(state, &ask.pool, now, out);
    let own = &state.identity.vm;
    let Some(pool) = state.pools.get_mut(&ask.pool) else {
        return;
    };
    if matches!(pool.rights, Rights::NonHolder { .. }) && *from != **own {
        return out.count(Counter::Ignored("ask_not_owner"));
    }
    if pool.in_flight.is_ended(&ask.id, ask.attempt) {
        return out.count(Counter::Ignored("ask_ended"));
    }
    if handle_granted_ask(pool, ask, now, out) {
        return;
    }
    if pool.queue.find(&ask.id).is_some() {
        // Nothing has changed that would let it start.
        let timed = slack_queue::timed(pool, ask);
        return pool.queue.renew(timed.as_ref().unwrap_or(ask), now);
    }
    if let Some(ask) = slack_queue::timed(pool, ask) {
        return handle_timed_ask(state, from, &ask, now, out);
    }
    enqueue(state, from, ask, now, out);
    schedule::run(state, &ask.pool, now, out);
    if ask.spills {
        refuse_queued(state, from, ask, now, out);
    }
}

/// Handles a request that is admitted by slack; `ask.max_wait_ms` is the time for which it may wait.
fn handle_timed_ask(state: &mut State, from: &str, ask: &Ask, now: Millis, out: &mut Outbox) {
    let pool = state.pools.get_mut(&ask.pool);
    let may_return = pool.is_some_and(|pool| slack_queue::take_return(pool, ask, now));
    enqueue(state, from, ask, now, out);
    if let Some(pool) = state.pools.get_mut(&ask.pool) {
        slack_queue::record_size(pool, ask);
    }
    schedule::run(state, &ask.pool, now, out);
    slack_queue::decide_new(state, &ask.pool, &ask.id, may_return, now, out);
}

/// Refuses a request that could not start at once, so that its entry VM asks another pool.
fn refuse_queued(state: &mut State, from: &str, ask: &Ask, now: Millis, out: &mut Outbox) {
    let queue = state.pools.get_mut(&ask.pool).map(|pool| &mut pool.queue);
    if queue.and_then(|queue| queue.remove(&ask.id)).is_some() {
        let refusal = Refusal::new(Reason::Busy);
        state.decisions.record(now, &ask.id, format!("refused: {}", refusal.reason.as_str()));
        refuse(&from.into(), &ask.id, ask.attempt, refusal, out);
    }
}

/// Handles an ask for a request that may already have a grant; returns whether it is settled.
fn handle_granted_ask(pool: &mut Pool, ask: &Ask, now: Millis, out: &mut Outbox) -> bool {
    let Some(running) = pool.in_flight.get(&ask.id) else {
        return false;
    };
    if running.ask.attempt < ask.attempt {
        // The entry VM has ended the earlier attempt; its release was lost or is late.
        let earlier = running.ask.attempt;
        pool.remove_request(&ask.id, now);
        pool.in_flight.mark_ended(&ask.id, earlier);
        return false;
    }
    if running.ask.attempt > ask.attempt || running.confirmed {
        out.count(Counter::Ignored("ask_running"));
        return true;
    }
    let is_fresh = now.since(running.granted_at) < GRANT_TTL_MS;
    let target_ix = running.target_ix;
    if !is_fresh && !can_renew_grant(pool, target_ix, now) {
        pool.remove_request(&ask.id, now);
        return false;
    }
    resend_grant(pool, &ask.id, is_fresh, now, out);
    true
}

/// Returns whether a grant for the target with index `ix` may be renewed.
fn can_renew_grant(pool: &Pool, ix: usize, now: Millis) -> bool {
    let target = &pool.targets[ix];
    !pool.zone_is_out
        && !target.is_leaving()
        && target.is_healthy(now)
        && pool.is_version_open(ix, now)
        && pool.concurrency_limit(target) > 0
}

/// Sends a grant again. An expired one is renewed for the same target, so that the recorded target
/// is right whichever copy the entry VM uses.
fn resend_grant(pool: &mut Pool, id: &Id, is_fresh: bool, now: Millis, out: &mut Outbox) {
    let rights = pool.rights;
    let Some(running) = pool.in_flight.get_mut(id) else {
        return;
    };
    let Some(grant) = &mut running.grant else {
        return;
    };
    if !is_fresh {
        running.granted_at = now;
        running.last_heard = now;
        grant.fence = rights.fence();
    }
    out.count(Counter::Event("grant_resent"));
    out.send(&id.vm.clone(), Message::Grant(grant.clone()));
}

/// Adds a request to the queue or refuses it.
fn enqueue(state: &mut State, from: &str, ask: &Ask, now: Millis, out: &mut Outbox) {
    let State { pools, intent, quarantine, decisions, .. } = state;
    let Some(pool) = pools.get_mut(&ask.pool) else {
        return;
    };
    let mut ask = ask.clone();
    ask.class = pool.classify(&ask);
    if ask.class == Class::Short {
        pool.last_short_at = Some(now);
    }
    let refusal =
        schedule::admit(pool, quarantine, &ask, now).and_then(|()| check_servable(pool, &ask));
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

/// Returns a refusal if the queue is full or the request has excluded every target.
fn check_servable(pool: &Pool, ask: &Ask) -> Result<(), Refusal> {
    if pool.queue.len() >= MAX_QUEUE {
        return Err(Refusal::new(Reason::PoolQueue));
    }
    let mut targets = pool.targets.iter();
    let is_left = targets.any(|target| !target.is_leaving() && !ask.exclude.contains(&target.name));
    // Without exclusions the request waits: the entry VM may learn of a target before this VM does.
    match is_left || ask.exclude.is_empty() {
        true => Ok(()),
        false => Err(Refusal::new(Reason::NoTarget)),
    }
}

fn refuse(to: &Name, id: &Id, attempt: u32, refusal: Refusal, out: &mut Outbox) {
    let id = id.clone();
    out.send(to, Message::Refuse { id, attempt, refusal, advice: None });
}

/// Handles the withdrawal of a request.
pub(crate) fn handle_withdraw(
    state: &mut State,
    key: &Key,
    id: &Id,
    now: Millis,
    out: &mut Outbox,
) {
    let Some(pool) = state.pools.get_mut(key) else {
        return;
    };
    pool.queue.remove(id);
    let is_unused = pool.in_flight.get(id).is_some_and(|running| !running.confirmed);
    if is_unused {
        if let Some(running) = pool.remove_request(id, now) {
            if let Some(exposure) = &mut pool.exposure {
                exposure.revoke_grant(&running);
            }
            refund_prompt(pool, &running, now);
        }
    }
    schedule::run(state, key, now, out);
}

/// Refunds the prompt that was charged for a grant that was not used.
fn refund_prompt(pool: &mut Pool, running: &InFlightRequest, now: Millis) {
    if running.ask.has_kv_copy() {
        return;
    }
    let prompt = u64::from(running.ask.prompt_tokens);
    pool.queue.refund(&running.ask.organisation, prompt, now);
}

/// Handles the progress of all requests that an entry VM runs in a pool.
pub(crate) fn handle_progress(
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
    let mut outputs = Vec::new();
    for entry in entries {
        let id = Id::new(from, entry.incarnation, entry.counter);
        match pool.in_flight.get_mut(&id) {
            Some(running) => {
                running.last_heard = now;
                running.confirmed = true;
                running.silent_since = None;
            }
            None => is_unknown = true,
        }
        outputs.extend(first_output(pool, &id, entry.tokens));
        pool.record_progress(&id, entry.tokens, now);
    }
    if let Some(takeover) = pool.takeover.as_mut().filter(|_| is_unknown) {
        takeover.reopen_inventory(from, now);
    }
    // A batch names all running requests: one that was missing for long enough has ended.
    let left_out = pool.in_flight.select(|running| {
        *running.ask.id.vm == *from && now.since(running.last_heard) >= SILENCE_TIMEOUT_MS
    });
    for id in &left_out {
        pool.remove_request(id, now);
        out.count(Counter::Event("work_left_out"));
    }
    let may_start = outputs.iter().any(|first| state.quarantine.parts.has_suspect(&first.parts));
    outputs.iter().for_each(|first| record_output(state, first, now, out));
    if !left_out.is_empty() || may_start {
        schedule::run(state, key, now, out);
    }
}

/// Handles the end of an attempt.
pub(crate) fn handle_release(state: &mut State, release: &Release, now: Millis, out: &mut Outbox) {
    let Some(pool) = state.pools.get_mut(&release.pool) else {
        return;
    };
    let id = &release.id;
    let queued = pool.queue.find(id).map(|queued| queued.ask.attempt);
    if queued.is_some_and(|attempt| attempt <= release.attempt) && release.end != End::Unsent {
        pool.queue.remove(id);
    }
    let attempt = pool.in_flight.get(id).map(|running| running.ask.attempt);
    let mut output = None;
    let mut has_broken_early = false;
    if attempt.is_some_and(|attempt| attempt <= release.attempt) {
        let running = pool.in_flight.get(id);
        let is_silent = running.is_some_and(|running| running.has_no_output());
        has_broken_early = release.end == End::Broken && release.tokens == 0 && is_silent;
        let tokens = release.tokens.max(u32::from(release.end == End::Complete));
        output = first_output(pool, id, tokens);
        end_request(pool, release, now, out);
    }
    if release.end != End::Unsent {
        pool.in_flight.mark_ended(id, release.attempt);
    }
    pool.drop_removed_targets();
    if has_broken_early {
        polling::poll_after_break(state, &release.pool, &release.target, now, out);
    }
    if let Some(first) = output {
        record_output(state, &first, now, out);
    }
    schedule::run(state, &release.pool, now, out);
}

/// The first output of a request.
struct FirstOutput {
    id: Id,
    parts: Vec<u64>,
    granted_at: Millis,
}

/// Returns the first output of a request if `tokens` is that and the request was granted here, so
/// that the time of its grant is known.
fn first_output(pool: &Pool, id: &Id, tokens: u32) -> Option<FirstOutput> {
    let running = pool.in_flight.get(id)?;
    let is_first = running.has_no_output() && tokens > 0;
    (is_first && running.grant.is_some() && !running.ask.parts.is_empty()).then(|| FirstOutput {
        id: id.clone(),
        parts: running.ask.parts.clone(),
        granted_at: running.granted_at,
    })
}

fn record_output(state: &mut State, first: &FirstOutput, now: Millis, out: &mut Outbox) {
    prompt_part::on_output(state, &first.id, &first.parts, first.granted_at, now, out);
}

/// Removes a granted request and records how it ended.
fn end_request(pool: &mut Pool, release: &Release, now: Millis, out: &mut Outbox) {
    pool.record_progress(&release.id, release.tokens, now);
    let Some(running) = pool.remove_request(&release.id, now) else {
        return;
    };
    rollout_pool::record_end(pool, &running, release, out);
    match release.end {
        End::Unsent | End::Rejected => refund_prompt(pool, &running, now),
        End::Complete => {
            let tokens = running.ask.generated_tokens + release.tokens;
            pool.lengths.record(&running.ask.organisation, tokens);
        }
        _ => {}
    }
    slack_queue::record_end(pool, &running, release, now);
    let target = &mut pool.targets[running.target_ix];
    if target.name != release.target {
        return;
    }
    target.attempt_ended(release.end, suspect(&running, now), running.granted_at, now);
    if let Some(first_ms) = release.first_token_ms {
        target.record_first_token(first_ms);
    }
}

/// Describes a request whose target may have died at `now`.
///
/// An engine that crashes as its output begins is not crashed by a request that already has some.
fn suspect(running: &InFlightRequest, now: Millis) -> Suspect {
    let ask = &running.ask;
    let parts = match running.has_no_output() {
        true => ask.parts.clone(),
        false => Vec::new(),
    };
    Suspect {
        parts,
        // Without a grant, another scheduler granted it, possibly long ago.
        granted_ago_ms: match running.grant {
            Some(_) => now.since(running.granted_at),
            None => now.0,
        },
        fingerprint: ask.fingerprint,
        organisation: ask.organisation.clone(),
        service: ask.pool.service.clone(),
    }
}

/// Returns the key of the pool that a target belongs to.
fn pool_of(state: &State, target: &str) -> Option<Key> {
    let spec = state.intent.target(target)?;
    Some(Key::new(&spec.service, &spec.zone))
}

/// Handles the result of a poll of a target.
pub(crate) fn handle_report(
    state: &mut State,
    target: &str,
    report: Result<&Report, PollError>,
    now: Millis,
    out: &mut Outbox,
) {
    let Some(key) = pool_of(state, target) else {
        return out.count(Counter::Ignored("report_of_unknown_target"));
    };
    let Some(pool) = state.pools.get_mut(&key) else {
        return;
    };
    let Some(ix) = pool.target_index(target) else {
        return;
    };
    if let Err(error) = report {
        if !state.reach.trusts_failed_poll(error == PollError::Refused, now) {
            return out.count(Counter::Ignored("poll_while_cut_off"));
        }
    }
    let untracked = pool.targets[ix].untracked;
    let is_taking_over = pool.is_taking_over();
    let change = match report {
        Ok(report) => pool.targets[ix].apply_report(report, now),
        Err(error) => pool.targets[ix].poll_failed(error, now),
    };
    if let Ok(report) = report {
        let reportable = if is_taking_over { 0 } else { count_reportable(pool, ix, now) };
        pool.targets[ix].retain_untracked(untracked, report, reportable);
        remove_unreported(pool, ix, report, now);
    }
    if let LivenessChange::Died(start_id) = change {
        let mut death = build_death(pool, ix, start_id, now);
        prompt_part::drop_sound_parts(&state.quarantine.parts, &mut death, now);
        out.warn(format!("target={target} start_id={start_id} died"));
        // The death of an idle target makes no body a suspect.
        let vms = takeover::known_vms(state);
        for vm in vms.iter().filter(|_| !death.running.is_empty()) {
            out.send(vm, Message::Death(death.clone()));
        }
    }
    schedule::run(state, &key, now, out);
}

/// Returns how many requests were granted long enough ago to be part of any report of a target.
fn count_reportable(pool: &Pool, ix: usize, now: Millis) -> u32 {
    let in_flight = pool.targets[ix].in_flight.iter().filter_map(|id| pool.in_flight.get(id));
    in_flight.filter(|running| now.since(running.granted_at) > REPORT_LAG_MS).count() as u32
}

/// Removes as many silent requests as the report of their target shows to have ended.
fn remove_unreported(pool: &mut Pool, ix: usize, report: &Report, now: Millis) {
    let shown = (report.running + report.waiting) as usize;
    let excess = pool.targets[ix].in_flight.len().saturating_sub(shown);
    let unreported = pool.in_flight.select(|running| {
        running.target_ix == ix
            && running.silent_since.is_some_and(|silent| now.since(silent) >= REPORT_LAG_MS)
    });
    for id in unreported.into_iter().take(excess) {
        pool.remove_request(&id, now);
    }
}

/// Returns the death of a target with the bodies that ran on it.
fn build_death(pool: &mut Pool, ix: usize, start_id: u64, now: Millis) -> Death {
    let target = &pool.targets[ix];
    let mut running: Vec<Suspect> = target
        .in_flight
        .iter()
        .filter_map(|id| pool.in_flight.get(id))
        .filter(|running| !target.is_covered_by_death(running.granted_at))
        .map(|running| suspect(running, now))
        .collect();
    running.extend(pool.targets[ix].take_broken_attempts(now));
    running.sort_by(|a, b| (a.fingerprint, &a.parts).cmp(&(b.fingerprint, &b.parts)));
    running.dedup_by(|a, b| (a.fingerprint, &a.parts) == (b.fingerprint, &b.parts));
    Death { target: pool.targets[ix].name.clone(), start_id, running, age_ms: 0 }
}

/// Handles prefix-cache events of an engine.
pub(crate) fn handle_cache_events(state: &mut State, target: &str, batch: &CacheBatch) {
    let Some(key) = pool_of(state, target) else {
        return;
    };
    let pool = state.pools.get_mut(&key);
    if let Some(target_state) = pool.and_then(|pool| {
        let ix = pool.target_index(target)?;
        pool.targets.get_mut(ix)
    }) {
        target_state.apply_cache_events(batch);
    }
}

/// Handles the platform's list of VMs.
pub(crate) fn handle_vm_list(state: &mut State, vms: &[Vm], now: Millis, out: &mut Outbox) {
    let listed: BTreeSet<Name> = vms.iter().map(|vm| vm.name.clone()).collect();
    state.pools.vm_list.update(listed, now);
    let vm_list = &state.pools.vm_list;
    let departed: BTreeSet<Name> = vm_list.departed.keys().cloned().collect();
    for pool in state.pools.pools.values_mut() {
        for target in &mut pool.targets {
            if let Some(vm) = vms.iter().find(|vm| vm.name == target.name) {
                target.set_listed_leaving(vm.leaving);
            }
        }
        let ids = pool.in_flight.select(|running| {
            running.silent_since.is_some() && departed.contains(&running.ask.id.vm)
        });
        for id in ids {
            pool.remove_request(&id, now);
        }
    }
    let keys: Vec<Key> = state.pools.pools.keys().cloned().collect();
    for key in keys {
        takeover::request_inventories(state, &key, now, out);
        schedule::run(state, &key, now, out);
    }
}

/// Ends requests that have waited too long or whose entry VM has been silent for too long.
pub(crate) fn expire(state: &mut State, key: &Key, now: Millis, out: &mut Outbox) {
    let latest = latest_incarnations(state);
    let State { pools, decisions, quarantine, .. } = state;
    let Some(pool) = pools.get_mut(key) else {
        return;
    };
    for id in pool.queue.abandoned(now) {
        pool.queue.remove(&id);
        decisions.record(
            now,
            &id,
            "dropped from the queue: its entry VM stopped repeating the ask".to_owned(),
        );
        out.count(Counter::Event("ask_forgotten"));
    }
    for id in pool.queue.overdue(now) {
        let retry_after = pool.start_rate.retry_after(&pool.queue, now);
        let Some(queued) = pool.queue.remove(&id) else {
            continue;
        };
        if queued.ask.slack.is_some() && pool.orders_by_slack() {
            slack_queue::refuse_overdue(pool, quarantine, decisions, &queued, now, out);
            continue;
        }
        let refusal = Refusal::new(Reason::QueueDeadline).with_retry_after(retry_after);
        decisions.record(now, &id, format!("refused: {}", refusal.reason.as_str()));
        refuse(&id.vm, &id, queued.ask.attempt, refusal, out);
    }
    expire_in_flight(pool, &latest, now, out);
    pool.queue.prune(now);
    let Pool { lengths, queue, .. } = pool;
    lengths.retain(|name| queue.get(name).is_some());
    pool.drop_removed_targets();
}

/// Returns the latest incarnation of each known VM.
fn latest_incarnations(state: &State) -> crate::map::Map<Name, Incarnation> {
    let members = state.members.iter();
    members.map(|member| (member.entry.vm.clone(), member.entry.incarnation)).collect()
}

/// Removes requests whose entry VM has restarted and silent ones on warm targets; marks other
/// silent ones.
///
/// A cold target may still serve a silent request, so its place is freed only by a sign of its end.
fn expire_in_flight(
    pool: &mut Pool,
    latest: &crate::map::Map<Name, Incarnation>,
    now: Millis,
    out: &mut Outbox,
) {
    let is_holder = matches!(pool.rights, Rights::Holder(_));
    let targets = &pool.targets;
    let freed = pool.in_flight.select(|running| {
        let id = &running.ask.id;
        let has_restarted = latest.get(&id.vm).is_some_and(|&seen| seen > id.incarnation);
        let may_expire = !is_holder || targets[running.target_ix].is_warm();
        has_restarted || (may_expire && now.since(running.last_heard) >= SILENCE_TIMEOUT_MS)
    });
    for id in freed {
        pool.remove_request(&id, now);
        out.count(Counter::Event("work_silent"));
    }
    for running in pool.in_flight.values_mut() {
        if running.silent_since.is_none() && now.since(running.last_heard) >= SILENCE_TIMEOUT_MS {
            running.silent_since = Some(now);
        }
    }
}

/// Announces warm and cold targets to the VMs of the zone, which use them in fallback.
pub(crate) fn announce_targets(state: &mut State, key: &Key, now: Millis, out: &mut Outbox) {
    let own = state.identity.vm.clone();
    let members = state.members.in_zone(&key.zone);
    let mut vms: Vec<Name> = members
        .filter(|member| member.entry.vm != own && member.entry.status != MemberStatus::Leaving)
        .map(|member| member.entry.vm.clone())
        .collect();
    vms.sort();
    let Some(pool) = state.pools.get_mut(key) else {
        return;
    };
    let is_due = pool.last_announced.is_none_or(|at| now.since(at) >= ANNOUNCE_INTERVAL_MS);
    if !is_due || !matches!(pool.rights, Rights::Holder(_) | Rights::LapsedHolder) {
        return;
    }
    pool.last_announced = Some(now);
    let names = |is_warm: bool| {
        let targets = pool.targets.iter().filter(move |target| {
            !target.unavailable.removed && (target.is_warm() && !target.unavailable.down) == is_warm
        });
        targets.map(|target| target.name.clone()).collect::<Vec<Name>>()
    };
    let (warm, cold) = (names(true), names(false));
    if state.intent.spreads_load(&key.service) {
        state.entry.usage.record(key, pool.usage_permille(now), now);
    }
    let usage = attempt::known_usage(state, &key.service, now);
    let message = Message::Targets { pool: key.clone(), warm, cold, usage };
    for vm in vms {
        out.send(&vm, message.clone());
    }
}
