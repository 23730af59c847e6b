//! Control plug-ins for version roll-outs: the phase of each roll-out on this VM, the plans for the
//! pools scheduled here, and the work of the deciding VM.
//!
//! The deciding VM holds a lease in the store. It answers the reports of the other VMs with the
//! phase; a scheduler exposes the new version only for a short time after such an answer.

use std::collections::{BTreeMap, BTreeSet};

use crate::event::Event;
use crate::feed::Table;
use crate::ids::{Millis, Name, Revision};
use crate::intent::Intent;
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::outcome::{Counter, Outcome};
use crate::peer::Message;
use crate::plugin::control;
use crate::request::Id;
use crate::rollout::{self, Gate, Order, Phase, Status, StatusState};
use crate::rollout_count::{Counts, Ledger, Report};
use crate::rollout_decide::{adopt_status, decide, next_step, tell, Role};
use crate::rollout_hold::Versions;
use crate::rollout_pool::Plan;
use crate::rollout_record::Exchange;
use crate::rollout_watch::{self, Watch};
use crate::store;

/// Interval of the work on a roll-out.
const TICK_MS: u64 = 100;
/// Interval of reports to the deciding VM.
const REPORT_INTERVAL_MS: u64 = 500;
/// Interval after which a report is repeated although nothing has changed, as it may be lost.
const REPORT_REPEAT_MS: u64 = 2_000;
/// Interval at which the deciding VM tells all VMs the phase.
const TELL_INTERVAL_MS: u64 = 1_000;
/// How often it tells them the verdict.
pub(crate) const VERDICT_REPEATS: u32 = 3;
/// The roll-outs that operators have ordered, by service.
#[derive(Debug, Default)]
pub struct Rollouts {
    pub(crate) by_service: BTreeMap<Name, Rollout>,
    /// Whether the deployment has roll-outs.
    is_enabled: bool,
    versions: BTreeMap<Name, Versions>,
    /// The generation of resources for which `versions` was updated last.
    generation: u64,
    due: Option<Millis>,
}

/// One roll-out as known to this VM.
#[derive(Debug)]
pub(crate) struct Rollout {
    pub(crate) order: Order,
    pub(crate) phase: Phase,
    pub(crate) started_at: Millis,
    pub(crate) confirmed_at: Option<Millis>,
    /// The operator has withdrawn the order.
    is_withdrawn: bool,
    /// Versions of earlier roll-outs that were not found good.
    closed: Vec<Name>,
    pub(crate) counts: Counts,
    pub(crate) watched: Map<Id, Watch>,
    /// Another VM that decides, and when it was last heard.
    pub(crate) decider: Option<(Name, Millis)>,
    pub(crate) exchange: Exchange,
    pub(crate) ledger: Ledger,
    /// Traffic has moved over. The verdict stays the same from then on, as it may be written.
    pub(crate) is_moved_over: bool,
    reported: Option<(u64, Phase, u32, Millis)>,
    pub(crate) told_at: Option<Millis>,
    pub(crate) verdicts_told: u32,
}

impl Rollout {
    fn new(order: &Order, closed: Vec<Name>, now: Millis) -> Rollout {
        Rollout {
            order: order.clone(),
            phase: Phase::InProgress,
            started_at: now,
            confirmed_at: None,
            is_withdrawn: false,
            closed,
            counts: Counts::default(),
            watched: Map::default(),
            decider: None,
            exchange: Exchange::default(),
            ledger: Ledger::default(),
            is_moved_over: false,
            reported: None,
            told_at: None,
            verdicts_told: 0,
        }
    }

    pub(crate) fn elapsed_ms(&self, now: Millis) -> u64 {
        now.since(self.started_at)
    }

    /// Enters a later phase.
    pub(crate) fn enter(&mut self, phase: Phase, reason: &str, now: Millis, out: &mut Outbox) {
        if phase <= self.phase || self.phase.is_final() {
            return;
        }
        out.log(format!(
            "rollout service={} to={} order={} phase={:?} was={:?} reason={reason} elapsed_ms={} \
             oldest_report_ms={}",
            self.order.service,
            self.order.to,
            self.order.revision.number(),
            phase,
            self.phase,
            self.elapsed_ms(now),
            self.ledger.oldest_ms(now),
        ));
        self.phase = phase;
        self.told_at = None;
    }

