//! What daemons say to each other.

use serde::{Deserialize, Serialize};

use crate::ids::{Fence, Incarnation, Millis, Name, Revision};
use crate::outcome::Refusal;
use crate::request::{Class, End, Id};
use crate::{feed, pool, resource};

/// A message between two daemons.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Membership and revisions.
    Gossip(Gossip),
    /// Changes of resources.
    Delta(Delta),
    /// Asks for the changes after a revision.
    Pull {
        /// The asker's revision.
        from: Revision,
    },
    /// Asks the owner of a pool for a start.
    Ask(Ask),
    /// Tells the sender of asks that they arrive; sent at most four times a second to one VM.
    Ack {
        /// The pool of the ask that it answers.
        pool: pool::Key,
    },
    /// Lets a request start.
    Grant(Grant),
    /// The owner will not let a request start.
    Refuse {
        /// The request.
        id: Id,
        /// The attempt it answers.
        attempt: u32,
        /// Why.
        refusal: Refusal,
    },
    /// The request no longer wants a start.
    Withdraw {
        /// The pool asked.
        pool: pool::Key,
        /// The request.
        id: Id,
    },
    /// Accounts of running requests; also keeps their ledger entries alive.
    Progress {
        /// The pool they run in.
        pool: pool::Key,
        /// One entry a running request.
        entries: Vec<Progress>,
    },
    /// An attempt ended.
    Release(Release),
    /// A new holder asks what runs in its pool.
    Hello {
        /// The pool.
        pool: pool::Key,
        /// The new holder's fencing token.
        fence: Fence,
    },
    /// Answers `Hello`.
    Inventory {
        /// The pool.
        pool: pool::Key,
        /// The token of the `Hello`.
        fence: Fence,
        /// What runs in the pool from the sender.
        running: Vec<Running>,
    },
    /// A holder that stops gives its state to a successor.
    Handover(pool::Snapshot),
    /// A target died while these bodies ran on it.
    Death(Death),
    /// A quarantine entry was made or lifted.
    Quarantine {
        /// The body.
        fingerprint: u64,
        /// Organisation that sent it.
        organisation: Name,
        /// Service it was sent to.
        service: Name,
        /// Deaths counted; zero together with no time left clears a suspect that finished.
        deaths: u32,
        /// Time left in milliseconds; zero lifts it.
        remaining_ms: u64,
    },
    /// The targets of a pool as its owner sees them, for VMs of its zone.
    Targets {
        /// The pool.
        pool: pool::Key,
        /// Names of warm targets.
        warm: Vec<Name>,
        /// Names of cold targets.
        cold: Vec<Name>,
    },
    /// Asks the reader of the platform's tables how current they are, and for the rows that the
    /// sender lacks.
    Follow {
        /// When this was sent, on the sender's clock.
        sent: Millis,
        /// Versions of the sender's copies.
        known: Vec<(feed::Table, Revision)>,
    },
    /// Answers `Follow`; sent again after each read of the tables.
    Followed {
        /// The time in the last question.
        sent: Millis,
        /// One account a table.
        #[serde(rename = "accounts")]
        updates: Vec<feed::TableUpdate>,
    },
    /// A target on which requests of the receiver run is about to leave.
    Departing {
        /// The target.
        target: Name,
    },
}

/// Membership and revisions.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Gossip {
    /// Entries about the sender (first) and others.
    pub entries: Vec<MemberEntry>,
    /// Heartbeats of VMs whose entries did not change otherwise.
    #[serde(default)]
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
}

/// The part of an entry that changes all the time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The VM.
    pub vm: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its heartbeat counter.
    pub counter: u64,
    /// Revision in force there.
    pub revision: Revision,
}

/// Whether a VM takes requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MemberStatus {
    /// Started, without a configuration so far.
    #[default]
    Joining,
    /// Serving.
    Serving,
    /// Shutting down gracefully.
    Leaving,
}

/// What is known about one VM.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberEntry {
    /// The VM.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// `IP:port` for peers.
    pub peer_address: Name,
    /// `IP:port` for callers.
    pub caller_address: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Grows with every gossip round of the VM.
    pub heartbeat: u64,
    /// Revision in force there.
    pub revision: Revision,
    /// Its standing.
    pub status: MemberStatus,
    /// Pools that it owns, with the fencing tokens.
    pub pools: Vec<(pool::Key, Fence)>,
}

