//! Whether this VM reaches the targets, and which VMs relay its connections if it does not: control
//! plug-in.
//!
//! A VM may lose its paths to all targets while callers, the store and its peers still reach it. Its
//! peers then open connections to targets for it. What it observes of targets in that time says
//! nothing about them, so failed polls do not count as failures of targets.
//!
//! A failed connection alone does not tell which end is at fault. Connections to several targets
//! that fail, with none shortly before that succeeds, point to this VM. If the targets are at fault
//! after all, the relays find the same, and probes that succeed soon end the state.

use std::sync::Arc;

use crate::event::Event;
use crate::ids::{Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::{Map, Set};
use crate::member::Liveness;
use crate::outcome::{Counter, Outcome};
use crate::peer::MemberStatus;
use crate::plugin::control;
use crate::target::PollError;

/// Number of targets to which connections must fail before this VM counts as cut off.
const MIN_FAILED_TARGETS: usize = 2;
/// Time in milliseconds for which a failed connection counts.
const FAILURE_TTL_MS: u64 = 3_000;
/// Interval in milliseconds between probes while this VM is cut off.
const PROBE_INTERVAL_MS: u64 = 250;
/// Number of probes that must succeed before this VM counts as connected.
const MIN_REACHED: u32 = 2;
/// Time in milliseconds after a success for which failures are taken for those of targets.
const REACHED_TTL_MS: u64 = 1_000;
/// Time in milliseconds for which a VM that could not relay is not asked again.
const RELAY_PAUSE_MS: u64 = 3_000;
/// Time in milliseconds after this VM was found to be cut off in which refused polls of its own may
/// still arrive. Later ones come from relays.
const OWN_POLLS_MS: u64 = 1_000;

/// A VM that opens connections to targets for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// Its name.
    pub vm: Name,
    /// Its `IP:port` for peers.
    pub address: Name,
}

/// How connections to targets are opened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Path {
    /// From this VM.
    #[default]
    Direct,
    /// Through one of these VMs.
    Relayed(Arc<[Relay]>),
}

/// What this VM knows of its own paths to targets.
#[derive(Debug, Default)]
pub struct Reach {
    /// Targets to which a connection failed, and when, since the last one that succeeded.
    failed: Map<Name, Millis>,
    cut_off_since: Option<Millis>,
    /// Number of connections that succeeded since this VM was found to be cut off.
    reached: u32,
    /// When a connection last succeeded.
    reached_at: Option<Millis>,
    /// When an engine was last polled with success, maybe on an older connection.
    polled_at: Option<Millis>,
    probed: u64,
    next_probe_at: Millis,
    /// VMs that could not relay a connection, and when.
    unhelpful: Map<Name, Millis>,
    path: Path,
}

impl Reach {
    /// Whether this VM reaches no target itself.
    ///
    /// ```
    /// use hornbeamloom_kernel::reach::Reach;
    ///
    /// assert!(!Reach::default().is_cut_off());
    /// ```
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Whether a poll that failed says something about its target.
    pub(crate) fn trusts_failed_poll(&self, is_refused: bool, now: Millis) -> bool {
        match self.cut_off_since {
            Some(since) => is_refused && now.since(since) >= OWN_POLLS_MS,
            None => true,
        }
    }
}

inventory::submit! {
    // Runs before the pools, which ask whether a failed poll counts.
    control::Plugin { name: "reach", rank: 35, handle, wakeup }
}

fn wakeup(state: &State) -> Option<Millis> {
    state.reach.is_cut_off().then_some(state.reach.next_probe_at)
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::TargetContact { target, is_reached: true } => {
            record_reached(state, target, now, out);
        }
        Event::TargetContact { target, is_reached: false } => {
            record_failed(state, target, now, out);
        }
        // Reports of back ends come from the platform.
        Event::Report { report: Ok(report), .. } if report.kv_capacity > 0 => {
            state.reach.polled_at = Some(now);
        }
        Event::Report { target, report: Err(PollError::Refused | PollError::Timeout) } => {
            let is_recent = |at| now.since(at) < REACHED_TTL_MS;
            if !state.reach.polled_at.is_some_and(is_recent) {
                record_failed(state, target, now, out);
            }
        }
        Event::RelayFailed { vm } => {
            state.reach.unhelpful.insert((*vm).into(), now);
        }
        _ => {}
    }
    if !state.reach.is_cut_off() {
        return;
    }
    if now >= state.reach.next_probe_at {
        state.reach.next_probe_at = now.after(PROBE_INTERVAL_MS);
        probe(state, out);
    }
    publish(state, now, out);
}