    /// The contents that the status row should have.
    pub(crate) fn wanted_status(&self) -> Status {
        let state = match self.phase {
            Phase::Completed => StatusState::Completed,
            Phase::Promoting if self.is_moved_over => StatusState::Completed,
            Phase::InProgress | Phase::Promoting => StatusState::InProgress,
            Phase::Reverting | Phase::Reverted => StatusState::Reverted,
        };
        Status { state, to: self.order.to.clone() }
    }

    /// Whether nothing is left to do until the order changes.
    fn is_settled(&self, now: Millis) -> bool {
        self.phase.is_final() && !self.exchange.holds(now) && self.watched.is_empty()
    }
}

impl Rollouts {
    /// The phase of the latest roll-out of a service.
    ///
    /// ```
    /// use hornbeamloom_kernel::rollout_control::Rollouts;
    ///
    /// assert_eq!(Rollouts::default().phase("menu-model"), None);
    /// ```
    pub fn phase(&self, service: &str) -> Option<Phase> {
        self.by_service.get(service).map(|rollout| rollout.phase)
    }

    /// Whether this VM decides on the roll-out of a service.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Millis;
    /// use hornbeamloom_kernel::rollout_control::Rollouts;
    ///
    /// assert!(!Rollouts::default().decides("menu-model", Millis(1)));
    /// ```
    pub fn decides(&self, service: &str, now: Millis) -> bool {
        self.by_service.get(service).is_some_and(|rollout| rollout.exchange.holds(now))
    }

    /// Whether a target is of the old version of a service whose traffic has moved to a new one.
    pub(crate) fn retires(&self, intent: &Intent, service: &str, target: &str) -> bool {
        let phase = self.phase(service);
        matches!(phase, Some(Phase::Promoting | Phase::Completed))
            && self.refuses(intent, service, target)
    }

    /// Whether a target is of a version that gets no requests any more, whoever granted it.
    pub(crate) fn refuses(&self, intent: &Intent, service: &str, target: &str) -> bool {
        let Some(rollout) = self.by_service.get(service) else {
            return false;
        };
        let Some(target) = intent.target(target) else {
            return false;
        };
        let is_new = target.version.as_ref() == Some(&rollout.order.to);
        match rollout.phase {
            Phase::InProgress => false,
            Phase::Promoting | Phase::Completed => !is_new,
            Phase::Reverting | Phase::Reverted => is_new,
        }
    }
}

inventory::submit! {
    // Runs before the entry plug-in, which drops a request when its attempt ends.
    control::Plugin { name: "rollout_ends", rank: 49, handle: handle_ends, wakeup: |_| None }
}

inventory::submit! {
    // Runs after the entry plug-in has used a grant, and before relocation and the pools.
    control::Plugin { name: "rollout", rank: 53, handle, wakeup: |state| state.rollouts.due }
}

fn handle_ends(state: &mut State, event: &Event<'_>, now: Millis, _out: &mut Outbox) {
    if !state.rollouts.by_service.is_empty() {
        rollout_watch::handle_ends(&mut state.rollouts.by_service, event, now);
    }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    if let Event::Rollouts(orders) = event {
        state.rollouts.is_enabled = true;
        apply_orders(state, orders, now, out);
    }
    if !state.rollouts.is_enabled {
        return;
    }
    let mut is_due = matches!(event, Event::Rollouts(_)) || update_versions(state, now);
    match event {
        Event::Peer { message: Message::Grant(grant), .. } => {
            let State { rollouts, entry, intent, .. } = &mut *state;
            let rollout = rollouts.by_service.get_mut(&grant.pool.service);
            if let Some(rollout) = rollout {
                rollout_watch::watch(rollout, entry, intent, grant, now, out);
            }
        }
        Event::Peer { from, message: Message::RolloutReport { service, order, report } } => {
            handle_report(state, from, service, *order, report, now, out);
        }
        Event::Peer { from, message: message @ Message::RolloutPhase { .. } } => {
            handle_phase(state, from, message, now, out);
            is_due = true;
        }
        Event::StoreAnswered { call, answer } => {
            let mut rollouts = state.rollouts.by_service.values_mut();
            is_due |= rollouts.any(|rollout| rollout.exchange.handle_answer(*call, answer, now));
        }
        _ => {}
    }
    if is_due || state.rollouts.due.is_some_and(|due| due <= now) {
        run(state, now, out);
    }
}

