//! Orders to engines, driven from the wanted state.
//!
//! The holder of a pool compares each report with the configuration and sends one order at a time
//! to an engine. Whether an order took effect is seen in later reports only; a state that drifts,
//! for example by an old order that an engine without fencing obeyed, is ordered again.

use serde::{Deserialize, Serialize};

use crate::event::Event;
use crate::ids::{Fence, Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::outcome::{Counter, Outcome};
use crate::plugin::control;
use crate::pool;
use crate::resource::{Configuration, Protocol, Target};
use crate::slots::Slots;
use crate::target::{Phase, Report};

/// Time within which an order must be sent and accepted.
pub const ORDER_DEADLINE_MS: u64 = 3_000;
/// A new holder waits this long before its first order to an engine that ignores fencing, so that
/// no order of the last holder is still on its way.
pub const TENURE_MS: u64 = ORDER_DEADLINE_MS + 2_000;
/// Wait after the first order that failed; doubles up to [`BACKOFF_MAX_MS`].
pub const BACKOFF_MIN_MS: u64 = 1_000;
/// Longest wait after an order that failed.
pub const BACKOFF_MAX_MS: u64 = 60_000;
/// Reports may be this old, so an accepted order may not show in them before.
const REPORT_LAG_MS: u64 = 3_000;
/// A target without a report for this long is not expected to become warm.
const SILENT_MS: u64 = 30_000;
/// Time between two looks at slots and unanswered orders while there are any.
const LOOK_MS: u64 = 500;
/// Separates name and version of a model; adapters have none.
const VERSION_MARK: char = '@';

/// What an engine is told to do.
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
    /// Fencing token of the pool's holder.
    pub fence: Fence,
    /// Milliseconds within which it must be sent and accepted, or abandoned.
    pub deadline_ms: u64,
}

/// The engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Accepted; the effect is observed by report.
    Accepted,
    /// The fencing token was too old.
    Fenced,
    /// Refused for another reason.
    Refused,
    /// No answer: it may have been accepted.
    Unknown,
}

/// How long this VM has held a pool.
#[derive(Debug)]
struct Tenure {
    fence: Fence,
    since: Millis,
    /// An engine answered that it obeys a later holder.
    is_fenced: bool,
}

/// An order that has not shown its effect.
#[derive(Debug)]
struct Issued {
    order: Order,
    at: Millis,
    accepted: Option<Millis>,
}

/// An engine of a pool held here.
#[derive(Debug)]
struct Engine {
    pool: pool::Key,
    report: Report,
    seen: Millis,
    issued: Option<Issued>,
    failures: u32,
    retry_at: Millis,
    /// A load is planned or goes on.
    needs_slot: bool,
}

/// What the planner remembers.
#[derive(Debug, Default)]
pub struct Planner {
    engines: Map<Name, Engine>,
    tenures: Map<pool::Key, Tenure>,
    slots: Slots,
    wake: Option<Millis>,
}

inventory::submit! {
    control::Plugin { name: "reconcile", rank: 70, handle, wakeup: |state| state.planner.wake }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::Report { target, report: Ok(report) } => reported(state, target, report, now, out),
        Event::OrderAnswered { target, order, answer } => {
            answered(state, target, order, *answer, now, out)
        }
        Event::Store { call, answer } => {
            let is_own = state.planner.slots.answered(*call, answer, now, out);
            look_if(is_own, state, now, out);
        }
        _ => {
            let is_due = state.planner.wake.is_some_and(|at| now >= at);
            look_if(is_due, state, now, out);
        }
    }
}

fn reported(state: &mut State, target: &str, report: &Report, now: Millis, out: &mut Outbox) {
    if observe(state, target, report, now) {
        plan(state, target, now, out);
    }
}

fn look_if(is_due: bool, state: &mut State, now: Millis, out: &mut Outbox) {
    if is_due {
        look(state, now, out);
    }
}

