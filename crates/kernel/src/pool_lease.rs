//! The lease of one pool as seen by this VM: the observed record, the held lease and the pending
//! write.

use crate::ids::{Fence, Incarnation, Millis, Name, Revision};
use crate::kernel::Outbox;
use crate::member::Membership;
use crate::outcome::Counter;
use crate::pool::Key;
use crate::rank;
use crate::store::{CallId, Condition, Lease};

/// Time without a change, on the observer's clock, after which a record may be taken over.
pub const TAKEOVER_MS: u64 = 8_000;
/// Time after sending its last successful renewal for which a holder may act.
pub const LEASE_VALID_MS: u64 = 5_000;
/// Interval between renewals.
pub const RENEW_INTERVAL_MS: u64 = 2_000;
/// Additional delay of a candidate relative to the candidate ranked before it.
const RANK_DELAY_MS: u64 = 1_000;
/// Delay between the choice of a successor and the release, so that the pool's handover is sent
/// first.
pub(crate) const HANDOVER_DELAY_MS: u64 = 100;
/// Renewals that are due within this time are sent together.
const RENEW_WINDOW_MS: u64 = 200;

/// A record in the store: its version and, if it could be decoded, its value.
pub(crate) type VersionedLease = (Revision, Option<Lease>);

/// The last observed state of a record.
#[derive(Debug)]
pub(crate) struct Observation {
    /// `None` if there is no record.
    pub(crate) version: Option<Revision>,
    /// `None` if there is no record or it could not be decoded.
    pub(crate) lease: Option<Lease>,
    /// When this version was first seen.
    pub(crate) first_seen_at: Millis,
}

/// A lease that this VM obtained and has not lost since.
#[derive(Debug)]
pub(crate) struct HeldLease {
    pub(crate) fence: Fence,
    pub(crate) version: Revision,
    /// When the last successful write was sent.
    pub(crate) sent_at: Millis,
    pub(crate) renew_at: Millis,
    pub(crate) handover: Option<Handover>,
}

#[derive(Debug)]
pub(crate) struct Handover {
    pub(crate) successor: Option<Name>,
    pub(crate) release_at: Millis,
    /// Whether the release was sent. From then on, another VM may own the pool.
    pub(crate) release_sent: bool,
}

/// A write whose result is not known yet.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    pub(crate) call: CallId,
    pub(crate) sent_at: Millis,
    pub(crate) lease: Lease,
    /// When its answer was found to be lost.
    pub(crate) lost_at: Option<Millis>,
}

#[derive(Debug, Default)]
pub(crate) struct PoolLease {
    pub(crate) observed: Option<Observation>,
    pub(crate) held: Option<HeldLease>,
    pub(crate) pending: Option<PendingWrite>,
    pub(crate) retry_at: Millis,
    /// Renewal count of the last attempted write.
    pub(crate) renewal: u64,
    /// Highest fencing token observed or attempted.
    pub(crate) fence: Fence,
    /// Highest fencing token of a record or of a lease held here.
    pub(crate) observed_fence: Fence,
    /// Whether the releasing holder sent the pool's state to this VM.
    pub(crate) is_successor: bool,
    /// Whether the pool has active targets.
    pub(crate) has_targets: bool,
}

impl HeldLease {
    pub(crate) fn is_valid(&self, now: Millis) -> bool {
        let is_released = self.handover.as_ref().is_some_and(|handover| handover.release_sent);
        !is_released && now.since(self.sent_at) < LEASE_VALID_MS
    }
}

impl Handover {
    pub(crate) fn new(successor: Option<Name>, now: Millis) -> Handover {
        Handover { successor, release_at: now.after(HANDOVER_DELAY_MS), release_sent: false }
    }
}

/// The inputs to the choice of writes other than the record itself.
pub(crate) struct WriteContext<'a> {
    pub(crate) candidates: Vec<&'a Name>,
    pub(crate) members: &'a Membership,
    pub(crate) own: &'a Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) is_stopping: bool,
    /// Whether the records have been listed recently.
    pub(crate) is_observing: bool,
    /// Time from which free pools may be taken.
    pub(crate) claim_free_after: Millis,
}

