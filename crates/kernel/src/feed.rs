//! Replication of the platform's tables within a zone.
//!
//! The VMs of a zone form a tree in the order of a rendezvous hash. The root reads the tables
//! itself; every other VM subscribes at its parent, which sends it the rows that it lacks and how
//! current its own copy is, at once and whenever that changes.
//!
//! A VM whose copy becomes older than the age limit searches for another provider: its parent
//! again, then the VMs of the zone in hash order, in rounds of a few attempts that each ask twice as
//! many VMs as the one before. The store may turn away most VMs of a zone, and one that it serves is
//! then still asked in time. All VMs of a zone ask in the same order, so a root that crashes, hangs
//! or is partitioned is replaced by a few substitutes. Only a VM that most of the peers asked do not
//! answer reads the tables for itself alone. The number of store calls thus grows with the number of
//! zones and not with that of VMs.
//!
//! Delayed messages cannot make a copy appear newer than it is: the provider measures ages from the
//! arrival of a query, and the querying VM applies them to the time at which it sent the query,
//! which is earlier. That time is on the clock of one process, so a VM ignores updates that answer a
//! query of its earlier process.

use crate::event::Event;
use crate::ids::{Incarnation, Millis, Name, Revision};
use crate::kernel::{Identity, Outbox, State};
use crate::map::Map;
use crate::outcome::{Counter, Outcome};
use crate::peer::Message;
use crate::plugin::control;
use crate::random::hash;
use crate::rank;
use crate::search::{Query, Search, Step};
use crate::table_copy::{TableCopy, TABLES};

pub use crate::table_copy::{Row, Rows, Table, TableUpdate};

/// Maximum number of children of a VM in the tree. It bounds the memory and the bandwidth that a
/// change takes on one VM: each row is sent once to each child.
const FANOUT: usize = 8;
/// Interval in milliseconds at which a VM repeats its query while its copies are current. A
/// restarted provider has no subscribers.
const QUERY_INTERVAL_MS: u64 = 2_000;
/// Time in milliseconds after a query for which the sender is sent updates.
const SUBSCRIPTION_MS: u64 = 5_000;
/// Time in milliseconds after a query with `needs_read` for which the receiver reads the tables.
pub(crate) const SUBSTITUTE_MS: u64 = 5_000;
/// Time in milliseconds after its start in which a VM with seeds neither reads the tables nor asks
/// others to, so that it first learns of the VMs of its zone.
const JOIN_DELAY_MS: u64 = 600;
/// The same for a VM that knows no other VM of its zone; as much again is added as jitter. After a
/// restart of all VMs, each of them would otherwise take itself for the root of the tree.
const ALONE_JOIN_DELAY_MS: u64 = 700;
/// Interval in milliseconds at which a VM queries its parent during that time.
const JOIN_QUERY_PAUSE_MS: u64 = 400;
/// Interval in milliseconds at which a VM checks whether it has learned of others.
const JOIN_RECHECK_MS: u64 = 100;
/// Takes the place of the service name in the rendezvous hash that orders the VMs of a zone.
const TREE_RANK_KEY: &str = "feeds";

/// How a VM receives the tables.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FeedSource {
    /// It reads them from the store.
    Direct,
    /// It receives them from a VM of its zone.
    #[default]
    Peer,
}

/// How the adapter obtains the tables from now on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Whether this VM reads the tables.
    pub source: FeedSource,
    /// Versions of the local copies, from which a VM that starts to read continues.
    pub versions: Vec<(Table, Revision)>,
    /// Latest era of the store that this VM has heard of. Calls made from now on are answered in it
    /// or in a later one.
    pub era: u64,
}

impl Assignment {
    /// The version of the local copy of a table; `None` if there is no copy.
    ///
    /// ```
    /// use hornbeamloom_kernel::feed::{Assignment, FeedSource, Table};
    /// use hornbeamloom_kernel::ids::Revision;
    ///
    /// let versions = vec![(Table::Targets, Revision(7))];
    /// let assignment = Assignment { source: FeedSource::Direct, versions, era: 0 };
    /// assert_eq!(assignment.version(Table::Targets), Some(Revision(7)));
    /// assert_eq!(assignment.version(Table::Resources), None);
    /// ```
    pub fn version(&self, table: Table) -> Option<Revision> {
        let known = self.versions.iter().find(|(known, _)| *known == table);
        known.map(|(_, version)| *version).filter(|version| *version > Revision(0))
    }
}

