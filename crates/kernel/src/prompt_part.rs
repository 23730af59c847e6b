//! Correlates the deaths of targets with parts of prompts.
//!
//! A prompt consists of parts, most of which are shared with other prompts. A part may crash each
//! engine that begins to answer a prompt with it, whatever else the prompt contains, so that no two
//! of the requests that crash engines have the same body. A death makes the parts of the requests
//! that had no output yet *suspects*. Requests with a suspected part then start one at a time, so
//! that the next death has one suspect, and the first output of a sound one clears the part. A part
//! that remains a suspect over several deaths is quarantined like a body, under its hash.

use std::collections::VecDeque;

use crate::ask;
use crate::entry::{self, Phase, Request};
use crate::event::Event;
use crate::ids::{Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::{Map, Set};
use crate::outcome::{Counter, Reason, Refusal};
use crate::peer::{Ask, Death, Message};
use crate::plugin::{control, policy};
use crate::quarantine;
use crate::random;
use crate::request::Id;
use crate::takeover::Rights;

/// Number of deaths after which a part is quarantined.
const QUARANTINE_DEATHS: usize = 3;
/// Number of deaths after which one of several parts with about as many is quarantined. Until then,
/// an output may clear the others.
const CONTENDED_DEATHS: usize = 4;
/// Number of common deaths that make two parts contenders.
const COMMON_DEATHS: usize = 2;
/// A target that died takes longer to start, so reports of its death within this time are of one
/// death. VMs that schedule a pool without a lease each report their own requests.
const SAME_DEATH_MS: u64 = 2_000;
/// Number of deaths kept to recognise reports of the same one.
const MAX_RECENT_DEATHS: usize = 64;
/// Time that another VM's report of a death may have been on its way, in milliseconds. A late report
/// must not make simultaneous deaths look like two rounds.
const REPORT_DELAY_MS: u64 = 300;
/// Time for which one request with a suspected part holds back others, in milliseconds. Its target or
/// its VM may be silent.
const MAX_HOLD_MS: u64 = 5_000;
/// Number of deaths kept for a part. It exceeds the number of targets that can die before the first
/// death is known; beyond it the cause and a part that often stands beside it look alike.
const MAX_DEATHS: usize = 256;
/// A death does not make a part a suspect for this time after an output of a request with it.
/// Progress is reported every 500 ms, so an output may be known that late.
const OUTPUT_TTL_MS: u64 = 1_000;
/// Time after its last death during which a part remains a suspect, in milliseconds.
const SUSPECT_MS: u64 = 600_000;
/// Interval between checks for suspects that are due to be forgotten, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 10_000;
/// Limit on the suspected parts; the one with the earliest last death is evicted first.
const MAX_SUSPECTS: usize = 1_024;
/// Outputs earlier than this are dropped first: a request without output at the death of its target
/// was granted later.
const MAX_FIRST_TOKEN_MS: u64 = 10_000;
/// Limit on the parts whose last output is kept.
const MAX_OUTPUTS: usize = 4_096;

/// The hash that identifies a part of a service's prompts on every VM.
///
/// ```
/// use hornbeamloom_kernel::prompt_part::hash;
///
/// assert_eq!(hash("menu-model", "5c1e07a2"), hash("menu-model", "5c1e07a2"));
/// assert_ne!(hash("menu-model", "5c1e07a2"), hash("pisarz-modelu", "5c1e07a2"));
/// ```
pub fn hash(service: &str, part: &str) -> u64 {
    random::hash(&["prompt part", service, part])
}

/// Parts of prompts that may crash engines, and the evidence for and against them.
#[derive(Debug, Default)]
pub struct Registry {
    suspects: Map<u64, Suspect>,
    /// When an output of a request with the part was last reported to this VM.
    outputs: Map<u64, Millis>,
    /// When another VM last cleared the part.
    clearances: Map<u64, Millis>,
    /// Recent deaths: target, time and identifier.
    recent_deaths: VecDeque<(Name, Millis, u64)>,
    next_sweep: Millis,
}

/// The evidence against one part.
#[derive(Debug, Clone)]
struct Suspect {
    organisation: Name,
    service: Name,
    /// When this VM learned of the first death.
    since: Millis,
    last_death: Millis,
    /// When the last death of a new round became known.
    round_at: Millis,
    /// Number of deaths of requests that were granted after the previous round was known, the first
    /// death included. Deaths at one time, such as those of a power loss, are one round.
    rounds: u32,
    /// The latest position of the part in a prompt.
    position: usize,
    /// Identifiers of the deaths.
    deaths: Set<u64>,
}

/// A part that ran on a target when it died.
#[derive(Debug, Clone, Copy)]
struct Exposure {
    part: u64,
    position: usize,
    /// When the latest request with the part was granted.
    granted_at: Millis,
    /// The request's index among those of the death.
    request_ix: usize,
}

impl Registry {
    /// Whether a death made the part a suspect and nothing has cleared it since.
    ///
    /// ```
    /// use hornbeamloom_kernel::prompt_part::Registry;
    ///
    /// assert!(!Registry::default().is_suspect(7));
    /// ```
    pub fn is_suspect(&self, part: u64) -> bool {
        self.suspects.contains_key(&part)
    }

    /// Number of suspected parts.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no part is a suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    pub(crate) fn has_suspect(&self, parts: &[u64]) -> bool {
        !self.is_empty() && parts.iter().any(|part| self.is_suspect(*part))
    }

    /// Whether a request with the part that was granted at `granted_at` ran beside one whose output
    /// shows that the part is sound.
    fn has_recent_output(&self, part: u64, granted_at: Millis, now: Millis) -> bool {
        self.outputs
            .get(&part)
            .is_some_and(|at| *at >= granted_at || now.since(*at) < OUTPUT_TTL_MS)
    }

    /// Whether this VM or another one knows that a request with the part had output.
    fn is_known_sound(&self, part: u64, granted_at: Millis, now: Millis) -> bool {
        let cleared = self.clearances.get(&part);
        cleared.is_some_and(|at| now.since(*at) < OUTPUT_TTL_MS)
            || self.has_recent_output(part, granted_at, now)
    }

    /// The identifier of a death, which is the same for each report of it.
    fn death_id(&mut self, death: &Death, now: Millis) -> u64 {
        let mut recent = self.recent_deaths.iter();
        let known = recent
            .rfind(|(target, at, _)| *target == death.target && now.since(*at) < SAME_DEATH_MS);
        if let Some((_, _, id)) = known {
            return *id;
        }
        let id = random::hash(&[&death.target, &death.start_id.to_string()]);
        if self.recent_deaths.len() == MAX_RECENT_DEATHS {
            self.recent_deaths.pop_front();
        }
        self.recent_deaths.push_back((death.target.clone(), now, id));
        id
    }

    /// Removes a part that another VM cleared from the suspects.
    pub(crate) fn clear(&mut self, part: u64, now: Millis) {
        if self.suspects.remove(&part).is_some() {
            record_time(&mut self.clearances, part, now);
        }
    }

    /// Counts a death against the parts that ran on the target, and returns those counted.
    fn count_death(&mut self, id: u64, death: &Death, is_own: bool, now: Millis) -> Vec<u64> {
        let delay_ms = if is_own { 0 } else { REPORT_DELAY_MS };
        let mut counted = Vec::new();
        for exposure in exposures(death, now) {
            if self.is_known_sound(exposure.part, exposure.granted_at, now) {
                continue;
            }
            let Some(ran) = death.running.get(exposure.request_ix) else {
                continue;
            };
            if !self.suspects.contains_key(&exposure.part) && self.suspects.len() >= MAX_SUSPECTS {
                evict(&mut self.suspects, |suspect| suspect.last_death);
            }
            let suspect = self.suspects.entry(exposure.part).or_insert_with(|| Suspect {
                organisation: ran.organisation.clone(),
                service: ran.service.clone(),
                since: now,
                last_death: now,
                round_at: now,
                rounds: 1,
                position: 0,
                deaths: Set::default(),
            });
            let granted_at = Millis(exposure.granted_at.0.saturating_sub(delay_ms));
            suspect.count(id, &Exposure { granted_at, ..exposure }, now);
            counted.push(exposure.part);
        }
        counted
    }

    /// The part to quarantine, if the evidence against one is sufficient.
    ///
    /// Of several contenders, it is the last one in a prompt: earlier parts are shared by more
    /// requests, so that one of them may have been on a target that died of something else.
    fn cause(&self) -> Option<u64> {
        let sufficient = self.suspects.iter().filter(|(_, suspect)| suspect.is_sufficient());
        let (first, strongest) = sufficient
            .max_by_key(|(part, suspect)| (suspect.deaths.len(), suspect.position, **part))?;
        let contenders = self
            .suspects
            .iter()
            .filter(|(part, other)| *part == first || other.contends_with(strongest));
        let contenders: Vec<(&u64, &Suspect)> = contenders.collect();
        if contenders.len() > 1 && strongest.deaths.len() < CONTENDED_DEATHS {
            return None;
        }
        let last = contenders
            .into_iter()
            .max_by_key(|(part, suspect)| (suspect.position, suspect.deaths.len(), **part));
        last.map(|(part, _)| *part)
    }

    /// Removes the part and the deaths that it explains, which no longer count against others.
    fn explain_deaths(&mut self, cause: u64) -> Option<Suspect> {
        let explained = self.suspects.remove(&cause)?;
        self.suspects.retain(|_, suspect| {
            suspect.deaths.retain(|death| !explained.deaths.contains(death));
            suspect.rounds = suspect.rounds.min(suspect.deaths.len() as u32);
            !suspect.deaths.is_empty()
        });
        Some(explained)
    }
}

