//! Resource watches: a bounded log of change events, and streams that follow it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::Stream;
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::intent::{Intent, Source};
use hornbeamloom_kernel::map::Map;
use hornbeamloom_kernel::resource::{Key, Kind, Record};
use hornbeamloom_wire::manifest;
use serde_json::{json, Value};
use tokio::sync::watch;

use crate::adapter::ServerShutdown;
use crate::published;

/// Number of events retained for watches that resume.
const MAX_RETAINED_EVENTS: usize = 1_024;
/// Interval between bookmarks on an idle watch; they also show that the stream is alive.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(5);

/// The type of a change event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    Added,
    Modified,
    Deleted,
}

impl Change {
    fn as_str(self) -> &'static str {
        match self {
            Change::Added => "ADDED",
            Change::Modified => "MODIFIED",
            Change::Deleted => "DELETED",
        }
    }
}

#[derive(Debug, Clone)]
struct Event {
    change: Change,
    record: Arc<Record>,
}

impl Event {
    fn new(change: Change, record: Record) -> Event {
        let record = Arc::new(record);
        Event { change, record }
    }
}

fn index_by_key(intent: &Intent) -> Map<&Key, &Record> {
    let records = intent.records();
    records.map(|record| (&record.key, record)).collect()
}

/// The changes that came into force on this VM, newest last.
#[derive(Debug, Default)]
struct EventLog {
    events: VecDeque<Event>,
    /// The highest version that may be missing: a watch that starts before it is too old.
    compacted_revision: Revision,
    /// The revision up to which `events` is complete.
    revision: Revision,
}

impl EventLog {
    /// Appends the differences between two states of the resources.
    fn record_diff(&mut self, old: &Intent, new: &Intent) {
        let before = index_by_key(old);
        let after = index_by_key(new);
        let mut changed: Vec<Event> = new
            .records()
            .filter_map(|record| {
                let known = before.get(&record.key);
                let is_newer = known.is_none_or(|known| known.version < record.version);
                let existed = known.is_some_and(|known| known.spec.is_some());
                let change = match (&record.spec, existed) {
                    (None, _) => Change::Deleted,
                    (Some(_), true) => Change::Modified,
                    (Some(_), false) => Change::Added,
                };
                is_newer.then(|| Event::new(change, record.clone()))
            })
            .collect();
        // A complete set omits deleted resources instead of including tombstones.
        let removed = old.records().filter(|record| {
            let is_gone = !after.contains_key(&record.key);
            is_gone && record.spec.is_some()
        });
        changed.extend(removed.map(|record| {
            let tombstone = Record { version: new.revision, spec: None, ..record.clone() };
            Event::new(Change::Deleted, tombstone)
        }));
        changed.sort_by_key(|event| event.record.version);
        self.events.extend(changed);
        if old.revision == Revision(0) && new.source == Source::Peer {
            // The peer may no longer have the tombstones of earlier deletions.
            self.compacted_revision = new.revision;
        }
        while self.events.len() > MAX_RETAINED_EVENTS {
            let dropped = self.events.pop_front();
            let version = dropped.map(|event| event.record.version);
            self.compacted_revision = self.compacted_revision.max(version.unwrap_or_default());
        }
        self.revision = new.revision;
    }

    fn events_after(&self, revision: Revision, kind: Kind) -> Vec<Event> {
        self.events
            .iter()
            .filter(|event| event.record.version > revision && event.record.key.kind == kind)
            .cloned()
            .collect()
    }
}

/// The event log shared by all watches of this VM.
#[derive(Debug, Clone)]
pub(crate) struct WatchCache {
    event_log: Arc<Mutex<EventLog>>,
    revisions: published::Value<Revision>,
    server_shutdown: ServerShutdown,
}

impl WatchCache {
    /// Spawns the task that records the changes of `intent`.
    pub(crate) fn start(
        intent: published::Value<Arc<Intent>>,
        server_shutdown: ServerShutdown,
    ) -> WatchCache {
        let event_log = Arc::new(Mutex::new(EventLog::default()));
        let (sender, revisions) = published::channel(Revision(0));
        let cache = WatchCache { event_log, revisions, server_shutdown };
        tokio::spawn(run_recorder(cache.clone(), intent, sender));
        cache
    }

