//! Everything the kernel asks of the adapters.

use serde::{Deserialize, Serialize};

use crate::ids::{Fence, Name};
use crate::peer::Message;
use crate::request::Id;
use crate::{feed, reconcile, store};

/// Whether any part of a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Ran {
    /// No byte of it can have reached a target.
    No,
    /// It ran at least in part.
    Yes,
    /// It may have run.
    Unknown,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Reason {
    /// The organisation or service does not exist or may not be called.
    NotFound,
    /// The pool cannot start it at once, and others may.
    Busy,
    /// The organisation's queue is full.
    OrganisationQueue,
    /// The pool's queue is full.
    PoolQueue,
    /// It waited, or would wait, beyond its queue deadline.
    QueueDeadline,
    /// No target can take it.
    NoTarget,
    /// The body is quarantined.
    Quarantined,
    /// The store is unavailable and the call needs a claim.
    StoreUnavailable,
    /// The caller's key may have been taken away meanwhile.
    KeyUnconfirmed,
    /// The same key is being worked on.
    InProgress,
    /// The same key was used with another body.
    KeyReused,
    /// An earlier attempt with the same key may have run.
    OutcomeUnknown,
    /// The retry budget is used up.
    RetryBudget,
    /// The target failed after the answer began.
    TargetFailed,
    /// The prompt cannot fit any target.
    TooLarge,
    /// The VM is shutting down.
    ShuttingDown,
}

impl Reason {
    /// The stable text used in answers and as a counter label.
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

/// A typed refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it ran.
    pub ran: Ran,
    /// When to try again, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request of which nothing ran.
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

    /// The same refusal with another statement about what ran.
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

    /// The same refusal with advice on when to try again.
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

/// Why a request is tried again inside the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// No answer from the pool's owner.
    AskTimeout,
    /// The grant came too late to be used.
    GrantExpired,
    /// The target refused before running anything.
    TargetRejected,
    /// The target answered that it failed.
    TargetFailed,
    /// The connection broke before the first token.
    TargetBroken,
    /// The target died before the first token.
    TargetDied,
    /// The zone or target was taken out between grant and start.
    TargetLeft,
    /// This VM was paused and first learns what changed meanwhile.
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

/// A target that holds a copy of the memory of a generation that runs elsewhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standby {
    /// Its name.
    pub target: Name,
    /// Its `IP:port`.
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
    /// Engine priority: lower runs first.
    pub priority: i32,
    /// Fencing token of the granting owner.
    pub fence: Fence,
    /// Where the memory of the generation is copied as it grows, if anywhere.
    pub standby: Option<Standby>,
}

/// One thing that an adapter has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Open the stream to the target now.
    Start(Start),
    /// Copy the memory of a running generation to another target and go on there.
    Move {
        /// The request as it runs.
        from: Id,
        /// The start at the other target, under the id of the next leg.
        start: Start,
    },
    /// Answer the caller with a refusal.
    Refuse {
        /// The request.
        id: Id,
        /// The refusal.
        refusal: Refusal,
    },
    /// Answer the caller from a kept outcome.
    Replay {
        /// The request.
        id: Id,
        /// The kept answer.
        stored: store::Stored,
    },
    /// Send a message to a peer.
    Send {
        /// The VM.
        to: Name,
        /// Its `IP:port` for peers.
        address: Name,
        /// The message.
        message: Message,
    },
    /// Carry out an operation at the table.
    Store(store::Call),
    /// Read a target's report.
    Poll {
        /// The target.
        target: Name,
        /// Its `IP:port`.
        address: String,
    },
    /// Send an order to an engine.
    Order(reconcile::Order),
    /// Increment a counter.
    Count(Counter),
    /// Write a log line.
    Log {
        /// Severity: true for a warning, false for information.
        warn: bool,
        /// The text, without secrets.
        text: String,
    },
    /// Follow the platform's tables in this way from now on.
    Follow(feed::Way),
    /// Take in rows of a table that a peer has read.
    ApplyRows(feed::Rows),
    /// A new snapshot of the resources in force should be published to the traffic threads.
    Publish,
    /// Nothing is left that has to finish: the process may exit.
    Drained,
}

/// A counter to increment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counter {
    /// A refusal.
    Refusal(Reason),
    /// A retry.
    Retry(RetryReason),
    /// An ignored input, by a fixed label.
    Ignored(&'static str),
    /// Any other event worth counting, by a fixed label.
    Event(&'static str),
}
