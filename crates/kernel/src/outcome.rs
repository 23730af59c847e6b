//! The outputs of the kernel, carried out by adapters.

use serde::{Deserialize, Serialize};

use crate::ids::{Fence, Name};
use crate::peer::Message;
use crate::request::Id;
use crate::{feed, reach, reconcile, store};

/// Whether any part of a refused request may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Ran {
    /// No byte of it can have reached a target.
    No,
    /// It was executed at least in part.
    Yes,
    /// It may have been executed.
    Unknown,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Reason {
    /// The organisation or service does not exist, or the organisation may not call the service.
    NotFound,
    /// The pool cannot start the request immediately, but another pool may.
    Busy,
    /// The organisation's queue is full.
    OrganisationQueue,
    /// The pool's queue is full.
    PoolQueue,
    /// The request has waited, or would wait, beyond its queue deadline.
    QueueDeadline,
    /// The limits that the targets name keep the request waiting for too long.
    RateLimited,
    /// No target can take the request.
    NoTarget,
    /// The request body is quarantined.
    Quarantined,
    /// The store is unavailable and the call needs a claim.
    StoreUnavailable,
    /// The caller's key may have been revoked since the resources were last confirmed as current.
    KeyUnconfirmed,
    /// Another call with the same idempotency key is running.
    InProgress,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// An earlier attempt with the same idempotency key may have been executed.
    OutcomeUnknown,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The target failed after the answer began.
    TargetFailed,
    /// The prompt does not fit on any target.
    TooLarge,
    /// The VM is shutting down.
    ShuttingDown,
}

impl Reason {
    /// The stable text used in responses and as a counter label.
    ///
    /// ```
    /// use hornbeamloom_kernel::outcome::Reason;
    ///
    /// assert_eq!(Reason::PoolQueue.as_str(), "pool_queue");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NotFound => "not_found",
            Reason::Busy => "busy",
            Reason::OrganisationQueue => "organisation_queue",
            Reason::PoolQueue => "pool_queue",
            Reason::QueueDeadline => "queue_deadline",
            Reason::RateLimited => "rate_limited",
            Reason::NoTarget => "no_target",
            Reason::Quarantined => "quarantined",
            Reason::StoreUnavailable => "store_unavailable",
            Reason::KeyUnconfirmed => "key_unconfirmed",
            Reason::InProgress => "in_progress",
            Reason::KeyReused => "key_reused",
            Reason::OutcomeUnknown => "outcome_unknown",
            Reason::RetryBudget => "retry_budget",
            Reason::TargetFailed => "target_failed",
            Reason::TooLarge => "too_large",
            Reason::ShuttingDown => "shutting_down",
        }
    }
}

/// A refusal with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Whether the request was executed.
    pub ran: Ran,
    /// Delay after which the caller should retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request of which nothing was executed.
    ///
    /// ```
    /// use hornbeamloom_kernel::outcome::{Ran, Reason, Refusal};
    ///
    /// let refusal = Refusal::new(Reason::PoolQueue);
    /// assert_eq!(refusal.ran, Ran::No);
    /// assert_eq!(refusal.retry_after_ms, None);
    /// ```
    pub fn new(reason: Reason) -> Refusal {
        Refusal { reason, ran: Ran::No, retry_after_ms: None }
    }

    /// The same refusal with another execution status.
    ///
    /// ```
    /// use hornbeamloom_kernel::outcome::{Ran, Reason, Refusal};
    ///
    /// let refusal = Refusal::new(Reason::TargetFailed).with_ran(Ran::Yes);
    /// assert_eq!(refusal.ran, Ran::Yes);
    /// ```
    pub fn with_ran(self, ran: Ran) -> Refusal {
        Refusal { ran, ..self }
    }

    /// The same refusal with a delay in milliseconds after which the caller should retry.
    ///
    /// ```
    /// use hornbeamloom_kernel::outcome::{Reason, Refusal};
    ///
    /// let refusal = Refusal::new(Reason::PoolQueue).with_retry_after(1_500);
    /// assert_eq!(refusal.retry_after_ms, Some(1_500));
    /// ```
    pub fn with_retry_after(self, ms: u64) -> Refusal {
        Refusal { retry_after_ms: Some(ms), ..self }
    }
}

