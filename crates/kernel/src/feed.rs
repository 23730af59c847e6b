//! Tables of the platform that all VMs follow: who reads them, and who hears of them from a peer.
//!
//! The reader of a zone, the first of its VMs by rendezvous hash, follows the tables itself. The
//! others ask it, and hear after each of its reads how current it is and which rows they lack. A VM
//! whose copy grows older than `Configuration.feedAgeMs` reads the tables itself, whatever the reason
//! is, so a reader that dies, hangs or is cut off delays nothing by more than that.
//!
//! Ages are safe against late messages: they count from the arrival of a question, and on the clock
//! of the VM that asked from the time at which it sent that question, which is earlier.

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

/// Questions in the longest age that is allowed: a reader that has started again knows nobody.
const ASKS: u64 = 2;
/// Time for which a VM that had to read the tables itself goes on with it, in milliseconds, so that a
/// reader with a bad path is not tried over and over.
const SELF_MS: u64 = 5_000;
/// Time for which a VM that has asked gets new rows, in milliseconds.
const LISTENER_MS: u64 = 5_000;
/// Time between two looks of a VM that has nobody to ask, in milliseconds.
const IDLE_MS: u64 = 1_000;
/// Removed rows that are remembered for VMs that are behind; beyond that these get whole tables.
const REMOVED_MAX: usize = 256;
/// What readers are ranked by, in the place of a service.
const RANKED_BY: &str = "feeds";

/// A table that VMs follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Table {
    /// What operators have declared.
    Resources,
    /// What targets say of themselves.
    Targets,
}

/// All tables.
const TABLES: [Table; 2] = [Table::Resources, Table::Targets];

/// One row; its value is left to the adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: Name,
    /// Its version.
    pub version: Revision,
    /// Its value; `None` for a row that was removed.
    #[serde(with = "crate::compact::bytes")]
    pub value: Option<Vec<u8>>,
}

/// Rows of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rows {
    /// The table.
    pub table: Table,
    /// They are all changes since this version; a copy that is older cannot take them in.
    pub from: Revision,
    /// The version reached with them.
    pub version: Revision,
    /// They are the whole table.
    pub is_whole: bool,
    /// The rows.
    pub rows: Vec<Row>,
}

/// What a VM tells of one table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Account {
    /// Rows that the other VM lacks.
    pub rows: Rows,
    /// How long before the question came these were the newest ones, in milliseconds; negative for a
    /// time after it, `None` for a VM that cannot tell.
    pub age_ms: Option<i64>,
}

/// A VM's copy of a table.
#[derive(Debug, Default)]
struct Copy {
    rows: BTreeMap<Name, (Revision, Option<Vec<u8>>)>,
    version: Revision,
    /// Rows removed up to this version are forgotten.
    pruned: Revision,
    /// When it was last known to be the newest.
    current_at: Option<Millis>,
    /// The same by the answers of a peer alone.
    told_at: Option<Millis>,
}

impl Copy {
    /// Takes rows in; what of them is news, if anything is.
    fn take(&mut self, rows: &Rows) -> Option<Rows> {
        let is_older = rows.is_whole && rows.version < self.version;
        if is_older || self.version < rows.from {
            return None;
        }
        let is_news = |row: &&Row| {
            let known = self.rows.get(&row.key);
            known.is_none_or(|(version, _)| *version < row.version)
        };
        let news: Vec<Row> = rows.rows.iter().filter(is_news).cloned().collect();
        if rows.is_whole {
            self.rows.retain(|key, _| rows.rows.iter().any(|row| row.key == *key));
            self.pruned = rows.version;
        }
        for row in &news {
            self.rows.insert(row.key.clone(), (row.version, row.value.clone()));
        }
        self.version = self.version.max(rows.version);
        self.prune();
        // What a whole table lacks has been removed, so it is passed on as it is.
        match (rows.is_whole, news.is_empty()) {
            (true, _) => Some(rows.clone()),
            (false, true) => None,
            (false, false) => Some(Rows { rows: news, ..rows.clone() }),
        }
    }

