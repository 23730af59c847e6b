//! Relocates generations whose target is leaving to another target, and prepares the rerun of streams
//! that broke off: control plug-in of the entry VM.
//!
//! Each target that a generation runs on is a *placement* of its request, with its own id and its
//! own entry in the owner's in-flight table. The next placement asks for a start like a new request
//! while the generation still runs. When it is granted, the traffic task copies the KV cache and
//! continues there. Both targets are therefore charged while the copy exists, and owners need no
//! special case for relocations.

use crate::ask;
use crate::attempt;
use crate::entry::{Phase, Request};
use crate::event::Event;
use crate::ids::Millis;
use crate::kernel::{Outbox, State};
use crate::outcome::Counter;
use crate::peer::Message;
use crate::plugin::control;
use crate::pool::SHORT_TOKENS;
use crate::request::{End, Id};
use crate::rerun::{self, Verdict};

/// Longest wait of a placement for its start, in milliseconds. An engine that is reclaimed leaves
/// within about two seconds of its notice.
const START_TIMEOUT_MS: u64 = 2_000;
/// Time between two scans for generations to relocate while there are any, in milliseconds.
const SCAN_INTERVAL_MS: u64 = 100;

/// State of the scan: the generation of resources that it last saw, and its next time.
#[derive(Debug, Default)]
pub struct ScanState {
    generation: u64,
    due: Option<Millis>,
}

impl ScanState {
    /// Makes the next event scan for generations to relocate.
    pub(crate) fn request_scan(&mut self, now: Millis) {
        self.due = Some(now);
    }
}

inventory::submit! {
    control::Plugin { name: "relocate", rank: 55, handle, wakeup: |state| state.relocations.due }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    if let Event::GenerationMoved { from, to, tokens } = event {
        on_moved(state, from, to, *tokens, now, out);
    }
    if let Event::GenerationLost { id, tokens } = event {
        attempt::record_tokens(state, id, *tokens);
        on_lost(state, id, now, out);
    }
    let is_due = state.relocations.due.is_some_and(|at| at <= now);
    let is_notified = matches!(event, Event::Peer { message: Message::Departing { .. }, .. });
    if is_due || is_notified || state.relocations.generation != state.intent.generation {
        scan(state, now, out);
    }
}

/// Requests the next placement of each generation on a leaving target.
fn scan(state: &mut State, now: Millis, out: &mut Outbox) {
    state.relocations.generation = state.intent.generation;
    let leaving: Vec<Id> = state
        .entry
        .requests
        .iter()
        .filter(|(_, request)| needs_relocation(state, request, now))
        .map(|(id, _)| id.clone())
        .collect();
    state.relocations.due = (!leaving.is_empty()).then(|| now.after(SCAN_INTERVAL_MS));
    let mut ready: Vec<Id> = leaving
        .into_iter()
        .filter(|id| {
            state.entry.requests.get(id).is_some_and(|request| request.next_placement.is_none())
        })
        .collect();
    ready.sort();
    for id in ready {
        request_placement(state, &id, now, out);
    }
}

/// Whether the request is a generation that is worth relocating and runs on a leaving target.
fn needs_relocation(state: &State, request: &Request, now: Millis) -> bool {
    let is_short = request.ask.max_tokens.is_some_and(|tokens| tokens <= SHORT_TOKENS);
    let is_relocatable =
        request.options.relocatable && request.relocation_source.is_none() && !is_short;
    let Phase::Running(run) = &request.phase else {
        return false;
    };
    let is_leaving = state.intent.target(run.target()).is_none_or(|target| target.leaving);
    let is_retired = state.rollouts.retires(&state.intent, &request.ask.pool.service, run.target());
    let is_departing = state.departures.is_departing(run.target(), now);
    is_relocatable && (is_leaving || is_departing || is_retired)
}

/// Whether a part of the request's prompt is suspected or quarantined.
fn may_crash_targets(state: &State, request: &Request, now: Millis) -> bool {
    let registry = &state.quarantine;
    registry.parts.has_suspect(&request.ask.parts) || registry.refuses(&request.ask, now)
}

/// Asks for a start of the next placement of a generation.
fn request_placement(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    let Phase::Running(run) = &request.phase else {
        return;
    };
    let tokens = run.tokens();
    let is_unproven = tokens == 0 && request.ask.generated_tokens == 0;
    if is_unproven && may_crash_targets(state, request, now) {
        let text = "not continued: its prompt may crash targets".to_owned();
        return state.decisions.record(now, &id.first_placement(), text);
    }
    let placement = id.next_placement();
    let mut ask = request.ask.clone();
    ask.id = placement.clone();
    ask.attempt = 0;
    ask.prompt_tokens += tokens;
    ask.generated_tokens += tokens;
    ask.is_recomputed = false;
    ask.exclude = vec![run.target().clone()];
    ask.standby_target = run.standby().map(|standby| standby.target.clone());
    let standby_target = ask.standby_target.as_ref().and_then(|target| state.intent.target(target));
    let preferred_zone = standby_target.map_or(&ask.pool.zone, |target| &target.zone).clone();
    let text = format!("{} is leaving or lost: requested another target", run.target());
    let next =
        Request::new_placement(ask, request, id.clone(), preferred_zone, now, START_TIMEOUT_MS);
    state.decisions.record(now, &id.first_placement(), text);
    out.count(Counter::Event("relocation_asked"));
    if let Some(request) = state.entry.requests.get_mut(id) {
        request.next_placement = Some(placement.clone());
    }
    state.entry.requests.insert(placement.clone(), next);
    ask::request_start(state, &placement, now, out);
}

