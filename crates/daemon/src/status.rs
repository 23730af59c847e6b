//! Status of the fleet and of single resources, read from the control state.

use hornbeamloom_kernel::ids::{Millis, Name, Revision};
use hornbeamloom_kernel::intent::Source;
use hornbeamloom_kernel::kernel::State;
use hornbeamloom_kernel::peer::{Entry, Standing};
use hornbeamloom_kernel::pool;
use hornbeamloom_kernel::request::Id;
use hornbeamloom_kernel::resource::{Record, Target};
use serde_json::{json, Value};

/// The revision in force at each VM that this VM knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct Fleet {
    vms: Vec<Standpoint>,
}

/// One VM's revision.
#[derive(Debug, Clone)]
struct Standpoint {
    vm: Name,
    revision: Revision,
    is_reachable: bool,
}

/// Reads which revision is in force where.
pub(crate) fn fleet(state: &State, _now: Millis, _argument: &str) -> Fleet {
    let mut vms: Vec<Standpoint> = state
        .members
        .iter()
        .map(|member| Standpoint {
            vm: member.entry.vm.clone(),
            revision: revision(state, &member.entry),
            is_reachable: is_reachable(state, &member.entry.vm),
        })
        .collect();
    vms.sort_by(|a, b| a.vm.cmp(&b.vm));
    Fleet { vms }
}

/// A VM's revision; the entry about this VM lags by up to one gossip round.
fn revision(state: &State, entry: &Entry) -> Revision {
    match entry.vm == state.identity.vm {
        true => state.intent.revision,
        false => entry.revision,
    }
}

fn is_reachable(state: &State, vm: &str) -> bool {
    *vm == *state.identity.vm || state.members.is_reachable(vm)
}

/// The status of one resource; `is_full` lists the VMs where it is in force, otherwise they are
/// only counted, which keeps lists short.
///
/// A VM that cannot be reached is pending until it is seen with the revision or leaves the
/// platform's list: it may still act on the older one.
pub(crate) fn of_record(record: &Record, fleet: &Fleet, is_full: bool) -> Value {
    let (in_force, pending): (Vec<_>, Vec<_>) =
        fleet.vms.iter().partition(|vm| vm.revision >= record.version);
    let unreachable = pending.iter().filter(|vm| !vm.is_reachable);
    let unreachable: Vec<&Name> = unreachable.map(|vm| &vm.vm).collect();
    let names = |vms: &[&Standpoint]| vms.iter().map(|vm| vm.vm.clone()).collect::<Vec<_>>();
    let mut status = json!({
        "acceptedRevision": record.version,
        "inForceCount": in_force.len(),
        "pendingCount": pending.len(),
        "pending": names(&pending),
        "unreachable": unreachable,
    });
    if is_full {
        status["inForce"] = json!(names(&in_force));
    }
    status
}

/// The whole status page.
pub(crate) fn page(state: &State, now: Millis, _argument: &str) -> Value {
    json!({
        "vm": state.identity.vm,
        "zone": state.identity.zone,
        "revision": state.intent.revision,
        "source": source(state.intent.source),
        "vms": vms(state, now),
        "targets": targets(state),
        "owners": owners(state),
    })
}

fn source(source: Source) -> &'static str {
    match source {
        Source::None => "none",
        Source::Store => "store",
        Source::Peer => "peer",
    }
}

fn vms(state: &State, now: Millis) -> Vec<Value> {
    let mut members: Vec<_> = state.members.iter().collect();
    members.sort_by(|a, b| a.entry.vm.cmp(&b.entry.vm));
    members
        .iter()
        .map(|member| {
            let entry = &member.entry;
            let is_own = entry.vm == state.identity.vm;
            json!({
                "name": entry.vm,
                "zone": entry.zone,
                "revision": revision(state, entry),
                "source": is_own.then(|| source(state.intent.source)),
                "standing": standing(entry.standing),
                "incarnation": entry.incarnation,
                "reachable": is_reachable(state, &entry.vm),
                "silentMs": if is_own { 0 } else { now.since(member.moved) },
            })
        })
        .collect()
}

fn standing(standing: Standing) -> &'static str {
    match standing {
        Standing::Joining => "joining",
        Standing::Serving => "serving",
        Standing::Leaving => "leaving",
    }
}

fn targets(state: &State) -> Vec<Value> {
    let intent = &state.intent;
    intent
        .targets()
        .into_iter()
        .map(|(name, target)| {
            let key = pool::Key::new(&target.service, &target.zone);
            json!({
                "name": name,
                "service": target.service,
                "zone": target.zone,
                "state": target_state(state, name, target),
                "owner": state.members.owner(&key).map(|(vm, _)| vm),
            })
        })
        .collect()
}

/// A target's state: `out`, `leaving`, `cold` or `warm`, and `unknown` on a VM that does not
/// schedule the target's pool.
fn target_state(state: &State, name: &str, target: &Target) -> &'static str {
    let key = pool::Key::new(&target.service, &target.zone);
    let slots = state.pools.get(&key).map(|pool| pool.targets.as_slice());
    let slot = slots.into_iter().flatten().find(|slot| *slot.name == *name);
    match slot {
        _ if state.intent.is_out(&target.zone) => "out",
        _ if target.leaving => "leaving",
        None => "unknown",
        Some(slot) if slot.is_leaving() => "leaving",
        Some(slot) if slot.is_warm() => "warm",
        Some(_) => "cold",
    }
}

/// The suspected and quarantined bodies.
pub(crate) fn quarantined(state: &State, now: Millis, _argument: &str) -> Vec<Value> {
    let entries = state.quarantine.entries(now);
    entries
        .iter()
        .map(|entry| {
            json!({
                "fingerprint": format!("{:016x}", entry.fingerprint),
                "organisation": entry.organisation,
                "service": entry.service,
                "deaths": entry.deaths,
                "state": if entry.remaining_ms.is_some() { "quarantined" } else { "suspect" },
                "remainingMs": entry.remaining_ms,
            })
        })
        .collect()
}

fn owners(state: &State) -> Vec<Value> {
    let mut pools: Vec<pool::Key> = state
        .intent
        .targets()
        .into_iter()
        .map(|(_, target)| pool::Key::new(&target.service, &target.zone))
        .collect();
    pools.sort();
    pools.dedup();
    pools
        .iter()
        .map(|key| {
            let owner = state.members.owner(key);
            json!({
                "service": key.service,
                "zone": key.zone,
                "vm": owner.map(|(vm, _)| vm),
                "fence": owner.map(|(_, fence)| fence),
            })
        })
        .collect()
}

/// What this VM recorded about a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Explanation {
    /// The text names no request.
    Malformed,
    /// The steps recorded here, with the VM that accepted the request.
    Steps {
        /// The accepting VM.
        vm: Name,
        /// Whether it is this VM.
        is_own: bool,
        /// The steps, oldest first, as JSON objects.
        steps: Vec<Value>,
    },
}

/// Reads the steps of the request whose id is `text`.
pub(crate) fn explain(state: &State, now: Millis, text: &str) -> Explanation {
    let Ok(id) = text.parse::<Id>() else {
        return Explanation::Malformed;
    };
    let steps = state
        .decisions
        .steps(&id)
        .map(|step| json!({"ageMs": now.since(step.at), "text": step.text}))
        .collect();
    Explanation::Steps { is_own: id.vm == state.identity.vm, steps, vm: id.vm }
}