/// Why a request is retried internally.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// The owner of the pool did not answer.
    AskTimeout,
    /// The grant was too old to be used.
    GrantExpired,
    /// The target rejected the request before executing anything.
    TargetRejected,
    /// The target reported a failure.
    TargetFailed,
    /// The connection broke before the first token.
    TargetBroken,
    /// The target died before the first token.
    TargetDied,
    /// The zone or the target was taken out of service between the grant and the start.
    TargetLeft,
    /// This VM was paused and must first catch up on changes made meanwhile.
    VmPaused,
}

impl RetryReason {
    /// The stable text used as a counter label.
    ///
    /// ```
    /// use hornbeamloom_kernel::outcome::RetryReason;
    ///
    /// assert_eq!(RetryReason::AskTimeout.as_str(), "ask_timeout");
    /// assert_eq!(RetryReason::VmPaused.as_str(), "vm_paused");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            RetryReason::AskTimeout => "ask_timeout",
            RetryReason::GrantExpired => "grant_expired",
            RetryReason::TargetRejected => "target_rejected",
            RetryReason::TargetFailed => "target_failed",
            RetryReason::TargetBroken => "target_broken",
            RetryReason::TargetDied => "target_died",
            RetryReason::TargetLeft => "target_left",
            RetryReason::VmPaused => "vm_paused",
        }
    }
}

/// A target that holds a copy of the KV cache of a generation that runs elsewhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standby {
    /// The target's name.
    pub target: Name,
    /// The target's `IP:port`.
    pub address: String,
}

/// The start of one attempt, carried out by a traffic task.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// The request.
    pub id: Id,
    /// The attempt.
    pub attempt: u32,
    /// The target's name.
    pub target: Name,
    /// The target's `IP:port`.
    pub address: String,
    /// Engine priority; lower values run first.
    pub priority: i32,
    /// Fencing token of the granting owner.
    pub fence: Fence,
    /// Where the KV cache of the generation is replicated while it grows, if anywhere.
    pub standby: Option<Standby>,
}

/// One action for an adapter.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Open the stream to the target.
    Start(Start),
    /// Copy the KV cache of a running generation to another target and continue there.
    Move {
        /// The running placement.
        from: Id,
        /// The start on the other target, under the id of the next placement.
        start: Start,
    },
    /// Answer the caller with a refusal.
    Refuse {
        /// The request.
        id: Id,
        /// The refusal.
        refusal: Refusal,
    },
    /// Answer the caller with the stored outcome of an earlier call.
    Replay {
        /// The request.
        id: Id,
        /// The stored answer.
        stored: store::StoredResponse,
    },
    /// Send a message to a peer.
    Send {
        /// The receiving VM.
        to: Name,
        /// Its `IP:port` for peers.
        address: Name,
        /// The message.
        message: Message,
    },
    /// Execute a call on the table.
    Store(store::Call),
    /// Fetch a target's report.
    Poll {
        /// The target.
        target: Name,
        /// Its `IP:port`.
        address: String,
        /// Whether its process must be contacted even if its report is known without. Only that
        /// shows the death of a target that reports through the platform.
        needs_contact: bool,
    },
    /// Try to open a connection to a target from this VM, and report whether it was established.
    Probe {
        /// The target.
        target: Name,
        /// Its `IP:port`.
        address: String,
    },
    /// Open connections to targets in this way from now on.
    SetPath(reach::Path),
    /// Send an order to an engine.
    Order(reconcile::Order),
    /// Increment a counter.
    Count(Counter),
    /// Write a log line.
    Log {
        /// True for a warning, false for information.
        warn: bool,
        /// The text; it contains no secrets.
        text: String,
    },
    /// Switch to this way of obtaining the platform's tables.
    Follow(feed::Assignment),
    /// Apply rows of a table that a peer has read.
    ApplyRows(feed::Rows),
    /// Publish a new snapshot of the resources in force to the traffic threads.
    Publish,
    /// No work is left and the process may exit.
    Drained,
}

/// A counter to increment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counter {
    /// A refusal.
    Refusal(Reason),
    /// A retry.
    Retry(RetryReason),
    /// An input was ignored, with a fixed label.
    Ignored(&'static str),
    /// A request sent during a roll-out, with `new` or `old` for the version of its target.
    RolloutRequest(&'static str),
    /// A verdict on a roll-out, with a fixed label.
    RolloutVerdict(&'static str),
    /// Another event, with a fixed label.
    Event(&'static str),
}
