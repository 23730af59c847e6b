//! The lease and the status row of one roll-out in the store, as seen by one VM.
//!
//! The lease only keeps two VMs from deciding at once. That a verdict is written once follows from
//! the condition on the status row: whoever finds a verdict there adopts it.

use crate::ids::{Fence, Incarnation, Millis, Name, Revision};
use crate::rollout::Status;
use crate::store::{Answer, CallId, Condition, Key, Lease, Op, Record, Value, Write, WriteResult};

/// Time after sending its last successful write for which the holder may decide, and time without a
/// change after which another VM may take the lease. Shorter than for pools, as a roll-out lasts
/// some seconds.
const LEASE_MS: u64 = 2_000;
const RENEW_INTERVAL_MS: u64 = 700;
/// Interval at which a candidate reads the lease, and others the status row.
const READ_INTERVAL_MS: u64 = 700;
/// Delay after a call that failed without effect.
const RETRY_DELAY_MS: u64 = 300;
/// A call without an answer for this time counts as lost.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// A call to the store.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Step {
    ReadLease,
    WriteLease(Condition, Lease),
    ReadStatus,
    WriteStatus(Condition, Status),
}

/// What the VM wants from the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wants<'a> {
    pub(crate) vm: &'a Name,
    pub(crate) incarnation: Incarnation,
    /// Whether to take the lease if it is free.
    pub(crate) is_candidate: bool,
    /// Whether to give the lease up.
    pub(crate) releases: bool,
    /// Whether to read the status row without holding the lease.
    pub(crate) reads_status: bool,
    /// Version of the order's row.
    pub(crate) order: Revision,
    /// What the status row should contain.
    pub(crate) status: Option<&'a Status>,
}

/// A status row, or its absence, and when the call that read it was sent.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StatusRow {
    pub(crate) version: Option<Revision>,
    pub(crate) status: Option<Status>,
    pub(crate) sent_at: Millis,
}

#[derive(Debug)]
struct ObservedLease {
    version: Option<Revision>,
    lease: Option<Lease>,
    first_seen_at: Millis,
    read_at: Millis,
}

#[derive(Debug)]
struct Held {
    version: Revision,
    lease: Lease,
    sent_at: Millis,
}

#[derive(Debug)]
struct Pending {
    call: CallId,
    sent_at: Millis,
    step: Step,
}

/// The exchange with the store about one roll-out; at most one call at a time.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    pending: Option<Pending>,
    observed: Option<ObservedLease>,
    held: Option<Held>,
    /// The last write of the lease, whether or not it was applied, and when it was sent.
    attempted: Option<(Lease, Millis)>,
    /// The answer to that write was lost, so the lease is read back.
    is_unsure: bool,
    status: Option<StatusRow>,
    retry_at: Millis,
}

impl Exchange {
    /// Whether this VM holds the lease.
    pub(crate) fn holds(&self, now: Millis) -> bool {
        self.held.as_ref().is_some_and(|held| now.since(held.sent_at) < LEASE_MS)
    }

    /// The next call that is due, if any.
    pub(crate) fn next_step(&self, wants: &Wants<'_>, now: Millis) -> Option<Step> {
        if self.pending.is_some() || now < self.retry_at {
            return None;
        }
        if self.is_unsure {
            return Some(Step::ReadLease);
        }
        let Some(held) = &self.held else {
            return self.next_step_of_other(wants, now);
        };
        let renewed = Lease { renewal: held.lease.renewal + 1, ..held.lease.clone() };
        if now.since(held.sent_at) >= RENEW_INTERVAL_MS {
            return Some(Step::WriteLease(Condition::Version(held.version), renewed));
        }
        match (&self.status, wants.status) {
            (None, _) => Some(Step::ReadStatus),
            (Some(row), Some(wanted)) if !row.shows(wanted, wants.order) => {
                let condition = row.version.map_or(Condition::Absent, Condition::Version);
                Some(Step::WriteStatus(condition, wanted.clone()))
            }
            _ if wants.releases => {
                let released = Lease { released: true, ..renewed };
                Some(Step::WriteLease(Condition::Version(held.version), released))
            }
            _ => None,
        }
    }

    fn next_step_of_other(&self, wants: &Wants<'_>, now: Millis) -> Option<Step> {
        let is_due = |read_at: Millis| now.since(read_at) >= READ_INTERVAL_MS;
        if wants.is_candidate {
            let Some(observed) = &self.observed else {
                return Some(Step::ReadLease);
            };
            if observed.is_free(wants.vm, now) && !is_due(observed.read_at) {
                let lease = Lease {
                    vm: wants.vm.clone(),
                    incarnation: wants.incarnation,
                    fence: Fence(observed.lease.as_ref().map_or(0, |lease| lease.fence.0) + 1),
                    renewal: 1,
                    released: false,
                };
                let condition = observed.version.map_or(Condition::Absent, Condition::Version);
                return Some(Step::WriteLease(condition, lease));
            }
            if is_due(observed.read_at) {
                return Some(Step::ReadLease);
            }
        }
        let is_status_due = self.status.as_ref().is_none_or(|row| is_due(row.sent_at));
        (wants.reads_status && is_status_due).then_some(Step::ReadStatus)
    }

