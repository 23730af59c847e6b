//! Membership: the known VMs, their addresses and the pools that they own.
//!
//! The membership is this VM's own view, built from gossip, seed addresses and the platform's list
//! of VMs, which lags behind. No decision in this module frees a cold-start slot or a lease.

use std::collections::VecDeque;

use crate::event::{Event, Vm};
use crate::gossip;
use crate::ids::{Fence, Incarnation, Millis, Name, Revision};
use crate::kernel::{Identity, Outbox, State};
use crate::map::{Map, Set};
use crate::outcome::Counter;
use crate::peer::{Heartbeat, MemberEntry, MemberStatus, Message};
use crate::plugin::control;
use crate::pool;
use crate::random::Random;

/// Interval between gossip rounds.
pub const GOSSIP_INTERVAL_MS: u64 = 500;
/// Time without a new heartbeat after which a VM of the own zone is suspect. After twice this time
/// it is dead.
pub const OWN_ZONE_SUSPECT_MS: u64 = 3_000;
/// The same limit for VMs of other zones, whose heartbeats arrive less often.
pub const OTHER_ZONE_SUSPECT_MS: u64 = 12_000;
/// A longer gap between two events means that this VM was paused, not the others.
const PAUSE_THRESHOLD_MS: u64 = 3 * GOSSIP_INTERVAL_MS;
/// Maximum number of members: ten times the size planned for in two years.
const MAX_MEMBERS: usize = 4_096;
/// Number of removed VMs that are remembered so that outdated entries do not add them again.
const MAX_REMOVED: usize = 1_024;
/// Maximum length of a name or address in an entry, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Liveness of a VM as derived from its heartbeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Liveness {
    /// Its heartbeat counter advances.
    #[default]
    Alive,
    /// Its heartbeat counter has not advanced within the suspect limit.
    Suspect,
    /// Its heartbeat counter has not advanced within twice the suspect limit. It gets no asks.
    Dead,
}

/// The state of one VM as known to this VM.
#[derive(Debug, Clone)]
pub struct Member {
    /// The newest entry received, as its VM published it.
    pub entry: MemberEntry,
    /// The highest heartbeat counter received; may be newer than the entry.
    pub heartbeat: u64,
    /// When the heartbeat counter last advanced.
    pub heartbeat_at: Millis,
    /// Liveness derived from `heartbeat_at`.
    pub liveness: Liveness,
}

/// All known VMs, including this one.
#[derive(Debug)]
pub struct Membership {
    pub(crate) members: Map<Name, Member>,
    pub(crate) own: Name,
    pub(crate) zone: Name,
    /// The owner with the highest fencing token received for each pool.
    owners: Map<pool::Key, (Name, Fence)>,
    listed: Option<Map<Name, bool>>,
    removed: VecDeque<(Name, Incarnation, u64)>,
    pub(crate) gossip: gossip::GossipState,
    last_event_at: Millis,
}

impl Membership {
    pub(crate) fn new(identity: &Identity) -> Membership {
        let entry = MemberEntry {
            vm: identity.vm.clone(),
            zone: identity.zone.clone(),
            peer_address: identity.peer_address.clone(),
            caller_address: identity.caller_address.clone(),
            incarnation: identity.incarnation,
            heartbeat: 0,
            revision: Revision(0),
            status: MemberStatus::Joining,
            pools: Vec::new(),
        };
        let mut members = Map::default();
        members.insert(identity.vm.clone(), Member::new(entry, Millis(0)));
        Membership {
            members,
            own: identity.vm.clone(),
            zone: identity.zone.clone(),
            owners: Map::default(),
            listed: None,
            removed: VecDeque::new(),
            gossip: gossip::GossipState::new(identity, Random::new(identity.seed, &identity.vm)),
            last_event_at: Millis(0),
        }
    }

    /// The peer address of a VM. A seed whose name is not yet known is identified by its address.
    pub fn address(&self, vm: &str) -> Option<Name> {
        match self.members.get(vm) {
            Some(member) if member.entry.peer_address.is_empty() => None,
            Some(member) => Some(member.entry.peer_address.clone()),
            None => self.gossip.seed(vm),
        }
    }

