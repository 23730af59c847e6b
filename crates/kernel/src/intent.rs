//! The resources in force on this VM, under one revision that never decreases.
//!
//! Every record that a delta carries is held, so that it can be passed on; only sound records
//! without dangling references are in force. A reference may arrive after the record that uses it,
//! so both are decided anew with every change.

use crate::event::Event;
use crate::ids::{Millis, Name, Revision};
use crate::kernel::{Outbox, State};
use crate::map::{Map, Set};
use crate::outcome::{Counter, Outcome};
use crate::peer::{Delta, Gossip, Message};
use crate::plugin::control;
use crate::pool;
use crate::resource::{self, Kind, Record, Spec};

/// Peers that get a new revision at once; the others hear of it by gossip or read it themselves.
const PUSHES: usize = 3;
/// A second question about newer revisions waits this long for the answer to the first.
const PULL_MS: u64 = 1_000;
/// How long a tombstone is held at least, so that a peer that was away hears of the deletion.
const TOMBSTONE_MS: u64 = 3_600_000;
/// Tombstones held at most; older ones go first.
const TOMBSTONES: usize = 4_096;
/// Largest text of a record in bytes.
const RECORD_BYTES: usize = 64 << 10;

/// Where the revision in force came from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Source {
    /// Nothing is in force.
    #[default]
    None,
    /// The platform's table.
    Store,
    /// A peer.
    Peer,
}

/// A record and whether it is in force.
#[derive(Debug, Clone)]
struct Held {
    record: Record,
    fault: Option<&'static str>,
}

impl Held {
    /// The specification, if it is in force.
    fn spec(&self) -> Option<&Spec> {
        self.record.spec.as_ref().filter(|_| self.fault.is_none())
    }
}

/// The targets of one pool.
#[derive(Debug, Clone)]
pub struct Group {
    /// The pool.
    pub key: pool::Key,
    /// Names of its targets in order.
    pub targets: Vec<Name>,
}

/// The resources in force.
#[derive(Debug, Clone, Default)]
pub struct Intent {
    /// The revision in force.
    pub revision: Revision,
    /// Counts the changes on this VM, of targets that were discovered as well.
    pub generation: u64,
    /// Where it came from.
    pub source: Source,
    /// One map for each kind, so that a lookup needs no owned key.
    books: [Map<Name, Held>; Kind::ALL.len()],
    /// Targets that the platform has found, beside those that operators declare.
    discovered: Map<Name, Held>,
    /// Pools by service, ordered by zone.
    pools: Map<Name, Vec<Group>>,
    /// Tombstones in the order of their arrival.
    tombstones: Vec<(Millis, resource::Key, Revision)>,
    /// Deletions up to this revision may have been forgotten.
    floor: Revision,
    pulled: Option<Millis>,
}

impl Intent {
    fn spec(&self, kind: Kind, name: &str) -> Option<&Spec> {
        self.books[kind as usize].get(name)?.spec()
    }

    /// The organisation `name`.
    ///
    /// ```
    /// use hornbeamloom_kernel::intent::Intent;
    ///
    /// let intent = Intent::default();
    /// assert!(intent.organisation("parlour-1").is_none());
    /// ```
    pub fn organisation(&self, name: &str) -> Option<&resource::Organisation> {
        match self.spec(Kind::Organisation, name) {
            Some(Spec::Organisation(organisation)) => Some(organisation),
            _ => None,
        }
    }

    /// The service `name`.
    ///
    /// ```
    /// use hornbeamloom_kernel::intent::Intent;
    ///
    /// let intent = Intent::default();
    /// assert!(intent.service("pisarz-modelu").is_none());
    /// ```
    pub fn service(&self, name: &str) -> Option<&resource::Service> {
        match self.spec(Kind::Service, name) {
            Some(Spec::Service(service)) => Some(service),
            _ => None,
        }
    }

    /// The availability zone `name`.
    ///
    /// ```
    /// use hornbeamloom_kernel::intent::Intent;
    ///
    /// let intent = Intent::default();
    /// assert!(intent.zone("lodz-a").is_none());
    /// ```
    pub fn zone(&self, name: &str) -> Option<&resource::AvailabilityZone> {
        match self.spec(Kind::AvailabilityZone, name) {
            Some(Spec::AvailabilityZone(zone)) => Some(zone),
            _ => None,
        }
    }

    /// The target `name`.
    ///
    /// ```
    /// use hornbeamloom_kernel::intent::Intent;
    ///
    /// let intent = Intent::default();
    /// assert!(intent.target("engine-a1").is_none());
    /// ```
    pub fn target(&self, name: &str) -> Option<&resource::Target> {
        let declared = self.spec(Kind::Target, name);
        match declared.or_else(|| self.discovered.get(name)?.spec()) {
            Some(Spec::Target(target)) => Some(target),
            _ => None,
        }
    }

