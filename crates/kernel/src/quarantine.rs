//! Crash correlation and quarantine of request bodies.
//!
//! A body that ran on a target when the target died becomes a suspect. A second death with the body
//! as the only known suspect quarantines it. The owner of a pool observes the deaths of its targets
//! and broadcasts them, and each VM counts them on its own.

use std::collections::VecDeque;

use crate::event::Event;
use crate::ids::{Millis, Name, Revision};
use crate::kernel::{Outbox, State};
use crate::map::{Map, Set};
use crate::outcome::{Counter, Reason, Refusal};
use crate::peer::{Ask, Death, Message, Suspect};
use crate::plugin::{control, policy};
use crate::prompt_part;
use crate::quarantine_table;
use crate::retry::{draw, seed};
use crate::store::CallId;

/// Duration of a quarantine, in milliseconds.
pub(crate) const QUARANTINE_MS: u64 = 600_000;
/// Time after its last death during which a body remains a suspect, in milliseconds.
const SUSPECT_MS: u64 = 600_000;
/// Number of deaths after which a body is quarantined.
const QUARANTINE_DEATHS: u32 = 2;
/// Limit on the bodies in the registry; the suspect seen longest ago is evicted first.
const MAX_BODIES: usize = 4_096;
/// Number of recent deaths kept to recognise repeated reports.
const MAX_DEATH_HISTORY: usize = 1_024;
/// Interval between reads of the table, in milliseconds.
pub(crate) const LIST_INTERVAL_MS: u64 = 30_000;
/// Interval between checks for entries that are due, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// Suspected and quarantined bodies.
#[derive(Debug, Default)]
pub struct Registry {
    pub(crate) bodies: Map<u64, Body>,
    /// Parts of prompts that may crash engines; those that do are among `bodies`.
    pub(crate) parts: prompt_part::Registry,
    pub(crate) recent_deaths: VecDeque<(Name, u64)>,
    pub(crate) lifted: Map<u64, LiftedQuarantine>,
    pub(crate) pending_calls: Map<CallId, PendingCall>,
    pub(crate) next_list_at: Millis,
    /// Whether the first list was delayed until the VM knows the others of its zone.
    pub(crate) has_delayed_list: bool,
    pub(crate) last_sweep: Millis,
}

/// A suspected or quarantined body.
#[derive(Debug)]
pub(crate) struct Body {
    pub(crate) organisation: Name,
    pub(crate) service: Name,
    pub(crate) deaths: u32,
    pub(crate) last_seen: Millis,
    /// When the quarantine ends; `None` for a suspect.
    pub(crate) quarantined_until: Option<Millis>,
    /// The version of its record in the table, and when this VM learned it.
    pub(crate) table_version: Option<(Revision, Millis)>,
    /// When to write it to the table.
    pub(crate) write_at: Option<Millis>,
    /// Delay after the end of the quarantine before its record is deleted from the table.
    pub(crate) delete_delay_ms: u64,
}

/// A quarantine that an operator lifted.
#[derive(Debug)]
pub(crate) struct LiftedQuarantine {
    pub(crate) lifted_at: Millis,
    /// When to delete its record from the table, if this VM has to.
    pub(crate) delete_at: Option<Millis>,
}

/// A store call whose answer is pending.
#[derive(Debug)]
pub(crate) enum PendingCall {
    List { sent_at: Millis },
    Write(u64),
    DeleteExpired(u64),
    DeleteLifted(u64),
}

