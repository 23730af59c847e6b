//! Gossip rounds: who is told what.
//!
//! A message holds the sender's entry, a few whole entries and more heartbeats, at most [`OTHERS`]
//! in all, whatever the size of the fleet.

use std::collections::VecDeque;

use crate::ids::{Millis, Name};
use crate::kernel::{Identity, Outbox, State};
use crate::map::Map;
use crate::member::{self, Member, Table, View, ROUND_MS};
use crate::peer::{Beat, Entry, Gossip, Message};
use crate::random::Random;

/// Entries and heartbeats of others in a message at most.
pub(crate) const OTHERS: usize = 48;
/// Recently changed entries in a message at most.
const NEWS: usize = 12;
/// Unchanged entries in a message, for VMs that missed a change.
const WINDOW: usize = 2;
/// Heartbeats of the own zone in a message: its limits are the shortest.
const OWN_ZONE_BEATS: usize = 24;
/// Heartbeats of other zones in a message.
const OTHER_ZONE_BEATS: usize = 10;
/// Peers in a round.
pub(crate) const PEERS: usize = 3;
/// Peers of the own zone among them.
const OWN_ZONE_PEERS: usize = 2;
/// Every so many rounds a VM that is dead in view is told too, so that the end of a partition is
/// noticed.
const REVIVE_ROUNDS: u64 = 4;
/// Rounds between two messages to a seed that has not answered, after the first few.
const SEED_ROUNDS: u64 = 8;
/// Rounds in which every unanswered seed is contacted.
const EAGER_SEED_ROUNDS: u64 = 4;

/// VMs in a shuffled order and the place reached.
#[derive(Debug, Default)]
struct Ring {
    vms: Vec<Name>,
    next: usize,
}

impl Ring {
    fn join(&mut self, vm: &Name, random: &mut Random) {
        let at = random.below(self.vms.len() + 1);
        self.vms.insert(at, vm.clone());
    }

    fn leave(&mut self, vm: &Name) {
        self.vms.retain(|other| other != vm);
    }

    /// The next VM that `wanted` accepts, after at most one turn.
    fn turn(&mut self, wanted: impl Fn(&Name) -> bool) -> Option<Name> {
        for _ in 0..self.vms.len() {
            let ix = self.next % self.vms.len();
            self.next = ix + 1;
            if wanted(&self.vms[ix]) {
                return Some(self.vms[ix].clone());
            }
        }
        None
    }
}

/// What is remembered from one round to the next.
#[derive(Debug)]
pub(crate) struct Rounds {
    due: Millis,
    count: u64,
    random: Random,
    seeds: Vec<Name>,
    own_zone: Ring,
    other_zones: Ring,
    /// Places of the rotating window of entries and heartbeats, apart from the choice of peers.
    entries: Ring,
    own_beats: Ring,
    other_beats: Ring,
    /// Changed VMs and in how many more messages they are told.
    news: VecDeque<(Name, usize)>,
}

impl Rounds {
    pub(crate) fn new(identity: &Identity, random: Random) -> Rounds {
        let is_other = |seed: &&Name| ***seed != *identity.peer_address;
        Rounds {
            due: Millis(0),
            count: 0,
            random,
            seeds: identity.seeds.iter().filter(is_other).cloned().collect(),
            own_zone: Ring::default(),
            other_zones: Ring::default(),
            entries: Ring::default(),
            own_beats: Ring::default(),
            other_beats: Ring::default(),
            news: VecDeque::new(),
        }
    }

    pub(crate) fn due(&self) -> Millis {
        self.due
    }

    /// The seed with this address.
    pub(crate) fn seed(&self, address: &str) -> Option<Name> {
        self.seeds.iter().find(|seed| ***seed == *address).cloned()
    }

    pub(crate) fn join(&mut self, vm: &Name, is_own_zone: bool) {
        let (peers, beats) = match is_own_zone {
            true => (&mut self.own_zone, &mut self.own_beats),
            false => (&mut self.other_zones, &mut self.other_beats),
        };
        peers.join(vm, &mut self.random);
        beats.join(vm, &mut self.random);
        self.entries.join(vm, &mut self.random);
    }

    pub(crate) fn leave(&mut self, vm: &Name) {
        let rings = [
            &mut self.own_zone,
            &mut self.other_zones,
            &mut self.entries,
            &mut self.own_beats,
            &mut self.other_beats,
        ];
        for ring in rings {
            ring.leave(vm);
        }
        self.news.retain(|(changed, _)| changed != vm);
    }

    /// Tells a change in as many messages as an epidemic needs to reach `fleet` VMs with a wide
    /// margin: three times the logarithm.
    pub(crate) fn note(&mut self, vm: &Name, fleet: usize) {
        self.news.retain(|(changed, _)| changed != vm);
        let messages = 3 * (fleet + 2).ilog2() as usize;
        self.news.push_front((vm.clone(), messages));
    }

    /// The next peers: some of the own zone, then of others, then of either to make up the number.
    pub(crate) fn pick(&mut self, members: &Map<Name, Member>) -> Vec<Name> {
        let mut picks: Vec<Name> = Vec::new();
        for _ in 0..OWN_ZONE_PEERS {
            picks.extend(
                self.own_zone
                    .turn(|vm| !is_dead(members, vm) && !picks.contains(vm)),
            );
        }
        while picks.len() < PEERS {
            let is_free = |vm: &Name| !is_dead(members, vm) && !picks.contains(vm);
            let other = self.other_zones.turn(is_free);
            let Some(pick) = other.or_else(|| self.own_zone.turn(is_free)) else {
                break;
            };
            picks.push(pick);
        }
        picks
    }

