//! Membership: which VMs exist, where they are reached and what they hold.
//!
//! The table is this VM's own view. It is fed by gossip, seed addresses and the platform's lagging
//! list, and it never frees a cold limit or a lease.

use std::collections::VecDeque;

use crate::event::{Event, Vm};
use crate::gossip;
use crate::ids::{Fence, Incarnation, Millis, Name, Revision};
use crate::kernel::{Identity, Outbox, State};
use crate::map::{Map, Set};
use crate::outcome::Counter;
use crate::peer::{Beat, Entry, Message, Standing};
use crate::plugin::control;
use crate::pool;
use crate::random::Random;

/// Time between two gossip rounds.
pub const ROUND_MS: u64 = 500;
/// An own-zone VM whose counter stood still for this long is suspect; for twice as long, dead.
pub const OWN_ZONE_SUSPECT_MS: u64 = 3_000;
/// The same limit for VMs of other zones, which are heard of less often.
pub const OTHER_ZONE_SUSPECT_MS: u64 = 12_000;
/// A longer time between two events means that this VM itself was paused, not the others.
const PAUSE_MS: u64 = 3 * ROUND_MS;
/// VMs in the table at most: ten times the two-year scale.
const MEMBERS: usize = 4_096;
/// Removed VMs that are remembered, so that old entries do not bring them back.
const REMOVED: usize = 1_024;
/// Longest name or address in an entry, in bytes.
const NAME_BYTES: usize = 128;

/// What this VM concludes from another's heartbeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum View {
    /// Its counter advances.
    #[default]
    Alive,
    /// Its counter has not advanced for a while.
    Suspect,
    /// It is not sent asks.
    Dead,
}

/// One VM as this VM sees it.
#[derive(Debug, Clone)]
pub struct Member {
    /// The newest entry heard, as its VM wrote it.
    pub entry: Entry,
    /// The highest heartbeat heard, which may be newer than the entry.
    pub beat: u64,
    /// When its heartbeat last moved.
    pub moved: Millis,
    /// What follows from that.
    pub view: View,
}

/// All known VMs, this one included.
#[derive(Debug)]
pub struct Table {
    pub(crate) members: Map<Name, Member>,
    pub(crate) own: Name,
    pub(crate) zone: Name,
    /// Highest fencing token heard for each pool.
    owners: Map<pool::Key, (Name, Fence)>,
    listed: Option<Map<Name, bool>>,
    removed: VecDeque<(Name, Incarnation, u64)>,
    pub(crate) rounds: gossip::Rounds,
    seen: Millis,
}

impl Table {
    pub(crate) fn new(identity: &Identity) -> Table {
        let entry = Entry {
            vm: identity.vm.clone(),
            zone: identity.zone.clone(),
            peer_address: identity.peer_address.clone(),
            caller_address: identity.caller_address.clone(),
            incarnation: identity.incarnation,
            heartbeat: 0,
            revision: Revision(0),
            standing: Standing::Joining,
            pools: Vec::new(),
        };
        let mut members = Map::default();
        members.insert(identity.vm.clone(), Member::new(entry, Millis(0)));
        Table {
            members,
            own: identity.vm.clone(),
            zone: identity.zone.clone(),
            owners: Map::default(),
            listed: None,
            removed: VecDeque::new(),
            rounds: gossip::Rounds::new(identity, Random::new(identity.seed, &identity.vm)),
            seen: Millis(0),
        }
    }

    /// Where a VM is reached by peers; a seed that is not known by name is its own address.
    pub fn address(&self, vm: &str) -> Option<Name> {
        match self.members.get(vm) {
            Some(member) if member.entry.peer_address.is_empty() => None,
            Some(member) => Some(member.entry.peer_address.clone()),
            None => self.rounds.seed(vm),
        }
    }

    /// Every known VM.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// One VM.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Whether asks are sent to a VM.
    pub fn is_reachable(&self, vm: &str) -> bool {
        self.get(vm).is_some_and(|member| member.view != View::Dead)
    }

    /// Whether the platform's list contains a VM; `None` before the first list.
    pub fn is_listed(&self, vm: &str) -> Option<bool> {
        Some(self.listed.as_ref()?.contains_key(vm))
    }

    /// Whether a VM is about to leave, by its own account or by the platform's.
    pub fn is_leaving(&self, vm: &str) -> bool {
        let announced =
            self.get(vm).is_some_and(|member| member.entry.standing == Standing::Leaving);
        let listed = self.listed.as_ref().and_then(|listed| listed.get(vm));
        announced || listed == Some(&true)
    }