/// A suspect or quarantined body, as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry<'a> {
    /// The body.
    pub fingerprint: u64,
    /// The organisation that sent it.
    pub organisation: &'a str,
    /// The service it was sent to.
    pub service: &'a str,
    /// Number of target deaths that it was correlated with.
    pub deaths: u32,
    /// Remaining time of the quarantine in milliseconds; `None` for a suspect.
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

    /// Whether a body or one of the parts of its prompt is quarantined at `now`.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Millis;
    /// use hornbeamloom_kernel::quarantine::Registry;
    ///
    /// assert!(!Registry::default().is_any_quarantined(7, &[8, 9], Millis(0)));
    /// ```
    pub fn is_any_quarantined(&self, fingerprint: u64, parts: &[u64], now: Millis) -> bool {
        let mut hashes = parts.iter().chain([&fingerprint]);
        hashes.any(|hash| self.is_quarantined(*hash, now))
    }

    /// The suspected parts of prompts.
    pub fn parts(&self) -> &prompt_part::Registry {
        &self.parts
    }

    /// Whether the request may not start. The parts of a generation that has output are sound.
    pub(crate) fn refuses(&self, ask: &Ask, now: Millis) -> bool {
        let parts = match ask.generated_tokens {
            0 => &*ask.parts,
            _ => &[],
        };
        self.is_any_quarantined(ask.fingerprint, parts, now)
    }

    /// Whether a body is quarantined, or ran on a target that died and has not completed since.
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

    /// The suspects and quarantined bodies at `now`, ordered by fingerprint.
    pub fn entries(&self, now: Millis) -> Vec<Entry<'_>> {
        let bodies = self.bodies.iter().filter(|(_, body)| body.is_suspect(now));
        let mut entries: Vec<Entry<'_>> = bodies
            .map(|(fingerprint, body)| Entry {
                fingerprint: *fingerprint,
                organisation: &body.organisation,
                service: &body.service,
                deaths: body.deaths,
                remaining_ms: body.quarantined_until.map(|until| until.since(now)),
            })
            .collect();
        entries.sort_by_key(|entry| entry.fingerprint);
        entries
    }

    /// Records a death; returns false if it is already known.
    fn record_death(&mut self, death: &Death) -> bool {
        let is_known = self
            .recent_deaths
            .iter()
            .any(|(target, start)| *target == death.target && *start == death.start_id);
        if is_known {
            return false;
        }
        if self.recent_deaths.len() == MAX_DEATH_HISTORY {
            self.recent_deaths.pop_front();
        }
        self.recent_deaths.push_back((death.target.clone(), death.start_id));
        true
    }

    /// Counts a death against one body; returns true if that quarantines it.
    fn count_death(&mut self, suspect: &Suspect, at: Millis, is_ambiguous: bool) -> bool {
        let body = self.body_entry(suspect.fingerprint, suspect, at);
        body.last_seen = body.last_seen.max(at);
        if body.quarantined_until.is_some() || (is_ambiguous && body.deaths > 0) {
            return false;
        }
        body.deaths += 1;
        if body.deaths < QUARANTINE_DEATHS {
            return false;
        }
        body.quarantined_until = Some(at.after(QUARANTINE_MS));
        true
    }

    pub(crate) fn body_entry(
        &mut self,
        fingerprint: u64,
        suspect: &Suspect,
        now: Millis,
    ) -> &mut Body {
        if !self.bodies.contains_key(&fingerprint) && self.bodies.len() >= MAX_BODIES {
            let oldest = self
                .bodies
                .iter()
                .min_by_key(|(fingerprint, body)| {
                    (body.quarantined_until, body.last_seen, **fingerprint)
                })
                .map(|(fingerprint, _)| *fingerprint);
            oldest.and_then(|fingerprint| self.bodies.remove(&fingerprint));
        }
        self.bodies.entry(fingerprint).or_insert_with(|| Body {
            organisation: suspect.organisation.clone(),
            service: suspect.service.clone(),
            deaths: 0,
            last_seen: now,
            quarantined_until: None,
            table_version: None,
            write_at: None,
            delete_delay_ms: 0,
        })
    }
}