    /// Forgets the oldest removed rows.
    fn prune(&mut self) {
        let removed = self.rows.iter().filter(|(_, (_, value))| value.is_none());
        let mut removed: Vec<(Revision, Name)> =
            removed.map(|(key, (version, _))| (*version, key.clone())).collect();
        if removed.len() <= REMOVED_MAX {
            return;
        }
        removed.sort();
        for (version, key) in &removed[..removed.len() - REMOVED_MAX / 2] {
            self.pruned = self.pruned.max(*version);
            self.rows.remove(key);
        }
    }

    /// The rows that a copy at `known` lacks.
    fn since(&self, table: Table, known: Revision) -> Rows {
        let is_whole = known < self.pruned;
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

    /// Milliseconds from when it was the newest to `then`.
    fn age(&self, then: Millis) -> Option<i64> {
        let millis = |at: Millis| i64::try_from(at.0).unwrap_or(i64::MAX);
        self.current_at.map(|at| millis(then) - millis(at))
    }
}

/// How a VM follows the tables.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Way {
    /// It reads them itself.
    #[default]
    Tables,
    /// It hears of them from a peer.
    Peer,
}

/// A question of a VM that leaves the tables to this one.
#[derive(Debug)]
struct Question {
    /// When it came.
    at: Millis,
    /// When it was sent, on the clock of that VM.
    sent: Millis,
    /// Versions of that VM's copies.
    known: Vec<(Table, Revision)>,
}

/// The tables as this VM has them, and how it follows them.
#[derive(Debug, Default)]
pub struct Feeds {
    copies: [Copy; TABLES.len()],
    way: Way,
    /// The adapter gives tables to follow.
    is_active: bool,
    /// VMs that ask here, with their last questions.
    listeners: Map<Name, Question>,
    /// When this VM last gave its reader up.
    alone_at: Option<Millis>,
    /// When it last asked.
    asked_at: Option<Millis>,
    wake: Option<Millis>,
}

impl Feeds {
    /// How this VM follows the tables.
    pub fn way(&self) -> Way {
        self.way
    }

    /// Whether the copy of a table was the newest at most `limit` milliseconds ago.
    pub(crate) fn is_current(&self, table: Table, limit: u64, now: Millis) -> bool {
        self.copies[table as usize].current_at.is_some_and(|at| now.since(at) <= limit)
    }

    /// The version of this VM's copy of a table.
    pub fn version(&self, table: Table) -> Revision {
        self.copies[table as usize].version
    }

    /// Rows of a table that are not removed.
    pub fn rows(&self, table: Table) -> usize {
        let copy = &self.copies[table as usize];
        copy.rows.values().filter(|(_, value)| value.is_some()).count()
    }

    fn copy_mut(&mut self, table: Table) -> &mut Copy {
        &mut self.copies[table as usize]
    }

    /// What a VM is told that has asked.
    fn answer(&self, question: &Question) -> Message {
        let account = |&(table, known): &(Table, Revision)| {
            let copy = &self.copies[table as usize];
            Account { rows: copy.since(table, known), age_ms: copy.age(question.at) }
        };
        let accounts = question.known.iter().map(account).collect();
        Message::Followed { sent: question.sent, accounts }
    }

    /// The versions of all copies.
    fn known(&self) -> Vec<(Table, Revision)> {
        TABLES.iter().map(|&table| (table, self.copies[table as usize].version)).collect()
    }

    /// Until when the newest answers of the reader count, where each is at most `limit` old.
    fn told_until(&self, limit: u64) -> Option<Millis> {
        let oldest = self.copies.iter().map(|copy| copy.told_at).min()?;
        Some(oldest?.after(limit))
    }
}

inventory::submit! {
    control::Plugin { name: "feed", rank: 25, handle, wakeup: |state| state.feeds.wake }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::RowsRead { rows, at } => fed(state, rows, *at, now, out),
        Event::Peer { from, message: Message::Follow { sent, known } } => {
            let question = Question { at: now, sent: *sent, known: known.clone() };
            out.send(&(*from).into(), state.feeds.answer(&question));
            state.feeds.listeners.insert((*from).into(), question);
        }
        Event::Peer { message: Message::Followed { sent, accounts }, .. } => {
            for account in accounts {
                told(state, *sent, account, out);
            }
        }
        _ => {}
    }
    let is_due = state.feeds.wake.is_none_or(|at| at <= now);
    if state.feeds.is_active && is_due {
        decide(state, now, out);
    }
}

