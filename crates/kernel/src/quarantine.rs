//! Crash correlation and quarantine of request bodies.
//!
//! A body that ran on a target when it died is a suspect. A second death with it as the only
//! earlier suspect quarantines it. The owner of a pool observes the deaths of its targets and
//! broadcasts them; every VM counts by itself.

use std::collections::VecDeque;

use crate::event::Event;
use crate::ids::{Millis, Name, Revision};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::outcome::{Counter, Reason, Refusal};
use crate::peer::{Ask, Death, Message, Suspect};
use crate::plugin::{control, policy};
use crate::quarantine_table;
use crate::retry::{draw, seed};
use crate::store::CallId;

/// How long a body is quarantined, in milliseconds.
pub(crate) const QUARANTINE_MS: u64 = 600_000;
/// How long a body stays a suspect, in milliseconds.
const SUSPECT_MS: u64 = 600_000;
/// Deaths that quarantine a body.
const DEATHS: u32 = 2;
/// Bodies remembered; the oldest suspect is dropped first.
const BODIES_MAX: usize = 4_096;
/// Deaths remembered to recognise repeated reports.
const DEATHS_MAX: usize = 1_024;
/// Time between two readings of the table, in milliseconds.
pub(crate) const LIST_MS: u64 = 30_000;
/// Time between two checks for entries that are due, in milliseconds.
const SWEEP_MS: u64 = 1_000;

/// Suspected and quarantined bodies.
#[derive(Debug, Default)]
pub struct Registry {
    pub(crate) bodies: Map<u64, Body>,
    pub(crate) deaths: VecDeque<(Name, u64)>,
    pub(crate) lifted: Map<u64, Lift>,
    pub(crate) calls: Map<CallId, Pending>,
    pub(crate) list_at: Millis,
    pub(crate) swept: Millis,
}

/// A suspected or quarantined body.
#[derive(Debug)]
pub(crate) struct Body {
    pub(crate) organisation: Name,
    pub(crate) service: Name,
    pub(crate) deaths: u32,
    pub(crate) seen: Millis,
    /// When the quarantine ends; `None` for a suspect.
    pub(crate) until: Option<Millis>,
    /// Its version in the table and when this VM learned it.
    pub(crate) stored: Option<(Revision, Millis)>,
    /// When to write it to the table.
    pub(crate) store_at: Option<Millis>,
    /// When to delete it from the table, counted from the end of the quarantine.
    pub(crate) delete_after_ms: u64,
}

/// A quarantine that was lifted.
#[derive(Debug)]
pub(crate) struct Lift {
    pub(crate) at: Millis,
    /// When to delete it from the table, if this VM has to.
    pub(crate) delete_at: Option<Millis>,
}

/// A store call that waits for its answer.
#[derive(Debug)]
pub(crate) enum Pending {
    List { sent: Millis },
    Store(u64),
    Expire(u64),
    Lift(u64),
}

/// A suspect or quarantined body as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry<'a> {
    /// The body.
    pub fingerprint: u64,
    /// The organisation that sent it.
    pub organisation: &'a str,
    /// The service it was sent to.
    pub service: &'a str,
    /// Deaths that it was correlated with.
    pub deaths: u32,
    /// Milliseconds of quarantine left; `None` for a suspect.
    pub remaining_ms: Option<u64>,
}

impl Registry {
    /// Whether a body is quarantined at `now`.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Millis;
    /// use hornbeamloom_kernel::quarantine::Registry;
    ///
    /// assert!(!Registry::default().is_quarantined(7, Millis(0)));
    /// ```
    pub fn is_quarantined(&self, fingerprint: u64, now: Millis) -> bool {
        self.bodies.get(&fingerprint).is_some_and(|body| body.is_quarantined(now))
    }

    /// Whether a body ran on a target that died and has not completed since.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Millis;
    /// use hornbeamloom_kernel::quarantine::Registry;
    ///
    /// assert!(!Registry::default().is_suspect(7, Millis(0)));
    /// ```
    pub fn is_suspect(&self, fingerprint: u64, now: Millis) -> bool {
        self.bodies.get(&fingerprint).is_some_and(|body| body.is_suspect(now))
    }

