//! The record of one pool's lease as one VM sees it: what stands in the table, what was obtained
//! and what is being written.

use crate::ids::{Fence, Incarnation, Millis, Name, Revision};
use crate::kernel::Outbox;
use crate::member::Table;
use crate::outcome::Counter;
use crate::pool::Key;
use crate::rank;
use crate::store::{CallId, Condition, Lease};

/// A record that stood still for this long on the observer's clock may be taken over.
pub const TAKEOVER_MS: u64 = 8_000;
/// A holder acts for this long after it sent its last successful renewal.
pub const HOLD_MS: u64 = 5_000;
/// Time between two renewals.
pub const RENEW_MS: u64 = 2_000;
/// What a candidate waits longer than the one before it.
const RANK_MS: u64 = 1_000;
/// Time between the choice of a successor and the release: the pool's handover leaves first.
pub(crate) const HANDOVER_MS: u64 = 100;
/// Renewals that are due within this time leave together.
const TOGETHER_MS: u64 = 200;

/// A record found in the table: its version and, if it could be understood, its value.
pub(crate) type Found = (Revision, Option<Lease>);

/// What was last seen of a record.
#[derive(Debug)]
pub(crate) struct Sight {
    /// `None` if there is no record.
    pub(crate) version: Option<Revision>,
    /// `None` if there is no record or it could not be understood.
    pub(crate) lease: Option<Lease>,
    /// When this version was first seen.
    pub(crate) since: Millis,
}

/// A lease that was obtained here and not lost to anyone since.
#[derive(Debug)]
pub(crate) struct Mine {
    pub(crate) fence: Fence,
    pub(crate) version: Revision,
    /// When the last successful write was sent.
    pub(crate) sent: Millis,
    pub(crate) renew_at: Millis,
    pub(crate) handover: Option<Handover>,
}

#[derive(Debug)]
pub(crate) struct Handover {
    pub(crate) to: Option<Name>,
    pub(crate) release_at: Millis,
    /// From then on another VM may own the pool.
    pub(crate) is_sent: bool,
}

/// A write that is not decided.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) call: CallId,
    pub(crate) sent: Millis,
    pub(crate) lease: Lease,
    /// When its answer was found to be lost.
    pub(crate) lost: Option<Millis>,
}

#[derive(Debug, Default)]
pub(crate) struct Watch {
    pub(crate) sight: Option<Sight>,
    pub(crate) mine: Option<Mine>,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) retry_at: Millis,
    /// Renewal count of the last write tried.
    pub(crate) renewal: u64,
    /// Highest fencing token seen or tried.
    pub(crate) fence: Fence,
    /// The releasing holder sent its state here.
    pub(crate) is_successor: bool,
    /// The pool has targets in the intent.
    pub(crate) is_wanted: bool,
}

impl Mine {
    pub(crate) fn is_valid(&self, now: Millis) -> bool {
        let is_released = self.handover.as_ref().is_some_and(|handover| handover.is_sent);
        !is_released && now.since(self.sent) < HOLD_MS
    }
}

impl Handover {
    pub(crate) fn new(to: Option<Name>, now: Millis) -> Handover {
        Handover { to, release_at: now.after(HANDOVER_MS), is_sent: false }
    }
}

/// What the choice of writes depends on besides the record.
pub(crate) struct View<'a> {
    pub(crate) candidates: Vec<&'a Name>,
    pub(crate) members: &'a Table,
    pub(crate) own: &'a Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) is_stopping: bool,
    /// When free pools may be taken.
    pub(crate) joined: Millis,
}

impl Watch {
    /// The write that is due for the pool, if any.
    pub(crate) fn next_write(
        &self,
        pool: &Key,
        view: &View<'_>,
        now: Millis,
    ) -> Option<(Condition, Lease)> {
        if self.attempt.is_some() || now < self.retry_at {
            return None;
        }
        let Some(mine) = &self.mine else {
            let at = self.takeover_at(pool, view)?;
            return (now >= at).then(|| self.takeover(pool, view));
        };
        let released = match &mine.handover {
            Some(handover) if now >= handover.release_at => true,
            _ if now.after(TOGETHER_MS) >= mine.renew_at => false,
            _ => return None,
        };
        let lease = Lease {
            vm: view.own.clone(),
            incarnation: view.incarnation,
            fence: mine.fence,
            renewal: self.renewal + 1,
            released,
        };
        Some((Condition::Version(mine.version), lease))
    }