    /// The routes in force, by name.
    pub fn routes(&self) -> impl Iterator<Item = (&Name, &resource::Route)> {
        let held = self.books[Kind::Route as usize].iter();
        held.filter_map(|(name, held)| match held.spec() {
            Some(Spec::Route(route)) => Some((name, route)),
            _ => None,
        })
    }

    /// The configuration `name`.
    pub fn configuration(&self, name: &str) -> Option<&resource::Configuration> {
        match self.spec(Kind::Configuration, name) {
            Some(Spec::Configuration(configuration)) => Some(configuration),
            _ => None,
        }
    }

    /// The configuration that governs `service`: the one it names, else the one named `default`.
    pub fn governing(&self, service: &str) -> Option<&resource::Configuration> {
        let named = self.service(service)?.configuration.as_deref();
        self.configuration(named.unwrap_or("default"))
    }

    /// All targets by name.
    pub fn targets(&self) -> Vec<(&Name, &resource::Target)> {
        let declared = &self.books[Kind::Target as usize];
        let found = self.discovered.keys().filter(|name| !declared.contains_key(*name));
        let names = declared.keys().chain(found);
        let mut targets: Vec<_> =
            names.filter_map(|name| Some((name, self.target(name)?))).collect();
        targets.sort_by_key(|(name, _)| *name);
        targets
    }

    /// The pools of `service`, ordered by zone; none if it has no targets.
    ///
    /// ```
    /// use hornbeamloom_kernel::intent::Intent;
    ///
    /// assert!(Intent::default().pools_of("menu-model").is_empty());
    /// ```
    pub fn pools_of(&self, service: &str) -> &[Group] {
        self.pools.get(service).map_or(&[], Vec::as_slice)
    }

    /// The targets of one pool, ordered by name, without an allocation.
    ///
    /// ```
    /// use hornbeamloom_kernel::intent::Intent;
    ///
    /// assert_eq!(Intent::default().pool_targets("menu-model", "riga-a").count(), 0);
    /// ```
    pub fn pool_targets<'a>(
        &'a self,
        service: &str,
        zone: &str,
    ) -> impl Iterator<Item = (&'a Name, &'a resource::Target)> {
        let group = self.pools_of(service).iter().find(|group| *group.key.zone == *zone);
        let names = group.map_or(&[][..], |group| &group.targets);
        names.iter().filter_map(|name| Some((name, self.target(name)?)))
    }

    /// The pools of one availability zone that have targets, ordered by service.
    pub fn pools_in(&self, zone: &str) -> Vec<&pool::Key> {
        let groups = self.pools.values().flatten();
        let mut keys: Vec<_> =
            groups.map(|group| &group.key).filter(|key| *key.zone == *zone).collect();
        keys.sort();
        keys
    }

    /// All records, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.books.iter().flat_map(|book| book.values().map(|held| &held.record))
    }

    /// Whether operators have taken the zone out.
    ///
    /// ```
    /// use hornbeamloom_kernel::intent::Intent;
    ///
    /// let intent = Intent::default();
    /// assert!(!intent.is_out("lodz-a"));
    /// ```
    pub fn is_out(&self, zone: &str) -> bool {
        self.zone(zone).is_some_and(|zone| zone.state == resource::Presence::Out)
    }

    /// What a VM at revision `from` needs to reach this VM's revision.
    ///
    /// It is the complete set where deletions after `from` may have been forgotten here.
    pub fn changes(&self, from: Revision) -> Delta {
        let complete = from < self.floor;
        let mut records: Vec<Record> =
            self.records().filter(|record| complete || record.version > from).cloned().collect();
        records.sort_by(|left, right| (left.version, &left.key).cmp(&(right.version, &right.key)));
        Delta { from, to: self.revision, complete, records }
    }

    fn version(&self, key: &resource::Key) -> Option<Revision> {
        let held = self.books[key.kind as usize].get(&key.name)?;
        Some(held.record.version)
    }

    fn put(&mut self, record: &Record, now: Millis) {
        if record.spec.is_none() {
            self.tombstones.push((now, record.key.clone(), record.version));
        }
        let held = Held { record: record.clone(), fault: None };
        self.books[record.key.kind as usize].insert(record.key.name.clone(), held);
    }

    /// Removes what a complete set does not contain.
    fn retain(&mut self, delta: &Delta) {
        let kept: Set<&resource::Key> = delta.records.iter().map(|record| &record.key).collect();
        for book in &mut self.books {
            book.retain(|_, held| kept.contains(&held.record.key));
        }
        // Deletions between the old and the new revision were not seen here.
        self.floor = delta.to;
    }

    fn forget_tombstones(&mut self, now: Millis) {
        let excess = self.tombstones.len().saturating_sub(TOMBSTONES);
        let old = self.tombstones.iter().take_while(|(at, ..)| now.since(*at) >= TOMBSTONE_MS);
        let forgotten = old.count().max(excess);
        for (_, key, version) in self.tombstones.drain(..forgotten) {
            let book = &mut self.books[key.kind as usize];
            // A resource that was created again has a newer version.
            if book.get(&key.name).is_some_and(|held| held.record.version == version) {
                book.remove(&key.name);
            }
            self.floor = self.floor.max(version);
        }
    }

    /// Decides anew which records are in force; returns those that newly are not, with the fault.
    fn settle(&mut self) -> Vec<(&'static str, resource::Key)> {
        let mut faults = Vec::new();
        // A dangling service makes its targets dangle, and configurations come first of all.
        for kind in Kind::ALL {
            let names: Vec<Name> = self.books[kind as usize].keys().cloned().collect();
            for name in names {
                let held = &self.books[kind as usize][&name];
                let fault = fault(self, &held.record);
                if fault.is_some() && fault != held.fault {
                    faults.extend(fault.map(|fault| (fault, held.record.key.clone())));
                }
                if let Some(held) = self.books[kind as usize].get_mut(&name) {
                    held.fault = fault;
                }
            }
        }
        faults.sort();
        let names: Vec<Name> = self.discovered.keys().cloned().collect();
        for name in names {
            let fault = fault(self, &self.discovered[&name].record);
            if let Some(held) = self.discovered.get_mut(&name) {
                held.fault = fault;
            }
        }
        self.pools = group(self);
        self.generation += 1;
        faults
    }

    /// Versions of the targets that were discovered.
    pub(crate) fn discovered(&self) -> impl Iterator<Item = (&Name, Revision)> {
        self.discovered.iter().map(|(name, held)| (name, held.record.version))
    }

    /// Takes in targets that were found, in newer versions, or are gone.
    pub(crate) fn discover(&mut self, found: &[Record], gone: &[Name]) {
        for record in found {
            let known = self.discovered.get(&record.key.name).map(|held| held.record.version);
            if known < Some(record.version) {
                let held = Held { record: record.clone(), fault: None };
                self.discovered.insert(record.key.name.clone(), held);
            }
        }
        for name in gone {
            self.discovered.remove(name);
        }
        self.settle();
    }
}