/// Applies the orders in the operator's table.
fn apply_orders(state: &mut State, orders: &[Order], now: Millis, out: &mut Outbox) {
    let rollouts = &mut state.rollouts.by_service;
    for order in orders {
        let is_same = |known: &Order| {
            known.to == order.to && known.revision.number() == order.revision.number()
        };
        match rollouts.get_mut(&order.service) {
            // A store that came back from an older copy gives the same row another era.
            Some(known) if is_same(&known.order) && !known.is_withdrawn => {
                known.order = order.clone();
            }
            Some(known) => {
                let mut closed = std::mem::take(&mut known.closed);
                if known.phase != Phase::Completed {
                    closed.push(known.order.to.clone());
                }
                closed.retain(|version| *version != order.to);
                *known = Rollout::new(order, closed, now);
                log_order(order, out);
            }
            None => {
                rollouts.insert(order.service.clone(), Rollout::new(order, Vec::new(), now));
                log_order(order, out);
            }
        }
    }
    for (service, rollout) in rollouts.iter_mut() {
        if !orders.iter().any(|order| order.service == *service) && !rollout.is_withdrawn {
            rollout.is_withdrawn = true;
            if !rollout.is_moved_over {
                rollout.enter(Phase::Reverting, "withdrawn", now, out);
            }
        }
    }
}

fn log_order(order: &Order, out: &mut Outbox) {
    out.log(format!(
        "rollout service={} to={} order={} ordered duration_ms={}",
        order.service,
        order.to,
        order.revision.number(),
        order.duration_ms
    ));
}

/// Takes in the versions of all services if the resources have changed; returns whether they have.
fn update_versions(state: &mut State, now: Millis) -> bool {
    let State { rollouts, intent, .. } = state;
    if std::mem::replace(&mut rollouts.generation, intent.generation) == intent.generation {
        return false;
    }
    let mut registered: BTreeMap<Name, BTreeSet<Name>> = BTreeMap::new();
    for (_, target) in intent.targets() {
        if let Some(version) = &target.version {
            registered.entry(target.service.clone()).or_default().insert(version.clone());
        }
    }
    rollouts.versions.retain(|service, _| registered.contains_key(service));
    for (service, versions) in &registered {
        rollouts.versions.entry(service.clone()).or_default().update(versions, now);
    }
    true
}

/// Takes in a report, and answers it with the phase if this VM decides or knows a later phase.
fn handle_report(
    state: &mut State,
    from: &str,
    service: &Name,
    order: Revision,
    report: &Report,
    now: Millis,
    out: &mut Outbox,
) {
    let rollout = state.rollouts.by_service.get_mut(service);
    let Some(rollout) = rollout.filter(|rollout| rollout.order.revision == order) else {
        return out.count(Counter::Ignored("rollout_report"));
    };
    learn_elapsed(rollout, report.elapsed_ms, now);
    if !report.phase.is_final() {
        rollout.enter(report.phase, "reported", now, out);
    }
    rollout.ledger.record(from, report, now);
    let decides = rollout.exchange.holds(now);
    if decides || rollout.phase > report.phase {
        out.send(
            &from.into(),
            Message::RolloutPhase {
                service: service.clone(),
                order,
                phase: rollout.phase,
                elapsed_ms: rollout.elapsed_ms(now),
                decides,
                answers: Some((report.incarnation, report.sent)),
            },
        );
    }
}

