//! Decisions on connections of clients that do not behave: which are closed, and when.
//!
//! Plain functions over views, without I/O and without a clock of their own. The connections are kept
//! in [`crate::connections`].

/// Descriptors that connections of clients leave free on a VM with many, for connections to targets,
/// other VMs and the platform, and for files.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Memory per connection in bytes that the default number of connections reckons with: the read and
/// write buffers at their limit of 16 KiB each. The buffers for bodies are as large again.
const CONNECTION_BYTES: u64 = 32 << 10;
/// Number of connections that the default admits however small the buffers for bodies are.
const MIN_CONNECTIONS: u64 = 1_024;
/// Time after which a client that moves nothing, or less than the minimum rate, may be closed to make
/// room, in milliseconds. The time limits on progress are longer.
const SLOW_MS: u64 = 1_000;
/// Rate in bytes per second below which a client may be closed to make room for one that finds none
/// otherwise.
const CONTENDED_BYTES_PER_S: u64 = 32 << 10;
/// Time in milliseconds in which a client can send an ordinary request with a small body. Connections
/// that are closed sooner to make room serve nobody.
const FRESH_MS: u64 = 20;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No request is open, and none has begun to arrive.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A part of a body is missing.
    Body,
    /// The VM works on a request, or the client has taken all that there is of the response.
    Work,
    /// The client does not take what there is of a response.
    Response,
}

/// What is known of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// What it is doing.
    pub phase: Phase,
    /// Time since it began to do so, in milliseconds.
    pub phase_ms: u64,
    /// Time since it last moved a byte, in milliseconds.
    pub quiet_ms: u64,
    /// Time since the start of the current period, in milliseconds.
    pub period_ms: u64,
    /// Bytes moved in the current period.
    pub period_bytes: u64,
}

/// The time limits that apply to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Time without a request.
    pub idle_ms: Option<u64>,
    /// Time for the head of a request, from its first byte.
    pub head_ms: u64,
    /// Period over which progress is measured; also the time before it is first measured.
    pub progress_ms: u64,
    /// Minimum progress in bytes per second.
    pub bytes_per_s: u64,
}

/// Returns the default number of connections of a process with `descriptors` that buffers bodies in
/// `buffer_bytes`: each client's request may need a connection to a target as well.
///
/// ```
/// use hornbeamloom_daemon::client_limits::default_connections;
///
/// // The smallest VM, and one with few descriptors.
/// assert_eq!(default_connections(3_075, 24 << 20), 1_024);
/// assert_eq!(default_connections(256, 4 << 20), 96);
/// ```
pub fn default_connections(descriptors: u64, buffer_bytes: u64) -> usize {
    let reserved = RESERVED_DESCRIPTORS.min(descriptors / 4);
    let by_descriptors = (descriptors - reserved) / 2;
    let by_memory = MIN_CONNECTIONS.max(buffer_bytes / CONNECTION_BYTES);
    usize::try_from(by_descriptors.min(by_memory)).unwrap_or(usize::MAX).max(1)
}

/// Returns the number of connections that one port may have of `all`, so that a crowd at one port
/// leaves room at the others.
///
/// ```
/// assert_eq!(hornbeamloom_daemon::client_limits::port_share(96), 72);
/// ```
pub fn port_share(all: usize) -> usize {
    (all - all / 4).max(1)
}

/// Returns why a connection has to be closed, if it has.
///
/// ```
/// use hornbeamloom_daemon::client_limits::{overdue, Phase, Terms, View};
///
/// let terms = Terms { idle_ms: None, head_ms: 3_000, progress_ms: 10_000, bytes_per_s: 100 };
/// let view = View {
///     phase: Phase::Body, phase_ms: 15_000, quiet_ms: 10, period_ms: 10_000, period_bytes: 999,
/// };
/// assert_eq!(overdue(&view, &terms), Some("slow_body"));
/// assert_eq!(overdue(&View { period_bytes: 1_000, ..view }, &terms), None);
/// ```
pub fn overdue(view: &View, terms: &Terms) -> Option<&'static str> {
    let is_behind = view.period_ms >= terms.progress_ms && is_below_rate(view, terms);
    match view.phase {
        Phase::Idle if terms.idle_ms.is_some_and(|limit| view.phase_ms >= limit) => Some("idle"),
        Phase::Head if view.phase_ms >= terms.head_ms => Some("slow_head"),
        Phase::Body if is_behind => Some("slow_body"),
        Phase::Response if is_behind => Some("slow_reader"),
        _ => None,
    }
}

