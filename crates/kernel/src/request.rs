//! A caller's request as the kernel sees it.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, Name};

/// Identifies a request and, through the VM and its incarnation, the process that holds its stream.
///
/// The text form is `VM-INCARNATION-COUNTER`, with both numbers in hexadecimal.
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
    /// The VM's incarnation when it accepted the request.
    pub incarnation: Incarnation,
    /// Number of the request within the incarnation in the low 48 bits, and number of the placement
    /// above them.
    pub counter: u64,
}

/// Lowest bit of the placement number within an id's counter; the bits below number the requests.
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

    /// The id of the next placement of the request, that is, of the next target that it runs on.
    ///
    /// Request number and placement number share the counter, so either can be derived from the id
    /// alone.
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

    /// The id of the first placement of the request.
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

/// The error for a text that is not a request id.
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
    /// Interactive requests with a short expected output.
    Short,
    /// All other requests.
    Long,
}

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency<'a> {
    /// It may be executed any number of times.
    Idempotent,
    /// It is executed at most once, and the caller never repeats it under the same id.
    AtMostOnce,
    /// It is executed at most once, and the key identifies repetitions by the caller.
    Keyed {
        /// The caller's idempotency key, or one generated for this single attempt.
        key: &'a str,
    },
}

/// A newly arrived request, authenticated and with its body read.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The id assigned by the entry VM.
    pub id: &'a Id,
    /// The organisation that the caller's key belongs to; empty for a caller of a public route.
    pub organisation: &'a str,
    /// The requested service.
    pub service: &'a str,
    /// Estimated prompt length in tokens; zero for a plain service.
    pub prompt_tokens: u32,
    /// The caller's limit on output tokens, if any.
    pub max_tokens: Option<u32>,
    /// Hash of service, method, path and body.
    pub fingerprint: u64,
    /// Hashes of prompt prefixes of increasing length.
    pub prefixes: &'a [u64],
    /// Hashes of the parts of the prompt that other requests may share, in order.
    pub parts: &'a [u64],
    /// Whether the request may be executed more than once.
    pub idempotency: Idempotency<'a>,
    /// Options of the route that the request matched.
    pub options: RouteOptions,
}

/// Options that a route sets for its requests, apart from their service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteOptions {
    /// Priority, with 0 first; if absent, it follows from the request's class.
    pub priority: Option<u8>,
    /// Longest wait for a start, in milliseconds; if absent, the limit of the service applies.
    pub queue_timeout_ms: Option<u64>,
    /// Longest time to the complete response, in milliseconds; unlimited if absent.
    pub timeout_ms: Option<u64>,
    /// Number of attempts that may be executed at least in part; unlimited if absent.
    pub max_attempts: Option<u32>,
    /// A pool that cannot start the request immediately refuses it, and another pool is asked.
    pub spills: bool,
    /// The request may leave its zone for one whose pool has a much lower usage.
    pub balances_zones: bool,
    /// The generation can continue on another target from its KV cache.
    pub relocatable: bool,
    /// A stream that broke off can be continued on another target after the last event that the
    /// caller has, without its KV cache.
    pub resumable: bool,
    /// Identifies the route among those of its service, for counts by route; zero without one.
    pub route: u32,
}

/// How an attempt on a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum End {
    /// The complete answer was received.
    Complete,
    /// Nothing was sent to the target.
    Unsent,
    /// The target reported a failure.
    Failed,
    /// The generation continues on another target.
    Moved,
    /// The target rejected the request before executing anything, for example because it was full.
    Rejected,
    /// The connection broke and the attempt could not be resumed.
    Broken,
    /// The target's process died or restarted during the attempt.
    Died,
    /// The caller disconnected or cancelled the request.
    Cancelled,
}