    /// The suspects and quarantined bodies at `now`, by fingerprint.
    pub fn entries(&self, now: Millis) -> Vec<Entry<'_>> {
        let bodies = self.bodies.iter().filter(|(_, body)| body.is_suspect(now));
        let mut entries: Vec<Entry<'_>> = bodies
            .map(|(fingerprint, body)| Entry {
                fingerprint: *fingerprint,
                organisation: &body.organisation,
                service: &body.service,
                deaths: body.deaths,
                remaining_ms: body.until.map(|until| until.since(now)),
            })
            .collect();
        entries.sort_by_key(|entry| entry.fingerprint);
        entries
    }

    /// Records a death; false if it is known already.
    fn record(&mut self, death: &Death) -> bool {
        let is_known = self
            .deaths
            .iter()
            .any(|(target, start)| *target == death.target && *start == death.start_id);
        if is_known {
            return false;
        }
        if self.deaths.len() == DEATHS_MAX {
            self.deaths.pop_front();
        }
        self.deaths.push_back((death.target.clone(), death.start_id));
        true
    }

    /// Counts a death against one body; true if that quarantines it.
    fn count(&mut self, suspect: &Suspect, at: Millis, is_ambiguous: bool) -> bool {
        let body = self.body(suspect.fingerprint, suspect, at);
        body.seen = body.seen.max(at);
        if body.until.is_some() || (is_ambiguous && body.deaths > 0) {
            return false;
        }
        body.deaths += 1;
        if body.deaths < DEATHS {
            return false;
        }
        body.until = Some(at.after(QUARANTINE_MS));
        true
    }

    pub(crate) fn body(&mut self, fingerprint: u64, suspect: &Suspect, now: Millis) -> &mut Body {
        if !self.bodies.contains_key(&fingerprint) && self.bodies.len() >= BODIES_MAX {
            let oldest = self
                .bodies
                .iter()
                .min_by_key(|(fingerprint, body)| (body.until, body.seen, **fingerprint))
                .map(|(fingerprint, _)| *fingerprint);
            oldest.and_then(|fingerprint| self.bodies.remove(&fingerprint));
        }
        self.bodies.entry(fingerprint).or_insert_with(|| Body {
            organisation: suspect.organisation.clone(),
            service: suspect.service.clone(),
            deaths: 0,
            seen: now,
            until: None,
            stored: None,
            store_at: None,
            delete_after_ms: 0,
        })
    }
}

impl Body {
    fn is_quarantined(&self, now: Millis) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_suspect(&self, now: Millis) -> bool {
        match self.until {
            Some(until) => now < until,
            None => self.deaths > 0 && now.since(self.seen) < SUSPECT_MS,
        }
    }
}

inventory::submit! {
    control::Plugin { name: "quarantine", rank: 35, handle, wakeup }
}

inventory::submit! {
    policy::Plugin { name: "quarantine", rank: 10, stage: policy::Stage::Admit(admit) }
}

fn admit(view: &policy::View<'_>, ask: &Ask) -> Result<(), Refusal> {
    match view.quarantine.is_quarantined(ask.fingerprint, view.now) {
        true => Err(Refusal::new(Reason::Quarantined)),
        false => Ok(()),
    }
}

fn wakeup(state: &State) -> Option<Millis> {
    let registry = &state.quarantine;
    match registry.bodies.is_empty() && registry.lifted.is_empty() {
        true => Some(registry.list_at),
        false => Some(registry.list_at.min(registry.swept.after(SWEEP_MS))),
    }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::Tick => {
            quarantine_table::list(state, now, out);
            quarantine_table::sweep(state, now, out);
        }
        Event::LiftQuarantine { fingerprint } => lift(state, *fingerprint, now, out),
        Event::Store { call, answer } => quarantine_table::answered(state, *call, answer, now, out),
        Event::Peer { from, message } => hear(state, from, message, now, out),
        _ => {}
    }
}

fn hear(state: &mut State, from: &str, message: &Message, now: Millis, out: &mut Outbox) {
    match message {
        Message::Death(death) => {
            let is_own = *from == *state.identity.vm;
            died(state, death, is_own, now, out);
        }
        Message::Quarantine { fingerprint, deaths: 0, remaining_ms: 0, .. } => {
            clear(state, *fingerprint)
        }
        Message::Quarantine { fingerprint, remaining_ms: 0, .. } => {
            forget(state, *fingerprint, now)
        }
        Message::Quarantine { fingerprint, organisation, service, deaths, remaining_ms } => {
            let suspect = Suspect {
                fingerprint: *fingerprint,
                organisation: organisation.clone(),
                service: service.clone(),
            };
            told(state, &suspect, *deaths, *remaining_ms, now);
        }
        _ => {}
    }
}

/// Counts a death against the bodies that ran on the target, once for each start of a target.
///
/// Where several earlier suspects ran on the target, none of them is counted again: the death
/// does not show which of them caused it, and all of them run apart from now on.
fn died(state: &mut State, death: &Death, is_own: bool, now: Millis, out: &mut Outbox) {
    if !state.quarantine.record(death) {
        return out.count(Counter::Ignored("known_death"));
    }
    out.count(Counter::Event("target_death"));
    let registry = &mut state.quarantine;
    let at = Millis(now.0.saturating_sub(death.age_ms));
    let running = &death.running[..death.running.len().min(BODIES_MAX)];
    let earlier = running.iter().filter(|suspect| registry.is_suspect(suspect.fingerprint, now));
    let is_ambiguous = earlier.count() > 1;
    for suspect in running {
        let is_stale = !state.quarantine.is_suspect(suspect.fingerprint, now);
        if is_stale {
            state.quarantine.bodies.remove(&suspect.fingerprint);
        }
        if state.quarantine.count(suspect, at, is_ambiguous) {
            quarantined(state, suspect, is_own, now, out);
        }
    }
}