    /// All known VMs.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The member called `vm`.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Whether a VM may be sent asks.
    pub fn is_reachable(&self, vm: &str) -> bool {
        self.get(vm).is_some_and(|member| member.liveness != Liveness::Dead)
    }

    /// Whether the platform's list contains a VM; `None` before the first list arrives.
    pub fn is_listed(&self, vm: &str) -> Option<bool> {
        Some(self.listed.as_ref()?.contains_key(vm))
    }

    /// Whether a VM is leaving, according to its own entry or the platform's list.
    pub fn is_leaving(&self, vm: &str) -> bool {
        let announced =
            self.get(vm).is_some_and(|member| member.entry.status == MemberStatus::Leaving);
        let listed = self.listed.as_ref().and_then(|listed| listed.get(vm));
        announced || listed == Some(&true)
    }

    /// The VMs of `zone` that are not dead, including this one.
    pub fn in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Member> {
        self.iter()
            .filter(move |member| *member.entry.zone == *zone && member.liveness != Liveness::Dead)
    }

    /// The owner of a pool, by the highest fencing token received; `None` if the owner is dead.
    pub fn owner(&self, key: &pool::Key) -> Option<(&Name, Fence)> {
        let (vm, fence) = self.owners.get(key)?;
        self.is_reachable(vm).then_some((vm, *fence))
    }

    /// The highest fencing token received for a pool, regardless of its holder.
    pub(crate) fn highest_fence(&self, key: &pool::Key) -> Fence {
        self.owners.get(key).map_or(Fence(0), |(_, fence)| *fence)
    }

    /// This VM's name.
    ///
    /// ```
    /// use hornbeamloom_kernel::ids::Incarnation;
    /// use hornbeamloom_kernel::kernel::{Identity, Kernel};
    ///
    /// let kernel = Kernel::new(Identity::new("entry-1", "lodz-a", Incarnation(1)));
    /// assert_eq!(&**kernel.state().members.own(), "entry-1");
    /// ```
    pub fn own(&self) -> &Name {
        &self.own
    }

    /// Returns up to `count` peers, the next ones in the gossip rotation.
    pub(crate) fn sample(&mut self, count: usize) -> Vec<Name> {
        let picks = self.gossip.pick_peers(&self.members);
        picks.into_iter().take(count).collect()
    }

    /// Sets the pools that this VM advertises as owned.
    pub(crate) fn set_owned_pools(&mut self, pools: Vec<(pool::Key, Fence)>) {
        let mut entry = self.own_entry().clone();
        if entry.pools != pools {
            entry.pools = pools;
            self.replace_own(entry);
        }
    }

    fn own_entry(&self) -> &MemberEntry {
        &self.members[&self.own].entry
    }

    fn replace_own(&mut self, entry: MemberEntry) {
        let heartbeat_at = self.members[&self.own].heartbeat_at;
        self.insert_entry(entry, heartbeat_at);
    }

    fn insert_entry(&mut self, entry: MemberEntry, now: Millis) {
        let vm = entry.vm.clone();
        let before = self.members.remove(&vm);
        let mut member = Member::new(entry.clone(), now);
        if let Some(before) = &before {
            member.keep_heartbeat(before);
        }
        let is_change =
            before.as_ref().is_none_or(|member| !is_same_except_heartbeat(&member.entry, &entry));
        if is_change {
            self.gossip.queue_change(&vm, self.members.len());
            self.update_owners(before.as_ref().map(|member| &member.entry), &entry);
        }
        if before.is_none() && vm != self.own {
            self.gossip.add_member(&vm, entry.zone == self.zone);
        }
        self.members.insert(vm, member);
    }

    /// Updates the pool owners from the pools that a VM advertises.
    fn update_owners(&mut self, before: Option<&MemberEntry>, entry: &MemberEntry) {
        for (key, fence) in before.into_iter().flat_map(|before| &before.pools) {
            let is_kept = entry.pools.iter().any(|(kept, _)| kept == key);
            // Keep the token of a released pool, because the next holder's token must be higher.
            if !is_kept && self.owners.get(key) == Some(&(entry.vm.clone(), *fence)) {
                self.owners.insert(key.clone(), ("".into(), *fence));
            }
        }
        for (key, fence) in &entry.pools {
            let known = self.owners.get(key).map(|(vm, fence)| (*fence, &**vm));
            if known.is_none_or(|known| known <= (*fence, &*entry.vm)) {
                self.owners.insert(key.clone(), (entry.vm.clone(), *fence));
            }
        }
    }

