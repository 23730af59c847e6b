//! A snapshot of the resources in the object store, for VMs that start while the table is down.

use std::time::Duration;

use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::peer::Delta;

use crate::adapter::Context;
use crate::control::Input;
use crate::{jitter, platform, table};

/// Key of the snapshot in the object store.
const OBJECT: &str = "hornbeamloom/resources.json";
/// Delay between a change and the write of the snapshot; changes within it share one write.
const WRITE_DELAY: Duration = Duration::from_secs(2);
/// Maximum interval between checks whether this VM has to write the snapshot.
const RECHECK_INTERVAL: Duration = Duration::from_secs(60);
/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_secs(10);

/// A client of the object store.
#[derive(Debug, Clone)]
pub(crate) struct ObjectStore {
    http: reqwest::Client,
    url: String,
}

/// The stored snapshot; `delta` is `None` if it is missing or damaged.
struct Snapshot {
    etag: Option<String>,
    delta: Option<Delta>,
}

impl ObjectStore {
    pub(crate) fn new(http: reqwest::Client, base: &str) -> ObjectStore {
        ObjectStore { http, url: format!("{}/{OBJECT}", base.trim_end_matches('/')) }
    }

    /// Reads the snapshot; returns `None` if the read fails.
    async fn read(&self) -> Option<Snapshot> {
        let response = self.http.get(&self.url).send().await.ok()?;
        if response.status() == reqwest::StatusCode::NOT_FOUND {
            let (etag, delta) = (None, None);
            return Some(Snapshot { etag, delta });
        }
        let response = response.error_for_status().ok()?;
        let etag = response.headers().get("etag");
        let etag = etag.and_then(|etag| etag.to_str().ok()).map(str::to_owned);
        let body = table::read_body(response).await.ok()?;
        let delta: Option<Delta> = serde_json::from_slice(&body).ok();
        if delta.is_none() {
            metrics::counter!("hornbeamloom_ignored_total", "input" => "snapshot").increment(1);
        }
        Some(Snapshot { etag, delta })
    }

    /// Writes the snapshot unless it has been modified since it was read; returns whether it did.
    async fn write_if_unchanged(&self, delta: &Delta, etag: Option<&str>) -> bool {
        let Ok(body) = serde_json::to_vec(delta) else {
            return false;
        };
        let request = self.http.put(&self.url).body(body);
        let request = match etag {
            Some(etag) => request.header("if-match", etag),
            None => request.header("if-none-match", "*"),
        };
        let response = request.send().await;
        response.is_ok_and(|response| response.status().is_success())
    }
}

/// Restores the snapshot if this VM has no resources in force.
pub(crate) async fn restore_if_empty(context: &Context, store: &ObjectStore) {
    if platform::current_revision(context) > Revision(0) {
        return;
    }
    let delta = store.read().await.and_then(|snapshot| snapshot.delta);
    // Snapshots are always written as complete sets; one that is not complete is damaged.
    if let Some(delta) = delta.filter(|delta| delta.complete) {
        log::info!("recovered=snapshot revision={}", delta.to.0);
        context.control.tell(Input::Changes(delta));
    }
}

/// Writes a snapshot after resource changes, on one VM per zone.
pub(crate) async fn run_writer(context: Context, store: ObjectStore) {
    let mut intent = context.intent.clone();
    let mut written = Revision(0);
    loop {
        // The periodic check covers a writer that left before it wrote: another VM takes over.
        if let Ok(Err(_)) = tokio::time::timeout(RECHECK_INTERVAL, intent.changed()).await {
            return;
        }
        tokio::time::sleep(jitter::around(WRITE_DELAY)).await;
        while platform::current_revision(&context) > written
            && platform::is_zone_leader(&context).await
        {
            match write_current(&context, &store).await {
                Some(revision) => written = revision,
                None => tokio::time::sleep(jitter::around(RETRY_DELAY)).await,
            }
        }
    }
}

/// Writes the resources in force; returns the revision that the stored snapshot has at least, or
/// `None` if the read or the write failed.
async fn write_current(context: &Context, store: &ObjectStore) -> Option<Revision> {
    let delta = {
        let intent = context.intent.get();
        Delta {
            from: Revision(0),
            to: intent.revision,
            sequence: 0,
            complete: true,
            records: intent.records().cloned().collect(),
        }
    };
    let existing = store.read().await?;
    if let Some(existing) = existing.delta.filter(|existing| existing.to >= delta.to) {
        return Some(existing.to);
    }
    let is_written = store.write_if_unchanged(&delta, existing.etag.as_deref()).await;
    is_written.then_some(delta.to)
}
