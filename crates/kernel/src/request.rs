//! A caller's request as the kernel sees it.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, Name};

/// Identifies a request and names the VM and incarnation that hold its stream.
///
/// The text form is `VM-INCARNATION-COUNTER`, the numbers in hexadecimal.
///
/// ```
/// use hornbeamloom_kernel::request::Id;
///
/// let id: Id = "entry-1-18f-2a".parse().unwrap();
/// assert_eq!(&*id.vm, "entry-1");
/// assert_eq!(id.counter, 0x2a);
/// assert_eq!(id.to_string(), "entry-1-18f-2a");
/// assert!("nonsense".parse::<Id>().is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Id {
    /// The entry VM that accepted the request.
    pub vm: Name,
    /// That VM's incarnation at the time.
    pub incarnation: Incarnation,
    /// Counts requests within the incarnation.
    pub counter: u64,
}

/// The bits of a counter below this one count requests, the others the targets of one request.
const PLACEMENT_SHIFT: u32 = 48;

impl Id {
    /// The id of request number `counter` of one incarnation of `vm`.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Incarnation;
    /// use hornbeamloom_kernel::request::Id;
    ///
    /// let id = Id::new("entry-1", Incarnation(0x18f), 0x2a);
    /// assert_eq!(id.to_string(), "entry-1-18f-2a");
    /// ```
    pub fn new(vm: &str, incarnation: Incarnation, counter: u64) -> Id {
        Id { vm: vm.into(), incarnation, counter }
    }

    /// The id under which the request goes on at its next target.
    ///
    /// The counts of targets and of requests share the counter, so that either can be told from
    /// the id alone.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Incarnation;
    /// use hornbeamloom_kernel::request::Id;
    ///
    /// let id = Id::new("entry-1", Incarnation(1), 0x2a);
    /// assert_ne!(id.next_placement(), id);
    /// assert_eq!(id.next_placement().first_placement(), id);
    /// ```
    pub fn next_placement(&self) -> Id {
        Id { counter: self.counter.wrapping_add(1 << PLACEMENT_SHIFT), ..self.clone() }
    }

    /// The id that the request had at its first target.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Incarnation;
    /// use hornbeamloom_kernel::request::Id;
    ///
    /// let id = Id::new("entry-1", Incarnation(1), 7);
    /// assert_eq!(id.next_placement().next_placement().first_placement(), id);
    /// ```
    pub fn first_placement(&self) -> Id {
        Id { counter: self.counter & ((1 << PLACEMENT_SHIFT) - 1), ..self.clone() }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{:x}", self.vm, self.incarnation.0, self.counter)
    }
}

/// The text is not a request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not a request id: expected VM-INCARNATION-COUNTER")]
pub struct ParseIdError;

impl FromStr for Id {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Id, ParseIdError> {
        let mut parts = text.rsplitn(3, '-');
        let counter = parts.next().ok_or(ParseIdError)?;
        let incarnation = parts.next().ok_or(ParseIdError)?;
        let vm = parts.next().filter(|vm| !vm.is_empty()).ok_or(ParseIdError)?;
        let counter = u64::from_str_radix(counter, 16).map_err(|_| ParseIdError)?;
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| ParseIdError)?;
        Ok(Id::new(vm, Incarnation(incarnation), counter))
    }
}

/// The latency class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Class {
    /// Interactive work with a short expected answer.
    Short,
    /// Everything else.
    Long,
}

/// Whether a request may be run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency<'a> {
    /// It may be run any number of times.
    Idempotent,
    /// It runs at most once, and its caller never sends it again under the same id.
    AtMostOnce,
    /// It runs at most once; the key identifies repeats by the caller.
    Keyed {
        /// The caller's idempotency key, or one generated for this single attempt.
        key: &'a str,
    },
}

/// A newly arrived request, authenticated and with its body read.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The id given by the entry VM.
    pub id: &'a Id,
    /// The organisation that the caller's key belongs to.
    pub organisation: &'a str,
    /// The service asked for.
    pub service: &'a str,
    /// Estimated prompt length in tokens; zero for a plain service.
    pub prompt_tokens: u32,
    /// The caller's bound on the output in tokens, if any.
    pub max_tokens: Option<u32>,
    /// A hash of service, method, path and body.
    pub fingerprint: u64,
    /// Hashes of growing prompt prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// Whether the request may be run again.
    pub idempotency: Idempotency<'a>,
    /// What the route that it came by says about it.
    pub options: RouteOptions,
}

/// What a route says about its requests, beyond the service that they are for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteOptions {
    /// Rank, 0 first; the class of the request decides if absent.
    pub priority: Option<u8>,
    /// Longest wait for a start in milliseconds; that of the service if absent.
    pub queue_timeout_ms: Option<u64>,
    /// Targets on which it may run; unlimited if absent.
    pub max_attempts: Option<u32>,
    /// It asks another pool at once where one cannot start it at once.
    pub spills: bool,
    /// It goes to another zone where its VM's is much fuller.
    pub balances_zones: bool,
    /// It can go on at another target from the memory of its generation.
    pub relocatable: bool,
}

/// How one attempt at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum End {
    /// The whole answer was received.
    Complete,
    /// Nothing was sent to the target.
    Unsent,
    /// The target answered that it failed.
    Failed,
    /// The generation goes on at another target.
    Moved,
    /// The target refused before running anything, for example because it was full.
    Rejected,
    /// The attempt broke and could not be resumed.
    Broken,
    /// The target's process died or restarted while the attempt ran.
    Died,
    /// The caller went away or the request was cancelled.
    Cancelled,
}