    /// Whether an entry with this incarnation and heartbeat is newer than what is known of the VM.
    fn is_newer(&self, vm: &str, incarnation: Incarnation, heartbeat: u64) -> bool {
        let stamp = (incarnation, heartbeat);
        match self.members.get(vm) {
            Some(member) => stamp > (member.entry.incarnation, member.entry.heartbeat),
            None => self
                .removed
                .iter()
                .filter(|(removed, ..)| **removed == *vm)
                .all(|(_, incarnation, heartbeat)| stamp > (*incarnation, *heartbeat)),
        }
    }

    fn remove(&mut self, vm: &Name) {
        let Some(member) = self.members.remove(vm) else {
            return;
        };
        let (entry, heartbeat) = (member.entry, member.heartbeat);
        self.gossip.remove_member(vm);
        self.update_owners(Some(&entry), &MemberEntry { pools: Vec::new(), ..entry.clone() });
        self.removed.push_back((vm.clone(), entry.incarnation, heartbeat));
        if self.removed.len() > MAX_REMOVED {
            self.removed.pop_front();
        }
    }
}

impl Member {
    fn new(entry: MemberEntry, heartbeat_at: Millis) -> Member {
        Member { heartbeat: entry.heartbeat, entry, heartbeat_at, liveness: Liveness::Alive }
    }

    /// Keeps the heartbeat state of the previous entry if the new entry is not newer.
    fn keep_heartbeat(&mut self, before: &Member) {
        if self.entry.incarnation == before.entry.incarnation && self.heartbeat <= before.heartbeat
        {
            self.heartbeat = before.heartbeat;
            self.heartbeat_at = before.heartbeat_at;
            self.liveness = before.liveness;
            self.entry.revision = self.entry.revision.max(before.entry.revision);
        }
    }
}

fn is_same_except_heartbeat(before: &MemberEntry, after: &MemberEntry) -> bool {
    before.incarnation == after.incarnation
        && before.status == after.status
        && before.pools == after.pools
        && before.peer_address == after.peer_address
        && before.caller_address == after.caller_address
        && before.zone == after.zone
}

inventory::submit! {
    control::Plugin { name: "member", rank: 20, handle, wakeup }
}

fn wakeup(state: &State) -> Option<Millis> {
    Some(state.members.gossip.next_round_at())
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    compensate_pause(&mut state.members, now);
    match event {
        Event::Peer { from, message: Message::Gossip(received) }
            if **from != *state.identity.vm =>
        {
            let is_sender_behind = gossip::is_sender_behind(&state.members, received);
            let entries = received.entries.iter().take(1 + gossip::MAX_ITEMS);
            for entry in entries {
                merge_entry(state, entry, now, out);
            }
            for heartbeat in received.heartbeats.iter().take(gossip::MAX_ITEMS) {
                merge_heartbeat(&mut state.members, heartbeat, now);
            }
            if is_sender_behind {
                gossip::send_known_members(state, from, out);
            }
        }
        Event::Vms(vms) => set_listed(&mut state.members, vms),
        Event::Drain => gossip::run_round(state, now, out),
        _ => {}
    }
    if now >= state.members.gossip.next_round_at() {
        update_liveness(&mut state.members, now);
        remove_dead(&mut state.members);
        gossip::run_round(state, now, out);
    }
}

/// Excludes time in which this VM was paused from the silence of the others.
fn compensate_pause(members: &mut Membership, now: Millis) {
    let gap = now.since(members.last_event_at);
    let is_first = members.last_event_at == Millis(0);
    members.last_event_at = now;
    if is_first || gap <= PAUSE_THRESHOLD_MS {
        return;
    }
    for member in members.members.values_mut() {
        member.heartbeat_at = member.heartbeat_at.after(gap);
    }
}

