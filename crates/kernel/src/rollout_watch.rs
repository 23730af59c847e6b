//! Watches the requests of this VM during a roll-out and counts their outcomes.

use std::collections::BTreeMap;

use crate::entry::{Phase, Table};
use crate::event::Event;
use crate::ids::{Millis, Name};
use crate::intent::Intent;
use crate::kernel::Outbox;
use crate::outcome::Counter;
use crate::peer::Grant;
use crate::request::{End, Id};
use crate::rollout::Order;
use crate::rollout_control::Rollout;
use crate::rollout_count::{add, bucket};

/// Time without a first event after which it counts as that late, before it arrives.
const OVERDUE_MS: u64 = 3_000;
/// Time from the first event after which the pace of a stream is measured.
const PACE_WINDOW_MS: u64 = 900;
/// Tokens that a stream must have delivered for its pace to be measured at its end.
const MIN_PACE_TOKENS: u32 = 16;

/// An attempt whose outcome is counted.
#[derive(Debug)]
pub(crate) struct Watch {
    pub(crate) attempt: u32,
    route: u32,
    /// The target, if it is of the new version.
    target: Option<Name>,
    started_at: Millis,
    has_first: bool,
    /// When tokens were first seen, and how many.
    first_seen: Option<(Millis, u32)>,
    has_pace: bool,
}

/// Starts to watch the attempt that uses a grant, if it was used. A continued generation is not
/// watched: its first event is not comparable.
pub(crate) fn watch(
    rollout: &mut Rollout,
    entry: &Table,
    intent: &Intent,
    grant: &Grant,
    now: Millis,
    out: &mut Outbox,
) {
    let Some(request) = entry.requests.get(&grant.id) else {
        return;
    };
    let is_used = match &request.phase {
        Phase::Running(run) => {
            *run.target() == grant.target && request.ask.attempt == grant.attempt
        }
        _ => false,
    };
    let is_known =
        rollout.watched.get(&grant.id).is_some_and(|known| known.attempt == grant.attempt);
    if !is_used || is_known || rollout.phase.is_final() || request.relocation_source.is_some() {
        return;
    }
    let version = intent.target(&grant.target).and_then(|target| target.version.as_ref());
    let is_new = version == Some(&rollout.order.to);
    out.count(Counter::RolloutRequest(if is_new { "new" } else { "old" }));
    rollout.watched.insert(
        grant.id.clone(),
        Watch {
            attempt: grant.attempt,
            route: request.options.route,
            target: is_new.then(|| grant.target.clone()),
            started_at: now,
            has_first: false,
            first_seen: None,
            has_pace: false,
        },
    );
}

/// Counts what an event tells of watched attempts.
pub(crate) fn handle_ends(rollouts: &mut BTreeMap<Name, Rollout>, event: &Event<'_>, now: Millis) {
    match event {
        Event::Progress(counts) => {
            for count in *counts {
                for rollout in rollouts.values_mut() {
                    record_progress(rollout, &count.id, count.tokens, now);
                }
            }
        }
        Event::AttemptEnded { id, attempt, end, tokens, first_token_ms, .. } => {
            for rollout in rollouts.values_mut() {
                if rollout.watched.get(*id).is_some_and(|watch| watch.attempt == *attempt) {
                    record_end(rollout, id, *end, *tokens, *first_token_ms, now);
                }
            }
        }
        Event::CallerDisconnected { id } => {
            rollouts.values_mut().for_each(|rollout| drop(rollout.watched.remove(*id)));
        }
        _ => {}
    }
}

fn record_progress(rollout: &mut Rollout, id: &Id, tokens: u32, now: Millis) {
    let Rollout { watched, counts, .. } = rollout;
    let Some(watch) = watched.get_mut(id) else {
        return;
    };
    let waited_ms = now.since(watch.started_at);
    if !watch.has_first && (tokens > 0 || waited_ms >= OVERDUE_MS) {
        watch.has_first = true;
        add(&mut counts.cell(watch.route, watch.target.as_ref()).first, bucket(waited_ms), 1);
    }
    match watch.first_seen {
        None if tokens > 0 => watch.first_seen = Some((now, tokens)),
        Some((at, seen)) if !watch.has_pace && now.since(at) >= PACE_WINDOW_MS => {
            watch.has_pace = true;
            let pace_us = now.since(at) * 1_000 / u64::from(tokens.saturating_sub(seen).max(1));
            add(&mut counts.cell(watch.route, watch.target.as_ref()).pace, bucket(pace_us), 1);
        }
        _ => {}
    }
}

fn record_end(
    rollout: &mut Rollout,
    id: &Id,
    end: End,
    tokens: u32,
    first_token_ms: Option<u32>,
    now: Millis,
) {
    let Rollout { watched, counts, .. } = rollout;
    let Some(watch) = watched.remove(id) else {
        return;
    };
    let is_complete = match end {
        End::Complete => true,
        End::Failed | End::Broken | End::Died => false,
        End::Unsent | End::Rejected | End::Moved | End::Cancelled => return,
    };
    let cell = counts.cell(watch.route, watch.target.as_ref());
    cell.complete += u32::from(is_complete);
    cell.failed += u32::from(!is_complete);
    if !is_complete {
        return;
    }
    let took_ms = now.since(watch.started_at);
    let first_ms = first_token_ms.map_or(took_ms, u64::from);
    if !watch.has_first {
        add(&mut cell.first, bucket(first_ms), 1);
    }
    if !watch.has_pace && tokens >= MIN_PACE_TOKENS {
        let pace_us = took_ms.saturating_sub(first_ms) * 1_000 / u64::from(tokens);
        add(&mut cell.pace, bucket(pace_us), 1);
    }
}

/// The number of this VM's requests that run on targets of other versions than the new one.
pub(crate) fn running_old(entry: &Table, intent: &Intent, order: &Order) -> u32 {
    let requests = entry.requests.values();
    let running = requests.filter(|request| {
        request.ask.pool.service == order.service
            && match &request.phase {
                Phase::Running(run) => {
                    let target = intent.target(run.target());
                    target.is_none_or(|target| target.version.as_ref() != Some(&order.to))
                }
                _ => false,
            }
    });
    u32::try_from(running.count()).unwrap_or(u32::MAX)
}
