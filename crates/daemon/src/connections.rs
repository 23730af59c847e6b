//! The inbound connections of the process at all ports, and the limits that apply to them.

use std::future::Future;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hornbeamloom_kernel::map::Map;
use nix::sys::resource::{getrlimit, Resource};
use tokio::sync::Notify;

use crate::client_limits::{self, Phase, Terms, View};
use crate::published;
use crate::settings::{Limits, Settings};

/// Interval between two checks of a connection's progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Descriptors assumed if the system does not state their limit.
const ASSUMED_DESCRIPTORS: u64 = 1_024;

/// A port of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// Callers.
    Callers,
    /// The readiness probe, where it has a port of its own.
    Readiness,
    /// Operators, and the collector of metrics.
    Operators,
    /// Other VMs.
    Peers,
}

#[derive(Debug)]
struct Entry {
    port: Port,
    address: IpAddr,
    meter: Arc<Meter>,
    /// Whether it has been asked to close.
    is_closing: bool,
}

#[derive(Debug, Default)]
struct Table {
    entries: Map<u64, Entry>,
    next_key: u64,
}

impl Table {
    fn close(&mut self, key: u64) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.is_closing = true;
            entry.meter.close.notify_one();
        }
    }
}

/// The open connections of the process. Clones share them.
#[derive(Debug, Clone)]
pub struct Connections {
    settings: published::Value<Arc<Settings>>,
    descriptors: u64,
    table: Arc<Mutex<Table>>,
}

/// Counts a client that met a limit.
pub fn count(reason: &'static str) {
    metrics::counter!("hornbeamloom_client_limits_total", "reason" => reason).increment(1);
}

/// The time limits of settings, for a port without an idle time limit.
pub fn terms(limits: &Limits) -> Terms {
    let millis = |seconds: f64| Duration::from_secs_f64(seconds).as_millis() as u64;
    Terms {
        idle_ms: None,
        head_ms: millis(limits.header_s),
        progress_ms: millis(limits.progress_s),
        bytes_per_s: limits.progress_bytes_per_s,
    }
}

