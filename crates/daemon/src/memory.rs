//! One account for the memory in which a process buffers bodies of callers and of targets.
//!
//! Limits on single bodies bound their payload. The account bounds what all of them occupy together,
//! counted as it is allocated.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use memmap2::MmapMut;

use crate::connections;

/// Size up to which a buffer may use the whole account. Longer ones leave a quarter of it free, so
/// that a few endless bodies cannot keep ordinary requests from being read.
pub const SMALL_BUFFER_BYTES: usize = 64 << 10;

/// Step by which the charge of a longer buffer grows.
const STEP_BYTES: usize = 64 << 10;

/// Why bytes cannot be buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The body is longer than its own limit, in bytes.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// All buffers together have reached the limit of the account.
    #[error("no memory is left for buffers")]
    Exhausted,
}

#[derive(Debug)]
struct Totals {
    limit: AtomicUsize,
    used: AtomicUsize,
}

/// The memory that the buffers of a process may occupy. Clones share one limit.
#[derive(Debug, Clone)]
pub struct Account {
    totals: Arc<Totals>,
}

impl Account {
    /// Creates an account of `limit` bytes.
    ///
    /// ```
    /// use hornbeamloom_daemon::memory::{Account, Error};
    ///
    /// let account = Account::new(1 << 20);
    /// let mut buffer = account.buffer(8);
    /// buffer.push(b"12345").unwrap();
    /// assert_eq!(buffer.push(b"6789"), Err(Error::TooLong(8)));
    /// let bytes = buffer.freeze();
    /// assert_eq!((&*bytes, account.used()), (&b"12345"[..], 5));
    /// drop(bytes);
    /// assert_eq!(account.used(), 0);
    /// ```
    pub fn new(limit: usize) -> Account {
        let totals = Totals { limit: AtomicUsize::new(limit), used: AtomicUsize::new(0) };
        Account { totals: Arc::new(totals) }
    }

    /// Changes the limit. Buffers that exceed a lower one stay, but do not grow.
    pub fn set_limit(&self, limit: usize) {
        self.totals.limit.store(limit, Ordering::Relaxed);
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.totals.used.load(Ordering::Relaxed)
    }

    /// Size in bytes of the longest buffer that an empty account admits.
    pub fn max_buffer_bytes(&self) -> usize {
        let limit = self.totals.limit.load(Ordering::Relaxed);
        (limit / 4 * 3).max(limit.min(SMALL_BUFFER_BYTES))
    }

    /// Returns whether little more than the part that is left to small buffers is free.
    pub fn is_nearly_exhausted(&self) -> bool {
        self.used() > self.totals.limit.load(Ordering::Relaxed) / 8 * 5
    }

    /// Returns an empty buffer for a body of at most `max_bytes`.
    pub fn buffer(&self, max_bytes: usize) -> Buffer {
        Buffer { storage: Storage::Small(Vec::new()), max_bytes, charge: self.charge() }
    }

    /// Returns a charge of zero bytes.
    pub fn charge(&self) -> Charge {
        Charge { account: self.clone(), bytes: 0 }
    }

    /// Takes `more` bytes for a buffer that will have `total`.
    fn take(&self, more: usize, total: usize) -> Result<(), Error> {
        let limit = match total <= SMALL_BUFFER_BYTES {
            true => self.totals.limit.load(Ordering::Relaxed),
            false => self.max_buffer_bytes(),
        };
        let taken = self.totals.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            used.checked_add(more).filter(|used| *used <= limit)
        });
        taken.map(drop).map_err(|_| {
            metrics::counter!("hornbeamloom_buffers_refused_total").increment(1);
            connections::count("memory");
            Error::Exhausted
        })
    }
}

/// Memory taken from an account, which is given back on drop.
#[derive(Debug)]
pub struct Charge {
    account: Account,
    bytes: usize,
}

impl Charge {
    /// Changes the charge to `bytes`.
    ///
    /// # Errors
    ///
    /// [`Error::Exhausted`] if the account does not have the difference; the charge is unchanged.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Error> {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.account.take(more, bytes)?,
            None => {
                self.account.totals.used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            }
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Charge {
    /// Changes the charge to `bytes` whether or not the account has them, for memory that is bounded
    /// by other means and whose owner must go on. New buffers are refused the earlier for it.
    pub fn set(&mut self, bytes: usize) {
        let used = &self.account.totals.used;
        match bytes.checked_sub(self.bytes) {
            Some(more) => used.fetch_add(more, Ordering::Relaxed),
            None => used.fetch_sub(self.bytes - bytes, Ordering::Relaxed),
        };
        self.bytes = bytes;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.account.totals.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The bytes of a buffer.
#[derive(Debug)]
enum Storage {
    /// Up to [`SMALL_BUFFER_BYTES`], on the heap.
    Small(Vec<u8>),
    /// Longer ones have a mapping of their own for the longest body admitted, of which the system
    /// provides the pages that were written. Buffers of this size that grow on the heap leave it
    /// fragmented: the resident memory was 2.5 times the account.
    Mapped { pages: MmapMut, length: usize },
}

impl Storage {
    fn as_slice(&self) -> &[u8] {
        match self {
            Storage::Small(bytes) => bytes,
            Storage::Mapped { pages, length } => &pages[..*length],
        }
    }
}

/// A body that is received in pieces of any size and kept in one allocation.
#[derive(Debug)]
pub struct Buffer {
    storage: Storage,
    max_bytes: usize,
    charge: Charge,
}

impl Buffer {
    /// Appends a piece.
    ///
    /// # Errors
    ///
    /// The body is too long or the account is exhausted; nothing is appended then.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), Error> {
        let held = self.storage.as_slice().len();
        let needed = held + piece.len();
        self.check_length(needed)?;
        if needed > self.charge.bytes {
            self.charge.resize(charged_bytes(needed, self.max_bytes))?;
        }
        if let (Storage::Small(bytes), true) = (&self.storage, needed > SMALL_BUFFER_BYTES) {
            let mut pages = MmapMut::map_anon(self.max_bytes).map_err(|_| Error::Exhausted)?;
            pages[..held].copy_from_slice(bytes);
            self.storage = Storage::Mapped { pages, length: held };
        }
        match &mut self.storage {
            Storage::Small(bytes) => {
                bytes.reserve_exact(self.charge.bytes.max(needed) - held);
                bytes.extend_from_slice(piece);
            }
            Storage::Mapped { pages, length } => {
                pages[held..needed].copy_from_slice(piece);
                *length = needed;
            }
        }
        Ok(())
    }

    /// Checks a length in bytes that the body is known to reach.
    ///
    /// # Errors
    ///
    /// [`Error::TooLong`] if it exceeds the limit of this body.
    pub fn check_length(&self, length: usize) -> Result<(), Error> {
        match length <= self.max_bytes {
            true => Ok(()),
            false => Err(Error::TooLong(self.max_bytes)),
        }
    }

    /// Returns the body, which is charged until its last clone is dropped.
    pub fn freeze(mut self) -> Bytes {
        if let Storage::Small(bytes) = &mut self.storage {
            bytes.shrink_to_fit();
        }
        // A smaller charge is always granted.
        let _ = self.charge.resize(self.storage.as_slice().len());
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        self.storage.as_slice()
    }
}

/// The bytes charged for a buffer that needs `needed`: small ones double, long ones grow by steps.
fn charged_bytes(needed: usize, max_bytes: usize) -> usize {
    let bytes = match needed <= SMALL_BUFFER_BYTES {
        true => needed.next_power_of_two(),
        false => needed.next_multiple_of(STEP_BYTES),
    };
    bytes.min(max_bytes)
}