fn quarantined(state: &mut State, suspect: &Suspect, is_own: bool, now: Millis, out: &mut Outbox) {
    let fingerprint = suspect.fingerprint;
    out.count(Counter::Event("quarantine"));
    out.warn(format!(
        "quarantined body {fingerprint:016x} of organisation {}",
        suspect.organisation
    ));
    state.quarantine.lifted.remove(&fingerprint);
    let delay = stagger(state, fingerprint, is_own);
    let Some(body) = state.quarantine.bodies.get_mut(&fingerprint) else {
        return;
    };
    body.store_at = Some(now.after(delay));
    body.delete_after_ms = delay;
    let message = message(fingerprint, body, now);
    if is_own {
        broadcast(state, &message, out);
        quarantine_table::sweep(state, now, out);
    }
}

/// Delay of a write that every VM could make; the VM that saw the death makes it at once.
///
/// The others find the entry in the table before their delay is over, unless that VM has failed.
fn stagger(state: &State, fingerprint: u64, is_own: bool) -> u64 {
    match is_own {
        true => 0,
        false => LIST_MS + draw(seed(&state.identity), fingerprint) % LIST_MS,
    }
}

fn message(fingerprint: u64, body: &Body, now: Millis) -> Message {
    Message::Quarantine {
        fingerprint,
        organisation: body.organisation.clone(),
        service: body.service.clone(),
        deaths: body.deaths,
        remaining_ms: body.until.map_or(0, |until| until.since(now)),
    }
}

/// A peer quarantined a body.
fn told(state: &mut State, suspect: &Suspect, deaths: u32, remaining_ms: u64, now: Millis) {
    let fingerprint = suspect.fingerprint;
    let delay = stagger(state, fingerprint, false);
    state.quarantine.lifted.remove(&fingerprint);
    let body = state.quarantine.body(fingerprint, suspect, now);
    let until = now.after(remaining_ms.min(QUARANTINE_MS));
    body.until = Some(body.until.map_or(until, |current| current.max(until)));
    body.deaths = body.deaths.max(deaths);
    body.seen = now;
    if body.stored.is_none() && body.store_at.is_none() {
        body.store_at = Some(now.after(delay));
        body.delete_after_ms = delay;
    }
}

/// A request completed here: a suspect with its body is cleared at every VM.
pub(crate) fn completed(state: &mut State, fingerprint: u64, out: &mut Outbox) {
    let body = state.quarantine.bodies.get(&fingerprint);
    let Some(body) = body.filter(|body| body.until.is_none()) else {
        return;
    };
    let message = Message::Quarantine {
        fingerprint,
        organisation: body.organisation.clone(),
        service: body.service.clone(),
        deaths: 0,
        remaining_ms: 0,
    };
    clear(state, fingerprint);
    broadcast(state, &message, out);
}

/// Forgets a suspect; a quarantined body stays quarantined.
fn clear(state: &mut State, fingerprint: u64) {
    let bodies = &mut state.quarantine.bodies;
    if bodies.get(&fingerprint).is_some_and(|body| body.until.is_none()) {
        bodies.remove(&fingerprint);
    }
}

/// Forgets a body whose quarantine was lifted, and for some time also what the table says of it.
fn forget(state: &mut State, fingerprint: u64, now: Millis) {
    let registry = &mut state.quarantine;
    registry.bodies.remove(&fingerprint);
    if registry.lifted.len() >= BODIES_MAX {
        registry.lifted.clear();
    }
    let (at, delete_at) = (now, None);
    registry.lifted.insert(fingerprint, Lift { at, delete_at });
}

/// An operator lifted a quarantine here.
fn lift(state: &mut State, fingerprint: u64, now: Millis, out: &mut Outbox) {
    let Some(body) = state.quarantine.bodies.get(&fingerprint) else {
        return;
    };
    let message = Message::Quarantine {
        fingerprint,
        organisation: body.organisation.clone(),
        service: body.service.clone(),
        deaths: body.deaths.max(1),
        remaining_ms: 0,
    };
    out.log(format!("quarantine of body {fingerprint:016x} lifted"));
    forget(state, fingerprint, now);
    if let Some(lift) = state.quarantine.lifted.get_mut(&fingerprint) {
        lift.delete_at = Some(now);
    }
    broadcast(state, &message, out);
    quarantine_table::sweep(state, now, out);
}

fn broadcast(state: &State, message: &Message, out: &mut Outbox) {
    let members = state.members.iter().map(|member| &member.entry.vm);
    let mut vms: Vec<&Name> = members.filter(|vm| **vm != state.identity.vm).collect();
    vms.sort();
    for vm in vms {
        out.send(vm, message.clone());
    }
}
