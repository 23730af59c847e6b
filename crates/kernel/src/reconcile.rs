//! Reconciles the state of engines with the configuration by orders to them.
//!
//! The holder of a pool compares each report with the configuration and sends one order at a time
//! to an engine. Only later reports show whether an order took effect. A state that drifts is
//! ordered again, for example after an engine without fencing has obeyed an old order.

use serde::{Deserialize, Serialize};

use crate::event::Event;
use crate::ids::{Fence, Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::outcome::{Counter, Outcome};
use crate::plugin::control;
use crate::pool;
use crate::resource::{Configuration, Protocol, Target};
use crate::slots::LoadSlots;
use crate::target::{Phase, Report};

/// An order must be sent and accepted within this time.
pub const ORDER_DEADLINE_MS: u64 = 3_000;
/// After this time no order is still under way. A new holder waits this long before its first order
/// to an engine without fencing, and an order without an answer counts as failed.
pub const ORDER_SETTLE_MS: u64 = ORDER_DEADLINE_MS + 2_000;
/// Delay after the first order that failed; it doubles up to [`MAX_BACKOFF_MS`].
pub const MIN_BACKOFF_MS: u64 = 1_000;
/// Longest delay after an order that failed.
pub const MAX_BACKOFF_MS: u64 = 60_000;
/// Reports may be this old, so an accepted order shows in them at the latest after this time.
const REPORT_LAG_MS: u64 = 3_000;
/// A target without a report for this time is not expected to become warm.
const SILENT_TARGET_MS: u64 = 30_000;
/// Interval at which load slots and the orders that wait for them are checked, while there are any.
const SLOT_CHECK_INTERVAL_MS: u64 = 500;
/// Separates name and version of a model; names of adapters do not contain it.
const VERSION_SEPARATOR: char = '@';

/// What an order makes an engine do.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Action {
    /// Load a model or adapter.
    Load(Name),
    /// Unload a model or adapter.
    Unload(Name),
    /// Change role.
    Role(Name),
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// The engine.
    pub target: Name,
    /// Its `IP:port`.
    pub address: String,
    /// What to do.
    pub action: Action,
    /// Fencing token of the holder of the pool.
    pub fence: Fence,
    /// Milliseconds within which it must be sent and accepted; later it is dropped.
    pub deadline_ms: u64,
}

/// The engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Accepted; later reports show the effect.
    Accepted,
    /// The fencing token was too old.
    Fenced,
    /// Refused for another reason.
    Refused,
    /// No answer; the order may have been accepted.
    Unknown,
}

/// The lease under which this VM holds a pool, and since when.
#[derive(Debug)]
struct Tenure {
    fence: Fence,
    since: Millis,
    /// An engine rejected the fencing token, since it has obeyed a later holder.
    is_fenced: bool,
}

/// An order whose effect no report has shown so far.
#[derive(Debug)]
struct PendingOrder {
    order: Order,
    sent_at: Millis,
    accepted_at: Option<Millis>,
}

/// An engine of a pool that this VM holds.
#[derive(Debug)]
struct EngineState {
    pool: pool::Key,
    report: Report,
    reported_at: Millis,
    pending_order: Option<PendingOrder>,
    failures: u32,
    retry_at: Millis,
    /// A load is planned or in progress.
    needs_slot: bool,
}

/// The state of reconciliation.
#[derive(Debug, Default)]
pub struct Planner {
    engines: Map<Name, EngineState>,
    tenures: Map<pool::Key, Tenure>,
    slots: LoadSlots,
    wake_at: Option<Millis>,
}

inventory::submit! {
    control::Plugin { name: "reconcile", rank: 70, handle, wakeup: |state| state.planner.wake_at }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::Report { target, report: Ok(report) } => {
            handle_report(state, target, report, now, out)
        }
        Event::OrderAnswered { target, order, answer } => {
            handle_order_answer(state, target, order, *answer, now, out)
        }
        Event::StoreAnswered { call, answer } => {
            let is_own = state.planner.slots.handle_answer(*call, answer, now, out);
            check_slots_if(is_own, state, now, out);
        }
        _ => {
            let is_due = state.planner.wake_at.is_some_and(|at| now >= at);
            check_slots_if(is_due, state, now, out);
        }
    }
}

