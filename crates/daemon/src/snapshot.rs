//! A copy of the resources in the object store, for a VM that starts while the table is down.

use std::time::Duration;

use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::peer::Delta;

use crate::adapter::Context;
use crate::control::Input;
use crate::{jitter, platform, table};

/// Where the snapshot stands in the object store.
const OBJECT: &str = "hornbeamloom/resources.json";
/// Pause after a change before the snapshot is written; changes within it share one write.
const SETTLE: Duration = Duration::from_secs(2);
/// Longest time between two checks whether this VM has to write.
const RECHECK: Duration = Duration::from_secs(60);
/// Pause after a write that failed.
const RETRY: Duration = Duration::from_secs(10);

/// The object store.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    http: reqwest::Client,
    url: String,
}

/// A snapshot as it was read.
struct Snapshot {
    tag: Option<String>,
    delta: Option<Delta>,
}

impl Store {
    pub(crate) fn new(http: reqwest::Client, base: &str) -> Store {
        Store { http, url: format!("{}/{OBJECT}", base.trim_end_matches('/')) }
    }

    /// Reads the snapshot; `None` if the store cannot be reached.
    async fn read(&self) -> Option<Snapshot> {
        let response = self.http.get(&self.url).send().await.ok()?;
        if response.status() == reqwest::StatusCode::NOT_FOUND {
            let (tag, delta) = (None, None);
            return Some(Snapshot { tag, delta });
        }
        let response = response.error_for_status().ok()?;
        let tag = response.headers().get("etag");
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(str::to_owned);
        let body = table::collect(response).await.ok()?;
        let delta: Option<Delta> = serde_json::from_slice(&body).ok();
        if delta.is_none() {
            metrics::counter!("hornbeamloom_ignored_total", "input" => "snapshot").increment(1);
        }
        Some(Snapshot { tag, delta })
    }

    /// Writes the snapshot if nobody else has written since it was read.
    async fn write(&self, delta: &Delta, tag: Option<&str>) -> bool {
        let Ok(body) = serde_json::to_vec(delta) else {
            return false;
        };
        let request = self.http.put(&self.url).body(body);
        let request = match tag {
            Some(tag) => request.header("if-match", tag),
            None => request.header("if-none-match", "*"),
        };
        let response = request.send().await;
        response.is_ok_and(|response| response.status().is_success())
    }
}

/// Applies the snapshot if this VM has no resources at all.
pub(crate) async fn recover(context: &Context, store: &Store) {
    if platform::revision(context) > Revision(0) {
        return;
    }
    let delta = store.read().await.and_then(|snapshot| snapshot.delta);
    // A snapshot is a whole set by construction; anything else is damaged.
    if let Some(delta) = delta.filter(|delta| delta.complete) {
        log::info!("recovered=snapshot revision={}", delta.to.0);
        context.control.tell(Input::Changes(delta));
    }
}

/// Writes a snapshot after changes, on the VM that is first in its zone.
pub(crate) async fn keep(context: Context, store: Store) {
    let mut intent = context.intent.clone();
    let mut written = Revision(0);
    loop {
        // The time-out covers a writer that left before it wrote: another VM is first then.
        if let Ok(Err(_)) = tokio::time::timeout(RECHECK, intent.changed()).await {
            return;
        }
        tokio::time::sleep(jitter::around(SETTLE)).await;
        while platform::revision(&context) > written && platform::is_first(&context).await {
            match write(&context, &store).await {
                Some(revision) => written = revision,
                None => tokio::time::sleep(jitter::around(RETRY)).await,
            }
        }
    }
}

/// Writes the resources in force; gives the revision that the store then has at least.
async fn write(context: &Context, store: &Store) -> Option<Revision> {
    let delta = {
        let intent = context.intent.borrow();
        Delta {
            from: Revision(0),
            to: intent.revision,
            complete: true,
            records: intent.records().cloned().collect(),
        }
    };
    let present = store.read().await?;
    if let Some(present) = present.delta.filter(|present| present.to >= delta.to) {
        return Some(present.to);
    }
    let is_written = store.write(&delta, present.tag.as_deref()).await;
    is_written.then_some(delta.to)
}
