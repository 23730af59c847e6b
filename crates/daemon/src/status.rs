//! Status of the fleet and of individual resources, read from the control state.

use hornbeamloom_kernel::ids::{Millis, Name, Revision};
use hornbeamloom_kernel::intent::Source;
use hornbeamloom_kernel::kernel::State;
use hornbeamloom_kernel::peer::{MemberEntry, MemberStatus};
use hornbeamloom_kernel::pool;
use hornbeamloom_kernel::request::Id;
use hornbeamloom_kernel::resource::{Record, Target};
use serde_json::{json, Value};

/// The revisions in force on all VMs known to this VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct FleetRevisions {
    vms: Vec<VmRevision>,
}

/// The revision in force on one VM.
#[derive(Debug, Clone)]
struct VmRevision {
    vm: Name,
    revision: Revision,
    is_reachable: bool,
}

/// Collects the revision in force on each VM.
pub(crate) fn fleet_revisions(state: &State, _now: Millis, _argument: &str) -> FleetRevisions {
    let mut vms: Vec<VmRevision> = state
        .members
        .iter()
        .map(|member| VmRevision {
            vm: member.entry.vm.clone(),
            revision: vm_revision(state, &member.entry),
            is_reachable: is_reachable(state, &member.entry.vm),
        })
        .collect();
    vms.sort_by(|a, b| a.vm.cmp(&b.vm));
    FleetRevisions { vms }
}

/// Returns the revision in force on a VM.
///
/// For this VM it is read from the intent, because its member entry lags by up to one gossip round.
fn vm_revision(state: &State, entry: &MemberEntry) -> Revision {
    match entry.vm == state.identity.vm {
        true => state.intent.revision,
        false => entry.revision,
    }
}

fn is_reachable(state: &State, vm: &str) -> bool {
    *vm == *state.identity.vm || state.members.is_reachable(vm)
}

/// Returns the status of one resource.
///
/// With `is_full`, the VMs on which the resource is in force are listed by name; otherwise they are
/// only counted, which keeps lists short.
///
/// An unreachable VM counts as pending until it reports the revision or is removed from the
/// platform's list, because it may still act on an older revision.
pub(crate) fn resource_status(record: &Record, fleet: &FleetRevisions, is_full: bool) -> Value {
    let (in_force, pending): (Vec<_>, Vec<_>) =
        fleet.vms.iter().partition(|vm| vm.revision >= record.version);
    let unreachable = pending.iter().filter(|vm| !vm.is_reachable);
    let unreachable: Vec<&Name> = unreachable.map(|vm| &vm.vm).collect();
    let names = |vms: &[&VmRevision]| vms.iter().map(|vm| vm.vm.clone()).collect::<Vec<_>>();
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

/// Returns the status of the fleet as seen by this VM.
pub(crate) fn page(state: &State, now: Millis, _argument: &str) -> Value {
    json!({
        "vm": state.identity.vm,
        "zone": state.identity.zone,
        "revision": state.intent.revision,
        "source": source_name(state.intent.source),
        "vms": vm_entries(state, now),
        "targets": target_entries(state),
        "owners": owner_entries(state),
    })
}

fn source_name(source: Source) -> &'static str {
    match source {
        Source::None => "none",
        Source::Store => "store",
        Source::Peer => "peer",
    }
}

fn vm_entries(state: &State, now: Millis) -> Vec<Value> {
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
                "revision": vm_revision(state, entry),
                "source": is_own.then(|| source_name(state.intent.source)),
                "standing": status_name(entry.status),
                "incarnation": entry.incarnation,
                "reachable": is_reachable(state, &entry.vm),
                "silentMs": if is_own { 0 } else { now.since(member.heartbeat_at) },
            })
        })
        .collect()
}

fn status_name(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Joining => "joining",
        MemberStatus::Serving => "serving",
        MemberStatus::Leaving => "leaving",
    }
}

fn target_entries(state: &State) -> Vec<Value> {
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

/// Returns a target's state: `out`, `leaving`, `cold` or `warm`, or `unknown` on a VM that does not
/// schedule the target's pool.
fn target_state(state: &State, name: &str, target: &Target) -> &'static str {
    let key = pool::Key::new(&target.service, &target.zone);
    let slots = state.pools.get(&key).map(|pool| pool.targets.as_slice());
    let slot = slots.into_iter().flatten().find(|slot| *slot.name == *name);
    match slot {
        _ if state.intent.is_zone_out(&target.zone) => "out",
        _ if target.leaving => "leaving",
        None => "unknown",
        Some(slot) if slot.is_leaving() => "leaving",
        Some(slot) if slot.is_warm() => "warm",
        Some(_) => "cold",
    }
}

/// Returns the suspected and quarantined request bodies.
pub(crate) fn quarantine_entries(state: &State, now: Millis, _argument: &str) -> Vec<Value> {
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

fn owner_entries(state: &State) -> Vec<Value> {
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

/// The recorded history of a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Explanation {
    /// The text is not a request id.
    Malformed,
    /// The steps recorded on this VM, and the VM that accepted the request.
    Steps {
        /// The VM that accepted the request.
        vm: Name,
        /// Whether this VM accepted the request.
        is_own: bool,
        /// The steps, oldest first, as JSON objects.
        steps: Vec<Value>,
    },
}

/// Returns the recorded steps of the request with the id `text`.
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