    /// The VMs of `zone` that are not dead in this view, this VM included.
    pub fn in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Member> {
        self.iter().filter(move |member| *member.entry.zone == *zone && member.view != View::Dead)
    }

    /// The VM that owns a pool, by the highest fencing token heard; `None` while that VM is dead in
    /// this view.
    pub fn owner(&self, key: &pool::Key) -> Option<(&Name, Fence)> {
        let (vm, fence) = self.owners.get(key)?;
        self.is_reachable(vm).then_some((vm, *fence))
    }

    /// The highest fencing token heard for a pool, whoever held it.
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

    /// Up to `count` VMs to send something to, the next ones in the rotation of gossip rounds.
    pub(crate) fn sample(&mut self, count: usize) -> Vec<Name> {
        let picks = self.rounds.pick(&self.members);
        picks.into_iter().take(count).collect()
    }

    /// The pools that this VM schedules as their last holder.
    pub(crate) fn hold(&mut self, pools: Vec<(pool::Key, Fence)>) {
        let mut entry = self.own_entry().clone();
        if entry.pools != pools {
            entry.pools = pools;
            self.replace_own(entry);
        }
    }

    fn own_entry(&self) -> &Entry {
        &self.members[&self.own].entry
    }

    fn replace_own(&mut self, entry: Entry) {
        let moved = self.members[&self.own].moved;
        self.put(entry, moved);
    }

    fn put(&mut self, entry: Entry, now: Millis) {
        let vm = entry.vm.clone();
        let before = self.members.remove(&vm);
        let mut member = Member::new(entry.clone(), now);
        if let Some(before) = &before {
            member.keep_beat(before);
        }
        let is_news = before.as_ref().is_none_or(|member| !is_same_but_beat(&member.entry, &entry));
        if is_news {
            self.rounds.note(&vm, self.members.len());
            self.own_pools(before.as_ref().map(|member| &member.entry), &entry);
        }
        if before.is_none() && vm != self.own {
            self.rounds.join(&vm, entry.zone == self.zone);
        }
        self.members.insert(vm, member);
    }

    /// Takes over which pools a VM says it holds.
    fn own_pools(&mut self, before: Option<&Entry>, entry: &Entry) {
        for (key, fence) in before.into_iter().flat_map(|before| &before.pools) {
            let is_kept = entry.pools.iter().any(|(kept, _)| kept == key);
            // The token stays known where the VM gave the pool up: a later holder's is higher.
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

    /// Whether an entry about a VM is news of it.
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
        let (entry, beat) = (member.entry, member.beat);
        self.rounds.leave(vm);
        self.own_pools(Some(&entry), &Entry { pools: Vec::new(), ..entry.clone() });
        self.removed.push_back((vm.clone(), entry.incarnation, beat));
        if self.removed.len() > REMOVED {
            self.removed.pop_front();
        }
    }
}

impl Member {
    fn new(entry: Entry, moved: Millis) -> Member {
        Member { beat: entry.heartbeat, entry, moved, view: View::Alive }
    }

