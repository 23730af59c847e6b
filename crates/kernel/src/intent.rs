//! The active resources of this VM, under a single revision that never decreases.
//!
//! Every record of a delta is stored so that it can be forwarded to peers, but only valid records
//! without dangling references are active. A referenced record may arrive after the record that
//! refers to it, so all records are re-validated on every change.

use std::sync::Arc;

use crate::event::Event;
use crate::feed::Table;
use crate::ids::{Millis, Name, Revision};
use crate::ingress::RouteIndex;
use crate::kernel::{Outbox, State};
use crate::map::{Map, Set};
use crate::outcome::{Counter, Outcome};
use crate::peer::{Delta, Gossip, Message};
use crate::plugin::control;
use crate::pool;
use crate::resource::{self, Kind, Record, Spec};
use crate::spread;

/// Number of peers to which a new revision is pushed at once. The others learn of it through gossip
/// or read it from the store.
const PUSH_FANOUT: usize = 3;
/// Time to wait for the answer to a pull before another one is sent.
const PULL_TIMEOUT_MS: u64 = 1_000;
/// Minimum time for which tombstones are kept, so that a peer that was unreachable still learns of
/// the deletion.
const TOMBSTONE_RETENTION_MS: u64 = 3_600_000;
/// Maximum number of tombstones kept; the oldest are dropped first.
const MAX_TOMBSTONES: usize = 4_096;
/// Maximum total length of the texts in a record, in bytes.
const MAX_RECORD_BYTES: usize = 64 << 10;

/// The origin of the active revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Source {
    /// No resources are active yet.
    #[default]
    None,
    /// The platform's store.
    Store,
    /// A peer.
    Peer,
}

/// A record, and the reason why it is inactive, if it is.
#[derive(Debug, Clone)]
struct StoredRecord {
    /// Shared, because the traffic threads get a snapshot of all records after each change.
    record: Arc<Record>,
    rejection: Option<&'static str>,
}

impl StoredRecord {
    /// The specification, if the record is active.
    fn spec(&self) -> Option<&Spec> {
        self.record.spec.as_ref().filter(|_| self.rejection.is_none())
    }
}

/// The targets of one pool.
#[derive(Debug, Clone)]
pub struct PoolTargets {
    /// The pool.
    pub key: pool::Key,
    /// Names of its targets, sorted.
    pub targets: Vec<Name>,
}

/// The active resources.
#[derive(Debug, Clone, Default)]
pub struct Intent {
    /// The active revision.
    pub revision: Revision,
    /// Number of changes applied on this VM, including changes of discovered targets.
    pub generation: u64,
    /// The operators' own number of the active resources; zero if they keep none.
    sequence: u64,
    /// Where the revision came from.
    pub source: Source,
    /// One map per kind, so that lookups need no owned key.
    by_kind: [Map<Name, StoredRecord>; Kind::ALL.len()],
    /// Targets discovered by the platform, in addition to those declared by operators.
    discovered: Map<Name, StoredRecord>,
    route_index: Arc<RouteIndex>,
    /// Pools by service, ordered by zone.
    pools: Map<Name, Vec<PoolTargets>>,
    /// Tombstones in order of arrival.
    tombstones: Vec<(Millis, resource::Key, Revision)>,
    /// Tombstones up to this revision may have been dropped.
    compacted_revision: Revision,
    last_pull_at: Option<Millis>,
}

impl Intent {
    fn spec(&self, kind: Kind, name: &str) -> Option<&Spec> {
        self.by_kind[kind as usize].get(name)?.spec()
    }

    /// The active organisation called `name`.
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

    /// The active service called `name`.
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

    /// The active availability zone called `name`.
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

    /// The active target called `name`, declared or discovered.
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

    /// The active routes with their names.
    pub fn routes(&self) -> impl Iterator<Item = (&Name, &resource::Route)> {
        let stored = self.by_kind[Kind::Route as usize].iter();
        stored.filter_map(|(name, stored)| match stored.spec() {
            Some(Spec::Route(route)) => Some((name, route)),
            _ => None,
        })
    }

    /// The active route called `name`.
    pub(crate) fn route(&self, name: &str) -> Option<&resource::Route> {
        match self.spec(Kind::Route, name) {
            Some(Spec::Route(route)) => Some(route),
            _ => None,
        }
    }

    pub(crate) fn route_index(&self) -> &RouteIndex {
        &self.route_index
    }

    /// The active configuration called `name`.
    pub fn configuration(&self, name: &str) -> Option<&resource::Configuration> {
        match self.spec(Kind::Configuration, name) {
            Some(Spec::Configuration(configuration)) => Some(configuration),
            _ => None,
        }
    }