/// Takes a report of an engine whose pool is held here; returns whether it is one.
fn observe(state: &mut State, target: &str, report: &Report, now: Millis) -> bool {
    let State { intent, leases, planner, .. } = state;
    let Some((name, pool)) = engine_of(intent, target) else {
        planner.forget(target);
        return false;
    };
    let Some(fence) = leases.fence(&pool, now) else {
        planner.forget(target);
        return false;
    };
    planner.hold(&pool, fence, now);
    let engine = planner.engines.entry(name).or_insert_with(|| Engine {
        pool,
        report: Report::default(),
        seen: now,
        issued: None,
        failures: 0,
        retry_at: Millis(0),
        needs_slot: false,
    });
    engine.report.clone_from(report);
    engine.seen = now;
    true
}

/// The stored name and the pool of a target of a model service.
fn engine_of(intent: &crate::intent::Intent, target: &str) -> Option<(Name, pool::Key)> {
    let spec = intent.target(target)?;
    let service = intent.service(&spec.service)?;
    let pool = pool::Key { service: spec.service.clone(), zone: spec.zone.clone() };
    (service.protocol == Protocol::Model).then(|| (target.into(), pool))
}

impl Planner {
    /// Notes under which token a pool is held; a new token starts a new tenure.
    fn hold(&mut self, pool: &pool::Key, fence: Fence, now: Millis) {
        let known = self.tenures.get(pool).map(|tenure| tenure.fence);
        if known == Some(fence) {
            return;
        }
        for engine in self.engines.values_mut().filter(|engine| engine.pool == *pool) {
            engine.issued = None;
            engine.failures = 0;
            engine.retry_at = now;
        }
        let tenure = Tenure { fence, since: now, is_fenced: false };
        self.tenures.insert(pool.clone(), tenure);
    }

    fn forget(&mut self, target: &str) {
        self.engines.remove(target);
        self.slots.abandon(target);
    }

    /// Whether another target of the pool keeps the service warm, or none could.
    fn may_disturb(&self, target: &str, pool: &pool::Key, now: Millis) -> bool {
        if self.engines.get(target).is_none_or(|engine| engine.report.phase != Phase::Warm) {
            return true;
        }
        let mut others = self
            .engines
            .iter()
            .filter(|(name, engine)| ***name != *target && engine.pool == *pool)
            .map(|(_, engine)| engine)
            .filter(|engine| now.since(engine.seen) < SILENT_MS)
            .filter(|engine| engine.report.phase != Phase::Leaving)
            .peekable();
        others.peek().is_none() || others.any(Engine::is_serving)
    }
}

impl Engine {
    fn is_serving(&self) -> bool {
        let is_disturbed = self.issued.is_some() || !self.report.loading.is_empty();
        self.report.phase == Phase::Warm && !is_disturbed
    }

    fn fail(&mut self, now: Millis) {
        let wait = BACKOFF_MIN_MS << self.failures.min(6);
        self.retry_at = now.after(wait.min(BACKOFF_MAX_MS));
        self.failures += 1;
        self.issued = None;
    }

    /// Compares the order under way with the report; returns whether it still is under way.
    fn follow(&mut self, now: Millis, out: &mut Outbox) -> bool {
        let Some(issued) = &self.issued else {
            return false;
        };
        let report = &self.report;
        let is_done = match &issued.order.action {
            Action::Load(name) => report.loaded.contains(name),
            Action::Unload(name) => !report.loaded.contains(name),
            Action::Role(role) => report.role.as_ref() == Some(role),
        };
        if is_done {
            self.issued = None;
            self.failures = 0;
            return false;
        }
        let is_loading =
            matches!(&issued.order.action, Action::Load(name) if report.loading.contains(name));
        let limit = match issued.accepted {
            _ if is_loading => return true,
            Some(at) => at.after(REPORT_LAG_MS),
            None => issued.at.after(TENURE_MS),
        };
        if now < limit {
            return true;
        }
        out.count(Counter::Event("order_without_effect"));
        self.fail(now);
        false
    }
}