    /// Keeps what heartbeats showed before where the entry is not newer than they are.
    fn keep_beat(&mut self, before: &Member) {
        if self.entry.incarnation == before.entry.incarnation && self.beat <= before.beat {
            self.beat = before.beat;
            self.moved = before.moved;
            self.view = before.view;
            self.entry.revision = self.entry.revision.max(before.entry.revision);
        }
    }
}

fn is_same_but_beat(before: &Entry, after: &Entry) -> bool {
    before.incarnation == after.incarnation
        && before.standing == after.standing
        && before.pools == after.pools
        && before.peer_address == after.peer_address
        && before.caller_address == after.caller_address
        && before.zone == after.zone
}

inventory::submit! {
    control::Plugin { name: "member", rank: 20, handle, wakeup }
}

fn wakeup(state: &State) -> Option<Millis> {
    Some(state.members.rounds.due())
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    forgive_pause(&mut state.members, now);
    match event {
        Event::Peer { from, message: Message::Gossip(heard) } if **from != *state.identity.vm => {
            let is_unaware = gossip::is_unaware(&state.members, heard);
            let entries = heard.entries.iter().take(1 + gossip::OTHERS);
            for entry in entries {
                learn(state, entry, now, out);
            }
            for beat in heard.beats.iter().take(gossip::OTHERS) {
                advance(&mut state.members, beat, now);
            }
            if is_unaware {
                gossip::introduce(state, from, out);
            }
        }
        Event::Vms(vms) => list(&mut state.members, vms),
        Event::Drain => gossip::round(state, now, out),
        _ => {}
    }
    if now >= state.members.rounds.due() {
        judge(&mut state.members, now);
        sweep(&mut state.members);
        gossip::round(state, now, out);
    }
}

/// Does not count time in which this VM did not run against the others.
fn forgive_pause(members: &mut Table, now: Millis) {
    let gap = now.since(members.seen);
    let first = members.seen == Millis(0);
    members.seen = now;
    if first || gap <= PAUSE_MS {
        return;
    }
    for member in members.members.values_mut() {
        member.moved = member.moved.after(gap);
    }
}

/// Takes one entry from gossip.
fn learn(state: &mut State, entry: &Entry, now: Millis, out: &mut Outbox) {
    if entry.vm == state.identity.vm {
        return reincarnate(state, entry, out);
    }
    let members = &mut state.members;
    let is_new = !members.members.contains_key(&entry.vm);
    if !is_plausible(entry) || (is_new && members.members.len() >= MEMBERS) {
        return out.count(Counter::Ignored("gossip_entry"));
    }
    if members.is_newer(&entry.vm, entry.incarnation, entry.heartbeat) {
        members.put(entry.clone(), now);
    }
}

fn is_plausible(entry: &Entry) -> bool {
    let texts = [&entry.vm, &entry.zone, &entry.peer_address, &entry.caller_address];
    !entry.vm.is_empty() && texts.iter().all(|text| text.len() <= NAME_BYTES)
}

fn advance(members: &mut Table, beat: &Beat, now: Millis) {
    let Some(member) = members.members.get_mut(&beat.vm) else {
        return;
    };
    // The rest of a restarted VM's entry is not known yet.
    let is_other_start = beat.incarnation != member.entry.incarnation;
    if beat.vm == members.own || is_other_start || beat.heartbeat <= member.beat {
        return;
    }
    member.entry.revision = member.entry.revision.max(beat.revision);
    member.beat = beat.heartbeat;
    member.moved = now;
    member.view = View::Alive;
}

/// Others know a later start of this VM than its own: the clock went back between two starts.
fn reincarnate(state: &mut State, heard: &Entry, out: &mut Outbox) {
    let own = state.members.own_entry();
    if (heard.incarnation, heard.heartbeat) <= (own.incarnation, own.heartbeat) {
        return;
    }
    let incarnation = Incarnation(heard.incarnation.0.saturating_add(1));
    raise(state, incarnation, out);
}

/// Continues under a higher incarnation.
pub(crate) fn raise(state: &mut State, incarnation: Incarnation, out: &mut Outbox) {
    out.count(Counter::Event("incarnation_raised"));
    out.warn(format!("incarnation={} raised: a later start is known", incarnation.0));
    state.identity.incarnation = incarnation;
    let mut entry = state.members.own_entry().clone();
    entry.incarnation = incarnation;
    state.members.replace_own(entry);
}

fn list(members: &mut Table, vms: &[Vm]) {
    let listed = vms.iter().map(|vm| (vm.name.clone(), vm.leaving));
    members.listed = Some(listed.collect());
}

/// Derives the view of each VM from the time since its counter moved.
fn judge(members: &mut Table, now: Millis) {
    let zone = members.zone.clone();
    for member in members.members.values_mut() {
        if member.entry.vm == members.own {
            continue;
        }
        let limit = match member.entry.zone == zone {
            true => OWN_ZONE_SUSPECT_MS,
            false => OTHER_ZONE_SUSPECT_MS,
        };
        member.view = match now.since(member.moved) {
            still if still >= 2 * limit => View::Dead,
            still if still >= limit => View::Suspect,
            _ => View::Alive,
        };
    }
}

/// Removes VMs that are dead in this view and gone from the platform's list.
fn sweep(members: &mut Table) {
    let Some(listed) = &members.listed else {
        return;
    };
    let gone: Set<Name> = members
        .iter()
        .filter(|member| member.view == View::Dead && !listed.contains_key(&member.entry.vm))
        .map(|member| member.entry.vm.clone())
        .collect();
    let mut gone: Vec<Name> = gone.into_iter().collect();
    gone.sort();
    for vm in gone {
        members.remove(&vm);
    }
}

/// This VM's entry as it is at the beginning of a round.
pub(crate) fn refresh_own(state: &mut State, now: Millis) {
    let mut entry = state.members.own_entry().clone();
    entry.heartbeat += 1;
    entry.revision = state.intent.revision;
    entry.standing = match state.draining {
        true => Standing::Leaving,
        false if entry.revision > Revision(0) => Standing::Serving,
        false => Standing::Joining,
    };
    state.members.put(entry, now);
}
