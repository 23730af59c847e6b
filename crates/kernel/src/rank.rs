//! Selects the VM that should own a pool, by rendezvous hashing over the VMs of the pool's zone.

use std::cmp::Reverse;

use crate::ids::Name;
use crate::member::Membership;
use crate::pool::Key;
use crate::random::hash;

/// The VMs that may own pools of `zone` according to `members`, sorted by name. Includes this VM.
pub(crate) fn candidates<'a>(members: &'a Membership, zone: &'a str) -> Vec<&'a Name> {
    let mut vms: Vec<&Name> = members
        .in_zone(zone)
        .map(|member| &member.entry.vm)
        .filter(|vm| !members.is_leaving(vm))
        .collect();
    vms.sort();
    vms
}

/// The number of candidates that rank before `vm` for the pool, not counting `excluded`.
///
/// A VM's weight for a pool depends only on the pool and the VM, so the loss of a VM moves only the
/// pools that it owned.
pub(crate) fn rank(pool: &Key, vm: &str, candidates: &[&Name], excluded: Option<&str>) -> u64 {
    let own = (weight(pool, vm), vm);
    let before = candidates
        .iter()
        .filter(|other| Some(&****other) != excluded && ****other != *vm)
        .filter(|other| (weight(pool, other), &****other) > own);
    before.count() as u64
}

/// The highest-ranked candidate other than `vm`.
pub(crate) fn successor(pool: &Key, vm: &str, candidates: &[&Name]) -> Option<Name> {
    let others = candidates.iter().filter(|other| ****other != *vm);
    let best = others.max_by_key(|other| (weight(pool, other), &****other));
    best.map(|best| (*best).clone())
}

/// The VMs that may act for `zone`, the highest-ranked first. `key` distinguishes independent orders.
pub(crate) fn ordered<'a>(members: &'a Membership, zone: &'a str, key: &str) -> Vec<&'a Name> {
    let pool = Key::new(key, zone);
    let mut vms = candidates(members, zone);
    vms.sort_by_cached_key(|vm| Reverse((weight(&pool, vm), (*vm).clone())));
    vms
}

fn weight(pool: &Key, vm: &str) -> u64 {
    hash(&[&pool.service, &pool.zone, vm])
}
