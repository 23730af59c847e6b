//! The inputs of the kernel, as borrowed views.

use crate::ids::{Millis, Name, Revision};
use crate::pace::Reading;
use crate::peer::{Delta, Message};
use crate::request::{End, Id, View};
use crate::store::{Answer, CallId};
use crate::target::{CacheBatch, PollError, Report};
use crate::{backpressure, feed, reconcile, rollout, store};

/// An input to the kernel.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// Time has passed; a wake-up that the kernel asked for may be due.
    Tick,
    /// A request arrived at this VM.
    RequestArrived(View<'a>),
    /// The first byte of an attempt may have been sent to the target.
    SendStarted {
        /// The request.
        id: &'a Id,
        /// The attempt.
        attempt: u32,
    },
    /// Output tokens delivered so far by each running request of this VM.
    Progress(&'a [TokenCount]),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: &'a Id,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        end: End,
        /// Output tokens delivered to the caller.
        tokens: u32,
        /// Time from sending the request to its first token, in milliseconds.
        first_token_ms: Option<u32>,
        /// The answer to store for a call that runs at most once.
        stored: Option<&'a store::StoredResponse>,
    },
    /// A generation was interrupted. It may be resumed from the copy on its standby.
    GenerationLost {
        /// The placement that was interrupted.
        id: &'a Id,
        /// Output tokens that it delivered to the caller.
        tokens: u32,
    },
    /// A generation continues on another target, under the id of its next placement.
    GenerationMoved {
        /// The placement that ended.
        from: &'a Id,
        /// The placement that continues.
        to: &'a Id,
        /// Output tokens that the ended placement delivered to the caller.
        tokens: u32,
    },
    /// The caller disconnected.
    CallerDisconnected {
        /// The request.
        id: &'a Id,
    },
    /// A target's report, or the reason why there is none.
    Report {
        /// The target.
        target: &'a str,
        /// The report.
        report: Result<&'a Report, PollError>,
    },
    /// What a target says about new requests in a response.
    TargetSignal {
        /// The target.
        target: &'a str,
        /// What it says.
        signal: &'a backpressure::Signal,
        /// Whether the response is that to a control call and not to a request.
        is_control: bool,
    },
    /// This VM tried to open a connection to a target itself.
    TargetContact {
        /// The target.
        target: &'a str,
        /// Whether the connection was established.
        is_reached: bool,
    },
    /// A VM could not relay a connection because it is unreachable or reaches no target either.
    RelayFailed {
        /// The VM.
        vm: &'a str,
    },
    /// Prefix-cache events of an engine.
    CacheEvents {
        /// The engine.
        target: &'a str,
        /// The events.
        batch: &'a CacheBatch,
    },
    /// An engine answered an order.
    OrderAnswered {
        /// The engine.
        target: &'a str,
        /// The order that was answered.
        order: &'a reconcile::Order,
        /// Whether the engine accepted the order.
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
    StoreAnswered {
        /// The call.
        call: CallId,
        /// The answer.
        answer: &'a Answer,
    },
    /// Resources read from the table or from a snapshot of it.
    Changes(&'a Delta),
    /// Targets that the platform reports.
    TargetsDiscovered(&'a Delta),
    /// The platform has tables whose rows VMs pass on to each other.
    TablesAvailable {
        /// Age in milliseconds beyond which a copy of a table is outdated; zero if every VM reads
        /// the tables itself.
        age_limit_ms: u64,
    },
    /// Rows of a table that this VM reads itself.
    RowsRead {
        /// The rows.
        rows: &'a feed::Rows,
        /// A time at which the table contained no newer rows.
        at: Millis,
    },
    /// The adapter has applied rows that the kernel has passed to it (`Outcome::ApplyRows`), and has
    /// reported the resources that follow from them.
    RowsApplied {
        /// The table.
        table: feed::Table,
    },
    /// The head revision of the table was read and is not newer than the revision in force.
    TableHead(Revision),
    /// The table was read, and the resources in force were the newest ones.
    TableCurrent {
        /// A time at which the table contained no newer resources.
        at: Millis,
    },
    /// The table could not be read.
    TableUnavailable,
    /// The platform's list of VMs.
    Vms(&'a [Vm]),
    /// The roll-out orders in the operator's table: all of them, whenever any row has changed.
    Rollouts(&'a [rollout::Order]),
    /// An operator lifted a quarantine.
    LiftQuarantine {
        /// The body.
        fingerprint: u64,
    },
    /// Graceful shutdown has started: new callers are directed to other VMs.
    ShutdownStarted {
        /// Time within which every request needs its response, in milliseconds; `None` if the
        /// shutdown has no limit.
        answer_within_ms: Option<u64>,
    },
    /// Callers have had time to notice the shutdown: hand over all pools and finish running
    /// requests.
    Drain,
}

/// Output tokens of one running request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenCount {
    /// The request.
    pub id: Id,
    /// Tokens delivered so far.
    pub tokens: u32,
    /// Its events since the last report of progress.
    pub pace: Reading,
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