/// The order may have been read here later than elsewhere.
fn learn_elapsed(rollout: &mut Rollout, elapsed_ms: u64, now: Millis) {
    let earliest = Millis(now.0.saturating_sub(elapsed_ms));
    rollout.started_at = rollout.started_at.min(earliest);
}

fn handle_phase(state: &mut State, from: &str, message: &Message, now: Millis, out: &mut Outbox) {
    let Message::RolloutPhase { service, order, phase, elapsed_ms, decides, answers } = message
    else {
        return;
    };
    let rollout = state.rollouts.by_service.get_mut(service);
    let Some(rollout) = rollout.filter(|rollout| rollout.order.revision == *order) else {
        return out.count(Counter::Ignored("rollout_phase"));
    };
    learn_elapsed(rollout, *elapsed_ms, now);
    rollout.enter(*phase, "told", now, out);
    if !decides {
        return;
    }
    if *from != *state.identity.vm {
        rollout.decider = Some((from.into(), now));
    }
    // The phase was the sender's after this VM had sent the report, whenever its answer arrives.
    if let Some((incarnation, sent)) = answers {
        if *incarnation == state.identity.incarnation && *phase == Phase::InProgress {
            rollout.confirmed_at = rollout.confirmed_at.max(Some(*sent));
        }
    }
}

/// Does what is due for all roll-outs.
fn run(state: &mut State, now: Millis, out: &mut Outbox) {
    let services: Vec<Name> = state.rollouts.by_service.keys().cloned().collect();
    for service in &services {
        // Taken out, so that the rest of the state can be read meanwhile.
        let Some(mut rollout) = state.rollouts.by_service.remove(service) else {
            continue;
        };
        advance(state, &mut rollout, now, out);
        // What a withdrawn order has closed stays closed while it is registered.
        let is_new = |version: Option<&Name>| version == Some(&rollout.order.to);
        let is_completed = rollout.phase == Phase::Completed;
        let closed =
            count_targets(&state.intent, service, |version| is_new(version) != is_completed);
        if rollout.is_withdrawn && rollout.is_settled(now) && closed == 0 {
            state.pools.plans.remove(service);
        } else {
            state.rollouts.by_service.insert(service.clone(), rollout);
        }
    }
    apply_plans(state, now);
    let rollouts = &state.rollouts;
    let is_active = rollouts.by_service.values().any(|rollout| !rollout.is_settled(now))
        || rollouts.versions.values().any(|versions| versions.held(now).next().is_some());
    state.rollouts.due = is_active.then(|| now.after(TICK_MS));
}

fn advance(state: &mut State, rollout: &mut Rollout, now: Millis, out: &mut Outbox) {
    let before = rollout.phase;
    rollout.exchange.expire_call(now);
    adopt_status(rollout, now, out);
    if rollout.exchange.holds(now) && !rollout.phase.is_final() {
        decide(rollout, &state.intent, &state.members, now, out);
    }
    let service = &rollout.order.service;
    let role = Role {
        members: &state.members,
        incarnation: state.identity.incarnation,
        is_scheduler: state.pools.iter().any(|pool| pool.key.service == *service),
        is_leaving: state.leaving,
    };
    if let Some(step) = next_step(rollout, &role, now) {
        let service = service.clone();
        let id = state.next_call_id();
        let op = rollout.exchange.begin(id, &service, step, now);
        out.push(Outcome::Store(store::Call { id, op }));
    }
    let is_told = rollout.told_at.is_some_and(|at| now.since(at) < TELL_INTERVAL_MS);
    let is_done = rollout.phase.is_final() && rollout.verdicts_told >= VERDICT_REPEATS;
    if rollout.exchange.holds(now) && !is_told && !is_done {
        tell(rollout, &state.members, now, out);
    }
    report(state, rollout, now, out);
    rollout.watched.retain(|id, watch| {
        state.entry.requests.get(id).is_some_and(|request| request.ask.attempt == watch.attempt)
    });
    if rollout.phase != before {
        state.relocations.request_scan(now);
        let versions = state.rollouts.versions.get_mut(&rollout.order.service);
        if let Some(versions) = versions.filter(|_| rollout.phase.is_final()) {
            versions.apply_verdict(&rollout.order.to, rollout.phase == Phase::Completed);
        }
    }
}

