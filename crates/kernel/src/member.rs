//! Membership: which VMs exist, where they are reached and what they hold.

use crate::event::Event;
use crate::ids::{Fence, Millis, Name};
use crate::kernel::{Identity, Outbox, State};
use crate::map::Map;
use crate::peer::{Entry, Standing};
use crate::plugin::control;
use crate::pool;

/// One VM as this VM sees it.
#[derive(Debug, Clone)]
pub struct Member {
    /// The newest entry heard.
    pub entry: Entry,
    /// When its heartbeat last moved.
    pub moved: Millis,
}

/// All known VMs, this one included.
#[derive(Debug)]
pub struct Table {
    members: Map<Name, Member>,
    own: Name,
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
            revision: Default::default(),
            standing: Standing::Joining,
            pools: Vec::new(),
        };
        let mut members = Map::default();
        members.insert(
            identity.vm.clone(),
            Member {
                entry,
                moved: Millis(0),
            },
        );
        Table {
            members,
            own: identity.vm.clone(),
        }
    }

    /// Where a VM is reached by peers.
    pub fn address(&self, vm: &str) -> Option<Name> {
        self.members
            .get(vm)
            .map(|member| member.entry.peer_address.clone())
    }

    /// Every known VM.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The VM that owns a pool, by the highest fencing token heard.
    pub fn owner(&self, key: &pool::Key) -> Option<(&Name, Fence)> {
        self.members
            .values()
            .flat_map(|member| member.entry.pools.iter().map(move |held| (member, held)))
            .filter(|(_, (held, _))| held == key)
            .map(|(member, (_, fence))| (&member.entry.vm, *fence))
            .max_by_key(|(vm, fence)| (*fence, *vm))
    }

    /// This VM's name.
    pub fn own(&self) -> &Name {
        &self.own
    }
}

inventory::submit! {
    control::Plugin { name: "member", rank: 20, handle, wakeup: |_| None }
}

fn handle(_state: &mut State, _event: &Event<'_>, _now: Millis, _out: &mut Outbox) {}