impl Suspect {
    fn count(&mut self, death: u64, exposure: &Exposure, now: Millis) {
        let is_new = !self.deaths.contains(&death);
        if self.deaths.len() < MAX_DEATHS {
            self.deaths.insert(death);
        }
        self.last_death = now;
        self.position = self.position.max(exposure.position);
        if is_new && exposure.granted_at >= self.round_at && self.round_at < now {
            self.rounds += 1;
            self.round_at = now;
        }
    }

    /// Whether the part explains about as many deaths as another one that has the most.
    fn contends_with(&self, strongest: &Suspect) -> bool {
        let common = self.deaths.intersection(&strongest.deaths).count();
        common >= COMMON_DEATHS && self.deaths.len() + 1 >= strongest.deaths.len()
    }

    /// At least one request was granted after the suspicion was known: otherwise one event may have
    /// killed all the targets.
    fn is_sufficient(&self) -> bool {
        self.deaths.len() >= QUARANTINE_DEATHS && self.rounds >= 2
    }
}

/// Records when a part was last known to be sound.
fn record_time(times: &mut Map<u64, Millis>, part: u64, now: Millis) {
    if !times.contains_key(&part) && times.len() >= MAX_OUTPUTS {
        times.retain(|_, at| now.since(*at) < MAX_FIRST_TOKEN_MS);
    }
    if times.len() >= MAX_OUTPUTS {
        evict(times, |at| *at);
    }
    times.insert(part, now);
}

