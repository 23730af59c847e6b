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
pub struct Malformed;

impl FromStr for Id {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Id, Malformed> {
        let mut parts = text.rsplitn(3, '-');
        let counter = parts.next().ok_or(Malformed)?;
        let incarnation = parts.next().ok_or(Malformed)?;
        let vm = parts.next().filter(|vm| !vm.is_empty()).ok_or(Malformed)?;
        let counter = u64::from_str_radix(counter, 16).map_err(|_| Malformed)?;
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| Malformed)?;
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
pub enum Repeat<'a> {
    /// It may be run any number of times.
    Free,
    /// It runs at most once; the key identifies repeats by the caller.
    Once {
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
    pub repeat: Repeat<'a>,
}

/// How one attempt at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum End {
    /// The whole answer was received.
    Complete,
    /// Nothing was sent to the target.
    Unsent,
    /// The target refused before running anything, for example because it was full.
    Rejected,
    /// The attempt broke and could not be resumed.
    Broken,
    /// The target's process died or restarted while the attempt ran.
    Died,
    /// The caller went away or the request was cancelled.
    Cancelled,
}