fn handle_report(state: &mut State, target: &str, report: &Report, now: Millis, out: &mut Outbox) {
    if record_report(state, target, report, now) {
        plan_order(state, target, now, out);
    }
}

fn check_slots_if(is_due: bool, state: &mut State, now: Millis, out: &mut Outbox) {
    if is_due {
        check_slots(state, now, out);
    }
}

/// Records the report of an engine; returns whether this VM holds its pool.
fn record_report(state: &mut State, target: &str, report: &Report, now: Millis) -> bool {
    let State { intent, leases, planner, .. } = state;
    let Some((name, pool)) = engine_of(intent, target) else {
        planner.drop_engine(target);
        return false;
    };
    let Some(fence) = leases.fence(&pool, now) else {
        planner.drop_engine(target);
        return false;
    };
    planner.record_lease(&pool, fence, now);
    let engine = planner.engines.entry(name).or_insert_with(|| EngineState {
        pool,
        report: Report::default(),
        reported_at: now,
        pending_order: None,
        failures: 0,
        retry_at: Millis(0),
        needs_slot: false,
    });
    engine.report.clone_from(report);
    engine.reported_at = now;
    true
}

/// Returns the name and the pool of a target, if its service is a model service.
fn engine_of(intent: &crate::intent::Intent, target: &str) -> Option<(Name, pool::Key)> {
    let spec = intent.target(target)?;
    let service = intent.service(&spec.service)?;
    let pool = pool::Key { service: spec.service.clone(), zone: spec.zone.clone() };
    (service.protocol == Protocol::Model).then(|| (target.into(), pool))
}

impl Planner {
    /// Records the fencing token under which a pool is held; a new one starts a new tenure.
    fn record_lease(&mut self, pool: &pool::Key, fence: Fence, now: Millis) {
        let known_fence = self.tenures.get(pool).map(|tenure| tenure.fence);
        if known_fence == Some(fence) {
            return;
        }
        for engine in self.engines.values_mut().filter(|engine| engine.pool == *pool) {
            engine.pending_order = None;
            engine.failures = 0;
            engine.retry_at = now;
        }
        let tenure = Tenure { fence, since: now, is_fenced: false };
        self.tenures.insert(pool.clone(), tenure);
    }

    fn drop_engine(&mut self, target: &str) {
        self.engines.remove(target);
        self.slots.drop_target(target);
    }

    /// Returns whether an order may take the target out of service: it is not warm, or another
    /// target of the pool serves, or there is no other.
    fn may_interrupt(&self, target: &str, pool: &pool::Key, now: Millis) -> bool {
        if self.engines.get(target).is_none_or(|engine| engine.report.phase != Phase::Warm) {
            return true;
        }
        let mut others = self
            .engines
            .iter()
            .filter(|(name, engine)| ***name != *target && engine.pool == *pool)
            .map(|(_, engine)| engine)
            .filter(|engine| now.since(engine.reported_at) < SILENT_TARGET_MS)
            .filter(|engine| engine.report.phase != Phase::Leaving)
            .peekable();
        others.peek().is_none() || others.any(EngineState::is_serving)
    }
}

impl EngineState {
    fn is_serving(&self) -> bool {
        let is_changing = self.pending_order.is_some() || !self.report.loading.is_empty();
        self.report.phase == Phase::Warm && !is_changing
    }

    fn record_failure(&mut self, now: Millis) {
        let wait = MIN_BACKOFF_MS << self.failures.min(6);
        self.retry_at = now.after(wait.min(MAX_BACKOFF_MS));
        self.failures += 1;
        self.pending_order = None;
    }

