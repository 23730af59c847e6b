//! Gossip rounds: the choice of peers and of the entries sent to them.
//!
//! A message contains the sender's entry, a few full entries and, for the rest, heartbeats. The
//! number of entries and heartbeats of other VMs is bounded by [`MAX_ITEMS`] regardless of the
//! fleet size.

use std::cmp::Reverse;
use std::collections::VecDeque;

use crate::ids::{Millis, Name};
use crate::kernel::{Identity, Outbox, State};
use crate::map::Map;
use crate::member::{self, Liveness, Member, Membership, GOSSIP_INTERVAL_MS};
use crate::peer::{Gossip, Heartbeat, MemberEntry, Message};
use crate::random::Random;

/// Maximum number of entries and heartbeats of other VMs in a message.
pub(crate) const MAX_ITEMS: usize = 48;
/// Maximum number of recently changed entries in a message.
const MAX_CHANGED_ENTRIES: usize = 12;
/// Number of unchanged entries in a message, for VMs that missed a change.
const UNCHANGED_ENTRIES: usize = 2;
/// In messages within a zone, at most one in this many heartbeats is of another zone's VM, because
/// the suspect limit within a zone is the shortest.
const OTHER_ZONE_DIVISOR: usize = 8;
/// Number of peers contacted per round.
pub(crate) const FANOUT: usize = 3;
/// Number of those peers that belong to the own zone.
const OWN_ZONE_FANOUT: usize = 2;
/// Interval, in rounds, at which a dead VM is contacted so that the end of a partition is detected.
const DEAD_PROBE_ROUNDS: u64 = 4;
/// Interval, in rounds, at which an unanswered seed is contacted after the first rounds.
const SEED_RETRY_ROUNDS: u64 = 8;
/// Number of initial rounds in which every unanswered seed is contacted.
const EAGER_SEED_ROUNDS: u64 = 4;

/// Number of initial rounds that follow each other quickly, so that a VM soon knows its zone.
const EAGER_ROUNDS: u64 = 6;
/// Interval between these rounds in milliseconds.
const EAGER_INTERVAL_MS: u64 = 100;

/// A shuffled list of VMs that is iterated cyclically.
#[derive(Debug, Default)]
struct Ring {
    vms: Vec<Name>,
    next: usize,
}

impl Ring {
    fn insert(&mut self, vm: &Name, random: &mut Random) {
        let at = random.below(self.vms.len() + 1);
        self.vms.insert(at, vm.clone());
    }

    fn remove(&mut self, vm: &Name) {
        self.vms.retain(|other| other != vm);
    }