/// Merges an entry received by gossip.
fn merge_entry(state: &mut State, entry: &MemberEntry, now: Millis, out: &mut Outbox) {
    if entry.vm == state.identity.vm {
        return adopt_higher_incarnation(state, entry, out);
    }
    let members = &mut state.members;
    let is_new = !members.members.contains_key(&entry.vm);
    if !is_plausible(entry) || (is_new && members.members.len() >= MAX_MEMBERS) {
        return out.count(Counter::Ignored("gossip_entry"));
    }
    if members.is_newer(&entry.vm, entry.incarnation, entry.heartbeat) {
        members.insert_entry(entry.clone(), now);
    }
}

fn is_plausible(entry: &MemberEntry) -> bool {
    let texts = [&entry.vm, &entry.zone, &entry.peer_address, &entry.caller_address];
    !entry.vm.is_empty() && texts.iter().all(|text| text.len() <= MAX_NAME_BYTES)
}

fn merge_heartbeat(members: &mut Membership, heartbeat: &Heartbeat, now: Millis) {
    let Some(member) = members.members.get_mut(&heartbeat.vm) else {
        return;
    };
    // The other fields of a restarted VM's entry are not known yet.
    let is_other_incarnation = heartbeat.incarnation != member.entry.incarnation;
    if heartbeat.vm == members.own || is_other_incarnation || heartbeat.counter <= member.heartbeat
    {
        return;
    }
    member.entry.revision = member.entry.revision.max(heartbeat.revision);
    member.heartbeat = heartbeat.counter;
    member.heartbeat_at = now;
    member.liveness = Liveness::Alive;
}

/// Handles an entry about this VM that is newer than its own: the clock went backwards between two
/// starts of the process.
fn adopt_higher_incarnation(state: &mut State, received: &MemberEntry, out: &mut Outbox) {
    let own = state.members.own_entry();
    if (received.incarnation, received.heartbeat) <= (own.incarnation, own.heartbeat) {
        return;
    }
    let incarnation = Incarnation(received.incarnation.0.saturating_add(1));
    raise_incarnation(state, incarnation, out);
}

/// Continues under a higher incarnation.
pub(crate) fn raise_incarnation(state: &mut State, incarnation: Incarnation, out: &mut Outbox) {
    out.count(Counter::Event("incarnation_raised"));
    out.warn(format!(
        "incarnation={} raised: a later one of this VM is already known",
        incarnation.0
    ));
    state.identity.incarnation = incarnation;
    let mut entry = state.members.own_entry().clone();
    entry.incarnation = incarnation;
    state.members.replace_own(entry);
}

fn set_listed(members: &mut Membership, vms: &[Vm]) {
    let listed = vms.iter().map(|vm| (vm.name.clone(), vm.leaving));
    members.listed = Some(listed.collect());
}

/// Derives each VM's liveness from the time since its heartbeat counter advanced.
fn update_liveness(members: &mut Membership, now: Millis) {
    let zone = members.zone.clone();
    for member in members.members.values_mut() {
        if member.entry.vm == members.own {
            continue;
        }
        let limit = match member.entry.zone == zone {
            true => OWN_ZONE_SUSPECT_MS,
            false => OTHER_ZONE_SUSPECT_MS,
        };
        member.liveness = match now.since(member.heartbeat_at) {
            silent_ms if silent_ms >= 2 * limit => Liveness::Dead,
            silent_ms if silent_ms >= limit => Liveness::Suspect,
            _ => Liveness::Alive,
        };
    }
}

/// Removes VMs that are dead and absent from the platform's list.
fn remove_dead(members: &mut Membership) {
    let Some(listed) = &members.listed else {
        return;
    };
    let dead: Set<Name> = members
        .iter()
        .filter(|member| {
            member.liveness == Liveness::Dead && !listed.contains_key(&member.entry.vm)
        })
        .map(|member| member.entry.vm.clone())
        .collect();
    let mut dead: Vec<Name> = dead.into_iter().collect();
    dead.sort();
    for vm in dead {
        members.remove(&vm);
    }
}

/// Updates this VM's own entry at the start of a round.
pub(crate) fn refresh_own_entry(state: &mut State, now: Millis) {
    let mut entry = state.members.own_entry().clone();
    entry.heartbeat += 1;
    entry.revision = state.intent.revision;
    entry.status = match state.draining {
        true => MemberStatus::Leaving,
        false if entry.revision > Revision(0) => MemberStatus::Serving,
        false => MemberStatus::Joining,
    };
    state.members.insert_entry(entry, now);
}