    /// Compares the pending order with the report; returns whether it is still pending.
    fn is_order_pending(&mut self, now: Millis, out: &mut Outbox) -> bool {
        let Some(pending) = &self.pending_order else {
            return false;
        };
        let report = &self.report;
        let is_done = match &pending.order.action {
            Action::Load(name) => report.loaded.contains(name),
            Action::Unload(name) => !report.loaded.contains(name),
            Action::Role(role) => report.role.as_ref() == Some(role),
        };
        if is_done {
            self.pending_order = None;
            self.failures = 0;
            return false;
        }
        let is_loading =
            matches!(&pending.order.action, Action::Load(name) if report.loading.contains(name));
        let limit = match pending.accepted_at {
            _ if is_loading => return true,
            Some(at) => at.after(REPORT_LAG_MS),
            None => pending.sent_at.after(ORDER_SETTLE_MS),
        };
        if now < limit {
            return true;
        }
        out.count(Counter::Event("order_without_effect"));
        self.record_failure(now);
        false
    }
}

/// Sends the next order to an engine if one is due.
fn plan_order(state: &mut State, target: &str, now: Millis, out: &mut Outbox) {
    let State { intent, leases, planner, .. } = state;
    let Some(spec) = intent.target(target) else {
        return;
    };
    let Some(engine) = planner.engines.get_mut(target) else {
        return;
    };
    let pool = engine.pool.clone();
    if engine.is_order_pending(now, out) {
        return;
    }
    let is_loading = !engine.report.loading.is_empty();
    engine.needs_slot = is_loading;
    let Some(configuration) = intent.configuration_for(&spec.service) else {
        return;
    };
    let limit = configuration.load_slots;
    if is_loading {
        // A load that an earlier holder ordered: this VM takes over its slot.
        return match planner.slots.request(&target.into(), limit) {
            true => {}
            false => advance_slots(state, now, out),
        };
    }
    let action = next_action(configuration, spec, &engine.report);
    let Some(action) =
        action.filter(|_| now >= engine.retry_at && !is_leaving(spec, &engine.report))
    else {
        return;
    };
    let is_load = matches!(action, Action::Load(_));
    let Some(fence) = leases.fence(&pool, now) else {
        return;
    };
    let is_stale = spec.fencing && engine.report.fence > fence.0;
    if is_stale || !may_order(&planner.tenures, &pool, spec, now) {
        return;
    }
    if !matches!(action, Action::Unload(_)) && !planner.may_interrupt(target, &pool, now) {
        out.count(Counter::Event("order_kept_last_warm"));
        return;
    }
    if is_load {
        planner.mark_needs_slot(target);
        if !planner.slots.request(&target.into(), limit) {
            return advance_slots(state, now, out);
        }
    }
    send_order(state, target, action, now, out);
}

impl Planner {
    fn mark_needs_slot(&mut self, target: &str) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.needs_slot = true;
        }
    }
}

fn is_leaving(spec: &Target, report: &Report) -> bool {
    spec.leaving || report.phase == Phase::Leaving
}

fn may_order(
    tenures: &Map<pool::Key, Tenure>,
    pool: &pool::Key,
    spec: &Target,
    now: Millis,
) -> bool {
    let Some(tenure) = tenures.get(pool) else {
        return false;
    };
    let is_settled = spec.fencing || now.since(tenure.since) >= ORDER_SETTLE_MS;
    is_settled && !tenure.is_fenced
}

/// Returns the action for the first difference between the configuration and the report.
fn next_action(configuration: &Configuration, spec: &Target, report: &Report) -> Option<Action> {
    if let Some(role) = spec.role.as_ref().filter(|role| report.role.as_ref() != Some(role)) {
        return Some(Action::Role(role.clone()));
    }
    let Configuration { models, adapters, .. } = configuration;
    let mut wanted = models.iter().chain(adapters);
    if let Some(name) = wanted.find(|name| !report.loaded.contains(name)) {
        return Some(Action::Load(name.clone()));
    }
    let is_managed = !models.is_empty() || !adapters.is_empty();
    // A configuration that names no models does not manage the models of engines.
    let is_surplus = |name: &&Name| match name.contains(VERSION_SEPARATOR) {
        true => !models.is_empty() && !models.contains(name),
        false => is_managed && !adapters.contains(name),
    };
    let surplus = report.loaded.iter().find(is_surplus)?;
    Some(Action::Unload(surplus.clone()))
}

