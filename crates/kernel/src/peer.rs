//! Messages between daemons.

use serde::{Deserialize, Serialize};

use crate::ids::{Fence, Incarnation, Millis, Name, Revision};
use crate::outcome::Refusal;
use crate::request::{Class, End, Id};
use crate::{feed, pool, resource, rollout, rollout_count};

/// A message between two daemons.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Membership entries, heartbeats and revisions.
    Gossip(Gossip),
    /// Changes of resources.
    Delta(Delta),
    /// Requests the changes after a revision.
    Pull {
        /// The requester's revision.
        from: Revision,
    },
    /// Asks the owner of a pool to admit a request.
    Ask(Ask),
    /// Confirms to the sender of asks that they arrive. At most four are sent to a VM per second.
    Ack {
        /// The pool of the acknowledged ask.
        pool: pool::Key,
    },
    /// Allows a request to start.
    Grant(Grant),
    /// Refuses to start a request.
    Refuse {
        /// The request.
        id: Id,
        /// The refused attempt.
        attempt: u32,
        /// The reason.
        refusal: Refusal,
        /// What to do next, if the scheduler knows the load of the other pools.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        advice: Option<Advice>,
    },
    /// Cancels an ask: the request no longer needs to start.
    Withdraw {
        /// The pool that was asked.
        pool: pool::Key,
        /// The request.
        id: Id,
    },
    /// Progress of running requests. Also keeps their in-flight entries from expiring.
    Progress {
        /// The pool that the requests run in.
        pool: pool::Key,
        /// One entry per running request.
        entries: Vec<Progress>,
        /// What the sender knows of the usage of the service's pools, where it is passed on.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        usage: Vec<UsageReport>,
        /// What the sender read from targets since its last message, where it is measured.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pace: Vec<TargetPace>,
    },
    /// An attempt ended.
    Release(Release),
    /// Sent by a new holder to learn which requests run in its pool.
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
        /// The fencing token of the `Hello`.
        fence: Fence,
        /// The sender's requests that run in the pool.
        running: Vec<Running>,
    },
    /// Transfers the state of a pool from a stopping holder to its successor.
    Handover(pool::Snapshot),
    /// Reports that a target crashed while running these request bodies.
    Death(Death),
    /// Reports that a quarantine entry was created or lifted. A part of a prompt is named by its
    /// hash in place of a fingerprint.
    Quarantine {
        /// Fingerprint of the body.
        fingerprint: u64,
        /// The organisation that sent it.
        organisation: Name,
        /// The service it was sent to.
        service: Name,
        /// Number of crashes. Zero together with no remaining time clears a suspect that completed.
        deaths: u32,
        /// Remaining time in milliseconds; zero lifts the entry.
        remaining_ms: u64,
    },
    /// The targets of a pool as seen by its owner; sent to VMs of the pool's zone.
    Targets {
        /// The pool.
        pool: pool::Key,
        /// Names of warm targets.
        warm: Vec<Name>,
        /// Names of cold targets.
        cold: Vec<Name>,
        /// What the owner knows of the usage of the service's pools, where it is passed on.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        usage: Vec<UsageReport>,
    },
    /// Asks a VM of the zone how current its copies of the platform's tables are, for the rows that
    /// the sender lacks, and for updates from now on.
    Subscribe {
        /// Send time on the sender's clock.
        sent: Millis,
        /// The process whose clock that is.
        #[serde(default)]
        incarnation: Incarnation,
        /// Versions of the sender's copies.
        known: Vec<(feed::Table, Revision)>,
        /// Whether the receiver must read the tables if its own copies are outdated.
        needs_read: bool,
    },
    /// Answers `Subscribe`. It is sent again whenever the sender's copies are updated.
    TableUpdates {
        /// The `sent` time of the latest `Subscribe`.
        sent: Millis,
        /// The `incarnation` of the latest `Subscribe`.
        #[serde(default)]
        incarnation: Incarnation,
        /// One update per table.
        updates: Vec<feed::TableUpdate>,
    },
    /// Tells the scheduler of a pool what a target has said about new requests.
    Backpressure {
        /// The pool.
        pool: pool::Key,
        /// The target.
        target: Name,
        /// Requests per 1,000 s that it takes from all VMs together; `None` without a limit.
        limit: Option<u64>,
        /// Rejections a second beyond which it falls over; `None` if it bears any number.
        #[serde(default)]
        max_rejections: Option<u32>,
        /// Whether it leaves.
        is_leaving: bool,
    },
    /// Tells the schedulers of a service's other pools the load of one. Sent four times a second
    /// where requests are admitted by slack.
    Load {
        /// The pool.
        pool: pool::Key,
        /// Its load.
        load: Load,
    },
    /// Tells the deciding VM of a roll-out the outcomes that the sender has seen since the order.
    RolloutReport {
        /// The service.
        service: Name,
        /// Version of the order's row.
        order: Revision,
        /// The totals.
        report: rollout_count::Report,
    },
    /// Tells the phase of a roll-out; sent by its deciding VM, and in answer to an earlier phase.
    RolloutPhase {
        /// The service.
        service: Name,
        /// Version of the order's row.
        order: Revision,
        /// The phase.
        phase: rollout::Phase,
        /// Time since the order as known to the sender, in milliseconds.
        elapsed_ms: u64,
        /// Whether the sender decides on the roll-out.
        decides: bool,
        /// Incarnation and `sent` time of the report that this answers, if it answers one.
        answers: Option<(Incarnation, Millis)>,
    },
    /// Announces that a target running requests of the receiver is about to leave.
    Departing {
        /// The target.
        target: Name,
    },
}