/// The latest query of a VM that receives the tables from this one.
#[derive(Debug)]
struct Subscription {
    /// When it arrived.
    received_at: Millis,
    /// When it was sent, on the clock of the process that sent it.
    sent_at: Millis,
    /// That process.
    incarnation: Incarnation,
    /// Versions of the sender's copies.
    versions: Vec<(Table, Revision)>,
}

/// Replication as announced by the platform adapter.
#[derive(Debug, Clone, Copy)]
struct Replication {
    started_at: Millis,
    /// Age in milliseconds beyond which a copy is outdated; zero if every VM reads the tables.
    age_limit_ms: u64,
}

/// Local copies of the tables, and how they are kept up to date.
#[derive(Debug, Default)]
pub struct Feeds {
    copies: [TableCopy; TABLES.len()],
    source: FeedSource,
    /// `None` until the platform adapter announces tables.
    replication: Option<Replication>,
    /// VMs that query this one, with their latest queries.
    subscribers: Map<Name, Subscription>,
    parent: Option<Name>,
    /// The VM found by a search, until the parent's copies are current again.
    provider: Option<Name>,
    search: Option<Search>,
    last_query_at: Option<Millis>,
    /// Until when this VM reads the tables because others asked it to or do not answer it.
    substitute_until: Option<Millis>,
    /// Latest era of the store in the messages of peers.
    peer_era: u64,
    /// The era in the last assignment.
    assigned_era: u64,
    wake_at: Option<Millis>,
}

impl Feeds {
    /// How this VM receives the tables.
    pub fn source(&self) -> FeedSource {
        self.source
    }

    /// Whether VMs receive the tables from each other.
    pub(crate) fn is_replicated(&self) -> bool {
        self.replication.is_some_and(|replication| replication.age_limit_ms > 0)
    }

    /// Whether the copy of a table was known to be the newest at most `limit` milliseconds ago.
    pub(crate) fn is_current(&self, table: Table, limit: u64, now: Millis) -> bool {
        self.copies[table as usize].current_at.is_some_and(|at| now.since(at) <= limit)
    }

    /// Whether the replicated copy of a table is within the age limit.
    pub(crate) fn is_within_age_limit(&self, table: Table, now: Millis) -> bool {
        let limit = self.replication.map_or(0, |replication| replication.age_limit_ms);
        limit > 0 && self.is_current(table, limit, now)
    }

    /// The version of the local copy of a table.
    pub fn version(&self, table: Table) -> Revision {
        self.copies[table as usize].version
    }

    /// Number of rows in a table, not counting removed ones.
    pub fn rows(&self, table: Table) -> usize {
        let copy = &self.copies[table as usize];
        copy.rows.values().filter(|stored| stored.value.is_some()).count()
    }

    fn copy_mut(&mut self, table: Table) -> &mut TableCopy {
        &mut self.copies[table as usize]
    }

    /// The message that brings a subscriber up to date.
    fn updates_for(&self, subscription: &Subscription) -> Message {
        let update = |&(table, known): &(Table, Revision)| {
            let copy = &self.copies[table as usize];
            // A copy of an earlier era does not contain what the subscriber's does.
            let age_ms = copy.age(subscription.received_at);
            let age_ms = age_ms.filter(|_| copy.version.era() >= known.era());
            TableUpdate { rows: copy.rows_since(table, known), age_ms }
        };
        let updates = subscription.versions.iter().map(update).collect();
        Message::TableUpdates {
            sent: subscription.sent_at,
            incarnation: subscription.incarnation,
            updates,
        }
    }

    /// Sends all subscribers but `origin` what they lack.
    fn send_updates(&mut self, origin: Option<&str>, now: Millis, out: &mut Outbox) {
        self.subscribers
            .retain(|_, subscription| now.since(subscription.received_at) < SUBSCRIPTION_MS);
        let mut subscribers = std::mem::take(&mut self.subscribers);
        for (vm, subscription) in &mut subscribers {
            if Some(&**vm) != origin {
                out.send(vm, self.updates_for(subscription));
                self.mark_sent(subscription);
            }
        }
        self.subscribers = subscribers;
    }

    /// Records that a subscriber was sent all rows. It queries again if it misses any of them.
    fn mark_sent(&self, subscription: &mut Subscription) {
        for (table, known) in &mut subscription.versions {
            *known = (*known).max(self.copies[*table as usize].version);
        }
    }

    /// A query for the rows that the copies lack.
    fn query(&self, identity: &Identity, needs_read: bool, now: Millis) -> Message {
        let incarnation = identity.incarnation;
        Message::Subscribe { sent: now, incarnation, known: self.versions(), needs_read }
    }

    fn assignment(&self) -> Assignment {
        let era = self.assigned_era;
        Assignment { source: self.source, versions: self.versions(), era }
    }

