//! Replication of the platform's tables within a zone.
//!
//! One VM of each zone, the reader, is selected by rendezvous hashing and reads the tables itself.
//! The others query the reader; after each read it sends them how current its copy is and the rows
//! that they lack. A VM whose copy becomes older than `Configuration.feedAgeMs` reads the tables
//! itself. A reader that crashes, hangs or is partitioned therefore delays changes by no more than
//! that.
//!
//! Delayed messages cannot make a copy appear newer than it is: the reader measures ages from the
//! arrival of a query, and the querying VM applies them to the time at which it sent the query,
//! which is earlier.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::event::Event;
use crate::ids::{Millis, Name, Revision};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::outcome::{Counter, Outcome};
use crate::peer::Message;
use crate::plugin::control;
use crate::{pool, rank};

/// Number of queries within the age limit. More than one is needed because a restarted reader has
/// no subscribers.
const QUERIES_PER_AGE_LIMIT: u64 = 2;
/// Minimum time in milliseconds for which a VM reads the tables itself after falling back, so that
/// it does not flap when the path to the reader is unreliable.
const FALLBACK_MS: u64 = 5_000;
/// Time in milliseconds after a query for which the sender is sent new rows.
const SUBSCRIPTION_MS: u64 = 5_000;
/// Interval in milliseconds at which a VM without a reader to query checks for one.
const RECHECK_INTERVAL_MS: u64 = 1_000;
/// Maximum number of removed rows that are remembered. VMs that lag further behind get whole
/// tables.
const MAX_REMOVED_ROWS: usize = 256;
/// Takes the place of the service name in the rendezvous hash that selects the reader.
const READER_RANK_KEY: &str = "feeds";

/// A table that is replicated to all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Table {
    /// Resources declared by operators.
    Resources,
    /// State that targets publish about themselves.
    Targets,
}

/// All tables.
const TABLES: [Table; 2] = [Table::Resources, Table::Targets];

/// A row. Its value is opaque to the kernel and interpreted by the adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: Name,
    /// Its version.
    pub version: Revision,
    /// Its value; `None` if the row was removed.
    #[serde(with = "crate::compact::bytes")]
    pub value: Option<Vec<u8>>,
}

/// A set of rows of one table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rows {
    /// The table.
    pub table: Table,
    /// The rows include all changes after this version; a copy at an older version cannot apply
    /// them.
    pub from: Revision,
    /// The version of the table with these rows applied.
    pub version: Revision,
    /// Whether the rows are the whole table.
    pub is_whole: bool,
    /// The rows.
    pub rows: Vec<Row>,
}

/// A peer's update of one table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TableUpdate {
    /// The rows that the receiver lacks.
    pub rows: Rows,
    /// How long before the arrival of the query the rows were known to be the newest, in
    /// milliseconds. Negative for a time after its arrival; `None` if unknown.
    pub age_ms: Option<i64>,
}

/// A local copy of a table.
#[derive(Debug, Default)]
struct TableCopy {
    rows: BTreeMap<Name, (Revision, Option<Vec<u8>>)>,
    version: Revision,
    /// Removed rows up to this version are no longer remembered.
    pruned_version: Revision,
    /// When the copy was last known to be the newest.
    current_at: Option<Millis>,
    /// The same, according to updates from peers only.
    peer_current_at: Option<Millis>,
}

impl TableCopy {
    /// Merges rows into the copy and returns those that are new, if any.
    fn merge(&mut self, rows: &Rows) -> Option<Rows> {
        let is_older = rows.is_whole && rows.version < self.version;
        if is_older || self.version < rows.from {
            return None;
        }
        let is_new = |row: &&Row| {
            let known = self.rows.get(&row.key);
            known.is_none_or(|(version, _)| *version < row.version)
        };
        let new_rows: Vec<Row> = rows.rows.iter().filter(is_new).cloned().collect();
        if rows.is_whole {
            self.rows.retain(|key, _| rows.rows.iter().any(|row| row.key == *key));
            self.pruned_version = rows.version;
        }
        for row in &new_rows {
            self.rows.insert(row.key.clone(), (row.version, row.value.clone()));
        }
        self.version = self.version.max(rows.version);
        self.prune();
        // Rows missing from a whole table have been removed, so it is returned unfiltered.
        match (rows.is_whole, new_rows.is_empty()) {
            (true, _) => Some(rows.clone()),
            (false, true) => None,
            (false, false) => Some(Rows { rows: new_rows, ..rows.clone() }),
        }
    }