/// Reports to the deciding VM if something has changed, or if a pool here needs a confirmation.
fn report(state: &State, rollout: &mut Rollout, now: Millis, out: &mut Outbox) {
    let decider = match rollout.exchange.holds(now) {
        true => &state.identity.vm,
        false => match &rollout.decider {
            Some((vm, _)) => vm,
            None => return,
        },
    };
    let service = &rollout.order.service;
    let running_old = rollout_watch::running_old(&state.entry, &state.intent, &rollout.order);
    let current = (rollout.counts.sequence, rollout.phase, running_old);
    let schedules = state.pools.iter().any(|pool| pool.key.service == *service);
    let needs_answer = schedules && rollout.phase == Phase::InProgress;
    let is_due = rollout.reported.is_none_or(|(sequence, phase, running, at)| {
        let has_changed = current != (sequence, phase, running);
        let interval = match has_changed || needs_answer {
            true => REPORT_INTERVAL_MS,
            false => REPORT_REPEAT_MS,
        };
        now.since(at) >= interval
    });
    if !is_due || rollout.phase.is_final() {
        return;
    }
    rollout.reported = Some((current.0, current.1, current.2, now));
    let report = Report {
        incarnation: state.identity.incarnation,
        sent: now,
        sequence: rollout.counts.sequence,
        phase: rollout.phase,
        elapsed_ms: rollout.elapsed_ms(now),
        running_old,
        cells: rollout.counts.cells(),
    };
    let (service, order) = (service.clone(), rollout.order.revision);
    out.send(&decider.clone(), Message::RolloutReport { service, order, report });
}

/// Determines which versions are open, for the pools scheduled here.
fn apply_plans(state: &mut State, now: Millis) {
    let State { rollouts, pools, intent, feeds, .. } = state;
    let Rollouts { by_service, versions, .. } = rollouts;
    pools.plans.clear();
    for (service, versions) in versions.iter() {
        let closed: Vec<Name> = versions.held(now).cloned().collect();
        if !closed.is_empty() {
            let (order, to, gate) = (Revision(0), "".into(), Gate::Open);
            pools.plans.insert(service.clone(), Plan { order, to, gate, closed });
        }
    }
    for (service, rollout) in by_service {
        let order = &rollout.order;
        rollout
            .closed
            .retain(|closed| count_targets(intent, service, |version| version == Some(closed)) > 0);
        let view = rollout::View {
            order,
            phase: rollout.phase,
            confirmed_at: rollout.confirmed_at,
            has_current_rows: feeds.is_current(Table::Resources, order.bounds.rollback_ms, now),
            elapsed_ms: now.since(rollout.started_at),
            has_old_targets: count_targets(intent, service, |version| version != Some(&order.to))
                > 0,
        };
        let held = pools.plans.remove(service).map(|plan| plan.closed).unwrap_or_default();
        let plan = Plan {
            order: order.revision,
            to: order.to.clone(),
            gate: rollout::gate(&view),
            closed: rollout.closed.iter().chain(&held).cloned().collect(),
        };
        pools.plans.insert(service.clone(), plan);
    }
    let crate::pool::Pools { pools, plans, .. } = pools;
    pools.values_mut().for_each(|pool| pool.apply_plan(plans.get(&pool.key.service)));
}

/// Number of registered targets of a service whose version `is_counted` selects.
pub(crate) fn count_targets(
    intent: &Intent,
    service: &str,
    is_counted: impl Fn(Option<&Name>) -> bool,
) -> usize {
    let pools = intent.pools_of_service(service).iter();
    let targets = pools.flat_map(|pool| intent.pool_targets(service, &pool.key.zone));
    targets.filter(|(_, target)| is_counted(target.version.as_ref())).count()
}