    /// The configuration that applies to `service`: the one it refers to, or else `default`.
    pub fn configuration_for(&self, service: &str) -> Option<&resource::Configuration> {
        let named = self.service(service)?.configuration.as_deref();
        self.configuration(named.unwrap_or("default"))
    }

    /// Whether VMs choose among the pools of `service` by [`crate::spread`].
    pub(crate) fn spreads_load(&self, service: &str) -> bool {
        self.configuration_for(service).is_some_and(|config| *config.policy.pools == *spread::NAME)
    }

    /// All active targets, sorted by name.
    pub fn targets(&self) -> Vec<(&Name, &resource::Target)> {
        let declared = &self.by_kind[Kind::Target as usize];
        let found = self.discovered.keys().filter(|name| !declared.contains_key(*name));
        let names = declared.keys().chain(found);
        let mut targets: Vec<_> =
            names.filter_map(|name| Some((name, self.target(name)?))).collect();
        targets.sort_by_key(|(name, _)| *name);
        targets
    }

    /// The pools of `service`, sorted by zone; empty if the service has no targets.
    ///
    /// ```
    /// use hornbeamloom_kernel::intent::Intent;
    ///
    /// assert!(Intent::default().pools_of_service("menu-model").is_empty());
    /// ```
    pub fn pools_of_service(&self, service: &str) -> &[PoolTargets] {
        self.pools.get(service).map_or(&[], Vec::as_slice)
    }

    /// The targets of one pool, sorted by name. Does not allocate.
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
        let group = self.pools_of_service(service).iter().find(|group| *group.key.zone == *zone);
        let names = group.map_or(&[][..], |group| &group.targets);
        names.iter().filter_map(|name| Some((name, self.target(name)?)))
    }

    /// The pools of a zone that have targets, sorted by service.
    pub fn pools_in_zone(&self, zone: &str) -> Vec<&pool::Key> {
        let groups = self.pools.values().flatten();
        let mut keys: Vec<_> =
            groups.map(|group| &group.key).filter(|key| *key.zone == *zone).collect();
        keys.sort();
        keys
    }

    /// All stored records, including tombstones and inactive records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.by_kind.iter().flat_map(|records| records.values().map(|stored| &*stored.record))
    }

    /// Whether operators have taken the zone out of service.
    ///
    /// ```
    /// use hornbeamloom_kernel::intent::Intent;
    ///
    /// let intent = Intent::default();
    /// assert!(!intent.is_zone_out("lodz-a"));
    /// ```
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.zone(zone).is_some_and(|zone| zone.state == resource::ZoneState::OutOfService)
    }

    /// The changes that bring a VM from revision `from` to this VM's revision.
    ///
    /// Returns the complete set if tombstones newer than `from` may have been dropped.
    pub fn changes_since(&self, from: Revision) -> Delta {
        let complete = from < self.compacted_revision;
        let mut records: Vec<Record> =
            self.records().filter(|record| complete || record.version > from).cloned().collect();
        records.sort_by(|left, right| (left.version, &left.key).cmp(&(right.version, &right.key)));
        Delta { from, to: self.revision, sequence: self.sequence, complete, records }
    }

    fn version(&self, key: &resource::Key) -> Option<Revision> {
        let stored = self.by_kind[key.kind as usize].get(&key.name)?;
        Some(stored.record.version)
    }

    fn insert(&mut self, record: &Record, now: Millis) {
        if record.spec.is_none() {
            self.tombstones.push((now, record.key.clone(), record.version));
        }
        let stored = StoredRecord { record: Arc::new(record.clone()), rejection: None };
        self.by_kind[record.key.kind as usize].insert(record.key.name.clone(), stored);
    }

    /// Removes the records that a complete set does not contain.
    fn retain_listed(&mut self, delta: &Delta) {
        let kept: Set<&resource::Key> = delta.records.iter().map(|record| &record.key).collect();
        for records in &mut self.by_kind {
            records.retain(|_, stored| kept.contains(&stored.record.key));
        }
        // Deletions between the previous and the new revision were not observed here.
        self.compacted_revision = delta.to;
    }

    fn prune_tombstones(&mut self, now: Millis) {
        let excess = self.tombstones.len().saturating_sub(MAX_TOMBSTONES);
        let old =
            self.tombstones.iter().take_while(|(at, ..)| now.since(*at) >= TOMBSTONE_RETENTION_MS);
        let forgotten = old.count().max(excess);
        for (_, key, version) in self.tombstones.drain(..forgotten) {
            let records = &mut self.by_kind[key.kind as usize];
            // A resource that was created again has a newer version and stays.
            if records.get(&key.name).is_some_and(|stored| stored.record.version == version) {
                records.remove(&key.name);
            }
            self.compacted_revision = self.compacted_revision.max(version);
        }
    }

    /// Re-validates all records. Returns those that became inactive, with the reason.
    fn revalidate(&mut self) -> Vec<(&'static str, resource::Key)> {
        let mut rejected = Vec::new();
        // `Kind::ALL` lists a kind after the kinds it refers to, so that an inactive service also
        // deactivates its targets.
        for kind in Kind::ALL {
            let names: Vec<Name> = self.by_kind[kind as usize].keys().cloned().collect();
            for name in names {
                let stored = &self.by_kind[kind as usize][&name];
                let rejection = rejection_reason(self, &stored.record);
                if rejection.is_some() && rejection != stored.rejection {
                    rejected
                        .extend(rejection.map(|rejection| (rejection, stored.record.key.clone())));
                }
                if let Some(stored) = self.by_kind[kind as usize].get_mut(&name) {
                    stored.rejection = rejection;
                }
            }
        }
        rejected.sort();
        self.route_index = Arc::new(RouteIndex::new(self.routes()));
        self.revalidate_discovered();
        rejected
    }

    /// Re-validates the discovered targets. Declared records do not depend on them.
    fn revalidate_discovered(&mut self) {
        let names: Vec<Name> = self.discovered.keys().cloned().collect();
        for name in names {
            let rejection = rejection_reason(self, &self.discovered[&name].record);
            if let Some(stored) = self.discovered.get_mut(&name) {
                stored.rejection = rejection;
            }
        }
        self.pools = group_by_pool(self);
        self.generation += 1;
    }

    /// Names and versions of the discovered targets.
    pub(crate) fn discovered(&self) -> impl Iterator<Item = (&Name, Revision)> {
        self.discovered.iter().map(|(name, stored)| (name, stored.record.version))
    }

    /// Adds or updates the targets in `found` that are not older than the known ones, and drops those
    /// in `removed`. A record changes under its version when the configuration does.
    pub(crate) fn apply_discovered(&mut self, found: &[Record], removed: &[Name]) {
        for record in found {
            let known = self.discovered.get(&record.key.name).map(|stored| stored.record.version);
            if known <= Some(record.version) {
                let stored = StoredRecord { record: Arc::new(record.clone()), rejection: None };
                self.discovered.insert(record.key.name.clone(), stored);
            }
        }
        for name in removed {
            self.discovered.remove(name);
        }
        self.revalidate_discovered();
    }
}