/// Membership entries, heartbeats and revisions.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Gossip {
    /// Membership entries; the first one is the sender's.
    pub entries: Vec<MemberEntry>,
    /// Heartbeats of VMs whose entries have not changed otherwise.
    #[serde(default)]
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
}

/// The part of a membership entry that changes in every round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The VM.
    pub vm: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its heartbeat counter.
    pub counter: u64,
    /// The active revision on the VM.
    pub revision: Revision,
}

/// The serving state of a VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MemberStatus {
    /// Started, but without a configuration yet.
    #[default]
    Joining,
    /// Serving requests.
    Serving,
    /// Shutting down gracefully.
    Leaving,
}

/// The membership entry of a VM.
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
    /// Increases with every gossip round of the VM.
    pub heartbeat: u64,
    /// The active revision on the VM.
    pub revision: Revision,
    /// Its serving state.
    pub status: MemberStatus,
    /// The pools that the VM owns, with their fencing tokens.
    pub pools: Vec<(pool::Key, Fence)>,
}

/// The changes of resources between two revisions.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Delta {
    /// Lowest revision to which the delta applies; ignored if `complete`.
    pub from: Revision,
    /// The revision after applying the delta.
    pub to: Revision,
    /// The operators' own number of these resources, if they keep one; otherwise zero. Unlike the
    /// revision it still orders resources after the store came back from an older copy.
    #[serde(default)]
    pub sequence: u64,
    /// Whether `records` is the complete set of resources.
    pub complete: bool,
    /// Changed records, including tombstones.
    pub records: Vec<resource::Record>,
}

/// A request for admission to a pool.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Ask {
    /// The pool.
    pub pool: pool::Key,
    /// The request.
    pub id: Id,
    /// Number of the attempt, counted over all asks of this request.
    pub attempt: u32,
    /// Organisation.
    pub organisation: Name,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Limit on the number of output tokens.
    pub max_tokens: Option<u32>,
    /// Latency class.
    pub class: Class,
    /// Fingerprint of the body.
    pub fingerprint: u64,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Hashes of the parts of the prompt that other requests may share, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<u64>,
    /// Time already spent waiting when this message was sent, in milliseconds.
    pub waited_ms: u64,
    /// Time for which the request may still wait, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: u64,
    /// Priority, 0 being the most urgent; determined by the class if absent.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Whether the sender falls back to another pool if this one cannot start the request at once.
    #[serde(default)]
    pub spills: bool,
    /// The target that holds a copy of the generation's KV memory.
    #[serde(default)]
    #[serde(rename = "held_at")]
    pub standby_target: Option<Name>,
    /// Number of output tokens generated on earlier targets; here they are part of the prompt.
    #[serde(default)]
    #[serde(rename = "made")]
    pub generated_tokens: u32,
    /// Whether the target processes the prompt and these tokens anew, because it gets no copy of the
    /// KV memory.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "recomputed")]
    pub is_recomputed: bool,
    /// Targets that must not be selected.
    pub exclude: Vec<Name>,
    /// Present if the scheduler decides by slack how long the request waits in its queue. The first
    /// token is then due in `max_wait_ms`, and a request that `spills` may be moved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slack: Option<Slack>,
}