/// Changes of resources from one revision to another.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Delta {
    /// Applies to a VM at this revision or later, or to any VM if `complete`.
    pub from: Revision,
    /// The revision reached.
    pub to: Revision,
    /// Whether `records` is the whole set of resources.
    pub complete: bool,
    /// Changed records, tombstones included.
    pub records: Vec<resource::Record>,
}

/// A request for a start.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Ask {
    /// The pool.
    pub pool: pool::Key,
    /// The request.
    pub id: Id,
    /// Counts the starts asked for by this request.
    pub attempt: u32,
    /// Organisation.
    pub organisation: Name,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Bound on the output in tokens.
    pub max_tokens: Option<u32>,
    /// Latency class.
    pub class: Class,
    /// Body fingerprint.
    pub fingerprint: u64,
    /// Prefix hashes, shortest first.
    pub prefixes: Vec<u64>,
    /// Milliseconds that it has waited before this message.
    pub waited_ms: u64,
    /// Milliseconds that it may still wait.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: u64,
    /// Rank, 0 first; the class decides if absent.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Another pool is asked where this one cannot start it at once.
    #[serde(default)]
    pub spills: bool,
    /// The target that holds a copy of the memory of its generation.
    #[serde(default)]
    #[serde(rename = "held_at")]
    pub standby_target: Option<Name>,
    /// Output tokens that it has from earlier targets; they are part of the prompt here.
    #[serde(default)]
    #[serde(rename = "made")]
    pub generated_tokens: u32,
    /// Targets that it must not be sent to.
    pub exclude: Vec<Name>,
}

/// Permission to start one attempt on one target.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// The pool.
    pub pool: pool::Key,
    /// The request.
    pub id: Id,
    /// The attempt.
    pub attempt: u32,
    /// The target.
    pub target: Name,
    /// Its address, for a VM whose resources are behind.
    pub address: String,
    /// Fencing token of the owner; zero from a scheduler without a lease.
    pub fence: Fence,
    /// Engine priority: lower runs first.
    pub priority: i32,
    /// Part of the KV memory of the pool's targets that is in use, in thousandths.
    #[serde(default)]
    pub fill: u32,
}

/// The account of one running request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Incarnation part of the request id; the sender is the VM part.
    pub incarnation: Incarnation,
    /// Counter part of the request id.
    pub counter: u64,
    /// Output tokens so far.
    pub tokens: u32,
}

/// The end of one attempt.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Release {
    /// The pool.
    pub pool: pool::Key,
    /// The request.
    pub id: Id,
    /// The attempt.
    pub attempt: u32,
    /// The target it ran on.
    pub target: Name,
    /// How it ended.
    pub end: End,
    /// Output tokens in all.
    pub tokens: u32,
    /// Time from the send to the first token in milliseconds, if one came.
    pub first_token_ms: Option<u32>,
}

/// One running request in an inventory.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Running {
    /// The question it came from.
    pub ask: Ask,
    /// The target it runs on.
    pub target: Name,
    /// Output tokens so far.
    pub tokens: u32,
}

/// A target's death.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Death {
    /// The target.
    pub target: Name,
    /// The start of the target that died.
    pub start_id: u64,
    /// Fingerprints that ran there, with organisation and service.
    pub running: Vec<Suspect>,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
}

/// A body that ran on a target when it died.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspect {
    /// The body.
    pub fingerprint: u64,
    /// Organisation that sent it.
    pub organisation: Name,
    /// Service it was sent to.
    pub service: Name,
}

impl Ask {
    /// When the request arrived, on the clock of the VM whose time is `now`.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::{Incarnation, Millis};
    /// use hornbeamloom_kernel::peer::Ask;
    /// use hornbeamloom_kernel::pool::Key;
    /// use hornbeamloom_kernel::request::{Class, Id};
    ///
    /// let ask = Ask {
    ///     pool: Key::new("menu-model", "riga-a"),
    ///     id: Id::new("entry-1", Incarnation(1), 1),
    ///     attempt: 1,
    ///     organisation: "school-1".into(),
    ///     prompt_tokens: 10,
    ///     max_tokens: None,
    ///     class: Class::Long,
    ///     fingerprint: 0,
    ///     prefixes: Vec::new(),
    ///     waited_ms: 300,
    ///     max_wait_ms: 30_000,
    ///     priority: None,
    ///     spills: false,
    ///     standby_target: None,
    ///     generated_tokens: 0,
    ///     exclude: Vec::new(),
    /// };
    /// assert_eq!(ask.arrived(Millis(1_000)), Millis(700));
    /// ```
    pub fn arrived(&self, now: Millis) -> Millis {
        Millis(now.0.saturating_sub(self.waited_ms))
    }
}