/// Removes the entry with the lowest time.
fn evict<V>(entries: &mut Map<u64, V>, time: impl Fn(&V) -> Millis) {
    let oldest = entries.iter().min_by_key(|(part, entry)| (time(entry), **part));
    let oldest = oldest.map(|(part, _)| *part);
    oldest.and_then(|part| entries.remove(&part));
}

/// The parts of a death's requests, each once, with the time of the latest grant.
fn exposures(death: &Death, now: Millis) -> Vec<Exposure> {
    let mut exposures: Vec<Exposure> = Vec::new();
    for (request_ix, ran) in death.running.iter().enumerate() {
        let granted_at = Millis(now.0.saturating_sub(death.age_ms + ran.granted_ago_ms));
        for (position, &part) in ran.parts.iter().enumerate() {
            match exposures.iter_mut().find(|exposure| exposure.part == part) {
                Some(exposure) => {
                    exposure.granted_at = exposure.granted_at.max(granted_at);
                    exposure.position = exposure.position.max(position);
                }
                None => exposures.push(Exposure { part, position, granted_at, request_ix }),
            }
        }
    }
    exposures
}

inventory::submit! {
    control::Plugin { name: "prompt_part", rank: 36, handle, wakeup }
}

inventory::submit! {
    policy::Plugin { name: "prompt_part", rank: 5, stage: policy::Stage::Filter(filter) }
}

