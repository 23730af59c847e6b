//! Everything that can happen to the kernel, as borrowed views.

use crate::ids::{Millis, Name, Revision};
use crate::peer::{Delta, Message};
use crate::request::{End, Id, View};
use crate::store::{Answer, CallId};
use crate::target::{CacheBatch, Report, Silence};
use crate::{feed, reconcile, store};

/// An input to the kernel.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// Time passed; a wake-up that the kernel asked for may be due.
    Tick,
    /// A caller's request arrived at this VM.
    RequestArrived(View<'a>),
    /// The first byte of an attempt may have left for the target.
    SendStarted {
        /// The request.
        id: &'a Id,
        /// The attempt.
        attempt: u32,
    },
    /// Output tokens delivered so far, for every running request of this VM.
    Progress(&'a [TokenCount]),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: &'a Id,
        /// The attempt.
        attempt: u32,
        /// How.
        end: End,
        /// Output tokens delivered to the caller.
        tokens: u32,
        /// Time from the send to the first token in milliseconds.
        first_token_ms: Option<u32>,
        /// The answer to keep for a call that runs at most once.
        stored: Option<&'a store::Stored>,
    },
    /// A generation broke off and may go on from the copy of its standby.
    GenerationLost {
        /// The leg that broke off.
        id: &'a Id,
    },
    /// A generation goes on at another target, under the id of its next leg.
    GenerationMoved {
        /// The leg that ended.
        from: &'a Id,
        /// The leg that carries on.
        to: &'a Id,
        /// Output tokens that the first one delivered to the caller.
        tokens: u32,
    },
    /// The caller went away.
    CallerDisconnected {
        /// The request.
        id: &'a Id,
    },
    /// A target's report, or why there is none.
    Report {
        /// The target.
        target: &'a str,
        /// The report.
        report: Result<&'a Report, Silence>,
    },
    /// Prefix-cache events of an engine.
    CacheEvents {
        /// The engine.
        target: &'a str,
        /// The events.
        batch: &'a CacheBatch,
    },
    /// The answer to an order.
    OrderAnswered {
        /// The engine.
        target: &'a str,
        /// The order answered.
        order: &'a reconcile::Order,
        /// Whether and how it was taken.
        answer: reconcile::Answer,
    },
    /// A message from a peer.
    Peer {
        /// The sender.
        from: &'a str,
        /// The message.
        message: &'a Message,
    },
    /// The answer to a store call.
    Store {
        /// The call.
        call: CallId,
        /// The answer.
        answer: &'a Answer,
    },
    /// Resources read from the table or a snapshot of it.
    Changes(&'a Delta),
    /// Targets that the platform has found.
    Discovered(&'a Delta),
    /// Rows of a table that this VM follows itself.
    RowsRead {
        /// The rows.
        rows: &'a feed::Rows,
        /// A time at which the table had no newer ones.
        at: Millis,
    },
    /// The table's head revision was read and is not newer than ours.
    TableHead(Revision),
    /// The table was read: the resources in force were the newest ones then.
    TableCurrent {
        /// A time at which no newer ones were in the table.
        at: Millis,
    },
    /// The table could not be read.
    StoreDown,
    /// The platform's list of VMs.
    Vms(&'a [Vm]),
    /// An operator lifted a quarantine.
    LiftQuarantine {
        /// The body.
        fingerprint: u64,
    },
    /// A graceful shutdown has begun: callers are sent to other VMs from now on.
    Leaving,
    /// Callers have noticed that this VM leaves: hand everything over and finish what runs.
    Drain,
}

/// Output tokens of one running request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenCount {
    /// The request.
    pub id: Id,
    /// Tokens delivered so far.
    pub tokens: u32,
}

/// One VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Name of the entry VM or target.
    pub name: Name,
    /// Whether it is about to leave.
    pub leaving: bool,
}