fn is_below_rate(view: &View, terms: &Terms) -> bool {
    view.period_bytes.saturating_mul(1_000) < terms.bytes_per_s.saturating_mul(view.period_ms)
}

/// Returns the key of the connection that is closed to make room for another: the longest idle one,
/// or else the slow one that has been quiet for longest.
///
/// ```
/// use hornbeamloom_daemon::client_limits::{least_useful, Phase, Terms, View};
///
/// let terms = Terms { idle_ms: None, head_ms: 3_000, progress_ms: 10_000, bytes_per_s: 100 };
/// let view = |phase, ms| View {
///     phase, phase_ms: ms, quiet_ms: ms, period_ms: ms, period_bytes: 0,
/// };
/// let slow = (1, view(Phase::Body, 9_000));
/// let active = (2, view(Phase::Work, 9_000));
/// let idle = (3, view(Phase::Idle, 20));
/// assert_eq!(least_useful([slow, active, idle].into_iter(), &terms), Some(3));
/// assert_eq!(least_useful([slow, active].into_iter(), &terms), Some(1));
/// assert_eq!(least_useful([active].into_iter(), &terms), None);
/// ```
pub fn least_useful<K>(views: impl Iterator<Item = (K, View)>, terms: &Terms) -> Option<K> {
    let candidates = views.filter_map(|(key, view)| Some((expendability(&view, terms)?, key)));
    candidates.max_by_key(|(rank, _)| *rank).map(|(_, key)| key)
}

/// Returns the key of the connection that is closed for a new one if none is of little use: the
/// longest of the bodies that arrive at a low rate, or else of the responses that are taken at one,
/// or else of the connections that have just been opened. Without it, a crowd just above the minimum
/// rate keeps everybody else out.
///
/// ```
/// use hornbeamloom_daemon::client_limits::{last_resort, Phase, View};
///
/// let view = |phase, ms, bytes| View {
///     phase, phase_ms: ms, quiet_ms: 10, period_ms: ms, period_bytes: bytes,
/// };
/// let upload = (1, view(Phase::Body, 4_000, 1_000_000));
/// let slow_upload = (2, view(Phase::Body, 2_000, 1_400));
/// let slow_reader = (3, view(Phase::Response, 3_000, 2_100));
/// assert_eq!(last_resort([upload, slow_upload, slow_reader].into_iter()), Some(2));
/// assert_eq!(last_resort([upload].into_iter()), None);
/// ```
pub fn last_resort<K>(views: impl Iterator<Item = (K, View)>) -> Option<K> {
    let ranked = views.filter_map(|(key, view)| {
        let is_low_rate = view.period_bytes.saturating_mul(1_000)
            < CONTENDED_BYTES_PER_S.saturating_mul(view.period_ms);
        let rank = match view.phase {
            // A request whose body is still arriving has not run.
            Phase::Body if is_low_rate && view.phase_ms >= FRESH_MS => 2,
            Phase::Response if is_low_rate && view.phase_ms >= SLOW_MS => 1,
            Phase::Idle | Phase::Head => 0,
            Phase::Body | Phase::Response | Phase::Work => return None,
        };
        Some(((rank, view.phase_ms), key))
    });
    ranked.max_by_key(|(rank, _)| *rank).map(|(_, key)| key)
}

/// How readily a connection is closed to make room; `None` if it is active.
fn expendability(view: &View, terms: &Terms) -> Option<(bool, u64)> {
    let is_slow = view.quiet_ms >= SLOW_MS || is_below_rate(view, terms);
    match view.phase {
        Phase::Idle | Phase::Head if view.phase_ms >= FRESH_MS => Some((true, view.phase_ms)),
        Phase::Body | Phase::Response if view.phase_ms >= SLOW_MS && is_slow => {
            Some((false, view.quiet_ms))
        }
        Phase::Idle | Phase::Head | Phase::Body | Phase::Response | Phase::Work => None,
    }
}