/// Handles an interrupted generation, which continues from the copy on its standby if it has one.
fn on_lost(state: &mut State, id: &Id, now: Millis, out: &mut Outbox) {
    let Some(request) = state.entry.requests.get(id) else {
        return;
    };
    let has_standby = match &request.phase {
        Phase::Running(run) => run.standby().is_some(),
        _ => false,
    };
    let placement = request.next_placement.clone();
    cancel_placement(state, placement, out);
    if let Some(request) = state.entry.requests.get_mut(id) {
        request.next_placement = None;
    }
    if has_standby {
        out.count(Counter::Event("generation_lost"));
        request_placement(state, id, now, out);
    }
}

/// The generation has moved to its next placement.
fn on_moved(state: &mut State, from: &Id, to: &Id, tokens: u32, now: Millis, out: &mut Outbox) {
    attempt::release_moved(state, from, tokens, out);
    let moved = state.entry.remove(from);
    let Some(next) = state.entry.requests.get_mut(to) else {
        return out.count(Counter::Ignored("moved_to_unknown_leg"));
    };
    next.relocation_source = None;
    next.may_have_run = true;
    if let Some(moved) = moved.filter(|moved| moved.options.resumable) {
        next.inherit_runs(moved);
    }
    if let Phase::Running(run) = &next.phase {
        let text = format!("continues on {} after {tokens} tokens", run.target());
        out.count(Counter::Event("relocated"));
        state.decisions.record(now, &to.first_placement(), text);
    }
    // The new target may be leaving as well.
    state.relocations.due = Some(now.after(SCAN_INTERVAL_MS));
}

/// Decides whether a stream is run again on another target, and logs this for a resumable one that
/// broke off.
pub(crate) fn decide_rerun(
    state: &State,
    request: &Request,
    end: End,
    tokens: u32,
    now: Millis,
    out: &mut Outbox,
) -> Verdict {
    let Phase::Running(run) = &request.phase else {
        return Verdict::Other;
    };
    let mut targets = request.run_targets.clone();
    if !targets.contains(run.target()) {
        targets.push(run.target().clone());
    }
    let ask = &request.ask;
    let view = rerun::View {
        end,
        is_resumable: request.options.resumable,
        is_unused_placement: request.relocation_source.is_some(),
        tokens,
        earlier_tokens: ask.generated_tokens,
        executed_attempts: request.executed_attempts,
        targets: &targets,
        max_attempts: request.options.max_attempts,
        has_suspected_part: state.quarantine.parts().has_suspect(&ask.parts),
        is_quarantined: state.quarantine.refuses(ask, now),
    };
    let verdict = rerun::decide(&view);
    if verdict != Verdict::Other {
        out.log(format!(
            "request={} target={} stream broke: {verdict:?} end={end:?} tokens={tokens} \
             earlier_tokens={} executed={} targets={} limit={:?} suspected={} age_ms={}",
            ask.id,
            run.target(),
            view.earlier_tokens,
            view.executed_attempts + 1,
            targets.len(),
            view.max_attempts,
            view.has_suspected_part,
            now.since(request.arrived)
        ));
    }
    verdict
}

/// Whether a part of the prompt came under suspicion after the attempt of a stream without output had
/// broken off. The death of its target is known some milliseconds later than the break.
pub(crate) fn is_suspected_rerun(state: &State, request: &Request) -> bool {
    let is_rerun = request.options.resumable && request.executed_attempts > 0;
    let ask = &request.ask;
    is_rerun && ask.generated_tokens == 0 && state.quarantine.parts().has_suspect(&ask.parts)
}

/// Changes the ask of a broken stream to one for what its caller lacks.
pub(crate) fn prepare_rerun(state: &mut State, id: &Id, tokens: u32) {
    let Some(request) = state.entry.requests.get_mut(id) else {
        return;
    };
    if let Phase::Running(run) = &request.phase {
        let target = run.target().clone();
        request.record_run(&target);
    }
    request.next_placement = None;
    rerun::charge(&mut request.ask, tokens);
}

/// Gives up a placement that was not started. Another one may be requested while the current target
/// still serves.
pub(crate) fn on_placement_refused(
    state: &mut State,
    placement: &Id,
    source: &Id,
    now: Millis,
    out: &mut Outbox,
) {
    out.count(Counter::Event("relocation_failed"));
    state.decisions.record(
        now,
        &placement.first_placement(),
        "no other target available for the generation".to_owned(),
    );
    if let Some(request) = state.entry.requests.get_mut(source) {
        request.next_placement = None;
        state.relocations.due = Some(now.after(SCAN_INTERVAL_MS));
    }
}

/// Cancels the next placement of a generation that ended before it moved there.
pub(crate) fn cancel_placement(state: &mut State, placement: Option<Id>, out: &mut Outbox) {
    let Some(placement) = placement else {
        return;
    };
    let Some(request) = state.entry.requests.get(&placement) else {
        return;
    };
    match &request.phase {
        Phase::Asking(_) => ask::withdraw(state, &placement, out),
        Phase::Running(_) => attempt::release_unstarted(state, &placement, out),
        Phase::Claiming | Phase::Waiting => {}
    }
    state.entry.remove(&placement);
}