    /// Returns the next VM that `wanted` accepts, after at most one full cycle.
    fn next_match(&mut self, wanted: impl Fn(&Name) -> bool) -> Option<Name> {
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

/// Gossip state that persists between rounds.
#[derive(Debug)]
pub(crate) struct GossipState {
    next_round_at: Millis,
    round: u64,
    random: Random,
    seeds: Vec<Name>,
    own_zone: Ring,
    other_zones: Ring,
    /// Rotation of the unchanged entries.
    entries: Ring,
    /// Changed VMs and the number of messages in which each is still to be sent.
    changed: VecDeque<(Name, usize)>,
}

impl GossipState {
    pub(crate) fn new(identity: &Identity, random: Random) -> GossipState {
        let is_other = |seed: &&Name| ***seed != *identity.peer_address;
        GossipState {
            next_round_at: Millis(0),
            round: 0,
            random,
            seeds: identity.seeds.iter().filter(is_other).cloned().collect(),
            own_zone: Ring::default(),
            other_zones: Ring::default(),
            entries: Ring::default(),
            changed: VecDeque::new(),
        }
    }

    pub(crate) fn next_round_at(&self) -> Millis {
        self.next_round_at
    }

    /// Returns the seed with this address.
    pub(crate) fn seed(&self, address: &str) -> Option<Name> {
        self.seeds.iter().find(|seed| ***seed == *address).cloned()
    }

    pub(crate) fn add_member(&mut self, vm: &Name, is_own_zone: bool) {
        let peers = match is_own_zone {
            true => &mut self.own_zone,
            false => &mut self.other_zones,
        };
        peers.insert(vm, &mut self.random);
        self.entries.insert(vm, &mut self.random);
    }

    pub(crate) fn remove_member(&mut self, vm: &Name) {
        let rings = [&mut self.own_zone, &mut self.other_zones, &mut self.entries];
        for ring in rings {
            ring.remove(vm);
        }
        self.changed.retain(|(changed, _)| changed != vm);
    }

    /// Schedules a changed entry for 3 log2(n) messages, which lets an epidemic reach all `fleet`
    /// VMs with a wide margin.
    pub(crate) fn queue_change(&mut self, vm: &Name, fleet: usize) {
        self.changed.retain(|(changed, _)| changed != vm);
        let messages = 3 * (fleet + 2).ilog2() as usize;
        self.changed.push_front((vm.clone(), messages));
    }

    /// Picks the next peers: first from the own zone, then from other zones, and from the own zone
    /// again if there are too few.
    pub(crate) fn pick_peers(&mut self, members: &Map<Name, Member>) -> Vec<Name> {
        let mut picks: Vec<Name> = Vec::new();
        for _ in 0..OWN_ZONE_FANOUT {
            picks.extend(
                self.own_zone.next_match(|vm| !is_dead(members, vm) && !picks.contains(vm)),
            );
        }
        while picks.len() < FANOUT {
            let is_free = |vm: &Name| !is_dead(members, vm) && !picks.contains(vm);
            let other = self.other_zones.next_match(is_free);
            let Some(pick) = other.or_else(|| self.own_zone.next_match(is_free)) else {
                break;
            };
            picks.push(pick);
        }
        picks
    }

    /// Picks a dead VM in every [`DEAD_PROBE_ROUNDS`]th round.
    fn pick_dead(&mut self, members: &Map<Name, Member>) -> Option<Name> {
        if self.round % DEAD_PROBE_ROUNDS != 0 {
            return None;
        }
        match self.round % (2 * DEAD_PROBE_ROUNDS) {
            0 => self.own_zone.next_match(|vm| is_dead(members, vm)),
            _ => self.other_zones.next_match(|vm| is_dead(members, vm)),
        }
    }

    /// Seeds to contact in this round.
    fn unanswered_seeds(&self, members: &Map<Name, Member>) -> Vec<Name> {
        if self.round > EAGER_SEED_ROUNDS && self.round % SEED_RETRY_ROUNDS != 0 {
            return Vec::new();
        }
        let is_known =
            |seed: &Name| members.values().any(|member| member.entry.peer_address == *seed);
        self.seeds.iter().filter(|seed| !is_known(seed)).cloned().collect()
    }

    /// Takes recently changed VMs and decrements their remaining number of messages.
    fn take_changed(&mut self, limit: usize) -> Vec<Name> {
        let included: Vec<Name> =
            self.changed.iter().take(limit).map(|(vm, _)| vm.clone()).collect();
        for _ in 0..included.len() {
            let Some((vm, messages)) = self.changed.pop_front() else {
                break;
            };
            if messages > 1 {
                self.changed.push_back((vm, messages - 1));
            }
        }
        included
    }
}

fn is_dead(members: &Map<Name, Member>, vm: &Name) -> bool {
    members.get(vm).is_some_and(|member| member.liveness == Liveness::Dead)
}

/// Whether the sender of `received` seems to know only a part of the fleet.
///
/// The message is compared with what [`build_message`] would send if the sender knew the whole
/// fleet. That can be far fewer than [`MAX_ITEMS`] items in small zones, because of the bound on
/// other zones.
pub(crate) fn is_sender_behind(members: &Membership, received: &Gossip) -> bool {
    let included = received.entries.len() + received.heartbeats.len();
    let Some(sender) = received.entries.first() else {
        return false;
    };
    let is_new = members.get(&sender.vm).is_none();
    is_new || 2 * included < expected_items(members, &sender.zone)
}

/// Number of VMs that a sender in `zone` would include if it knew as many VMs as this one.
fn expected_items(members: &Membership, zone: &str) -> usize {
    let live = members.iter().filter(|member| member.liveness == Liveness::Alive);
    let (own, others): (Vec<&Member>, Vec<&Member>) =
        live.partition(|member| *member.entry.zone == *zone);
    let share = other_zones_share(MAX_ITEMS, *members.zone == *zone);
    own.len().min(MAX_ITEMS - share) + others.len().min(share)
}

/// Number of the `room` heartbeats that may belong to VMs of other zones.
fn other_zones_share(room: usize, is_own_zone: bool) -> usize {
    match is_own_zone {
        true => room / OTHER_ZONE_DIVISOR,
        false => room / 2,
    }
}

/// Sends a peer this VM's entry and as many others as fit in a message.
pub(crate) fn send_known_members(state: &mut State, peer: &str, out: &mut Outbox) {
    let members = &mut state.members;
    let mut entries = vec![members.members[&members.own].entry.clone()];
    for _ in 0..MAX_ITEMS.min(members.members.len()) {
        let Some(vm) = members.gossip.entries.next_match(|vm| **vm != *peer) else {
            break;
        };
        let entry = &members.members[&vm].entry;
        if !entries.iter().any(|included| included.vm == vm) {
            entries.push(entry.clone());
        }
    }
    let heartbeats = Vec::new();
    out.send(&peer.into(), Message::Gossip(Gossip { entries, heartbeats }));
}

/// Sends the messages of one round.
pub(crate) fn run_round(state: &mut State, now: Millis, out: &mut Outbox) {
    member::refresh_own_entry(state, now);
    let members = &mut state.members;
    members.gossip.round += 1;
    let interval = match members.gossip.round < EAGER_ROUNDS {
        true => EAGER_INTERVAL_MS,
        false => GOSSIP_INTERVAL_MS,
    };
    members.gossip.next_round_at = now.after(interval);
    let mut peers = members.gossip.pick_peers(&members.members);
    peers.extend(members.gossip.pick_dead(&members.members));
    peers.extend(members.gossip.unanswered_seeds(&members.members));
    for peer in peers {
        let gossip = build_message(members, &peer);
        out.send(&peer, Message::Gossip(gossip));
    }
}

fn build_message(members: &mut Membership, peer: &str) -> Gossip {
    let is_own_zone = members.get(peer).is_none_or(|member| member.entry.zone == members.zone);
    let entries = full_entries(members);
    let room = (1 + MAX_ITEMS).saturating_sub(entries.len());
    let others = other_zones_share(room, is_own_zone);
    let mut heartbeats = freshest_heartbeats(members, &entries, false, others);
    let room = room - heartbeats.len();
    heartbeats.extend(freshest_heartbeats(members, &entries, true, room));
    Gossip { entries, heartbeats }
}

/// The full entries of a message: this VM's own, changed ones and a few unchanged ones.
fn full_entries(members: &mut Membership) -> Vec<MemberEntry> {
    let mut vms = vec![members.own.clone()];
    vms.extend(members.gossip.take_changed(MAX_CHANGED_ENTRIES));
    for _ in 0..UNCHANGED_ENTRIES {
        vms.extend(members.gossip.entries.next_match(|_| true));
    }
    let mut entries: Vec<MemberEntry> = Vec::new();
    for vm in vms {
        let is_included = entries.iter().any(|entry| entry.vm == vm);
        if let (Some(member), false) = (members.get(&vm), is_included) {
            entries.push(member.entry.clone());
        }
    }
    entries
}

/// The most recent heartbeats, either of the own zone or of other zones. Peers have probably
/// received newer versions of older ones already.
fn freshest_heartbeats(
    members: &mut Membership,
    included: &[MemberEntry],
    is_own_zone: bool,
    count: usize,
) -> Vec<Heartbeat> {
    let Membership { members, gossip, zone, .. } = members;
    let mut live: Vec<(Reverse<Millis>, u64, &Member)> = members
        .values()
        .filter(|member| (member.entry.zone == *zone) == is_own_zone)
        .filter(|member| member.liveness == Liveness::Alive)
        .filter(|member| !included.iter().any(|entry| entry.vm == member.entry.vm))
        // Heartbeats received in the same message have the same time; break ties at random.
        .map(|member| (Reverse(member.heartbeat_at), gossip.random.next(), member))
        .collect();
    live.sort_by_key(|(heartbeat_at, tie_break, _)| (*heartbeat_at, *tie_break));
    live.into_iter().take(count).map(|(.., member)| heartbeat_of(member)).collect()
}

fn heartbeat_of(member: &Member) -> Heartbeat {
    let entry = &member.entry;
    Heartbeat {
        vm: entry.vm.clone(),
        incarnation: entry.incarnation,
        counter: member.heartbeat,
        revision: entry.revision,
    }
}
