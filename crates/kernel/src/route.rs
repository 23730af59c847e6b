//! Chooses the next pool for a request.

use crate::ids::{Millis, Name};
use crate::intent::Intent;
use crate::member;
use crate::peer::Ask;
use crate::pool;
use crate::random;
use crate::retry::draw;
use crate::spread;
use crate::usage::{Estimate, PoolUsage};

/// Difference in usage, in thousandths, from which a request leaves its zone. It is more than two
/// long prompts add on the engines of one zone.
const USAGE_MARGIN: u32 = 100;
/// One in this many requests probes a pool whose usage is unknown.
const PROBE_INTERVAL: u64 = 4;

/// The state that the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The resources in force.
    pub intent: &'a Intent,
    /// Other VMs and the pools that they own.
    pub members: &'a member::Membership,
    /// The zone to prefer: this VM's, or for a relocation that of the standby or of the running
    /// placement.
    pub preferred_zone: &'a str,
    /// Usage of pools; if absent, the preferred zone comes first whatever its usage.
    pub usage: Option<&'a PoolUsage>,
    /// Owners that do not answer at present.
    pub unresponsive: &'a [Name],
    /// The current time.
    pub now: Millis,
}

/// A pool and the VM to ask for a start in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The pool.
    pub pool: pool::Key,
    /// The pool's owner, or this VM in fallback.
    pub to: Name,
    /// The pool has no reachable owner, and this VM schedules its warm targets itself.
    pub is_fallback: bool,
}

/// Distance of a zone from the preferred one, in the order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// The next pool for `ask`, or `None` if no zone is left.
///
/// Zones in `tried`, zones taken out of service and zones without a usable target are skipped. A
/// zone other than the preferred one comes last if it has no reachable owner, because this VM knows
/// little about its targets.
pub fn next_destination(view: &View<'_>, ask: &Ask, tried: &[Name]) -> Option<Destination> {
    candidate_zones(view, ask)
        .into_iter()
        .filter(|zone| !tried.contains(zone))
        .map(|zone| destination(view, ask, &zone))
        .min_by_key(|destination| {
            destination.is_fallback && *destination.pool.zone != *view.preferred_zone
        })
}

/// The usable zones of a service, nearest first.
///
/// The order of zones at the same distance varies between requests, which distributes spilled load.
fn candidate_zones(view: &View<'_>, ask: &Ask) -> Vec<Name> {
    let mut zones: Vec<Name> = Vec::new();
    for (name, target) in view.intent.targets() {
        let is_usable =
            target.service == ask.pool.service && !target.leaving && !ask.exclude.contains(name);
        if is_usable && !zones.contains(&target.zone) && !view.intent.is_zone_out(&target.zone) {
            zones.push(target.zone.clone());
        }
    }
    zones.sort();
    let shift = draw(ask.fingerprint, ask.id.counter) as usize;
    let count = zones.len().max(1);
    zones.rotate_left(shift % count);
    zones.sort_by_key(|zone| distance(view, zone));
    if let Some(usage) = view.usage {
        match view.intent.spreads_load(&ask.pool.service) {
            true => spread_load(view, usage, ask, &mut zones),
            false => prefer_less_used(view, usage, ask, &mut zones),
        }
    }
    zones
}

/// Moves the zone that [`spread::choose`] selects to the front.
fn spread_load(view: &View<'_>, usage: &PoolUsage, ask: &Ask, zones: &mut [Name]) {
    let nearby = zones.iter().filter(|zone| distance(view, zone) != Distance::OtherRegion).count();
    let estimates = estimate_zones(view, usage, ask, &zones[..nearby]);
    // Requests with the same body and counter must not make the same choice on all VMs.
    let seed = ask.fingerprint ^ random::hash(&[&ask.id.vm]);
    let draws = [0, 1].map(|ix| draw(seed, ask.id.counter.wrapping_mul(2) + ix));
    let has_own = zones.first().is_some_and(|zone| **zone == *view.preferred_zone);
    let shift = usage.shift(&ask.pool.service);
    let chosen = spread::choose(&spread::View { pools: &estimates, has_own, shift, draws });
    if chosen < nearby {
        zones[..=chosen].rotate_right(1);
    }
}