/// Rows that this VM has read itself; `at` is a time at which they were the newest.
fn fed(state: &mut State, rows: &Rows, at: Millis, now: Millis, out: &mut Outbox) {
    state.feeds.is_active = true;
    if rows.table == Table::Resources {
        state.currency.note(at);
    }
    let copy = state.feeds.copy_mut(rows.table);
    copy.take(rows);
    copy.current_at = copy.current_at.max(Some(at));
    state.feeds.listeners.retain(|_, question| now.since(question.at) < LISTENER_MS);
    for (vm, question) in &state.feeds.listeners {
        out.send(vm, state.feeds.answer(question));
    }
}

/// Rows from a peer, which knows the question that was sent at `sent`.
fn told(state: &mut State, sent: Millis, account: &Account, out: &mut Outbox) {
    let Account { rows, age_ms } = account;
    let copy = state.feeds.copy_mut(rows.table);
    let news = copy.take(rows);
    // With the rows taken in, this copy has all that the peer's has.
    let is_complete = copy.version >= rows.from;
    if let (Some(age), true) = (age_ms, is_complete) {
        let at = Millis(sent.0.saturating_add_signed(age.saturating_neg()));
        copy.told_at = copy.told_at.max(Some(at));
        copy.current_at = copy.current_at.max(Some(at));
        if rows.table == Table::Resources {
            state.currency.note(at);
        }
    }
    if let Some(news) = news {
        out.push(Outcome::ApplyRows(news));
    }
}

/// Asks the reader, and chooses how this VM follows the tables.
fn decide(state: &mut State, now: Millis, out: &mut Outbox) {
    let config = state.intent.configuration("default");
    let limit = config.map_or(0, |config| u64::from(config.feed_age_ms));
    let reader = reader(state).filter(|_| limit > 0);
    let feeds = &mut state.feeds;
    let Some(reader) = reader else {
        feeds.wake = Some(now.after(IDLE_MS));
        return choose(feeds, Way::Tables, out);
    };
    let interval = (limit / ASKS).max(1);
    if feeds.asked_at.is_none_or(|at| now.since(at) >= interval) {
        feeds.asked_at = Some(now);
        let known = feeds.known();
        out.send(&reader, Message::Follow { sent: now, known });
    }
    let until = feeds.told_until(limit).filter(|until| now <= *until);
    let is_alone = feeds.alone_at.is_some_and(|at| now.since(at) < SELF_MS);
    let ask_at = feeds.asked_at.map_or(now, |at| at.after(interval));
    feeds.wake = Some(until.map_or(ask_at, |until| ask_at.min(until.after(1))));
    match (feeds.way, until) {
        (Way::Tables, Some(_)) if !is_alone => choose(feeds, Way::Peer, out),
        (Way::Peer, None) => {
            feeds.alone_at = Some(now);
            choose(feeds, Way::Tables, out);
        }
        _ => {}
    }
}

fn choose(feeds: &mut Feeds, way: Way, out: &mut Outbox) {
    if feeds.way == way {
        return;
    }
    feeds.way = way;
    let (event, text) = match way {
        Way::Tables => ("feed_read", "tables followed by=reading"),
        Way::Peer => ("feed_heard", "tables followed by=peer"),
    };
    out.count(Counter::Event(event));
    out.log(text.to_owned());
    out.push(Outcome::Follow(way));
}

/// The VM of the zone that reads the tables for the others, unless that is this one.
fn reader(state: &State) -> Option<Name> {
    let zone = &state.identity.zone;
    let candidates = rank::candidates(&state.members, zone);
    let best = rank::successor(&pool::Key::new(RANKED_BY, zone), "", &candidates)?;
    (best != state.identity.vm).then_some(best)
}