/// Terms of a request whose admission is decided by slack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Slack {
    /// Longest delay before a retry that the caller honours, in milliseconds.
    pub max_retry_after_ms: u64,
}

/// What an entry VM does after a refusal that was decided by slack.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Advice {
    /// No pool can start the request in time.
    Stop,
    /// The pool of this zone can start the request earlier.
    Ask(Name),
}

/// The load of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Expected wait of a new request, in milliseconds; zero if there is room.
    pub wait_ms: u64,
    /// Free room in tokens of KV memory.
    pub room: u64,
    /// Tokens of room freed per second; zero if unknown.
    pub rate: u64,
}

/// Permission to start one attempt on a target.
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
    /// Address of the target, for a VM whose resources are outdated.
    pub address: String,
    /// Fencing token of the owner; zero if the scheduler holds no lease.
    pub fence: Fence,
    /// Engine priority; lower values run first.
    pub priority: i32,
    /// KV memory usage of the pool's targets, in thousandths.
    #[serde(default)]
    #[serde(rename = "fill")]
    pub usage: u32,
    /// Requests per 1,000 s that the target takes, if it has named a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<u64>,
}

/// Events that a VM read from a target's streams within an interval.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetPace {
    /// The target.
    pub target: Name,
    /// Number of gaps between events.
    pub gaps: u32,
    /// Sum of these gaps, in milliseconds.
    pub total_ms: u32,
    /// The longest of them, in milliseconds.
    pub worst_ms: u32,
}

/// The usage of a service's pool in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// The zone.
    pub zone: Name,
    /// Usage in thousandths.
    pub usage: u32,
    /// Time since the pool's owner computed it, in milliseconds.
    pub age_ms: u64,
}

/// Progress of a running request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Incarnation part of the request ID; the VM part is the sender.
    pub incarnation: Incarnation,
    /// Counter part of the request ID.
    pub counter: u64,
    /// Number of output tokens so far.
    pub tokens: u32,
}

/// The end of an attempt.
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
    /// Total number of output tokens.
    pub tokens: u32,
    /// Time from sending the request to its first token, in milliseconds; `None` if there was no
    /// token.
    pub first_token_ms: Option<u32>,
}

/// A running request in an inventory.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Running {
    /// The ask that it was granted for.
    pub ask: Ask,
    /// The target it runs on.
    pub target: Name,
    /// Number of output tokens so far.
    pub tokens: u32,
}

/// A target crash.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Death {
    /// The target.
    pub target: Name,
    /// Start ID of the crashed process.
    pub start_id: u64,
    /// The request bodies that were running there.
    pub running: Vec<Suspect>,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// A request body that was running on a target when it crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the body.
    pub fingerprint: u64,
    /// The organisation that sent it.
    pub organisation: Name,
    /// The service it was sent to.
    pub service: Name,
    /// Hashes of the shared parts of its prompt, in order; empty if it had output.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<u64>,
    /// Time from its grant to the report of the crash, in milliseconds.
    #[serde(default)]
    pub granted_ago_ms: u64,
}

impl Ask {
    /// The arrival time of the request on the clock of the VM whose current time is `now`.
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
    ///     parts: Vec::new(),
    ///     waited_ms: 300,
    ///     max_wait_ms: 30_000,
    ///     priority: None,
    ///     spills: false,
    ///     standby_target: None,
    ///     generated_tokens: 0,
    ///     is_recomputed: false,
    ///     exclude: Vec::new(),
    ///     slack: None,
    /// };
    /// assert_eq!(ask.arrived(Millis(1_000)), Millis(700));
    /// ```
    pub fn arrived(&self, now: Millis) -> Millis {
        Millis(now.0.saturating_sub(self.waited_ms))
    }

    /// Whether the generation has a copy of its KV memory, so that no prompt is processed.
    pub(crate) fn has_kv_copy(&self) -> bool {
        self.generated_tokens > 0 && !self.is_recomputed
    }
}