impl Body {
    fn is_quarantined(&self, now: Millis) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_suspect(&self, now: Millis) -> bool {
        match self.quarantined_until {
            Some(until) => now < until,
            None => self.deaths > 0 && now.since(self.last_seen) < SUSPECT_MS,
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
    match view.quarantine.refuses(ask, view.now) {
        true => Err(Refusal::new(Reason::Quarantined)),
        false => Ok(()),
    }
}

fn wakeup(state: &State) -> Option<Millis> {
    let registry = &state.quarantine;
    match registry.bodies.is_empty() && registry.lifted.is_empty() {
        true => Some(registry.next_list_at),
        false => Some(registry.next_list_at.min(registry.last_sweep.after(SWEEP_INTERVAL_MS))),
    }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::Tick => {
            quarantine_table::list_entries(state, now, out);
            quarantine_table::sweep(state, now, out);
        }
        Event::LiftQuarantine { fingerprint } => lift_quarantine(state, *fingerprint, now, out),
        Event::StoreAnswered { call, answer } => {
            quarantine_table::on_answer(state, *call, answer, now, out)
        }
        Event::Peer { from, message } => on_message(state, from, message, now, out),
        _ => {}
    }
}

fn on_message(state: &mut State, from: &str, message: &Message, now: Millis, out: &mut Outbox) {
    match message {
        // A VM without any rows has just started and knows no quarantined bodies either.
        Message::Subscribe { known, .. }
            if known.iter().all(|(_, version)| *version == Revision(0)) =>
        {
            for entry in active_messages(&state.quarantine, now) {
                out.send(&from.into(), entry);
            }
        }
        Message::Death(death) => {
            let is_own = *from == *state.identity.vm;
            on_death(state, death, is_own, now, out);
        }
        Message::Quarantine { fingerprint, deaths: 0, remaining_ms: 0, .. } => {
            clear_suspect(state, *fingerprint)
        }
        Message::Quarantine { fingerprint, remaining_ms: 0, .. } => {
            remove_lifted(state, *fingerprint, now)
        }
        Message::Quarantine { fingerprint, organisation, service, deaths, remaining_ms } => {
            let suspect = Suspect {
                fingerprint: *fingerprint,
                organisation: organisation.clone(),
                service: service.clone(),
                parts: Vec::new(),
                granted_ago_ms: 0,
            };
            on_peer_quarantine(state, &suspect, *deaths, *remaining_ms, now);
        }
        _ => {}
    }
}

/// Counts a death against the bodies that ran on the target, once for each start of the target.
///
/// If more than one of these bodies was already a suspect, none of them is counted again: the death
/// does not show which one caused it, and from now on suspects run on separate targets.
fn on_death(state: &mut State, death: &Death, is_own: bool, now: Millis, out: &mut Outbox) {
    if !state.quarantine.record_death(death) {
        // A second scheduler without a lease may know other requests that ran on the target.
        prompt_part::on_death(state, death, is_own, now, out);
        return out.count(Counter::Ignored("known_death"));
    }
    out.count(Counter::Event("target_death"));
    let registry = &mut state.quarantine;
    let at = Millis(now.0.saturating_sub(death.age_ms));
    let running = &death.running[..death.running.len().min(MAX_BODIES)];
    let earlier = running.iter().filter(|suspect| registry.is_suspect(suspect.fingerprint, now));
    let is_ambiguous = earlier.count() > 1;
    let mut counted = Set::default();
    for suspect in running {
        if !counted.insert(suspect.fingerprint) {
            continue;
        }
        let is_stale = !state.quarantine.is_suspect(suspect.fingerprint, now);
        if is_stale {
            state.quarantine.bodies.remove(&suspect.fingerprint);
        }
        if state.quarantine.count_death(suspect, at, is_ambiguous) {
            on_quarantined(state, suspect, is_own, now, out);
        }
    }
    prompt_part::on_death(state, death, is_own, now, out);
}

/// Quarantines what `suspect` names after a number of deaths.
pub(crate) fn quarantine(
    state: &mut State,
    suspect: &Suspect,
    deaths: u32,
    is_own: bool,
    now: Millis,
    out: &mut Outbox,
) {
    let body = state.quarantine.body_entry(suspect.fingerprint, suspect, now);
    body.deaths = body.deaths.max(deaths);
    body.last_seen = now;
    body.quarantined_until = Some(now.after(QUARANTINE_MS));
    on_quarantined(state, suspect, is_own, now, out);
}

fn on_quarantined(
    state: &mut State,
    suspect: &Suspect,
    is_own: bool,
    now: Millis,
    out: &mut Outbox,
) {
    let fingerprint = suspect.fingerprint;
    out.count(Counter::Event("quarantine"));
    out.warn(format!(
        "quarantined body {fingerprint:016x} of organisation {}",
        suspect.organisation
    ));
    state.quarantine.lifted.remove(&fingerprint);
    let delay = write_delay_ms(state, fingerprint, is_own);
    let Some(body) = state.quarantine.bodies.get_mut(&fingerprint) else {
        return;
    };
    body.write_at = Some(now.after(delay));
    body.delete_delay_ms = delay;
    let message = quarantine_message(fingerprint, body, now);
    if is_own {
        broadcast(state, &message, out);
        quarantine_table::sweep(state, now, out);
    }
}

/// Delay of a table write that every VM could make. The VM that observed the death writes
/// immediately.
///
/// The other VMs find the record in the table before their delay is over, unless that VM has
/// failed.
fn write_delay_ms(state: &State, fingerprint: u64, is_own: bool) -> u64 {
    match is_own {
        true => 0,
        false => LIST_INTERVAL_MS + draw(seed(&state.identity), fingerprint) % LIST_INTERVAL_MS,
    }
}

/// Messages that make the quarantined bodies known to another VM, ordered by fingerprint.
pub(crate) fn active_messages(registry: &Registry, now: Millis) -> Vec<Message> {
    let active = registry.bodies.iter().filter(|(_, body)| body.is_quarantined(now));
    let mut active: Vec<(u64, &Body)> =
        active.map(|(fingerprint, body)| (*fingerprint, body)).collect();
    active.sort_by_key(|(fingerprint, _)| *fingerprint);
    active
        .into_iter()
        .map(|(fingerprint, body)| quarantine_message(fingerprint, body, now))
        .collect()
}

fn quarantine_message(fingerprint: u64, body: &Body, now: Millis) -> Message {
    Message::Quarantine {
        fingerprint,
        organisation: body.organisation.clone(),
        service: body.service.clone(),
        deaths: body.deaths,
        remaining_ms: body.quarantined_until.map_or(0, |until| until.since(now)),
    }
}

/// Handles a quarantine reported by a peer.
fn on_peer_quarantine(
    state: &mut State,
    suspect: &Suspect,
    deaths: u32,
    remaining_ms: u64,
    now: Millis,
) {
    let fingerprint = suspect.fingerprint;
    let delay = write_delay_ms(state, fingerprint, false);
    state.quarantine.lifted.remove(&fingerprint);
    let body = state.quarantine.body_entry(fingerprint, suspect, now);
    let until = now.after(remaining_ms.min(QUARANTINE_MS));
    body.quarantined_until =
        Some(body.quarantined_until.map_or(until, |current| current.max(until)));
    body.deaths = body.deaths.max(deaths);
    body.last_seen = now;
    if body.table_version.is_none() && body.write_at.is_none() {
        body.write_at = Some(now.after(delay));
        body.delete_delay_ms = delay;
    }
}

/// Clears the suspect with this body on every VM, after a request with it has completed here.
pub(crate) fn on_completed(state: &mut State, fingerprint: u64, out: &mut Outbox) {
    let body = state.quarantine.bodies.get(&fingerprint);
    let Some(body) = body.filter(|body| body.quarantined_until.is_none()) else {
        return;
    };
    let message = Message::Quarantine {
        fingerprint,
        organisation: body.organisation.clone(),
        service: body.service.clone(),
        deaths: 0,
        remaining_ms: 0,
    };
    clear_suspect(state, fingerprint);
    broadcast(state, &message, out);
}

/// Removes a suspect; a quarantined body stays quarantined.
fn clear_suspect(state: &mut State, fingerprint: u64) {
    let bodies = &mut state.quarantine.bodies;
    if bodies.get(&fingerprint).is_some_and(|body| body.quarantined_until.is_none()) {
        bodies.remove(&fingerprint);
    }
}

/// Removes a body whose quarantine was lifted, and ignores its record in the table for some time.
fn remove_lifted(state: &mut State, fingerprint: u64, now: Millis) {
    let registry = &mut state.quarantine;
    registry.bodies.remove(&fingerprint);
    if registry.lifted.len() >= MAX_BODIES {
        registry.lifted.clear();
    }
    let (lifted_at, delete_at) = (now, None);
    registry.lifted.insert(fingerprint, LiftedQuarantine { lifted_at, delete_at });
}

/// Handles an operator's request to lift a quarantine.
fn lift_quarantine(state: &mut State, fingerprint: u64, now: Millis, out: &mut Outbox) {
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
    remove_lifted(state, fingerprint, now);
    if let Some(lift) = state.quarantine.lifted.get_mut(&fingerprint) {
        lift.delete_at = Some(now);
    }
    broadcast(state, &message, out);
    quarantine_table::sweep(state, now, out);
}

pub(crate) fn broadcast(state: &State, message: &Message, out: &mut Outbox) {
    let members = state.members.iter().map(|member| &member.entry.vm);
    let mut vms: Vec<&Name> = members.filter(|vm| **vm != state.identity.vm).collect();
    vms.sort();
    for vm in vms {
        out.send(vm, message.clone());
    }
}