impl PoolLease {
    /// The write that is due for the pool, if any.
    pub(crate) fn next_write(
        &self,
        pool: &Key,
        context: &WriteContext<'_>,
        now: Millis,
    ) -> Option<(Condition, Lease)> {
        if self.pending.is_some() || now < self.retry_at {
            return None;
        }
        let Some(held) = &self.held else {
            let at = self.takeover_at(pool, context)?;
            return (now >= at).then(|| self.takeover_write(pool, context));
        };
        let released = match &held.handover {
            Some(handover) if now >= handover.release_at => true,
            _ if now.after(RENEW_WINDOW_MS) >= held.renew_at => false,
            _ => return None,
        };
        let lease = Lease {
            vm: context.own.clone(),
            incarnation: context.incarnation,
            fence: held.fence,
            renewal: self.renewal + 1,
            released,
        };
        Some((version_condition(held.version), lease))
    }

    /// When this VM may take over the pool.
    pub(crate) fn takeover_at(&self, pool: &Key, context: &WriteContext<'_>) -> Option<Millis> {
        let observed = self.observed.as_ref()?;
        if context.is_stopping || !context.is_observing || !self.has_targets {
            return None;
        }
        let rank =
            |excluded| RANK_DELAY_MS * rank::rank(pool, context.own, &context.candidates, excluded);
        let known_fence = self.observed_fence.max(context.members.highest_fence(pool));
        let wait = match &observed.lease {
            // The store came back from an older copy. The holder writes its lease again.
            lease if is_outdated(observed.version, lease.as_ref(), known_fence) => {
                TAKEOVER_MS + rank(None)
            }
            None if observed.version.is_none() => {
                return Some(
                    observed.first_seen_at.after(rank(None)).max(context.claim_free_after),
                );
            }
            // This VM released the lease and takes it back only if no other VM does.
            Some(lease) if lease.released && is_own_lease(lease, context) => {
                TAKEOVER_MS + rank(None)
            }
            // An earlier incarnation of this VM can no longer act, and this one holds nothing.
            Some(lease) if lease.vm == *context.own && !lease.released => 0,
            Some(lease) if lease.released && self.is_successor => 0,
            // The successor that received the pool's state takes precedence over all others.
            Some(lease) if lease.released => RANK_DELAY_MS + rank(Some(&*lease.vm)),
            _ => TAKEOVER_MS + rank(None),
        };
        Some(observed.first_seen_at.after(wait))
    }

    pub(crate) fn takeover_write(
        &self,
        pool: &Key,
        context: &WriteContext<'_>,
    ) -> (Condition, Lease) {
        let version = self.observed.as_ref().and_then(|observed| observed.version);
        let highest_known = context.members.highest_fence(pool);
        let lease = Lease {
            vm: context.own.clone(),
            incarnation: context.incarnation,
            fence: Fence(self.fence.max(highest_known).0 + 1),
            renewal: 1,
            released: false,
        };
        (version.map_or(Condition::Absent, Condition::Version), lease)
    }

    pub(crate) fn begin_write(&mut self, call: CallId, lease: &Lease, now: Millis) {
        self.renewal = lease.renewal;
        self.fence = self.fence.max(lease.fence);
        let release = self.held.as_mut().and_then(|held| held.handover.as_mut());
        if let (Some(handover), true) = (release, lease.released) {
            handover.release_sent = true;
        }
        self.pending =
            Some(PendingWrite { call, sent_at: now, lease: lease.clone(), lost_at: None });
    }

    /// Whether no lease is held and no write is pending.
    pub(crate) fn is_idle(&self) -> bool {
        self.held.is_none() && self.pending.is_none()
    }