fn group_by_pool(intent: &Intent) -> Map<Name, Vec<PoolTargets>> {
    let mut pools: Map<Name, Vec<PoolTargets>> = Map::default();
    for (name, target) in intent.targets() {
        let groups = pools.entry(target.service.clone()).or_default();
        match groups.iter_mut().find(|group| group.key.zone == target.zone) {
            Some(group) => group.targets.push(name.clone()),
            None => groups.push(PoolTargets {
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

/// Returns why a record is inactive, if it is. An organisation that refers to a nonexistent service
/// stays active with its other services: the nonexistent one grants no access.
fn rejection_reason(intent: &Intent, record: &Record) -> Option<&'static str> {
    let spec = record.spec.as_ref()?;
    if spec.kind() != record.key.kind {
        return Some("record_corrupt");
    }
    if text_bytes(record) > MAX_RECORD_BYTES {
        return Some("record_oversized");
    }
    let is_valid = match spec {
        // A weight of zero would cause a division by zero.
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
    (!is_valid).then_some("record_dangling")
}

/// Total length of the texts that operators choose freely, in bytes.
fn text_bytes(record: &Record) -> usize {
    let labels = record.labels.iter().map(|(name, value)| name.len() + value.len());
    let spec = match &record.spec {
        Some(Spec::Organisation(organisation)) => {
            let keys = organisation.keys.iter().map(String::len);
            let services = organisation.services.iter().map(|name| name.len());
            keys.chain(services).sum()
        }
        Some(Spec::Service(service)) => service.once_methods.iter().map(String::len).sum(),
        Some(Spec::Target(target)) => {
            target.address.len() + target.version.as_ref().map_or(0, |version| version.len())
        }
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
        Event::Changes(delta) => apply_delta(state, delta, None, now, out),
        Event::TableHead(revision) => handle_head(state, *revision, out),
        Event::Peer { from, message } => match message {
            Message::Delta(delta) => apply_delta(state, delta, Some(from), now, out),
            Message::Pull { from: revision } => answer_pull(state, from, *revision, out),
            Message::Gossip(gossip) => handle_gossip(state, from, gossip, now, out),
            _ => {}
        },
        _ => {}
    }
}

/// Handles a store head that is not newer than the active revision.
fn handle_head(state: &mut State, revision: Revision, out: &mut Outbox) {
    let intent = &mut state.intent;
    if revision < intent.revision {
        // The store was restored from a backup; keep the newer active resources.
        out.count(Counter::Ignored("store_regressed"));
        return;
    }
    if intent.source == Source::Peer {
        intent.source = Source::Store;
        out.push(Outcome::Publish);
    }
}

fn answer_pull(state: &State, peer: &str, revision: Revision, out: &mut Outbox) {
    if revision < state.intent.revision {
        let delta = state.intent.changes_since(revision);
        out.send(&peer.into(), Message::Delta(delta));
    }
}

/// Requests the changes from a peer whose gossip carries a newer revision.
///
/// A VM whose copy of the platform's table is current gets the change with the next update of that
/// copy, which is smaller than a complete set of resources.
fn handle_gossip(state: &mut State, peer: &str, gossip: &Gossip, now: Millis, out: &mut Outbox) {
    let own = gossip.entries.first().filter(|entry| *entry.vm == *peer);
    let Some(own) = own else {
        return;
    };
    let is_replicated = state.feeds.is_within_age_limit(Table::Resources, now);
    if own.revision > state.intent.revision && !is_replicated {
        pull(state, peer, now, out);
    }
}

fn pull(state: &mut State, peer: &str, now: Millis, out: &mut Outbox) {
    let intent = &mut state.intent;
    if intent.last_pull_at.is_some_and(|at| now.since(at) < PULL_TIMEOUT_MS) {
        return;
    }
    intent.last_pull_at = Some(now);
    let from = intent.revision;
    out.send(&peer.into(), Message::Pull { from });
}

fn apply_delta(
    state: &mut State,
    delta: &Delta,
    peer: Option<&str>,
    now: Millis,
    out: &mut Outbox,
) {
    let intent = &mut state.intent;
    if delta.to <= intent.revision {
        let label = match peer {
            None if delta.to < intent.revision => "store_regressed",
            _ => "delta_old",
        };
        if delta.sequence > intent.sequence {
            // The active revision stands for changes that the active resources do not contain.
            log_ignored(intent, delta, out);
        }
        return out.count(Counter::Ignored(label));
    }
    // The store or a peer went back to an older copy that operators have not replaced yet.
    if delta.sequence < intent.sequence {
        log_ignored(intent, delta, out);
        return out.count(Counter::Ignored("store_regressed"));
    }
    if !delta.complete && delta.from > intent.revision {
        out.count(Counter::Ignored("delta_gap"));
        if let Some(peer) = peer {
            pull(state, peer, now, out);
        }
        return;
    }
    merge_delta(intent, delta, now, out);
    intent.source = match peer {
        Some(_) => Source::Peer,
        None => Source::Store,
    };
    for (rejection, key) in intent.revalidate() {
        out.count(Counter::Ignored(rejection));
        out.warn(format!(
            "kind={} name={} fault={rejection} resource ignored",
            key.kind.plural(),
            key.name
        ));
    }
    let source = peer.unwrap_or("store");
    let Delta { to, sequence, .. } = delta;
    out.log(format!("resources in force revision={} sequence={sequence} from={source}", to.0));
    out.push(Outcome::Publish);
    push_to_peers(state, delta, peer, out);
}

/// Logs that a set of resources is not applied although its sequence differs from the active one.
fn log_ignored(intent: &Intent, delta: &Delta, out: &mut Outbox) {
    let Delta { to, sequence, .. } = delta;
    let known = intent.sequence;
    out.log(format!("resources ignored revision={} sequence={sequence} known={known}", to.0));
}

fn merge_delta(intent: &mut Intent, delta: &Delta, now: Millis, out: &mut Outbox) {
    if delta.complete {
        intent.retain_listed(delta);
    }
    for record in &delta.records {
        if record.version > delta.to {
            out.count(Counter::Ignored("record_version"));
        } else if intent.version(&record.key) < Some(record.version) {
            intent.insert(record, now);
        }
    }
    intent.revision = delta.to;
    intent.sequence = delta.sequence;
    // The pull has been answered, so the next one may be sent at once.
    intent.last_pull_at = None;
    intent.prune_tombstones(now);
}

/// Pushes a new revision to peers. Complete sets are large and are sent only on request.
fn push_to_peers(state: &mut State, delta: &Delta, from: Option<&str>, out: &mut Outbox) {
    if delta.complete {
        return;
    }
    for peer in state.members.sample(PUSH_FANOUT) {
        if Some(&*peer) != from {
            out.send(&peer, Message::Delta(delta.clone()));
        }
    }
}