fn send_order(state: &mut State, target: &str, action: Action, now: Millis, out: &mut Outbox) {
    let State { intent, leases, planner, .. } = state;
    let (Some(spec), Some(engine)) = (intent.target(target), planner.engines.get_mut(target))
    else {
        return;
    };
    // The lease is checked again before the order is sent: it may have lapsed since the planning.
    let Some(fence) = leases.fence(&engine.pool, now) else {
        return out.count(Counter::Event("order_without_lease"));
    };
    let order = Order {
        target: target.into(),
        address: spec.address.clone(),
        action,
        fence,
        deadline_ms: ORDER_DEADLINE_MS,
    };
    engine.pending_order =
        Some(PendingOrder { order: order.clone(), sent_at: now, accepted_at: None });
    out.push(Outcome::Order(order));
}

fn handle_order_answer(
    state: &mut State,
    target: &str,
    order: &Order,
    answer: Answer,
    now: Millis,
    out: &mut Outbox,
) {
    let Planner { engines, tenures, .. } = &mut state.planner;
    let Some(engine) = engines.get_mut(target) else {
        return;
    };
    let Some(pending) = engine.pending_order.as_mut().filter(|pending| pending.order == *order)
    else {
        return out.count(Counter::Ignored("order_answer_old"));
    };
    match answer {
        Answer::Accepted => pending.accepted_at = Some(now),
        Answer::Fenced => {
            out.count(Counter::Event("order_fenced"));
            engine.record_failure(now);
            if let Some(tenure) = tenures.get_mut(&engine.pool) {
                tenure.is_fenced |= tenure.fence == order.fence;
            }
        }
        Answer::Refused => {
            out.count(Counter::Event("order_refused"));
            engine.record_failure(now);
        }
        Answer::Unknown => {
            out.count(Counter::Event("order_unknown"));
            engine.record_failure(now);
        }
    }
    // The engine is polled after every order, whatever the answer.
    let (target, address) = (order.target.clone(), order.address.clone());
    out.push(Outcome::Poll { target, address, needs_contact: true });
}

/// Advances the load slots and plans orders of the engines that wait for them.
fn check_slots(state: &mut State, now: Millis, out: &mut Outbox) {
    state.planner.wake_at = None;
    advance_slots(state, now, out);
    let mut names: Vec<Name> = state.planner.engines.keys().cloned().collect();
    names.sort();
    for name in names {
        let engine = &state.planner.engines[&name];
        if state.leases.fence(&engine.pool, now).is_none() {
            state.planner.drop_engine(&name);
        } else if engine.needs_slot {
            plan_order(state, &name, now, out);
        }
    }
}

fn advance_slots(state: &mut State, now: Millis, out: &mut Outbox) {
    let own = state.identity.vm.clone();
    let mut slots = std::mem::take(&mut state.planner.slots);
    let needing: Vec<Name> = state
        .planner
        .engines
        .iter()
        .filter(|(_, engine)| engine.needs_slot || engine.is_load_pending())
        .map(|(name, _)| name.clone())
        .collect();
    let is_needed = |target: &Name| needing.contains(target);
    slots.advance(&own, || state.next_call_id(), is_needed, now, out);
    if !slots.is_idle() {
        state.planner.wake_at.get_or_insert(now.after(SLOT_CHECK_INTERVAL_MS));
    }
    state.planner.slots = slots;
}

impl EngineState {
    fn is_load_pending(&self) -> bool {
        let action = self.pending_order.as_ref().map(|pending| &pending.order.action);
        matches!(action, Some(Action::Load(_)))
    }
}