    /// The versions of all copies.
    fn versions(&self) -> Vec<(Table, Revision)> {
        TABLES.iter().map(|&table| (table, self.copies[table as usize].version)).collect()
    }

    /// Until when all copies are at most `limit` milliseconds old.
    fn current_until(&self, limit: u64) -> Option<Millis> {
        let oldest = self.copies.iter().map(|copy| copy.current_at).min()?;
        Some(oldest?.after(limit))
    }

    /// The same, according to updates from peers only.
    fn peer_current_until(&self, limit: u64) -> Option<Millis> {
        let oldest = self.copies.iter().map(|copy| copy.peer_current_at).min()?;
        Some(oldest?.after(limit))
    }
}

inventory::submit! {
    control::Plugin { name: "feed", rank: 25, handle, wakeup: |state| state.feeds.wake_at }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    let is_own_event = match event {
        Event::TablesAvailable { age_limit_ms } => {
            let age_limit_ms = *age_limit_ms;
            state.feeds.replication = Some(Replication { started_at: now, age_limit_ms });
            true
        }
        Event::RowsRead { rows, at } => {
            merge_read_rows(state, rows, *at, now, out);
            true
        }
        Event::Peer {
            from,
            message: Message::Subscribe { sent, incarnation, known, needs_read },
        } => {
            let subscription = Subscription {
                received_at: now,
                sent_at: *sent,
                incarnation: *incarnation,
                versions: known.clone(),
            };
            accept_query(state, from, subscription, *needs_read, now, out)
        }
        Event::Peer { from, message: Message::TableUpdates { sent, incarnation, updates } } => {
            let is_own = *incarnation == state.identity.incarnation;
            match is_own {
                true => merge_peer_updates(state, from, *sent, updates, now, out),
                false => out.count(Counter::Ignored("updates_of_earlier_process")),
            }
            is_own
        }
        _ => false,
    };
    let is_due = state.feeds.wake_at.is_some_and(|at| at <= now);
    let era = state.intent.revision.era().max(state.feeds.peer_era);
    if state.feeds.assigned_era < era {
        state.feeds.assigned_era = era;
        out.push(Outcome::Follow(state.feeds.assignment()));
    }
    if is_own_event || is_due {
        update(state, now, out);
    }
}

/// Merges rows that this VM read itself. They were known to be the newest at time `at`.
fn merge_read_rows(state: &mut State, rows: &Rows, at: Millis, now: Millis, out: &mut Outbox) {
    let copy = state.feeds.copy_mut(rows.table);
    let in_force = copy.merge(rows, now);
    // Rows of an earlier era are not merged into a copy of a later one.
    let at = Some(at).filter(|_| copy.version.era() <= rows.version.era());
    copy.current_at = copy.current_at.max(at);
    if rows.table == Table::Resources {
        state.freshness.record_current_when_applied(at, in_force.is_some());
    }
    if let Some(rows) = in_force {
        out.push(Outcome::ApplyRows(rows));
    }
    state.feeds.provider = None;
    state.feeds.send_updates(None, now, out);
}

/// Answers a query and remembers its sender. Returns whether this VM may have to read the tables.
fn accept_query(
    state: &mut State,
    from: &str,
    mut subscription: Subscription,
    needs_read: bool,
    now: Millis,
    out: &mut Outbox,
) -> bool {
    let feeds = &mut state.feeds;
    let eras = subscription.versions.iter().map(|(_, version)| version.era());
    feeds.peer_era = feeds.peer_era.max(eras.max().unwrap_or(0));
    out.send(&from.into(), feeds.updates_for(&subscription));
    feeds.mark_sent(&mut subscription);
    feeds.subscribers.insert(from.into(), subscription);
    let limit = feeds.replication.map_or(0, |replication| replication.age_limit_ms);
    let is_current = feeds.current_until(limit).is_some_and(|until| now <= until);
    let reads = needs_read && (feeds.source == FeedSource::Direct || !is_current);
    if reads {
        feeds.substitute_until = Some(now.after(SUBSTITUTE_MS));
    }
    reads
}