fn estimate_zones(view: &View<'_>, usage: &PoolUsage, ask: &Ask, zones: &[Name]) -> Vec<Estimate> {
    let pools: Vec<pool::Key> =
        zones.iter().map(|zone| pool::Key::new(&ask.pool.service, zone)).collect();
    usage.estimates(&pools, view.now)
}

/// The part of the requests for the service of `ask` that is to leave the zone from now on.
pub fn next_shift(view: &View<'_>, ask: &Ask) -> spread::Shift {
    let Some(usage) = view.usage else {
        return spread::Shift::default();
    };
    let zones = candidate_zones(view, ask);
    let is_nearby = |zone: &&Name| distance(view, zone) != Distance::OtherRegion;
    let mut nearby: Vec<Name> = zones.iter().filter(is_nearby).cloned().collect();
    nearby.sort_by_key(|zone| distance(view, zone));
    if nearby.first().is_none_or(|zone| **zone != *view.preferred_zone) {
        return spread::Shift::default();
    }
    let estimates = estimate_zones(view, usage, ask, &nearby);
    usage.shift(&ask.pool.service).next(&estimates, view.now)
}

/// The usage that the choice of a pool for `ask` is based on, for the log; `None` if it is not.
pub(crate) fn describe_usage(view: &View<'_>, ask: &Ask) -> Option<String> {
    let usage = view.usage.filter(|_| view.intent.spreads_load(&ask.pool.service))?;
    let zones = candidate_zones(view, ask);
    Some(spread::describe(&zones, &estimate_zones(view, usage, ask, &zones)))
}

/// Moves a zone of the same region to the front if its usage is much lower than that of the first.
///
/// Work that stays within a zone continues while the zone is partitioned, so requests leave their
/// zone only for a reason. A large difference in usage is one, because neither callers nor leaving
/// targets are distributed evenly over zones.
fn prefer_less_used(view: &View<'_>, usage: &PoolUsage, ask: &Ask, zones: &mut [Name]) {
    let nearby = zones.iter().filter(|zone| distance(view, zone) != Distance::OtherRegion).count();
    let usage_of = |zone: &Name| usage.get(&pool::Key::new(&ask.pool.service, zone), view.now);
    let is_probe = draw(ask.id.counter, ask.fingerprint) % PROBE_INTERVAL == 0;
    let chosen = match is_probe {
        true => zones[..nearby].iter().position(|zone| usage_of(zone).is_none()),
        false => {
            let preferred = zones.first().and_then(usage_of).unwrap_or(0);
            let known = zones[..nearby].iter().enumerate();
            let known = known.filter_map(|(ix, zone)| Some((usage_of(zone)?, ix)));
            let lowest = known.min();
            lowest.filter(|(permille, _)| permille + USAGE_MARGIN <= preferred).map(|(_, ix)| ix)
        }
    };
    if let Some(chosen) = chosen {
        zones[..=chosen].rotate_right(1);
    }
}

fn distance(view: &View<'_>, zone: &str) -> Distance {
    if zone == view.preferred_zone {
        return Distance::SameZone;
    }
    let region = |zone: &str| view.intent.zone(zone).map(|zone| &zone.region);
    match (region(view.preferred_zone), region(zone)) {
        (Some(own), Some(other)) if own == other => Distance::SameRegion,
        _ => Distance::OtherRegion,
    }
}

fn destination(view: &View<'_>, ask: &Ask, zone: &Name) -> Destination {
    let pool = pool::Key::new(&ask.pool.service, zone);
    let owner = reachable_owner(view, &pool).cloned();
    Destination {
        is_fallback: owner.is_none(),
        to: owner.unwrap_or_else(|| view.members.own().clone()),
        pool,
    }
}

/// The owner of a pool, if it is responsive.
pub(crate) fn reachable_owner<'a>(view: &View<'a>, pool: &pool::Key) -> Option<&'a Name> {
    view.members.owner(pool).map(|(vm, _)| vm).filter(|vm| !view.unresponsive.contains(vm))
}
