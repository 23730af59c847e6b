//! Which pool a request is sent to next.

use crate::ids::Name;
use crate::intent::Intent;
use crate::member;
use crate::peer::Ask;
use crate::pool;
use crate::retry::draw;

/// What the choice may look at.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The resources in force.
    pub intent: &'a Intent,
    /// Owners of pools.
    pub members: &'a member::Table,
    /// The zone that is preferred: this VM's, or that of a generation which moves.
    pub zone: &'a str,
    /// Zones are tried in proportion to their targets, without a preference.
    pub spreads: bool,
    /// Owners that do not answer at present.
    pub silent: &'a [Name],
}

/// A pool and the VM to ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hop {
    /// The pool.
    pub pool: pool::Key,
    /// The VM to ask: the pool's owner, or this VM in fallback.
    pub to: Name,
    /// The pool has no reachable owner and this VM schedules its warm targets itself.
    pub fallback: bool,
}

/// Distance classes of zones, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    Own,
    Region,
    Far,
}

/// The next pool for `ask`, or `None` when no zone is left.
///
/// Zones in `tried`, zones that are out and zones without a usable target are skipped. A foreign
/// zone without a reachable owner comes last, because this VM knows little about its targets.
pub fn next(view: &View<'_>, ask: &Ask, tried: &[Name]) -> Option<Hop> {
    zones(view, ask)
        .into_iter()
        .filter(|zone| !tried.contains(zone))
        .map(|zone| hop(view, ask, &zone))
        .min_by_key(|hop| hop.fallback && *hop.pool.zone != *view.zone)
}

/// The usable zones of a service, nearest first.
///
/// Zones at the same distance come in an order that differs from request to request, so that
/// spilled load spreads over them.
fn zones(view: &View<'_>, ask: &Ask) -> Vec<Name> {
    let mut zones: Vec<Name> = Vec::new();
    for (name, target) in view.intent.targets() {
        let is_usable =
            target.service == ask.pool.service && !target.leaving && !ask.exclude.contains(name);
        if is_usable && !zones.contains(&target.zone) && !view.intent.is_out(&target.zone) {
            zones.push(target.zone.clone());
        }
    }
    zones.sort();
    let shift = draw(ask.fingerprint, ask.id.counter) as usize;
    let count = zones.len().max(1);
    zones.rotate_left(shift % count);
    zones.sort_by_key(|zone| distance(view, zone));
    if view.spreads {
        prefer_drawn(view, ask, &mut zones);
    }
    zones
}

/// Puts one zone of the region first, drawn in proportion to the targets of the zones.
///
/// Callers are not spread evenly over zones, and a target that leaves takes less with it where all
/// carry alike.
fn prefer_drawn(view: &View<'_>, ask: &Ask, zones: &mut [Name]) {
    let near = zones.iter().filter(|zone| distance(view, zone) != Distance::Far).count();
    let weights: Vec<u64> =
        zones[..near].iter().map(|zone| usable(view, ask, zone).count() as u64).collect();
    let total: u64 = weights.iter().sum();
    let Some(mut left) = draw(ask.id.counter, ask.fingerprint).checked_rem(total) else {
        return;
    };
    let drawn = weights.iter().position(|&weight| {
        let is_drawn = left < weight;
        left = left.saturating_sub(weight);
        is_drawn
    });
    if let Some(drawn) = drawn {
        zones[..=drawn].rotate_right(1);
    }
}

/// The targets of a zone that may take the request as far as this VM knows.
fn usable<'a>(
    view: &View<'a>,
    ask: &'a Ask,
    zone: &str,
) -> impl Iterator<Item = &'a crate::resource::Target> {
    let targets = view.intent.pool_targets(&ask.pool.service, zone);
    targets
        .filter(|(name, target)| !target.leaving && !ask.exclude.contains(name))
        .map(|(_, target)| target)
}

fn distance(view: &View<'_>, zone: &str) -> Distance {
    if zone == view.zone {
        return Distance::Own;
    }
    let region = |zone: &str| view.intent.zone(zone).map(|zone| &zone.region);
    match (region(view.zone), region(zone)) {
        (Some(own), Some(other)) if own == other => Distance::Region,
        _ => Distance::Far,
    }
}

fn hop(view: &View<'_>, ask: &Ask, zone: &Name) -> Hop {
    let pool = pool::Key::new(&ask.pool.service, zone);
    let owner = owner(view, &pool).cloned();
    Hop { fallback: owner.is_none(), to: owner.unwrap_or_else(|| view.members.own().clone()), pool }
}

/// The owner of a pool if it answers.
pub(crate) fn owner<'a>(view: &View<'a>, pool: &pool::Key) -> Option<&'a Name> {
    view.members.owner(pool).map(|(vm, _)| vm).filter(|vm| !view.silent.contains(vm))
}