    fn lock(&self) -> MutexGuard<'_, EventLog> {
        self.event_log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn run_recorder(
    cache: WatchCache,
    mut intent: published::Value<Arc<Intent>>,
    revisions: watch::Sender<Revision>,
) {
    let mut old = Arc::new(Intent::default());
    loop {
        let new = intent.get_and_update();
        cache.lock().record_diff(&old, &new);
        revisions.send_replace(new.revision);
        old = new;
        if intent.changed().await.is_err() {
            return;
        }
    }
}

/// The starting point of a watch.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Start {
    /// Start with the current state of all resources.
    Now,
    /// Start after a revision that the watcher already has.
    After(Revision),
}

/// The state of one watch.
struct Watcher {
    cache: WatchCache,
    kind: Kind,
    /// Revision up to which events have been sent.
    revision: Revision,
    /// Output to send first.
    initial: Option<String>,
    is_closed: bool,
}

/// Returns the output of a watch: JSON lines, until the client disconnects or the process exits.
///
/// The stream is pull-based, so a slow client occupies no memory for unsent events. Once it
/// has fallen behind the retained events, it receives a `too_old` error and the stream ends.
pub(crate) fn stream(
    cache: &WatchCache,
    intent: &Intent,
    kind: Kind,
    start: Start,
) -> impl Stream<Item = Result<String, std::convert::Infallible>> + Send + Sync + 'static {
    let watcher = match start {
        Start::Now => Watcher {
            cache: cache.clone(),
            kind,
            revision: intent.revision,
            initial: Some(initial_events(intent, kind)),
            is_closed: false,
        },
        Start::After(revision) => {
            Watcher { cache: cache.clone(), kind, revision, initial: None, is_closed: false }
        }
    };
    futures_util::stream::unfold(watcher, |mut watcher| async move {
        let text = watcher.next().await?;
        Some((Ok(text), watcher))
    })
}

fn initial_events(intent: &Intent, kind: Kind) -> String {
    let mut records: Vec<&Record> = intent
        .records()
        .filter(|record| record.key.kind == kind && record.spec.is_some())
        .collect();
    records.sort_by(|a, b| a.key.cmp(&b.key));
    let lines = records.iter().map(|record| encode_event(Change::Added, record));
    lines.collect::<String>() + &encode_bookmark(kind, intent.revision)
}

impl Watcher {
    async fn next(&mut self) -> Option<String> {
        if let Some(initial) = self.initial.take() {
            return Some(initial);
        }
        if self.is_closed {
            return None;
        }
        let mut revisions = self.cache.revisions.clone();
        // Marks the current revision as seen, so that a change during `take_events` is not missed.
        revisions.get_and_update();
        if let Some(text) = self.take_events() {
            return Some(text);
        }
        tokio::time::timeout(BOOKMARK_INTERVAL, self.wait_for_events(revisions))
            .await
            .unwrap_or_else(|_| Some(encode_bookmark(self.kind, self.revision)))
    }

    /// Waits for events; returns `None` when the process exits, so that open watches do not delay
    /// the shutdown.
    async fn wait_for_events(
        &mut self,
        mut revisions: published::Value<Revision>,
    ) -> Option<String> {
        loop {
            tokio::select! {
                changed = revisions.changed() => changed.ok()?,
                () = self.cache.server_shutdown.clone().requested() => return None,
            }
            if let Some(text) = self.take_events() {
                return Some(text);
            }
        }
    }

    /// Returns the encoded events since the last call, if any.
    fn take_events(&mut self) -> Option<String> {
        let (events, revision) = {
            let event_log = self.cache.lock();
            if self.revision < event_log.compacted_revision {
                self.is_closed = true;
                return Some(encode_too_old(event_log.compacted_revision));
            }
            (event_log.events_after(self.revision, self.kind), event_log.revision)
        };
        // The watcher may have a newer revision from another VM than is in force on this VM.
        self.revision = self.revision.max(revision);
        let lines = events.iter().map(|event| encode_event(event.change, &event.record));
        let text: String = lines.collect();
        (!text.is_empty()).then_some(text)
    }
}

fn encode_event(change: Change, record: &Record) -> String {
    encode_line(json!({"type": change.as_str(), "object": manifest::to_document(record)}))
}

fn encode_bookmark(kind: Kind, revision: Revision) -> String {
    let object = json!({"kind": kind, "metadata": {"resourceVersion": revision}});
    encode_line(json!({"type": "BOOKMARK", "object": object}))
}

fn encode_too_old(compacted_revision: Revision) -> String {
    encode_line(json!({"type": "ERROR", "object": {
        "code": 410,
        "reason": "too_old",
        "detail": format!("changes up to revision {} are no longer retained", compacted_revision.0),
    }}))
}

fn encode_line(value: Value) -> String {
    let mut text = value.to_string();
    text.push('\n');
    text
}