/// Merges the updates of a peer. `sent` is the time at which this VM sent the query they answer.
fn merge_peer_updates(
    state: &mut State,
    from: &str,
    sent: Millis,
    updates: &[TableUpdate],
    now: Millis,
    out: &mut Outbox,
) {
    let limit = state.feeds.replication.map_or(0, |replication| replication.age_limit_ms);
    let is_current = |feeds: &Feeds| feeds.current_until(limit).is_some_and(|until| now <= until);
    let was_current = is_current(&state.feeds);
    if let Some(search) = &mut state.feeds.search {
        search.record_answer(from);
    }
    let mut is_news = false;
    for update in updates {
        is_news |= merge_peer_update(state, sent, update, now, out);
    }
    let feeds = &mut state.feeds;
    let is_gap = |update: &TableUpdate| feeds.version(update.rows.table) < update.rows.from;
    if updates.iter().any(is_gap) {
        // An earlier update was lost; a query with the present versions brings its rows.
        feeds.last_query_at = None;
    }
    let is_parent = feeds.parent.as_deref() == Some(from);
    if is_parent && feeds.peer_current_until(limit).is_some_and(|until| now <= until) {
        feeds.provider = None;
    } else if !was_current && is_current(feeds) {
        feeds.provider = Some(from.into());
    }
    if is_news {
        feeds.send_updates(Some(from), now, out);
    }
}

/// Merges an update of one table. Returns whether it contains rows or a time that are new.
fn merge_peer_update(
    state: &mut State,
    sent: Millis,
    update: &TableUpdate,
    now: Millis,
    out: &mut Outbox,
) -> bool {
    let TableUpdate { rows, age_ms } = update;
    state.feeds.peer_era = state.feeds.peer_era.max(rows.version.era());
    let copy = state.feeds.copy_mut(rows.table);
    let before = copy.current_at;
    let new_rows = copy.merge(rows, now);
    // With the rows merged, this copy contains everything that the peer's does, unless the peer
    // has not noticed a return of the store.
    let is_complete = copy.version >= rows.from && copy.version.era() <= rows.version.era();
    let at = age_ms.filter(|_| is_complete);
    let at = at.map(|age| Millis(sent.0.saturating_add_signed(age.saturating_neg())));
    copy.peer_current_at = copy.peer_current_at.max(at);
    copy.current_at = copy.current_at.max(at);
    if rows.table == Table::Resources {
        state.freshness.record_current_when_applied(at, new_rows.is_some());
    }
    let is_newer = before < state.feeds.copies[rows.table as usize].current_at;
    let has_rows = new_rows.is_some();
    if let Some(new_rows) = new_rows {
        out.push(Outcome::ApplyRows(new_rows));
    }
    has_rows || is_newer
}

/// Sends the queries that are due, and decides whether this VM reads the tables.
fn update(state: &mut State, now: Millis, out: &mut Outbox) {
    let Some(replication) = state.feeds.replication else {
        return;
    };
    if replication.age_limit_ms == 0 {
        state.feeds.wake_at = None;
        return set_source(&mut state.feeds, FeedSource::Direct, now, out);
    }
    let order = rank::ordered(&state.members, &state.identity.zone, TREE_RANK_KEY);
    let own = &state.identity.vm;
    let parent = parent(&order, own).cloned();
    let feeds = &mut state.feeds;
    let join_delay_ms = match order.len() {
        0 | 1 => ALONE_JOIN_DELAY_MS + hash(&[own]) % ALONE_JOIN_DELAY_MS,
        _ => JOIN_DELAY_MS,
    };
    let is_joining =
        !state.identity.seeds.is_empty() && now.since(replication.started_at) < join_delay_ms;
    let until = feeds.current_until(replication.age_limit_ms).filter(|until| now <= *until);
    let is_new_parent = parent.is_some() && parent != feeds.parent;
    feeds.parent = parent;
    match until {
        Some(_) => {
            if let Some(search) = feeds.search.take() {
                let provider = feeds.provider.as_deref().unwrap_or("-");
                out.log(format!("table copies current again provider={provider} {search}"));
            }
            repeat_queries(feeds, &state.identity, is_new_parent, now, out);
        }
        None => {
            let mut search = feeds.search.take().unwrap_or_else(|| {
                out.log(format!("table copies outdated {}", describe_ages(feeds, now)));
                Search::new(own, now)
            });
            if is_new_parent && search.is_new() || now >= search.next_at() {
                search =
                    advance_search(feeds, search, &order, &state.identity, is_joining, now, out);
            }
            feeds.search = Some(search);
        }
    }
    let needs_direct = needs_direct(feeds, is_joining, now);
    let is_peer_current =
        feeds.peer_current_until(replication.age_limit_ms).is_some_and(|until| now <= until);
    match (feeds.source, needs_direct) {
        (FeedSource::Peer, true) => set_source(feeds, FeedSource::Direct, now, out),
        // A substitute whose reads fail leaves them to the VMs that are asked next.
        (FeedSource::Direct, false) if is_peer_current || until.is_none() => {
            set_source(feeds, FeedSource::Peer, now, out)
        }
        _ => {}
    }
    let recheck = is_joining.then(|| now.after(JOIN_RECHECK_MS));
    let next_wake = next_wake(feeds, until, now);
    feeds.wake_at = Some(recheck.map_or(next_wake, |at| at.min(next_wake)));
}