    /// Drops the oldest removed rows.
    fn prune(&mut self) {
        let removed = self.rows.iter().filter(|(_, (_, value))| value.is_none());
        let mut removed: Vec<(Revision, Name)> =
            removed.map(|(key, (version, _))| (*version, key.clone())).collect();
        if removed.len() <= MAX_REMOVED_ROWS {
            return;
        }
        removed.sort();
        for (version, key) in &removed[..removed.len() - MAX_REMOVED_ROWS / 2] {
            self.pruned_version = self.pruned_version.max(*version);
            self.rows.remove(key);
        }
    }

    /// The rows that a copy at version `known` lacks.
    fn rows_since(&self, table: Table, known: Revision) -> Rows {
        let is_whole = known < self.pruned_version;
        let rows = self.rows.iter().filter(|(_, (version, value))| match is_whole {
            true => value.is_some(),
            false => *version > known,
        });
        let rows = rows.map(|(key, (version, value))| Row {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        });
        let from = if is_whole { Revision(0) } else { known };
        Rows { table, from, version: self.version, is_whole, rows: rows.collect() }
    }

    /// Milliseconds between the time at which the copy was the newest and `then`.
    fn age(&self, then: Millis) -> Option<i64> {
        let millis = |at: Millis| i64::try_from(at.0).unwrap_or(i64::MAX);
        self.current_at.map(|at| millis(then) - millis(at))
    }
}

/// How a VM receives the tables.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FeedSource {
    /// It reads them from the store.
    #[default]
    Direct,
    /// It receives them from the zone's reader.
    Peer,
}

/// The latest query of a VM that receives the tables from this one.
#[derive(Debug)]
struct Subscription {
    /// When it arrived.
    received_at: Millis,
    /// When it was sent, on the sender's clock.
    sent_at: Millis,
    /// Versions of the sender's copies.
    versions: Vec<(Table, Revision)>,
}

/// Local copies of the tables, and how they are kept up to date.
#[derive(Debug, Default)]
pub struct Feeds {
    copies: [TableCopy; TABLES.len()],
    source: FeedSource,
    /// Whether the platform adapter provides tables.
    is_active: bool,
    /// VMs that query this one, with their latest queries.
    subscribers: Map<Name, Subscription>,
    /// When this VM last fell back to reading the tables itself.
    fell_back_at: Option<Millis>,
    /// When this VM last sent a query.
    last_query_at: Option<Millis>,
    wake_at: Option<Millis>,
}

impl Feeds {
    /// How this VM receives the tables.
    pub fn source(&self) -> FeedSource {
        self.source
    }

    /// Whether the copy of a table was known to be the newest at most `limit` milliseconds ago.
    pub(crate) fn is_current(&self, table: Table, limit: u64, now: Millis) -> bool {
        self.copies[table as usize].current_at.is_some_and(|at| now.since(at) <= limit)
    }

    /// The version of the local copy of a table.
    pub fn version(&self, table: Table) -> Revision {
        self.copies[table as usize].version
    }

    /// Number of rows in a table, not counting removed ones.
    pub fn rows(&self, table: Table) -> usize {
        let copy = &self.copies[table as usize];
        copy.rows.values().filter(|(_, value)| value.is_some()).count()
    }

    fn copy_mut(&mut self, table: Table) -> &mut TableCopy {
        &mut self.copies[table as usize]
    }

    /// The message that brings a subscriber up to date.
    fn update_for(&self, subscription: &Subscription) -> Message {
        let update = |&(table, known): &(Table, Revision)| {
            let copy = &self.copies[table as usize];
            TableUpdate {
                rows: copy.rows_since(table, known),
                age_ms: copy.age(subscription.received_at),
            }
        };
        let updates = subscription.versions.iter().map(update).collect();
        Message::Followed { sent: subscription.sent_at, updates }
    }

    /// The versions of all copies.
    fn versions(&self) -> Vec<(Table, Revision)> {
        TABLES.iter().map(|&table| (table, self.copies[table as usize].version)).collect()
    }

    /// Until when the reader's latest updates of all tables are at most `limit` old.
    fn peer_current_until(&self, limit: u64) -> Option<Millis> {
        let oldest = self.copies.iter().map(|copy| copy.peer_current_at).min()?;
        Some(oldest?.after(limit))
    }
}