fn wakeup(state: &State) -> Option<Millis> {
    let parts = &state.quarantine.parts;
    (!parts.is_empty()).then_some(parts.next_sweep)
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    let parts = &mut state.quarantine.parts;
    if matches!(event, Event::Tick) && parts.next_sweep <= now {
        parts.next_sweep = now.after(SWEEP_INTERVAL_MS);
        parts.suspects.retain(|_, suspect| now.since(suspect.last_death) < SUSPECT_MS);
    }
    if let Event::Peer { message: Message::Quarantine { fingerprint, .. }, .. } = event {
        on_quarantine_message(state, *fingerprint, now, out);
    }
}

/// Handles a clearance, a quarantine or a lift that a peer decided on.
///
/// In each case, what led to the suspicion has been dealt with.
fn on_quarantine_message(state: &mut State, fingerprint: u64, now: Millis, out: &mut Outbox) {
    if state.quarantine.is_quarantined(fingerprint, now) {
        state.quarantine.parts.explain_deaths(fingerprint);
        return refuse_waiting(state, fingerprint, now, out);
    }
    state.quarantine.parts.clear(fingerprint, now);
}

/// Counts a death against the parts of the requests without output, and quarantines a part when the
/// evidence against it is sufficient. `is_own` says that this VM observed the death.
pub(crate) fn on_death(
    state: &mut State,
    death: &Death,
    is_own: bool,
    now: Millis,
    out: &mut Outbox,
) {
    let mut parts = death.running.iter().flat_map(|ran| &ran.parts);
    if parts.any(|part| state.quarantine.is_quarantined(*part, now)) {
        // The request was granted before the quarantine was known, and explains the death.
        return;
    }
    let id = state.quarantine.parts.death_id(death, now);
    report_outputs(state, death, now, out);
    let counted = state.quarantine.parts.count_death(id, death, is_own, now);
    if counted.is_empty() {
        return;
    }
    log_suspects(&state.quarantine.parts, death, &counted, out);
    while let Some(cause) = state.quarantine.parts.cause() {
        quarantine_part(state, cause, is_own, now, out);
    }
}

/// Drops the parts with recent output from a death that this VM observed.
pub(crate) fn drop_sound_parts(registry: &Registry, death: &mut Death, now: Millis) {
    for ran in &mut death.running {
        let granted_at = Millis(now.0.saturating_sub(ran.granted_ago_ms));
        ran.parts.retain(|part| !registry.has_recent_output(*part, granted_at, now));
    }
}

/// Clears the parts of which this VM knows a recent output, and the observer of the death does not.
fn report_outputs(state: &State, death: &Death, now: Millis, out: &mut Outbox) {
    let exposures = exposures(death, now).into_iter();
    let registry = &state.quarantine.parts;
    let sound = exposures
        .filter(|exposure| registry.has_recent_output(exposure.part, exposure.granted_at, now));
    for exposure in sound {
        let Some(ran) = death.running.get(exposure.request_ix) else {
            continue;
        };
        let message = Message::Quarantine {
            fingerprint: exposure.part,
            organisation: ran.organisation.clone(),
            service: ran.service.clone(),
            deaths: 0,
            remaining_ms: 0,
        };
        quarantine::broadcast(state, &message, out);
    }
}

fn log_suspects(registry: &Registry, death: &Death, counted: &[u64], out: &mut Outbox) {
    let suspects = counted.iter().filter_map(|part| {
        let suspect = registry.suspects.get(part)?;
        Some(format!("{part:016x} deaths {} rounds {}", suspect.deaths.len(), suspect.rounds))
    });
    let suspects: Vec<String> = suspects.collect();
    out.log(format!(
        "target={} start_id={} suspected prompt parts: {}",
        death.target,
        death.start_id,
        suspects.join(", ")
    ));
}