    /// When this VM may take the pool over.
    pub(crate) fn takeover_at(&self, pool: &Key, view: &View<'_>) -> Option<Millis> {
        let sight = self.sight.as_ref()?;
        if view.is_stopping || !self.is_wanted {
            return None;
        }
        let rank = |passed| RANK_MS * rank::rank(pool, view.own, &view.candidates, passed);
        let wait = match &sight.lease {
            None if sight.version.is_none() => {
                return Some(sight.since.after(rank(None)).max(view.joined));
            }
            // This VM gave it up; it takes it back only if no other VM wants it.
            Some(lease) if lease.released && is_own(lease, view) => TAKEOVER_MS + rank(None),
            // An earlier start of this VM cannot act any more, and this one holds nothing.
            Some(lease) if lease.vm == *view.own && !lease.released => 0,
            Some(lease) if lease.released && self.is_successor => 0,
            // The successor that was sent the pool's state goes before all others.
            Some(lease) if lease.released => RANK_MS + rank(Some(&*lease.vm)),
            _ => TAKEOVER_MS + rank(None),
        };
        Some(sight.since.after(wait))
    }

    pub(crate) fn takeover(&self, pool: &Key, view: &View<'_>) -> (Condition, Lease) {
        let version = self.sight.as_ref().and_then(|sight| sight.version);
        let heard = view.members.highest_fence(pool);
        let lease = Lease {
            vm: view.own.clone(),
            incarnation: view.incarnation,
            fence: Fence(self.fence.max(heard).0 + 1),
            renewal: 1,
            released: false,
        };
        (version.map_or(Condition::Absent, Condition::Version), lease)
    }

    pub(crate) fn try_write(&mut self, call: CallId, lease: &Lease, now: Millis) {
        self.renewal = lease.renewal;
        self.fence = self.fence.max(lease.fence);
        let release = self.mine.as_mut().and_then(|mine| mine.handover.as_mut());
        if let (Some(handover), true) = (release, lease.released) {
            handover.is_sent = true;
        }
        self.attempt = Some(Attempt { call, sent: now, lease: lease.clone(), lost: None });
    }

    /// Whether nothing is held and nothing is being written.
    pub(crate) fn is_idle(&self) -> bool {
        self.mine.is_none() && self.attempt.is_none()
    }

    /// The attempt took effect.
    pub(crate) fn applied(&mut self, version: Revision, now: Millis, out: &mut Outbox) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        if attempt.lease.released {
            self.mine = None;
            return self.see(Some((version, Some(attempt.lease))), now);
        }
        let handover = self.mine.take().and_then(|mine| mine.handover);
        if attempt.lease.renewal == 1 {
            out.count(Counter::Event("lease_taken"));
        }
        self.is_successor = false;
        self.mine = Some(Mine {
            fence: attempt.lease.fence,
            version,
            sent: attempt.sent,
            renew_at: attempt.sent.after(RENEW_MS),
            handover,
        });
    }

    /// The record that stands in the table now, where nothing of this VM is undecided.
    pub(crate) fn see(&mut self, found: Option<Found>, now: Millis) {
        let (version, lease) = match found {
            Some((version, lease)) => (Some(version), lease),
            None => (None, None),
        };
        let is_same = self.sight.as_ref().is_some_and(|sight| sight.version == version);
        if is_same {
            return;
        }
        if let Some(lease) = &lease {
            self.fence = self.fence.max(lease.fence);
            self.is_successor &= lease.released || self.sight.is_none();
        }
        self.sight = Some(Sight { version, lease, since: now });
    }

    /// What stands in the table after a write that did not take effect.
    pub(crate) fn refused(
        &mut self,
        found: Option<Found>,
        own: &str,
        now: Millis,
        out: &mut Outbox,
    ) {
        self.attempt = None;
        let Some(mine) = &mut self.mine else {
            return self.see(found, now);
        };
        match &found {
            // An earlier write of this VM took effect late: it does not extend the hold.
            Some((version, Some(lease))) if *lease.vm == *own && lease.fence == mine.fence => {
                mine.version = *version;
                self.renewal = self.renewal.max(lease.renewal);
                if lease.released {
                    self.mine = None;
                    self.see(found, now);
                }
            }
            _ => {
                self.lose(out);
                self.see(found, now);
            }
        }
    }

    pub(crate) fn lose(&mut self, out: &mut Outbox) {
        self.mine = None;
        self.sight = None;
        out.count(Counter::Event("lease_lost"));
    }
}

impl Watch {
    /// Takes a record from a list that may have been overtaken by a write of this VM.
    pub(crate) fn look(&mut self, found: Option<Found>, own: &str, now: Millis, out: &mut Outbox) {
        let version = found.as_ref().map(|(version, _)| *version);
        let known = match (&self.mine, &self.sight) {
            (Some(mine), _) => Some(mine.version),
            (None, Some(sight)) => sight.version,
            (None, None) => None,
        };
        // Only a conditional write decides whether the store went back.
        if version < known {
            return;
        }
        match self.mine {
            Some(_) if version == known => {}
            Some(_) => self.refused(found, own, now, out),
            None => self.see(found, now),
        }
    }
}

fn is_own(lease: &Lease, view: &View<'_>) -> bool {
    lease.vm == *view.own && lease.incarnation == view.incarnation
}