inventory::submit! {
    control::Plugin { name: "feed", rank: 25, handle, wakeup: |state| state.feeds.wake_at }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::RowsRead { rows, at } => merge_read_rows(state, rows, *at, now, out),
        Event::Peer { from, message: Message::Follow { sent, known } } => {
            let subscription =
                Subscription { received_at: now, sent_at: *sent, versions: known.clone() };
            out.send(&(*from).into(), state.feeds.update_for(&subscription));
            state.feeds.subscribers.insert((*from).into(), subscription);
        }
        Event::Peer { message: Message::Followed { sent, updates }, .. } => {
            for update in updates {
                merge_peer_update(state, *sent, update, out);
            }
        }
        _ => {}
    }
    let is_due = state.feeds.wake_at.is_none_or(|at| at <= now);
    if state.feeds.is_active && is_due {
        update_source(state, now, out);
    }
}

/// Merges rows that this VM read itself. They were known to be the newest at time `at`.
fn merge_read_rows(state: &mut State, rows: &Rows, at: Millis, now: Millis, out: &mut Outbox) {
    state.feeds.is_active = true;
    if rows.table == Table::Resources {
        state.freshness.record_current(at);
    }
    let copy = state.feeds.copy_mut(rows.table);
    copy.merge(rows);
    copy.current_at = copy.current_at.max(Some(at));
    state
        .feeds
        .subscribers
        .retain(|_, subscription| now.since(subscription.received_at) < SUBSCRIPTION_MS);
    for (vm, subscription) in &state.feeds.subscribers {
        out.send(vm, state.feeds.update_for(subscription));
    }
}

/// Merges an update from a peer. `sent` is the time at which this VM sent the query it answers.
fn merge_peer_update(state: &mut State, sent: Millis, update: &TableUpdate, out: &mut Outbox) {
    let TableUpdate { rows, age_ms } = update;
    let copy = state.feeds.copy_mut(rows.table);
    let new_rows = copy.merge(rows);
    // With the rows merged, this copy contains everything that the peer's does.
    let is_complete = copy.version >= rows.from;
    if let (Some(age), true) = (age_ms, is_complete) {
        let at = Millis(sent.0.saturating_add_signed(age.saturating_neg()));
        copy.peer_current_at = copy.peer_current_at.max(Some(at));
        copy.current_at = copy.current_at.max(Some(at));
        if rows.table == Table::Resources {
            state.freshness.record_current(at);
        }
    }
    if let Some(new_rows) = new_rows {
        out.push(Outcome::ApplyRows(new_rows));
    }
}

/// Queries the reader when due, and switches between reading the tables and receiving them.
fn update_source(state: &mut State, now: Millis, out: &mut Outbox) {
    let config = state.intent.configuration("default");
    let limit = config.map_or(0, |config| u64::from(config.feed_age_ms));
    let zone_reader = zone_reader(state).filter(|_| limit > 0);
    let feeds = &mut state.feeds;
    let Some(zone_reader) = zone_reader else {
        feeds.wake_at = Some(now.after(RECHECK_INTERVAL_MS));
        return set_source(feeds, FeedSource::Direct, out);
    };
    let interval = (limit / QUERIES_PER_AGE_LIMIT).max(1);
    if feeds.last_query_at.is_none_or(|at| now.since(at) >= interval) {
        feeds.last_query_at = Some(now);
        let known = feeds.versions();
        out.send(&zone_reader, Message::Follow { sent: now, known });
    }
    let until = feeds.peer_current_until(limit).filter(|until| now <= *until);
    let is_in_fallback = feeds.fell_back_at.is_some_and(|at| now.since(at) < FALLBACK_MS);
    let next_query_at = feeds.last_query_at.map_or(now, |at| at.after(interval));
    feeds.wake_at = Some(until.map_or(next_query_at, |until| next_query_at.min(until.after(1))));
    match (feeds.source, until) {
        (FeedSource::Direct, Some(_)) if !is_in_fallback => {
            set_source(feeds, FeedSource::Peer, out)
        }
        (FeedSource::Peer, None) => {
            feeds.fell_back_at = Some(now);
            set_source(feeds, FeedSource::Direct, out);
        }
        _ => {}
    }
}

fn set_source(feeds: &mut Feeds, source: FeedSource, out: &mut Outbox) {
    if feeds.source == source {
        return;
    }
    feeds.source = source;
    let (event, text) = match source {
        FeedSource::Direct => ("feed_read", "tables followed by=reading"),
        FeedSource::Peer => ("feed_heard", "tables followed by=peer"),
    };
    out.count(Counter::Event(event));
    out.log(text.to_owned());
    out.push(Outcome::Follow(source));
}

/// The VM that reads the tables for this zone; `None` if it is this one.
fn zone_reader(state: &State) -> Option<Name> {
    let zone = &state.identity.zone;
    let candidates = rank::candidates(&state.members, zone);
    let best = rank::successor(&pool::Key::new(READER_RANK_KEY, zone), "", &candidates)?;
    (best != state.identity.vm).then_some(best)
}