fn record_reached(state: &mut State, target: &str, now: Millis, out: &mut Outbox) {
    let reach = &mut state.reach;
    reach.failed.clear();
    reach.reached_at = Some(now);
    reach.reached += 1;
    if !reach.is_cut_off() || reach.reached < MIN_REACHED {
        return;
    }
    reach.cut_off_since = None;
    reach.unhelpful.clear();
    reach.path = Path::Direct;
    out.log(format!("targets reached again target={target}"));
    out.count(Counter::Event("targets_reached"));
    out.push(Outcome::SetPath(Path::Direct));
}

fn record_failed(state: &mut State, target: &str, now: Millis, out: &mut Outbox) {
    let State { reach, intent, .. } = state;
    let was_reached = reach.reached_at.is_some_and(|at| now.since(at) < REACHED_TTL_MS);
    reach.failed.retain(|_, at| now.since(*at) < FAILURE_TTL_MS);
    // A target that was removed may have stopped.
    if reach.is_cut_off() || was_reached || intent.target(target).is_none() {
        return;
    }
    reach.failed.insert(target.into(), now);
    if reach.failed.len() < MIN_FAILED_TARGETS {
        // A VM with few requests would take seconds to try another target.
        return probe(state, out);
    }
    reach.cut_off_since = Some(now);
    reach.reached = 0;
    reach.next_probe_at = now.after(PROBE_INTERVAL_MS);
    let mut failed: Vec<&str> = reach.failed.keys().map(|name| &**name).collect();
    failed.sort_unstable();
    out.warn(format!("no target reached, connections are relayed failed={}", failed.join(",")));
    out.count(Counter::Event("targets_unreached"));
    state.pools.forget_failed_polls();
}

/// Tries to reach the next target that has not failed.
fn probe(state: &mut State, out: &mut Outbox) {
    let State { reach, intent, .. } = state;
    let is_cut_off = reach.is_cut_off();
    let mut targets = intent.targets();
    targets.retain(|(name, _)| is_cut_off || !reach.failed.contains_key(*name));
    let Some(ix) = reach.probed.checked_rem(targets.len() as u64) else {
        return;
    };
    reach.probed += 1;
    if let Some((target, spec)) = targets.get(ix as usize) {
        let (target, address) = ((*target).clone(), spec.address.clone());
        out.push(Outcome::Probe { target, address });
    }
}

/// Publishes the VMs that may relay connections if they have changed.
fn publish(state: &mut State, now: Millis, out: &mut Outbox) {
    let State { reach, members, .. } = state;
    reach.unhelpful.retain(|_, at| now.since(*at) < RELAY_PAUSE_MS);
    let unhelpful: Set<&Name> = reach.unhelpful.keys().collect();
    let candidates = members.iter().filter(|member| {
        member.entry.vm != members.own
            && member.entry.status == MemberStatus::Serving
            && member.liveness == Liveness::Alive
            && !member.entry.peer_address.is_empty()
            && !unhelpful.contains(&member.entry.vm)
    });
    let mut relays: Vec<Relay> = candidates
        .map(|member| Relay {
            vm: member.entry.vm.clone(),
            address: member.entry.peer_address.clone(),
        })
        .collect();
    relays.sort_by(|a, b| a.vm.cmp(&b.vm));
    let path = Path::Relayed(relays.into());
    if reach.path != path {
        reach.path = path.clone();
        out.push(Outcome::SetPath(path));
    }
}
