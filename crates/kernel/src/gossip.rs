//! Gossip rounds: who is told what.
//!
//! A message holds the sender's entry, a few whole entries and more heartbeats, at most [`OTHERS`]
//! in all, whatever the size of the fleet.

use std::cmp::Reverse;
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
/// Share of heartbeats of other zones in a message to a VM of the own zone, as one in so many: the
/// limits within a zone are the shortest.
const OTHER_ZONE_SHARE: usize = 8;
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
    /// The rotating window of entries.
    entries: Ring,
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
        let peers = match is_own_zone {
            true => &mut self.own_zone,
            false => &mut self.other_zones,
        };
        peers.join(vm, &mut self.random);
        self.entries.join(vm, &mut self.random);
    }

    pub(crate) fn leave(&mut self, vm: &Name) {
        let rings = [&mut self.own_zone, &mut self.other_zones, &mut self.entries];
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
            picks.extend(self.own_zone.turn(|vm| !is_dead(members, vm) && !picks.contains(vm)));
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
        let is_known =
            |seed: &Name| members.values().any(|member| member.entry.peer_address == *seed);
        self.seeds.iter().filter(|seed| !is_known(seed)).cloned().collect()
    }

    /// Recently changed VMs, each told once less afterwards.
    fn select(&mut self, limit: usize) -> Vec<Name> {
        let told: Vec<Name> = self.news.iter().take(limit).map(|(vm, _)| vm.clone()).collect();
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
    members.get(vm).is_some_and(|member| member.view == View::Dead)
}

/// Whether the sender of `heard` seems to know only a part of the fleet.
///
/// It is compared with what [`compose`] lets a sender that knows the fleet tell: a small zone and
/// the share of the other zones can be much less than [`OTHERS`].
pub(crate) fn is_unaware(members: &Table, heard: &Gossip) -> bool {
    let told = heard.entries.len() + heard.beats.len();
    let Some(sender) = heard.entries.first() else {
        return false;
    };
    let is_new = members.get(&sender.vm).is_none();
    is_new || 2 * told < expected(members, &sender.zone)
}

/// VMs that a sender of `zone` tells this VM of if it knows as many as this VM does.
fn expected(members: &Table, zone: &str) -> usize {
    let live = members.iter().filter(|member| member.view == View::Alive);
    let (own, others): (Vec<&Member>, Vec<&Member>) =
        live.partition(|member| *member.entry.zone == *zone);
    let share = other_zones_share(OTHERS, *members.zone == *zone);
    own.len().min(OTHERS - share) + others.len().min(share)
}

/// How many of `room` heartbeats may be of VMs of other zones.
fn other_zones_share(room: usize, is_own_zone: bool) -> usize {
    match is_own_zone {
        true => room / OTHER_ZONE_SHARE,
        false => room / 2,
    }
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
        let gossip = compose(members, &peer);
        out.send(&peer, Message::Gossip(gossip));
    }
}

fn compose(members: &mut Table, peer: &str) -> Gossip {
    let is_own_zone = members.get(peer).is_none_or(|member| member.entry.zone == members.zone);
    let entries = whole(members);
    let room = (1 + OTHERS).saturating_sub(entries.len());
    let others = other_zones_share(room, is_own_zone);
    let mut beats = freshest(members, &entries, false, others);
    let room = room - beats.len();
    beats.extend(freshest(members, &entries, true, room));
    Gossip { entries, beats }
}

/// The entries that a message carries whole: this VM's, changed ones and a few of the rest.
fn whole(members: &mut Table) -> Vec<Entry> {
    let mut vms = vec![members.own.clone()];
    vms.extend(members.rounds.select(NEWS));
    for _ in 0..WINDOW {
        vms.extend(members.rounds.entries.turn(|_| true));
    }
    let mut entries: Vec<Entry> = Vec::new();
    for vm in vms {
        let is_told = entries.iter().any(|entry| entry.vm == vm);
        if let (Some(member), false) = (members.get(&vm), is_told) {
            entries.push(member.entry.clone());
        }
    }
    entries
}

/// The heartbeats that moved last, of the own zone or of the others. Older ones are of no use to a
/// peer that has probably heard newer ones.
fn freshest(members: &mut Table, told: &[Entry], is_own_zone: bool, count: usize) -> Vec<Beat> {
    let Table { members, rounds, zone, .. } = members;
    let mut live: Vec<(Reverse<Millis>, u64, &Member)> = members
        .values()
        .filter(|member| (member.entry.zone == *zone) == is_own_zone)
        .filter(|member| member.view == View::Alive)
        .filter(|member| !told.iter().any(|entry| entry.vm == member.entry.vm))
        // Those that came in one message moved at the same time; chance decides among them.
        .map(|member| (Reverse(member.moved), rounds.random.next(), member))
        .collect();
    live.sort_by_key(|(moved, chance, _)| (*moved, *chance));
    live.into_iter().take(count).map(|(.., member)| of(member)).collect()
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
