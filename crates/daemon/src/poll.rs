//! Reports and cache events, read when the kernel asks for them.

use std::collections::hash_map::Entry;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::map::Map;
use hornbeamloom_kernel::resource::Protocol;
use hornbeamloom_kernel::target::{CacheBatch, Report, Silence};
use hornbeamloom_wire::report;
use tokio::time::Instant;

use crate::adapter::Context;
use crate::control::Input;
use crate::http::{self, Fault};

/// Longest wait for a report or a batch of cache events.
const DEADLINE: Duration = Duration::from_secs(1);

/// Time between two reads of one engine's cache events.
const CACHE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest report or batch, in bytes.
const ANSWER_BYTES: usize = 1024 * 1024;

/// What is remembered of a target between two polls.
#[derive(Debug, Clone, Copy, Default)]
struct Memory {
    is_busy: bool,
    cache_next: u64,
    cache_read: Option<Instant>,
    start_id: u64,
}

/// Reads reports; at most one poll of a target runs at a time.
#[derive(Debug, Clone)]
pub(crate) struct Poller {
    context: Context,
    client: reqwest::Client,
    targets: Arc<Mutex<Map<Name, Memory>>>,
}

impl Poller {
    pub(crate) fn new(context: &Context, client: &reqwest::Client) -> Poller {
        Poller { context: context.clone(), client: client.clone(), targets: Arc::default() }
    }

    /// Polls a target in a task of its own; skips it while the last poll still runs.
    pub(crate) fn start(&self, target: Name, address: String) {
        let memory = {
            let mut targets = self.targets.lock().expect("no holder of the lock panics");
            self.drop_removed(&mut targets);
            match targets.entry(target.clone()) {
                Entry::Occupied(entry) if entry.get().is_busy => return,
                Entry::Occupied(mut entry) => {
                    entry.get_mut().is_busy = true;
                    *entry.get()
                }
                Entry::Vacant(entry) => {
                    *entry.insert(Memory { is_busy: true, ..Memory::default() })
                }
            }
        };
        let poller = self.clone();
        tokio::spawn(async move {
            let memory = poller.poll(&target, &address, memory).await;
            let mut targets = poller.targets.lock().expect("no holder of the lock panics");
            targets.insert(target, memory);
        });
    }

    /// Forgets targets whose resources are gone, once that is worth a look.
    fn drop_removed(&self, targets: &mut Map<Name, Memory>) {
        let intent = self.context.intent.borrow();
        if targets.len() > 2 * intent.targets().len() + 16 {
            targets.retain(|name, memory| memory.is_busy || intent.target(name).is_some());
        }
    }

    async fn poll(&self, target: &Name, address: &str, mut memory: Memory) -> Memory {
        memory.is_busy = false;
        let report = self.report(address).await;
        match &report {
            // A restarted engine counts its cache events from 0 again.
            Ok(report) if report.start_id != memory.start_id => {
                memory.start_id = report.start_id;
                memory.cache_next = 0;
            }
            Ok(_) => {}
            Err(silence) => {
                let cause = match silence {
                    Silence::Refused => "refused",
                    Silence::Timeout => "timeout",
                    Silence::Malformed => "malformed",
                };
                metrics::counter!("hornbeamloom_reports_missed_total", "cause" => cause)
                    .increment(1);
            }
        }
        let has_report = report.is_ok();
        self.context.control.tell(Input::Report(target.clone(), report));
        let is_due = memory.cache_read.is_none_or(|read| read.elapsed() >= CACHE_INTERVAL);
        if has_report && is_due && self.is_engine(target) {
            memory.cache_read = Some(Instant::now());
            if let Some(batch) = self.cache(address, memory.cache_next).await {
                memory.cache_next = batch.first + (batch.stored.len() + batch.evicted.len()) as u64;
                self.context.control.tell(Input::Cache(target.clone(), batch));
            }
        }
        memory
    }

    fn is_engine(&self, target: &str) -> bool {
        let intent = self.context.intent.borrow();
        let service = intent.target(target).map(|target| &target.service);
        service
            .and_then(|service| intent.service(service))
            .is_some_and(|service| service.protocol == Protocol::Model)
    }

    async fn report(&self, address: &str) -> Result<Report, Silence> {
        let body = self.get(format!("http://{address}/metrics")).await?;
        let text = std::str::from_utf8(&body).map_err(|_| Silence::Malformed)?;
        report::read(text).map_err(|_| Silence::Malformed)
    }

    async fn cache(&self, address: &str, next: u64) -> Option<CacheBatch> {
        let url = format!("http://{address}/v1/cache_events?after={next}");
        let body = self.get(url).await.ok()?;
        match report::read_cache(&body) {
            Ok(batch) => Some(batch),
            Err(_) => {
                metrics::counter!("hornbeamloom_ignored_total", "input" => "cache_batch")
                    .increment(1);
                None
            }
        }
    }

    /// Reads one answer within the deadline.
    async fn get(&self, url: String) -> Result<Bytes, Silence> {
        let read = async {
            let response = http::send(self.client.get(url), Bytes::new(), DEADLINE, || {}).await?;
            match response.status().is_success() {
                // A head came, so the process lives even if the body is cut short.
                true => {
                    http::body(response, ANSWER_BYTES, DEADLINE).await.map_err(|_| Fault::TooLong)
                }
                false => Err(Fault::TooLong),
            }
        };
        match tokio::time::timeout(DEADLINE, read).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(Fault::Refused)) => Err(Silence::Refused),
            // Reset by the host: the process that was connected is gone.
            Ok(Err(Fault::Broken)) => Err(Silence::Refused),
            Ok(Err(Fault::TooLong | Fault::Crossed)) => Err(Silence::Malformed),
            Ok(Err(Fault::Unsent | Fault::Silent)) | Err(_) => Err(Silence::Timeout),
        }
    }
}
