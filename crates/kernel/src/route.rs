//! Which pool a request is sent to next.

use crate::fill::Fills;
use crate::ids::{Millis, Name};
use crate::intent::Intent;
use crate::member;
use crate::peer::Ask;
use crate::pool;
use crate::retry::draw;

/// Difference in fill, in thousandths, for which a request leaves its zone: more than two long
/// prompts make on the engines of one zone.
const MARGIN: u32 = 100;
/// One request in so many asks a pool whose fill is not known.
const PROBE_SHARE: u64 = 4;

/// What the choice may look at.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The resources in force.
    pub intent: &'a Intent,
    /// Owners of pools.
    pub members: &'a member::Membership,
    /// The zone that is preferred: this VM's, or that of a generation which moves.
    pub zone: &'a str,
    /// Fills of pools; without them the preferred zone goes first however full it is.
    pub fills: Option<&'a Fills>,
    /// Owners that do not answer at present.
    pub silent: &'a [Name],
    /// The time.
    pub now: Millis,
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
        if is_usable && !zones.contains(&target.zone) && !view.intent.is_zone_out(&target.zone) {
            zones.push(target.zone.clone());
        }
    }
    zones.sort();
    let shift = draw(ask.fingerprint, ask.id.counter) as usize;
    let count = zones.len().max(1);
    zones.rotate_left(shift % count);
    zones.sort_by_key(|zone| distance(view, zone));
    if let Some(fills) = view.fills {
        prefer_emptier(view, fills, ask, &mut zones);
    }
    zones
}

/// Puts a zone of the region first that is much less full than the one at the front.
///
/// A zone that is cut off goes on with what runs within it, so requests leave their zone only for a
/// reason. Callers are not spread evenly over zones, though, and neither are targets that leave.
fn prefer_emptier(view: &View<'_>, fills: &Fills, ask: &Ask, zones: &mut [Name]) {
    let near = zones.iter().filter(|zone| distance(view, zone) != Distance::Far).count();
    let fill = |zone: &Name| fills.get(&pool::Key::new(&ask.pool.service, zone), view.now);
    let is_probe = draw(ask.id.counter, ask.fingerprint) % PROBE_SHARE == 0;
    let chosen = match is_probe {
        true => zones[..near].iter().position(|zone| fill(zone).is_none()),
        false => {
            let own = zones.first().and_then(fill).unwrap_or(0);
            let known = zones[..near].iter().enumerate();
            let known = known.filter_map(|(ix, zone)| Some((fill(zone)?, ix)));
            let least = known.min();
            least.filter(|(fill, _)| fill + MARGIN <= own).map(|(_, ix)| ix)
        }
    };
    if let Some(chosen) = chosen {
        zones[..=chosen].rotate_right(1);
    }
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
