//! The work of the VM that decides on a roll-out: the judgement, the lease and the status row.

use crate::ids::{Incarnation, Millis, Name};
use crate::intent::Intent;
use crate::kernel::Outbox;
use crate::member::{Liveness, Membership};
use crate::outcome::Counter;
use crate::peer::Message;
use crate::random::hash;
use crate::rollout::{self, Phase};
use crate::rollout_control::{count_targets, Rollout, VERDICT_REPEATS};
use crate::rollout_judge::{judge, Evidence, Judgement};
use crate::rollout_record::{Step, Wants};

/// Silence of the deciding VM after which others may take its place, and the additional delay of
/// each VM relative to the one ranked before it.
const DECIDER_SILENCE_MS: u64 = 2_500;
const RANK_DELAY_MS: u64 = 500;
/// Limit on the rank, so that any VM takes over within some seconds.
const MAX_RANK: u64 = 16;

/// Takes over what the status row says of this order.
pub(crate) fn adopt_status(rollout: &mut Rollout, now: Millis, out: &mut Outbox) {
    let Some(row) = rollout.exchange.status_row() else {
        return;
    };
    let (Some(status), Some(version)) = (&row.status, row.version) else {
        return;
    };
    let sent_at = row.sent_at;
    match rollout::phase_of(status, version, &rollout.order) {
        Some(Phase::InProgress) if rollout.phase == Phase::InProgress => {
            rollout.confirmed_at = rollout.confirmed_at.max(Some(sent_at));
        }
        Some(phase) if phase.is_final() && !rollout.phase.is_final() => {
            let wants_verdict = rollout.phase == Phase::Reverting || rollout.is_moved_over;
            // A verdict that contradicts this VM's judgement was written by another one and stands.
            rollout.enter(phase, "status_row", now, out);
            if wants_verdict && rollout.exchange.holds(now) {
                let verdict = match phase {
                    Phase::Completed => "completed",
                    _ => "reverted",
                };
                out.count(Counter::RolloutVerdict(verdict));
            }
        }
        _ => {}
    }
}

/// The deciding VM's judgement on what has been reported.
pub(crate) fn decide(
    rollout: &mut Rollout,
    intent: &Intent,
    members: &Membership,
    now: Millis,
    out: &mut Outbox,
) {
    let elapsed_ms = rollout.elapsed_ms(now);
    let duration_ms = rollout.order.duration_ms;
    if rollout.phase == Phase::Reverting || rollout.is_moved_over {
        return;
    }
    let cells = rollout.ledger.merged();
    let new_targets =
        count_targets(intent, &rollout.order.service, |version| version == Some(&rollout.order.to));
    let evidence = Evidence { cells: &cells, new_targets, elapsed_ms, duration_ms };
    match (judge(&evidence), rollout.phase) {
        (Judgement::Bad(reason), Phase::InProgress) => {
            rollout.enter(Phase::Reverting, reason, now, out);
        }
        // Lack of evidence is no reason to take back a good judgement.
        (Judgement::Bad(reason @ ("failures" | "slow_first_event" | "slow_pace")), _) => {
            rollout.enter(Phase::Reverting, reason, now, out);
        }
        (Judgement::Good, Phase::InProgress) => {
            rollout.enter(Phase::Promoting, "good", now, out);
        }
        _ => {}
    }
    if rollout.phase == Phase::Promoting {
        let alive = members.iter().filter(|member| member.liveness != Liveness::Dead);
        let running = alive.map(|member| rollout.ledger.running_old(&member.entry.vm));
        let has_moved = rollout::has_moved_over(running);
        if has_moved || elapsed_ms >= rollout::deadline_ms(duration_ms) {
            rollout.is_moved_over = true;
            out.log(format!(
                "rollout service={} to={} moved over: has_moved={has_moved} elapsed_ms={elapsed_ms}",
                rollout.order.service, rollout.order.to
            ));
        }
    }
}

/// What this VM is, as far as the lease of a roll-out depends on it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Role<'a> {
    pub(crate) members: &'a Membership,
    pub(crate) incarnation: Incarnation,
    /// Whether it schedules a pool of the service.
    pub(crate) is_scheduler: bool,
    pub(crate) is_leaving: bool,
}

/// The store call that is due, if any.
pub(crate) fn next_step(rollout: &Rollout, role: &Role<'_>, now: Millis) -> Option<Step> {
    let heard_at = rollout.decider.as_ref().map(|(_, at)| *at);
    let rank_ms = RANK_DELAY_MS * own_rank(role.members, &rollout.order.service).min(MAX_RANK);
    let silent_for = heard_at.map_or(u64::MAX, |at| now.since(at));
    let is_silent = match heard_at {
        Some(_) => silent_for >= DECIDER_SILENCE_MS + rank_ms,
        None => rollout.elapsed_ms(now) >= rank_ms,
    };
    let is_done = rollout.phase.is_final() && rollout.verdicts_told >= VERDICT_REPEATS;
    let status = rollout.wanted_status();
    let wants = Wants {
        vm: role.members.own(),
        incarnation: role.incarnation,
        is_candidate: is_silent && !rollout.phase.is_final() && !role.is_leaving,
        releases: is_done || role.is_leaving,
        reads_status: role.is_scheduler
            && !rollout.phase.is_final()
            && silent_for >= rollout::confirmation_ms(&rollout.order.bounds) / 2,
        order: rollout.order.revision,
        status: Some(&status),
    };
    rollout.exchange.next_step(&wants, now)
}

/// The number of VMs that come before this one as deciding VM.
fn own_rank(members: &Membership, service: &Name) -> u64 {
    let weight = |vm: &Name| (hash(&[service, vm]), vm.clone());
    let own = weight(members.own());
    let others = members.iter().filter(|member| {
        member.liveness != Liveness::Dead && !members.is_leaving(&member.entry.vm)
    });
    others.filter(|member| weight(&member.entry.vm) > own).count() as u64
}

/// Tells all VMs the phase.
pub(crate) fn tell(rollout: &mut Rollout, members: &Membership, now: Millis, out: &mut Outbox) {
    rollout.told_at = Some(now);
    rollout.verdicts_told += u32::from(rollout.phase.is_final());
    let mut vms: Vec<&Name> = members.iter().map(|member| &member.entry.vm).collect();
    vms.sort();
    for vm in vms.into_iter().filter(|vm| *vm != members.own()) {
        out.send(
            vm,
            Message::RolloutPhase {
                service: rollout.order.service.clone(),
                order: rollout.order.revision,
                phase: rollout.phase,
                elapsed_ms: rollout.elapsed_ms(now),
                decides: true,
                answers: None,
            },
        );
    }
}
