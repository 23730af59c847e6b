//! Watches of resources: a bounded record of changes, and streams that follow it.

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

use crate::edge::Exit;

/// Changes retained for watches that resume.
const EVENTS_MAX: usize = 1_024;
/// Time between two bookmarks, which also show that the stream is alive.
const BOOKMARK_EVERY: Duration = Duration::from_secs(5);

/// What happened to a resource.
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

fn by_key(intent: &Intent) -> Map<&Key, &Record> {
    let records = intent.records();
    records.map(|record| (&record.key, record)).collect()
}

/// The changes that came into force on this VM, newest last.
#[derive(Debug, Default)]
struct Ring {
    events: VecDeque<Event>,
    /// The highest version that was dropped: watches from before it are too old.
    floor: Revision,
    /// The revision up to which `events` is complete.
    revision: Revision,
}

impl Ring {
    /// Adds what differs between two states of the resources.
    fn advance(&mut self, old: &Intent, new: &Intent) {
        let before = by_key(old);
        let after = by_key(new);
        let mut changed: Vec<Event> = new
            .records()
            .filter_map(|record| {
                let known = before.get(&record.key);
                let is_news = known.is_none_or(|known| known.version < record.version);
                let existed = known.is_some_and(|known| known.spec.is_some());
                let change = match (&record.spec, existed) {
                    (None, _) => Change::Deleted,
                    (Some(_), true) => Change::Modified,
                    (Some(_), false) => Change::Added,
                };
                is_news.then(|| Event::new(change, record.clone()))
            })
            .collect();
        // A complete set leaves deleted resources out instead of carrying tombstones.
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
            // A peer may have forgotten deletions from before.
            self.floor = new.revision;
        }
        while self.events.len() > EVENTS_MAX {
            let dropped = self.events.pop_front();
            let version = dropped.map(|event| event.record.version);
            self.floor = self.floor.max(version.unwrap_or_default());
        }
        self.revision = new.revision;
    }

    fn after(&self, cursor: Revision, kind: Kind) -> Vec<Event> {
        self.events
            .iter()
            .filter(|event| event.record.version > cursor && event.record.key.kind == kind)
            .cloned()
            .collect()
    }
}

/// The record of changes, shared by all watches of this VM.
#[derive(Debug, Clone)]
pub(crate) struct Hub {
    ring: Arc<Mutex<Ring>>,
    moved: watch::Receiver<Revision>,
    exit: Exit,
}

impl Hub {
    /// Starts to record the changes of `intent`.
    pub(crate) fn start(intent: watch::Receiver<Arc<Intent>>, exit: Exit) -> Hub {
        let ring = Arc::new(Mutex::new(Ring::default()));
        let (sender, moved) = watch::channel(Revision(0));
        let hub = Hub { ring, moved, exit };
        tokio::spawn(record(hub.clone(), intent, sender));
        hub
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn record(
    hub: Hub,
    mut intent: watch::Receiver<Arc<Intent>>,
    moved: watch::Sender<Revision>,
) {
    let mut old = Arc::new(Intent::default());
    loop {
        let new = intent.borrow_and_update().clone();
        hub.lock().advance(&old, &new);
        moved.send_replace(new.revision);
        old = new;
        if intent.changed().await.is_err() {
            return;
        }
    }
}

/// Where a watch begins.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Start {
    /// With every resource as it is now.
    Now,
    /// After a revision that the watcher knows.
    After(Revision),
}

/// One watch between two pieces of its output.
struct Cursor {
    hub: Hub,
    kind: Kind,
    /// Revision up to which the watcher has been told.
    at: Revision,
    /// Text to send before anything else.
    first: Option<String>,
    is_over: bool,
}

/// The output of a watch: lines of JSON, for as long as the watcher listens.
///
/// The watcher pulls, so a slow one holds no memory here; it gets `too_old` once it has fallen
/// behind the retained changes.
pub(crate) fn stream(
    hub: &Hub,
    intent: &Intent,
    kind: Kind,
    start: Start,
) -> impl Stream<Item = Result<String, std::convert::Infallible>> + Send + Sync + 'static {
    let cursor = match start {
        Start::Now => Cursor {
            hub: hub.clone(),
            kind,
            at: intent.revision,
            first: Some(present(intent, kind)),
            is_over: false,
        },
        Start::After(at) => Cursor { hub: hub.clone(), kind, at, first: None, is_over: false },
    };
    futures_util::stream::unfold(cursor, |mut cursor| async move {
        let text = cursor.next().await?;
        Some((Ok(text), cursor))
    })
}

fn present(intent: &Intent, kind: Kind) -> String {
    let mut records: Vec<&Record> = intent
        .records()
        .filter(|record| record.key.kind == kind && record.spec.is_some())
        .collect();
    records.sort_by(|a, b| a.key.cmp(&b.key));
    let lines = records.iter().map(|record| line(Change::Added, record));
    lines.collect::<String>() + &bookmark(kind, intent.revision)
}

impl Cursor {
    async fn next(&mut self) -> Option<String> {
        if let Some(first) = self.first.take() {
            return Some(first);
        }
        if self.is_over {
            return None;
        }
        let mut moved = self.hub.moved.clone();
        // Marks the present revision as seen, so that a change during `advance` is noticed.
        moved.borrow_and_update();
        if let Some(text) = self.advance() {
            return Some(text);
        }
        tokio::time::timeout(BOOKMARK_EVERY, self.wait(moved))
            .await
            .unwrap_or_else(|_| Some(bookmark(self.kind, self.at)))
    }

    /// Waits for news; `None` when the process exits, so that no watch holds up its end.
    async fn wait(&mut self, mut moved: watch::Receiver<Revision>) -> Option<String> {
        loop {
            tokio::select! {
                changed = moved.changed() => changed.ok()?,
                () = self.hub.exit.clone().begun() => return None,
            }
            if let Some(text) = self.advance() {
                return Some(text);
            }
        }
    }

    /// Text for what is new, if anything is.
    fn advance(&mut self) -> Option<String> {
        let (events, revision) = {
            let ring = self.hub.lock();
            if self.at < ring.floor {
                self.is_over = true;
                return Some(too_old(ring.floor));
            }
            (ring.after(self.at, self.kind), ring.revision)
        };
        // A watcher may know a newer revision from another VM than is in force here.
        self.at = self.at.max(revision);
        let lines = events.iter().map(|event| line(event.change, &event.record));
        let text: String = lines.collect();
        (!text.is_empty()).then_some(text)
    }
}

fn line(change: Change, record: &Record) -> String {
    encode(json!({"type": change.as_str(), "object": manifest::to_document(record)}))
}

fn bookmark(kind: Kind, revision: Revision) -> String {
    let object = json!({"kind": kind, "metadata": {"resourceVersion": revision}});
    encode(json!({"type": "BOOKMARK", "object": object}))
}

fn too_old(floor: Revision) -> String {
    encode(json!({"type": "ERROR", "object": {
        "code": 410,
        "reason": "too_old",
        "detail": format!("changes up to revision {} are no longer retained", floor.0),
    }}))
}

fn encode(value: Value) -> String {
    let mut text = value.to_string();
    text.push('\n');
    text
}