impl Connections {
    /// Creates an empty set under the limits of `settings` and of the process.
    pub fn new(settings: published::Value<Arc<Settings>>) -> Connections {
        let descriptors = getrlimit(Resource::RLIMIT_NOFILE);
        let descriptors = descriptors.map_or(ASSUMED_DESCRIPTORS, |(soft, _)| soft);
        Connections { settings, descriptors, table: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits an accepted connection, after closing a less useful one if there are too many.
    ///
    /// Returns `None` if it has to be closed.
    pub fn admit(&self, port: Port, address: IpAddr) -> Option<Admitted> {
        let limits = self.settings.get().limits.clone();
        let most = limits.open_connections.unwrap_or_else(|| {
            client_limits::default_connections(self.descriptors, limits.account_bytes() as u64)
        });
        let mut table = self.lock();
        let (mut all, mut at_port, mut of_address, mut closing) = (0, 0, 0, 0);
        for entry in table.entries.values() {
            closing += usize::from(entry.is_closing);
            all += usize::from(!entry.is_closing);
            at_port += usize::from(!entry.is_closing && entry.port == port);
            of_address += usize::from(entry.address == address);
        }
        if limits.address_connections.is_some_and(|limit| of_address >= limit) {
            count("address_connections");
            return None;
        }
        let is_port_full = at_port >= client_limits::port_share(most);
        if is_port_full || all >= most {
            // Closed connections keep their descriptors until their tasks have run.
            let may_close = closing <= most / 8;
            let candidates = table.entries.iter().filter(|(_, entry)| {
                may_close && !entry.is_closing && (!is_port_full || entry.port == port)
            });
            let views: Vec<_> = candidates.map(|(key, entry)| (*key, entry.meter.view())).collect();
            let least_useful = client_limits::least_useful(views.iter().copied(), &terms(&limits));
            let key = least_useful.or_else(|| client_limits::last_resort(views.into_iter()));
            let Some(key) = key else {
                count("open_connections");
                return None;
            };
            table.close(key);
        }
        let key = table.next_key;
        table.next_key += 1;
        let meter = Arc::new(Meter::new());
        let entry = Entry { port, address, meter: meter.clone(), is_closing: false };
        table.entries.insert(key, entry);
        Some(Admitted { connections: self.clone(), key, meter })
    }
}

impl Connections {
    /// Closes the connection whose body has been arriving most slowly, if one is slow, so that its
    /// memory becomes free for others.
    pub fn close_slow_body(&self) {
        let terms = terms(&self.settings.get().limits);
        let mut table = self.lock();
        let bodies = table.entries.iter().filter(|(_, entry)| !entry.is_closing);
        let views = bodies
            .map(|(key, entry)| (*key, entry.meter.view()))
            .filter(|(_, view)| view.phase == Phase::Body);
        if let Some(key) = client_limits::least_useful(views, &terms) {
            table.close(key);
        }
    }
}

/// An open connection, which counts until this is dropped.
#[derive(Debug)]
pub struct Admitted {
    connections: Connections,
    key: u64,
    /// What is known of its progress.
    pub meter: Arc<Meter>,
}

impl Admitted {
    /// Runs the work on the connection until it ends, or until the connection has to be closed
    /// because of the time limits `terms` or to make room for another.
    pub async fn run<T>(&self, terms: &Terms, work: impl Future<Output = T>) -> Option<T> {
        let overdue = async {
            loop {
                tokio::time::sleep(CHECK_INTERVAL).await;
                if let Some(reason) = self.meter.check(terms) {
                    return reason;
                }
            }
        };
        let reason = tokio::select! {
            biased;
            result = work => return Some(result),
            reason = overdue => reason,
            () = self.meter.close.notified() => "replaced",
        };
        count(reason);
        log::debug!("connection of a client closed: reason={reason} {:?}", self.meter.view());
        None
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.connections.lock().entries.remove(&self.key);
    }
}

/// The progress of one connection, recorded by its reads, writes and requests.
#[derive(Debug)]
pub struct Meter {
    state: Mutex<State>,
    close: Notify,
}

#[derive(Debug)]
struct State {
    has_request: bool,
    is_body_open: bool,
    is_head_begun: bool,
    is_unflushed: bool,
    is_write_blocked: bool,
    phase: Phase,
    phase_since: Instant,
    last_byte: Instant,
    period_since: Instant,
    period_bytes: u64,
}

impl State {
    /// Enters the phase that follows from the flags.
    fn update(&mut self) {
        let phase = match (self.has_request, self.is_body_open) {
            _ if self.is_write_blocked => Phase::Response,
            (true, true) => Phase::Body,
            (true, false) => Phase::Work,
            (false, _) if self.is_unflushed => Phase::Work,
            (false, _) if self.is_head_begun => Phase::Head,
            (false, _) => Phase::Idle,
        };
        if phase != self.phase {
            let now = Instant::now();
            self.phase = phase;
            self.phase_since = now;
            self.restart_period(now);
        }
    }

    fn restart_period(&mut self, now: Instant) {
        self.period_since = now;
        self.period_bytes = 0;
    }

    fn record_bytes(&mut self, bytes: usize) {
        self.last_byte = Instant::now();
        self.period_bytes += bytes as u64;
    }

    fn view(&self) -> View {
        let millis = |since: Instant| since.elapsed().as_millis() as u64;
        View {
            phase: self.phase,
            phase_ms: millis(self.phase_since),
            quiet_ms: millis(self.last_byte),
            period_ms: millis(self.period_since),
            period_bytes: self.period_bytes,
        }
    }
}

impl Meter {
    fn new() -> Meter {
        let now = Instant::now();
        let state = State {
            has_request: false,
            is_body_open: false,
            is_head_begun: false,
            is_unflushed: false,
            is_write_blocked: false,
            phase: Phase::Idle,
            phase_since: now,
            last_byte: now,
            period_since: now,
            period_bytes: 0,
        };
        Meter { state: Mutex::new(state), close: Notify::new() }
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state);
        state.update();
    }

    fn view(&self) -> View {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).view()
    }

    /// Checks the time limits, and starts a new period when one has ended.
    fn check(&self, terms: &Terms) -> Option<&'static str> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let view = state.view();
        if view.period_ms >= terms.progress_ms {
            state.restart_period(Instant::now());
        }
        client_limits::overdue(&view, terms)
    }

    /// Records bytes that arrived.
    pub(crate) fn record_read(&self, bytes: usize) {
        self.change(|state| {
            state.is_head_begun |= !state.has_request;
            state.record_bytes(bytes);
        });
    }

    /// Records bytes that the client has taken.
    pub(crate) fn record_written(&self, bytes: usize) {
        self.change(|state| {
            state.is_unflushed = true;
            state.record_bytes(bytes);
        });
    }

    /// Records that the client takes no more for now.
    pub(crate) fn record_write_blocked(&self) {
        self.change(|state| state.is_write_blocked = true);
    }

    /// Records that the client has taken all that there was.
    pub(crate) fn record_flushed(&self) {
        self.change(|state| {
            state.is_unflushed = false;
            state.is_write_blocked = false;
        });
    }

    /// Records the start of a request, whose body may still have to arrive.
    pub fn begin_request(&self, is_body_open: bool) {
        self.change(|state| {
            state.has_request = true;
            state.is_body_open = is_body_open;
            state.is_head_begun = false;
        });
    }

    /// Records that a body has arrived, or is not read any further.
    pub(crate) fn end_body(&self) {
        self.change(|state| state.is_body_open = false);
    }

    /// Records that the response to a request has been handed over to the connection.
    pub(crate) fn end_request(&self) {
        self.change(|state| {
            state.has_request = false;
            state.is_body_open = false;
        });
    }
}