    /// Notes that a call was sent, and returns its operation.
    pub(crate) fn begin(&mut self, call: CallId, service: &Name, step: Step, now: Millis) -> Op {
        let lease_key = Key::RolloutLease(service.clone());
        let status_key = Key::RolloutStatus(service.clone());
        let write =
            |key, condition, value| Op::Write(vec![Write { key, condition, value: Some(value) }]);
        let op = match &step {
            Step::ReadLease => Op::Read(lease_key),
            Step::ReadStatus => Op::Read(status_key),
            Step::WriteLease(condition, lease) => {
                write(lease_key, *condition, Value::Lease(lease.clone()))
            }
            Step::WriteStatus(condition, status) => {
                write(status_key, *condition, Value::RolloutStatus(status.clone()))
            }
        };
        if let Step::WriteLease(_, lease) = &step {
            self.attempted = Some((lease.clone(), now));
        }
        self.pending = Some(Pending { call, sent_at: now, step });
        op
    }

    /// Gives up a call without an answer.
    pub(crate) fn expire_call(&mut self, now: Millis) {
        if self.pending.as_ref().is_some_and(|call| now.since(call.sent_at) >= CALL_TIMEOUT_MS) {
            self.apply(&Answer::Unknown, now);
        }
    }

    /// Handles the answer to a call; returns whether the call was made here.
    pub(crate) fn handle_answer(&mut self, call: CallId, answer: &Answer, now: Millis) -> bool {
        let is_own = self.pending.as_ref().is_some_and(|pending| pending.call == call);
        if is_own {
            self.apply(answer, now);
        }
        is_own
    }

    /// The status row as last read or written.
    pub(crate) fn status_row(&self) -> Option<&StatusRow> {
        self.status.as_ref()
    }

    fn apply(&mut self, answer: &Answer, now: Millis) {
        let Some(Pending { sent_at, step, .. }) = self.pending.take() else {
            return;
        };
        let result = match answer {
            Answer::Written(results) => results.first(),
            _ => None,
        };
        match (step, answer, result) {
            (_, Answer::Unavailable, _) => self.retry_at = now.after(RETRY_DELAY_MS),
            (Step::ReadLease, Answer::Read(found), _) => self.observe(found.as_ref(), now),
            (Step::ReadStatus, Answer::Read(found), _) => {
                self.status = Some(status_row(found.as_ref(), sent_at));
            }
            (Step::WriteLease(_, lease), _, Some(WriteResult::Applied(version))) => {
                self.observed = None;
                self.held = (!lease.released).then_some(Held { version: *version, lease, sent_at });
            }
            (Step::WriteLease(..), _, Some(WriteResult::Conflict(found))) => {
                self.observe(found.as_ref(), now);
            }
            (Step::WriteStatus(_, status), _, Some(WriteResult::Applied(version))) => {
                let (version, status) = (Some(*version), Some(status));
                self.status = Some(StatusRow { version, status, sent_at });
            }
            (Step::WriteStatus(..), _, Some(WriteResult::Conflict(found))) => {
                self.status = Some(status_row(found.as_ref(), sent_at));
            }
            // Whether a write without an answer was applied is read back before the next one.
            (Step::ReadLease | Step::WriteLease(..), ..) => {
                self.is_unsure = true;
                self.retry_at = now.after(RETRY_DELAY_MS);
            }
            (Step::ReadStatus | Step::WriteStatus(..), ..) => {
                self.status = None;
                self.retry_at = now.after(RETRY_DELAY_MS);
            }
        }
    }

    /// Takes in the lease as it is in the store. A lease that this VM wrote last is held since that
    /// write; one that has not changed since an earlier write of this VM stays held.
    fn observe(&mut self, found: Option<&Record>, now: Millis) {
        self.is_unsure = false;
        let version = found.map(|record| record.version);
        let lease = match found.map(|record| &record.value) {
            Some(Some(Value::Lease(lease))) => Some(lease.clone()),
            _ => None,
        };
        if self.held.as_ref().is_some_and(|held| Some(held.version) == version) {
            return;
        }
        let written =
            self.attempted.take().filter(|(attempted, _)| Some(attempted) == lease.as_ref());
        if let (Some((lease, sent_at)), Some(version)) = (written, version) {
            self.observed = None;
            self.held = (!lease.released).then_some(Held { version, lease, sent_at });
            return;
        }
        self.held = None;
        let known = self.observed.as_ref().filter(|known| known.version == version);
        let first_seen_at = known.map_or(now, |known| known.first_seen_at);
        self.observed = Some(ObservedLease { version, lease, first_seen_at, read_at: now });
    }
}

impl StatusRow {
    /// Whether the row was written after the order and shows `status`.
    fn shows(&self, status: &Status, order: Revision) -> bool {
        self.status.as_ref() == Some(status) && self.version > Some(order)
    }
}

impl ObservedLease {
    fn is_free(&self, own: &Name, now: Millis) -> bool {
        let is_unused = |lease: &Lease| lease.released || lease.vm == *own;
        self.version.is_none()
            || self.lease.as_ref().is_some_and(is_unused)
            || now.since(self.first_seen_at) >= LEASE_MS
    }
}

fn status_row(found: Option<&Record>, sent_at: Millis) -> StatusRow {
    let status = match found.map(|record| &record.value) {
        Some(Some(Value::RolloutStatus(status))) => Some(status.clone()),
        _ => None,
    };
    StatusRow { version: found.map(|record| record.version), status, sent_at }
}