fn group(intent: &Intent) -> Map<Name, Vec<Group>> {
    let mut pools: Map<Name, Vec<Group>> = Map::default();
    for (name, target) in intent.targets() {
        let groups = pools.entry(target.service.clone()).or_default();
        match groups.iter_mut().find(|group| group.key.zone == target.zone) {
            Some(group) => group.targets.push(name.clone()),
            None => groups.push(Group {
                key: pool::Key { service: target.service.clone(), zone: target.zone.clone() },
                targets: vec![name.clone()],
            }),
        }
    }
    for groups in pools.values_mut() {
        groups.sort_by(|left, right| left.key.cmp(&right.key));
    }
    pools
}

/// Why a record is not in force. An organisation that names a service that does not exist keeps
/// its other services: such a name allows nothing.
fn fault(intent: &Intent, record: &Record) -> Option<&'static str> {
    let spec = record.spec.as_ref()?;
    if spec.kind() != record.key.kind {
        return Some("record_corrupt");
    }
    if text_bytes(record) > RECORD_BYTES {
        return Some("record_oversized");
    }
    let is_sound = match spec {
        // A weight of zero would be a division by zero in the accounts.
        Spec::Organisation(organisation) if organisation.weight == 0 => {
            return Some("record_corrupt")
        }
        Spec::Target(target) => {
            intent.service(&target.service).is_some() && intent.zone(&target.zone).is_some()
        }
        Spec::Service(service) => match service.configuration.as_deref() {
            Some(name) => intent.configuration(name).is_some(),
            None => true,
        },
        _ => true,
    };
    (!is_sound).then_some("record_dangling")
}