    /// Handles a pending write that was applied.
    pub(crate) fn on_applied(&mut self, version: Revision, now: Millis, out: &mut Outbox) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if pending.lease.released {
            self.held = None;
            return self.observe(Some((version, Some(pending.lease))), now);
        }
        let handover = self.held.take().and_then(|held| held.handover);
        if pending.lease.renewal == 1 {
            out.count(Counter::Event("lease_taken"));
        }
        self.is_successor = false;
        self.observed_fence = self.observed_fence.max(pending.lease.fence);
        self.held = Some(HeldLease {
            fence: pending.lease.fence,
            version,
            sent_at: pending.sent_at,
            renew_at: pending.sent_at.after(RENEW_INTERVAL_MS),
            handover,
        });
    }

    /// Updates the observation with the current record. Called only while this VM has no pending
    /// write.
    pub(crate) fn observe(&mut self, found: Option<VersionedLease>, now: Millis) {
        let (version, lease) = match found {
            Some((version, lease)) => (Some(version), lease),
            None => (None, None),
        };
        let is_same = self.observed.as_ref().is_some_and(|observed| observed.version == version);
        if is_same {
            return;
        }
        if let Some(lease) = &lease {
            self.fence = self.fence.max(lease.fence);
            self.observed_fence = self.observed_fence.max(lease.fence);
            self.is_successor &= lease.released || self.observed.is_none();
        }
        self.observed = Some(Observation { version, lease, first_seen_at: now });
    }

    /// Counts the time without a change of the record from now on.
    pub(crate) fn restart_observation(&mut self, now: Millis) {
        if let Some(observed) = &mut self.observed {
            observed.first_seen_at = now;
        }
    }

    /// Handles a pending write that was not applied, given the current record.
    pub(crate) fn on_not_applied(
        &mut self,
        found: Option<VersionedLease>,
        own: &str,
        now: Millis,
        out: &mut Outbox,
    ) {
        self.pending = None;
        let Some(held) = &mut self.held else {
            return self.observe(found, now);
        };
        match &found {
            // An earlier write of this VM was applied late. It does not extend the lease.
            Some((version, Some(lease))) if *lease.vm == *own && lease.fence == held.fence => {
                held.version = *version;
                self.renewal = self.renewal.max(lease.renewal);
                if lease.released {
                    self.held = None;
                    self.observe(found, now);
                }
            }
            // The store came back from an older copy, so this VM writes its lease again. That is
            // safe: whoever takes an older record over waits for longer than this lease is valid.
            found if is_outdated_record(found.as_ref(), held.fence) => {
                held.version = found.as_ref().map_or(Revision(0), |(version, _)| *version);
                held.renew_at = now;
                out.count(Counter::Event("lease_restored"));
            }
            _ => {
                self.mark_lost(out);
                self.observe(found, now);
            }
        }
    }

    pub(crate) fn mark_lost(&mut self, out: &mut Outbox) {
        self.held = None;
        self.observed = None;
        out.count(Counter::Event("lease_lost"));
    }
}

impl PoolLease {
    /// Processes a record from a list. A write of this VM may be newer than the list.
    pub(crate) fn observe_listed(
        &mut self,
        found: Option<VersionedLease>,
        own: &str,
        now: Millis,
        out: &mut Outbox,
    ) {
        let version = found.as_ref().map(|(version, _)| *version);
        let known = match (&self.held, &self.observed) {
            (Some(held), _) => Some(held.version),
            (None, Some(observed)) => observed.version,
            (None, None) => None,
        };
        // Only a conditional write can tell whether the store went back to an earlier version.
        if version < known {
            return;
        }
        match self.held {
            Some(_) if version == known => {}
            Some(_) => self.on_not_applied(found, own, now, out),
            None => self.observe(found, now),
        }
    }
}

fn is_own_lease(lease: &Lease, context: &WriteContext<'_>) -> bool {
    lease.vm == *context.own && lease.incarnation == context.incarnation
}

/// Whether a record was written before the one with `known_fence`. Fencing tokens only increase and
/// records are never deleted, so the store then came back from an older copy.
fn is_outdated(version: Option<Revision>, lease: Option<&Lease>, known_fence: Fence) -> bool {
    match (version, lease) {
        (None, _) => known_fence > Fence(0),
        (Some(_), lease) => lease.is_some_and(|lease| lease.fence < known_fence),
    }
}

fn is_outdated_record(found: Option<&VersionedLease>, known_fence: Fence) -> bool {
    let version = found.map(|(version, _)| *version);
    is_outdated(version, found.and_then(|(_, lease)| lease.as_ref()), known_fence)
}

/// The condition that the record still has a version; zero stands for no record.
fn version_condition(version: Revision) -> Condition {
    match version {
        Revision(0) => Condition::Absent,
        version => Condition::Version(version),
    }
}