/// The version and the age of each copy, for the log.
fn describe_ages(feeds: &Feeds, now: Millis) -> String {
    let describe = |table: &Table| {
        let copy = &feeds.copies[*table as usize];
        let age = copy.age(now).map_or_else(|| "unknown".to_owned(), |age| age.to_string());
        format!("{table:?} version={} age_ms={age}", copy.version.0)
    };
    TABLES.iter().map(describe).collect::<Vec<_>>().join(" ")
}

/// The VM that passes the tables on to `own`; `None` for the root of the tree.
fn parent<'a>(order: &[&'a Name], own: &Name) -> Option<&'a Name> {
    match order.iter().position(|vm| *vm == own) {
        Some(0) => None,
        Some(ix) => Some(order[(ix - 1) / FANOUT]),
        // A VM that is leaving is not part of the tree.
        None => order.first().copied(),
    }
}

/// Queries the provider and the parent while the copies are current.
fn repeat_queries(
    feeds: &mut Feeds,
    identity: &Identity,
    is_new_parent: bool,
    now: Millis,
    out: &mut Outbox,
) {
    let is_due = feeds.last_query_at.is_none_or(|at| now.since(at) >= QUERY_INTERVAL_MS);
    if !is_due && !is_new_parent {
        return;
    }
    feeds.last_query_at = Some(now);
    if let Some(provider) = feeds.provider.as_ref().filter(|vm| Some(*vm) != feeds.parent.as_ref())
    {
        out.send(provider, feeds.query(identity, true, now));
    }
    if let Some(parent) = &feeds.parent {
        out.send(parent, feeds.query(identity, false, now));
    }
}

/// Takes the next step of a search for a provider, beginning with the parent and the root.
fn advance_search(
    feeds: &mut Feeds,
    mut search: Search,
    order: &[&Name],
    identity: &Identity,
    is_joining: bool,
    now: Millis,
    out: &mut Outbox,
) -> Search {
    feeds.last_query_at = Some(now);
    let parent = feeds.parent.clone();
    if is_joining {
        if let Some(parent) = &parent {
            out.send(parent, feeds.query(identity, false, now));
        }
        let pause = parent.map_or(JOIN_RECHECK_MS, |_| JOIN_QUERY_PAUSE_MS);
        search.postpone(now.after(pause));
        return search;
    }
    match search.advance(order, parent.as_ref(), now) {
        Step::Ask(queries) => {
            for Query { vm, needs_read } in queries {
                if vm == identity.vm {
                    feeds.substitute_until = Some(now.after(SUBSTITUTE_MS));
                } else {
                    out.send(&vm, feeds.query(identity, needs_read, now));
                }
            }
        }
        Step::Wait => {}
        Step::Read => {
            out.log(format!("peers do not answer {search}"));
            feeds.substitute_until = Some(now.after(SUBSTITUTE_MS));
        }
    }
    search
}

/// Whether this VM has to read the tables, as the root or as a substitute.
fn needs_direct(feeds: &Feeds, is_joining: bool, now: Millis) -> bool {
    let is_root = feeds.parent.is_none() && !is_joining;
    let is_substitute = feeds.substitute_until.is_some_and(|until| now < until);
    is_root || is_substitute
}

fn next_wake(feeds: &Feeds, until: Option<Millis>, now: Millis) -> Millis {
    let next_query_at = feeds.last_query_at.unwrap_or(now).after(QUERY_INTERVAL_MS);
    let due = match (until, &feeds.search) {
        (Some(until), _) => until.after(1).min(next_query_at),
        (None, Some(search)) => search.next_at(),
        (None, None) => next_query_at,
    };
    let substitute_end = feeds.substitute_until.filter(|at| *at > now);
    due.min(substitute_end.unwrap_or(due)).max(now.after(1))
}

fn set_source(feeds: &mut Feeds, source: FeedSource, now: Millis, out: &mut Outbox) {
    if feeds.source == source {
        return;
    }
    feeds.source = source;
    let (event, text) = match source {
        FeedSource::Direct => ("feed_read", "tables read from=store"),
        FeedSource::Peer => ("feed_heard", "tables read from=peer"),
    };
    out.count(Counter::Event(event));
    let provider = feeds.provider.as_deref().unwrap_or("-");
    out.log(format!("{text} provider={provider} {}", describe_ages(feeds, now)));
    out.push(Outcome::Follow(feeds.assignment()));
}