/// Sends the engine's next order if one is due.
fn plan(state: &mut State, target: &str, now: Millis, out: &mut Outbox) {
    let State { intent, leases, planner, .. } = state;
    let Some(spec) = intent.target(target) else {
        return;
    };
    let Some(engine) = planner.engines.get_mut(target) else {
        return;
    };
    let pool = engine.pool.clone();
    if engine.follow(now, out) {
        return;
    }
    let is_loading = !engine.report.loading.is_empty();
    engine.needs_slot = is_loading;
    let Some(configuration) = intent.governing(&spec.service) else {
        return;
    };
    let limit = configuration.load_slots;
    if is_loading {
        // A load that an earlier holder ordered: its slot goes over to this VM.
        return match planner.slots.want(&target.into(), limit) {
            true => {}
            false => drive_slots(state, now, out),
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
    if !matches!(action, Action::Unload(_)) && !planner.may_disturb(target, &pool, now) {
        out.count(Counter::Event("order_kept_last_warm"));
        return;
    }
    if is_load {
        planner.need_slot(target);
        if !planner.slots.want(&target.into(), limit) {
            return drive_slots(state, now, out);
        }
    }
    send(state, target, action, now, out);
}

impl Planner {
    fn need_slot(&mut self, target: &str) {
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
    let is_settled = spec.fencing || now.since(tenure.since) >= TENURE_MS;
    is_settled && !tenure.is_fenced
}

/// The first difference between what is wanted and what is reported.
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
    // A configuration that names no models leaves the engines' models alone.
    let is_surplus = |name: &&Name| match name.contains(VERSION_MARK) {
        true => !models.is_empty() && !models.contains(name),
        false => is_managed && !adapters.contains(name),
    };
    let surplus = report.loaded.iter().find(is_surplus)?;
    Some(Action::Unload(surplus.clone()))
}

fn send(state: &mut State, target: &str, action: Action, now: Millis, out: &mut Outbox) {
    let State { intent, leases, planner, .. } = state;
    let (Some(spec), Some(engine)) = (intent.target(target), planner.engines.get_mut(target))
    else {
        return;
    };
    // The last check before the order leaves: time may have passed since the plan was made.
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
    engine.issued = Some(Issued { order: order.clone(), at: now, accepted: None });
    out.push(Outcome::Order(order));
}

fn answered(
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
    let Some(issued) = engine.issued.as_mut().filter(|issued| issued.order == *order) else {
        return out.count(Counter::Ignored("order_answer_old"));
    };
    match answer {
        Answer::Accepted => issued.accepted = Some(now),
        Answer::Fenced => {
            out.count(Counter::Event("order_fenced"));
            engine.fail(now);
            if let Some(tenure) = tenures.get_mut(&engine.pool) {
                tenure.is_fenced |= tenure.fence == order.fence;
            }
        }
        Answer::Refused => {
            out.count(Counter::Event("order_refused"));
            engine.fail(now);
        }
        Answer::Unknown => {
            out.count(Counter::Event("order_unknown"));
            engine.fail(now);
        }
    }
    // The state is read back after every order, whatever its answer.
    out.push(Outcome::Poll { target: order.target.clone(), address: order.address.clone() });
}

/// Looks after slots and what waits for them.
fn look(state: &mut State, now: Millis, out: &mut Outbox) {
    state.planner.wake = None;
    drive_slots(state, now, out);
    let mut names: Vec<Name> = state.planner.engines.keys().cloned().collect();
    names.sort();
    for name in names {
        let engine = &state.planner.engines[&name];
        if state.leases.fence(&engine.pool, now).is_none() {
            state.planner.forget(&name);
        } else if engine.needs_slot {
            plan(state, &name, now, out);
        }
    }
}

fn drive_slots(state: &mut State, now: Millis, out: &mut Outbox) {
    let own = state.identity.vm.clone();
    let mut slots = std::mem::take(&mut state.planner.slots);
    let needing: Vec<Name> = state
        .planner
        .engines
        .iter()
        .filter(|(_, engine)| engine.needs_slot || engine.is_load_issued())
        .map(|(name, _)| name.clone())
        .collect();
    let is_needed = |target: &Name| needing.contains(target);
    slots.drive(&own, || state.next_call_id(), is_needed, now, out);
    if !slots.is_idle() {
        state.planner.wake.get_or_insert(now.after(LOOK_MS));
    }
    state.planner.slots = slots;
}

impl Engine {
    fn is_load_issued(&self) -> bool {
        let action = self.issued.as_ref().map(|issued| &issued.order.action);
        matches!(action, Some(Action::Load(_)))
    }
}