    /// In some rounds, one VM that is dead in view.
    fn revive(&mut self, members: &Map<Name, Member>) -> Option<Name> {
        if self.count % REVIVE_ROUNDS != 0 {
            return None;
        }
        match self.count % (2 * REVIVE_ROUNDS) {
            0 => self.own_zone.turn(|vm| is_dead(members, vm)),
            _ => self.other_zones.turn(|vm| is_dead(members, vm)),
        }
    }

    /// Seeds to contact in this round.
    fn unanswered(&self, members: &Map<Name, Member>) -> Vec<Name> {
        if self.count > EAGER_SEED_ROUNDS && self.count % SEED_ROUNDS != 0 {
            return Vec::new();
        }
        let is_known = |seed: &Name| {
            members
                .values()
                .any(|member| member.entry.peer_address == *seed)
        };
        self.seeds
            .iter()
            .filter(|seed| !is_known(seed))
            .cloned()
            .collect()
    }

    /// Recently changed VMs, each told once less afterwards.
    fn tell(&mut self, limit: usize) -> Vec<Name> {
        let told: Vec<Name> = self
            .news
            .iter()
            .take(limit)
            .map(|(vm, _)| vm.clone())
            .collect();
        for _ in 0..told.len() {
            let Some((vm, messages)) = self.news.pop_front() else {
                break;
            };
            if messages > 1 {
                self.news.push_back((vm, messages - 1));
            }
        }
        told
    }
}

fn is_dead(members: &Map<Name, Member>, vm: &Name) -> bool {
    members
        .get(vm)
        .is_some_and(|member| member.view == View::Dead)
}

/// Whether the sender of `heard` seems to know only a part of the fleet.
pub(crate) fn is_unaware(members: &Table, heard: &Gossip) -> bool {
    let told = heard.entries.len() + heard.beats.len();
    let known = members.members.len().min(OTHERS);
    let sender = heard.entries.first().map(|entry| &*entry.vm);
    let is_new = sender.is_some_and(|sender| members.get(sender).is_none());
    is_new || 2 * told < known
}

/// Sends this VM's entry and as many others as fit to a peer.
pub(crate) fn introduce(state: &mut State, peer: &str, out: &mut Outbox) {
    let members = &mut state.members;
    let mut entries = vec![members.members[&members.own].entry.clone()];
    for _ in 0..OTHERS.min(members.members.len()) {
        let Some(vm) = members.rounds.entries.turn(|vm| **vm != *peer) else {
            break;
        };
        let entry = &members.members[&vm].entry;
        if !entries.iter().any(|told| told.vm == vm) {
            entries.push(entry.clone());
        }
    }
    let beats = Vec::new();
    out.send(&peer.into(), Message::Gossip(Gossip { entries, beats }));
}

/// Sends the messages of one round.
pub(crate) fn round(state: &mut State, now: Millis, out: &mut Outbox) {
    member::refresh_own(state, now);
    let members = &mut state.members;
    members.rounds.due = now.after(ROUND_MS);
    members.rounds.count += 1;
    let mut peers = members.rounds.pick(&members.members);
    peers.extend(members.rounds.revive(&members.members));
    peers.extend(members.rounds.unanswered(&members.members));
    for peer in peers {
        let gossip = compose(members);
        out.send(&peer, Message::Gossip(gossip));
    }
}

fn compose(members: &mut Table) -> Gossip {
    let Table {
        members,
        own,
        rounds,
        ..
    } = members;
    let mut entries: Vec<Entry> = vec![members[own].entry.clone()];
    let tell = |vm: &Name, entries: &mut Vec<Entry>| {
        let is_told = entries.iter().any(|entry| entry.vm == *vm);
        if let (Some(member), false) = (members.get(vm), is_told) {
            entries.push(member.entry.clone());
        }
    };
    for vm in rounds.tell(NEWS) {
        tell(&vm, &mut entries);
    }
    for _ in 0..WINDOW {
        if let Some(vm) = rounds.entries.turn(|_| true) {
            tell(&vm, &mut entries);
        }
    }
    let mut beats: Vec<Beat> = Vec::new();
    let mut beat = |ring: &mut Ring, count: usize| {
        for _ in 0..count.min(ring.vms.len()) {
            let Some(vm) = ring.turn(|vm| !entries.iter().any(|entry| entry.vm == *vm)) else {
                return;
            };
            beats.extend(
                members
                    .get(&vm)
                    .filter(|member| member.view == View::Alive)
                    .map(of),
            );
        }
    };
    beat(&mut rounds.own_beats, OWN_ZONE_BEATS);
    beat(&mut rounds.other_beats, OTHER_ZONE_BEATS);
    Gossip { entries, beats }
}

fn of(member: &Member) -> Beat {
    let entry = &member.entry;
    Beat {
        vm: entry.vm.clone(),
        incarnation: entry.incarnation,
        heartbeat: member.beat,
        revision: entry.revision,
    }
}
