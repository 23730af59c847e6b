//! Fetches reports and cache events of targets when the kernel asks for them.

use std::collections::hash_map::Entry;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::map::Map;
use hornbeamloom_kernel::resource::Protocol;
use hornbeamloom_kernel::target::{CacheBatch, PollError, Report};
use hornbeamloom_wire::report;
use tokio::time::Instant;

use crate::adapter::Context;
use crate::control::Input;
use crate::http::{self, ExchangeError};

/// Time limit for a report or a batch of cache events.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum time between two reads of one engine's cache events.
const CACHE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum size of a report or batch, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// State kept for a target between two polls.
#[derive(Debug, Clone, Copy, Default)]
struct PollState {
    is_in_flight: bool,
    next_cache_event: u64,
    cache_polled_at: Option<Instant>,
    start_id: u64,
}

/// Polls targets; at most one poll of each target runs at a time.
#[derive(Debug, Clone)]
pub(crate) struct Poller {
    context: Context,
    client: reqwest::Client,
    states: Arc<Mutex<Map<Name, PollState>>>,
}

impl Poller {
    pub(crate) fn new(context: &Context, client: &reqwest::Client) -> Poller {
        Poller { context: context.clone(), client: client.clone(), states: Arc::default() }
    }

    /// Polls a target in a separate task, unless its previous poll is still running.
    pub(crate) fn spawn_poll(&self, target: Name, address: String) {
        let state = {
            let mut states = self.states.lock().expect("no holder of the lock panics");
            self.evict_removed_targets(&mut states);
            match states.entry(target.clone()) {
                Entry::Occupied(entry) if entry.get().is_in_flight => return,
                Entry::Occupied(mut entry) => {
                    entry.get_mut().is_in_flight = true;
                    *entry.get()
                }
                Entry::Vacant(entry) => {
                    *entry.insert(PollState { is_in_flight: true, ..PollState::default() })
                }
            }
        };
        let poller = self.clone();
        tokio::spawn(async move {
            let state = poller.poll(&target, &address, state).await;
            let mut states = poller.states.lock().expect("no holder of the lock panics");
            states.insert(target, state);
        });
    }

    /// Drops the state of removed targets, once enough of it may have accumulated.
    fn evict_removed_targets(&self, states: &mut Map<Name, PollState>) {
        let intent = self.context.intent.get();
        if states.len() > 2 * intent.targets().len() + 16 {
            states.retain(|name, state| state.is_in_flight || intent.target(name).is_some());
        }
    }

    async fn poll(&self, target: &Name, address: &str, mut state: PollState) -> PollState {
        state.is_in_flight = false;
        let report = self.fetch_report(address).await;
        match &report {
            // A restarted engine counts its cache events from 0 again.
            Ok(report) if report.start_id != state.start_id => {
                state.start_id = report.start_id;
                state.next_cache_event = 0;
            }
            Ok(_) => {}
            Err(silence) => {
                let cause = match silence {
                    PollError::Refused => "refused",
                    PollError::Timeout => "timeout",
                    PollError::Malformed => "malformed",
                };
                metrics::counter!("hornbeamloom_reports_missed_total", "cause" => cause)
                    .increment(1);
            }
        }
        let has_report = report.is_ok();
        self.context.control.tell(Input::Report(target.clone(), report));
        let is_cache_due =
            state.cache_polled_at.is_none_or(|read| read.elapsed() >= CACHE_POLL_INTERVAL);
        if has_report && is_cache_due && self.is_engine(target) {
            state.cache_polled_at = Some(Instant::now());
            if let Some(batch) = self.fetch_cache_events(address, state.next_cache_event).await {
                state.next_cache_event =
                    batch.first + (batch.stored.len() + batch.evicted.len()) as u64;
                self.context.control.tell(Input::CacheEvents(target.clone(), batch));
            }
        }
        state
    }

    fn is_engine(&self, target: &str) -> bool {
        let intent = self.context.intent.get();
        let service = intent.target(target).map(|target| &target.service);
        service
            .and_then(|service| intent.service(service))
            .is_some_and(|service| service.protocol == Protocol::Model)
    }

    async fn fetch_report(&self, address: &str) -> Result<Report, PollError> {
        let body = self.get(format!("http://{address}/metrics")).await?;
        let text = std::str::from_utf8(&body).map_err(|_| PollError::Malformed)?;
        report::parse_report(text).map_err(|_| PollError::Malformed)
    }

    async fn fetch_cache_events(&self, address: &str, next: u64) -> Option<CacheBatch> {
        let url = format!("http://{address}/v1/cache_events?after={next}");
        let body = self.get(url).await.ok()?;
        match report::parse_cache_batch(&body) {
            Ok(batch) => Some(batch),
            Err(_) => {
                metrics::counter!("hornbeamloom_ignored_total", "input" => "cache_batch")
                    .increment(1);
                None
            }
        }
    }

    /// Reads one response within the time limit.
    async fn get(&self, url: String) -> Result<Bytes, PollError> {
        let read = async {
            let response =
                http::send(self.client.get(url), Bytes::new(), POLL_TIMEOUT, || {}).await?;
            match response.status().is_success() {
                // The head arrived, so the process is alive even if the body is truncated.
                true => {
                    let buffer = self.context.memory.buffer(MAX_RESPONSE_BYTES);
                    let body = http::read_body(response, buffer, POLL_TIMEOUT).await;
                    body.map_err(|_| ExchangeError::TooLarge)
                }
                false => Err(ExchangeError::TooLarge),
            }
        };
        match tokio::time::timeout(POLL_TIMEOUT, read).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(ExchangeError::ConnectionRefused)) => Err(PollError::Refused),
            // The host reset the connection, so the process that accepted it is gone.
            Ok(Err(ExchangeError::Broken)) => Err(PollError::Refused),
            Ok(Err(ExchangeError::TooLarge | ExchangeError::RequestIdMismatch)) => {
                Err(PollError::Malformed)
            }
            Ok(Err(ExchangeError::Unsent | ExchangeError::TimedOut)) | Err(_) => {
                Err(PollError::Timeout)
            }
        }
    }
}