/// Bytes of the texts that operators choose freely.
fn text_bytes(record: &Record) -> usize {
    let labels = record.labels.iter().map(|(name, value)| name.len() + value.len());
    let spec = match &record.spec {
        Some(Spec::Organisation(organisation)) => {
            let keys = organisation.keys.iter().map(String::len);
            let services = organisation.services.iter().map(|name| name.len());
            keys.chain(services).sum()
        }
        Some(Spec::Service(service)) => service.once_methods.iter().map(String::len).sum(),
        Some(Spec::Target(target)) => target.address.len(),
        Some(Spec::Configuration(configuration)) => {
            let names = configuration.models.iter().chain(&configuration.adapters);
            names.map(|name| name.len()).sum()
        }
        Some(Spec::AvailabilityZone(zone)) => zone.region.len(),
        Some(Spec::Route(route)) => {
            let services = route.shares.iter().map(|share| share.service.len());
            route.host.len() + route.path_prefix.len() + services.sum::<usize>()
        }
        None => 0,
    };
    record.key.name.len() + labels.sum::<usize>() + spec
}

inventory::submit! {
    control::Plugin { name: "intent", rank: 10, handle, wakeup: |_| None }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::Changes(delta) => apply(state, delta, None, now, out),
        Event::TableHead(revision) => head(state, *revision, out),
        Event::Peer { from, message } => match message {
            Message::Delta(delta) => apply(state, delta, Some(from), now, out),
            Message::Pull { from: revision } => answer(state, from, *revision, out),
            Message::Gossip(gossip) => heard(state, from, gossip, now, out),
            _ => {}
        },
        _ => {}
    }
}

/// The table's head is not newer than the revision in force.
fn head(state: &mut State, revision: Revision, out: &mut Outbox) {
    let intent = &mut state.intent;
    if revision < intent.revision {
        // A restored store: what is in force stays in force.
        out.count(Counter::Ignored("store_regressed"));
        return;
    }
    if intent.source == Source::Peer {
        intent.source = Source::Store;
        out.push(Outcome::Publish);
    }
}

fn answer(state: &State, peer: &str, revision: Revision, out: &mut Outbox) {
    if revision < state.intent.revision {
        let delta = state.intent.changes(revision);
        out.send(&peer.into(), Message::Delta(delta));
    }
}

/// Asks a peer that gossips a newer revision than ours for the changes.
fn heard(state: &mut State, peer: &str, gossip: &Gossip, now: Millis, out: &mut Outbox) {
    let own = gossip.entries.first().filter(|entry| *entry.vm == *peer);
    let Some(own) = own else {
        return;
    };
    if own.revision > state.intent.revision {
        pull(state, peer, now, out);
    }
}

fn pull(state: &mut State, peer: &str, now: Millis, out: &mut Outbox) {
    let intent = &mut state.intent;
    if intent.pulled.is_some_and(|at| now.since(at) < PULL_MS) {
        return;
    }
    intent.pulled = Some(now);
    let from = intent.revision;
    out.send(&peer.into(), Message::Pull { from });
}

fn apply(state: &mut State, delta: &Delta, peer: Option<&str>, now: Millis, out: &mut Outbox) {
    let intent = &mut state.intent;
    if delta.to <= intent.revision {
        let label = match peer {
            None if delta.to < intent.revision => "store_regressed",
            _ => "delta_old",
        };
        return out.count(Counter::Ignored(label));
    }
    if !delta.complete && delta.from > intent.revision {
        out.count(Counter::Ignored("delta_gap"));
        if let Some(peer) = peer {
            pull(state, peer, now, out);
        }
        return;
    }
    take(intent, delta, now, out);
    intent.source = match peer {
        Some(_) => Source::Peer,
        None => Source::Store,
    };
    for (fault, key) in intent.settle() {
        out.count(Counter::Ignored(fault));
        out.warn(format!(
            "kind={} name={} fault={fault} resource ignored",
            key.kind.plural(),
            key.name
        ));
    }
    out.push(Outcome::Publish);
    push(state, delta, peer, out);
}

fn take(intent: &mut Intent, delta: &Delta, now: Millis, out: &mut Outbox) {
    if delta.complete {
        intent.retain(delta);
    }
    for record in &delta.records {
        if record.version > delta.to {
            out.count(Counter::Ignored("record_version"));
        } else if intent.version(&record.key) < Some(record.version) {
            intent.put(record, now);
        }
    }
    intent.revision = delta.to;
    // The answer to a question is here; a further one need not wait.
    intent.pulled = None;
    intent.forget_tombstones(now);
}

/// Passes a new revision on. Complete sets are large and are sent only where they are asked for.
fn push(state: &mut State, delta: &Delta, from: Option<&str>, out: &mut Outbox) {
    if delta.complete {
        return;
    }
    for peer in state.members.sample(PUSHES) {
        if Some(&*peer) != from {
            out.send(&peer, Message::Delta(delta.clone()));
        }
    }
}
