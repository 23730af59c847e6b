//! The resources in force on this VM, under one revision that never decreases.

use crate::event::Event;
use crate::ids::{Millis, Name, Revision};
use crate::kernel::{Outbox, State};
use crate::outcome::{Counter, Outcome};
use crate::peer::{Delta, Message};
use crate::plugin::control;
use crate::resource::{self, Book, Kind, Record, Spec};

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

/// The resources in force.
#[derive(Debug, Clone, Default)]
pub struct Intent {
    /// The revision in force.
    pub revision: Revision,
    /// Where it came from.
    pub source: Source,
    book: Book,
}

impl Intent {
    fn spec(&self, kind: Kind, name: &str) -> Option<&Spec> {
        let key = resource::Key {
            kind,
            name: name.into(),
        };
        self.book.get(&key).and_then(|record| record.spec.as_ref())
    }

    /// The organisation `name`.
    pub fn organisation(&self, name: &str) -> Option<&resource::Organisation> {
        match self.spec(Kind::Organisation, name) {
            Some(Spec::Organisation(organisation)) => Some(organisation),
            _ => None,
        }
    }

    /// The service `name`.
    pub fn service(&self, name: &str) -> Option<&resource::Service> {
        match self.spec(Kind::Service, name) {
            Some(Spec::Service(service)) => Some(service),
            _ => None,
        }
    }

    /// The availability zone `name`.
    pub fn zone(&self, name: &str) -> Option<&resource::AvailabilityZone> {
        match self.spec(Kind::AvailabilityZone, name) {
            Some(Spec::AvailabilityZone(zone)) => Some(zone),
            _ => None,
        }
    }

    /// The target `name`.
    pub fn target(&self, name: &str) -> Option<&resource::Target> {
        match self.spec(Kind::Target, name) {
            Some(Spec::Target(target)) => Some(target),
            _ => None,
        }
    }

    /// The configuration `name`.
    pub fn configuration(&self, name: &str) -> Option<&resource::Configuration> {
        match self.spec(Kind::Configuration, name) {
            Some(Spec::Configuration(configuration)) => Some(configuration),
            _ => None,
        }
    }

    /// All targets by name.
    pub fn targets(&self) -> Vec<(&Name, &resource::Target)> {
        let mut targets: Vec<_> = self
            .book
            .values()
            .filter_map(|record| match &record.spec {
                Some(Spec::Target(target)) => Some((&record.key.name, target)),
                _ => None,
            })
            .collect();
        targets.sort_by_key(|(name, _)| *name);
        targets
    }

    /// All records, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.book.values()
    }

    /// Whether operators have taken the zone out.
    pub fn is_out(&self, zone: &str) -> bool {
        self.zone(zone)
            .is_some_and(|zone| zone.state == resource::Presence::Out)
    }
}

inventory::submit! {
    control::Plugin { name: "intent", rank: 10, handle, wakeup: |_| None }
}

fn handle(state: &mut State, event: &Event<'_>, _now: Millis, out: &mut Outbox) {
    match event {
        Event::Changes(delta) => apply(state, delta, Source::Store, out),
        Event::Peer {
            message: Message::Delta(delta),
            ..
        } => {
            apply(state, delta, Source::Peer, out);
        }
        _ => {}
    }
}

fn apply(state: &mut State, delta: &Delta, source: Source, out: &mut Outbox) {
    let intent = &mut state.intent;
    let is_gap = !delta.complete && delta.from > intent.revision;
    if delta.to <= intent.revision || is_gap {
        out.count(Counter::Ignored("delta"));
        return;
    }
    for record in &delta.records {
        let current = intent.book.get(&record.key).map(|record| record.version);
        if current < Some(record.version) {
            intent.book.insert(record.key.clone(), record.clone());
        }
    }
    intent.revision = delta.to;
    intent.source = source;
    out.push(Outcome::Publish);
}
