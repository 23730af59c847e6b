//! Which VM should own a pool: rendezvous hashing over the VMs of the pool's zone.

use crate::ids::Name;
use crate::member::Membership;
use crate::pool::Key;
use crate::random::hash;

/// The VMs that may own pools of `zone` in this view, this VM included, ordered by name.
pub(crate) fn candidates<'a>(members: &'a Membership, zone: &'a str) -> Vec<&'a Name> {
    let mut vms: Vec<&Name> = members
        .in_zone(zone)
        .map(|member| &member.entry.vm)
        .filter(|vm| !members.is_leaving(vm))
        .collect();
    vms.sort();
    vms
}

/// The number of candidates that come before `vm` for the pool; `passed` does not count.
///
/// A VM's weight for a pool depends on nothing else, so the loss of one VM moves only its pools.
pub(crate) fn rank(pool: &Key, vm: &str, candidates: &[&Name], excluded: Option<&str>) -> u64 {
    let own = (weight(pool, vm), vm);
    let before = candidates
        .iter()
        .filter(|other| Some(&****other) != excluded && ****other != *vm)
        .filter(|other| (weight(pool, other), &****other) > own);
    before.count() as u64
}

/// The best candidate other than `vm`.
pub(crate) fn successor(pool: &Key, vm: &str, candidates: &[&Name]) -> Option<Name> {
    let others = candidates.iter().filter(|other| ****other != *vm);
    let best = others.max_by_key(|other| (weight(pool, other), &****other));
    best.map(|best| (*best).clone())
}

fn weight(pool: &Key, vm: &str) -> u64 {
    hash(&[&pool.service, &pool.zone, vm])
}