fn quarantine_part(state: &mut State, cause: u64, is_own: bool, now: Millis, out: &mut Outbox) {
    let candidates = state.quarantine.parts.len();
    let Some(suspect) = state.quarantine.parts.explain_deaths(cause) else {
        return;
    };
    out.warn(format!(
        "prompt part {cause:016x} of service {}: deaths={} rounds={} candidates={candidates}",
        suspect.service,
        suspect.deaths.len(),
        suspect.rounds,
    ));
    let body = crate::peer::Suspect {
        fingerprint: cause,
        organisation: suspect.organisation,
        service: suspect.service,
        parts: Vec::new(),
        granted_ago_ms: 0,
    };
    // Schedulers know which parts had output, so one of them may find the cause before the others.
    let is_scheduler = state.pools.iter().any(|pool| {
        pool.key.service == body.service
            && matches!(pool.rights, Rights::Holder(_) | Rights::LapsedHolder)
    });
    let tells_others = is_own || is_scheduler;
    quarantine::quarantine(state, &body, suspect.deaths.len() as u32, tells_others, now, out);
    refuse_waiting(state, cause, now, out);
}

/// Refuses the requests of this VM with a quarantined part that have not started.
fn refuse_waiting(state: &mut State, part: u64, now: Millis, out: &mut Outbox) {
    let is_waiting = |request: &Request| {
        matches!(request.phase, Phase::Asking(_) | Phase::Waiting)
            && request.ask.generated_tokens == 0
            && request.ask.parts.contains(&part)
    };
    let requests = state.entry.requests.iter();
    let waiting = requests.filter(|(_, request)| is_waiting(request));
    let mut waiting: Vec<Id> = waiting.map(|(id, _)| id.clone()).collect();
    waiting.sort();
    for id in waiting {
        ask::withdraw(state, &id, out);
        entry::refuse(state, &id, Refusal::new(Reason::Quarantined), now, out);
    }
}

/// Records the first output of a request that was granted at `granted_at`, which clears its parts.
///
/// A request that was granted before the first death may have begun its output before the part
/// began to crash engines.
pub(crate) fn on_output(
    state: &mut State,
    id: &Id,
    parts: &[u64],
    granted_at: Millis,
    now: Millis,
    out: &mut Outbox,
) {
    for &part in parts {
        let registry = &mut state.quarantine.parts;
        record_time(&mut registry.outputs, part, now);
        let is_cleared =
            registry.suspects.get(&part).is_some_and(|suspect| granted_at > suspect.since);
        if !is_cleared {
            continue;
        }
        let Some(suspect) = registry.suspects.remove(&part) else {
            continue;
        };
        out.count(Counter::Event("prompt_part_cleared"));
        let text = format!(
            "output clears prompt part {part:016x} after {} deaths, {} rounds",
            suspect.deaths.len(),
            suspect.rounds
        );
        state.decisions.record(now, id, text);
        let message = Message::Quarantine {
            fingerprint: part,
            organisation: suspect.organisation,
            service: suspect.service,
            deaths: 0,
            remaining_ms: 0,
        };
        quarantine::broadcast(state, &message, out);
    }
}

/// Whether the request must not start on any target of the pool yet.
///
/// Of the requests without output that have the same suspected part, one runs at a time, for
/// [`MAX_HOLD_MS`] at most.
pub(crate) fn is_held_back(view: &policy::View<'_>, ask: &Ask) -> bool {
    if ask.generated_tokens > 0 || ask.parts.is_empty() {
        return false;
    }
    let is_quarantined = |part: &u64| view.quarantine.is_quarantined(*part, view.now);
    let suspects = &view.quarantine.parts;
    if ask.parts.iter().any(is_quarantined) {
        return true;
    }
    let mut suspected = ask.parts.iter().filter(|part| suspects.is_suspect(**part));
    suspected.any(|part| {
        let running = view.pool.in_flight.values();
        let mut running = running.filter(|running| {
            running.has_no_output() && view.now.since(running.granted_at) < MAX_HOLD_MS
        });
        running.any(|running| running.ask.parts.contains(part))
            || view
                .pool
                .targets
                .iter()
                .any(|target| target.broken_attempts.has_unexplained(*part, view.now))
    })
}

/// Allows a request with a suspected part only on a target where no other request without output has
/// a suspected part.
fn filter(view: &policy::View<'_>, ask: &Ask, target: usize) -> bool {
    let suspects = &view.quarantine.parts;
    if ask.generated_tokens > 0 || !suspects.has_suspect(&ask.parts) {
        return true;
    }
    let running = view.pool.targets[target].in_flight.iter();
    let mut running = running.filter_map(|id| view.pool.in_flight.get(id));
    !running.any(|running| running.has_no_output() && suspects.has_suspect(&running.ask.parts))
}
