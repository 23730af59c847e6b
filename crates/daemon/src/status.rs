//! Status of the fleet and of single resources, read from the control state.

use hornbeamloom_kernel::ids::{Millis, Name, Revision};
use hornbeamloom_kernel::intent::Source;
use hornbeamloom_kernel::kernel::State;
use hornbeamloom_kernel::peer::Standing;
use hornbeamloom_kernel::pool;
use hornbeamloom_kernel::request::Id;
use hornbeamloom_kernel::resource::Record;
use serde_json::{json, Value};

/// The revision in force at each VM that this VM knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct Fleet {
    /// VMs by name.
    pub(crate) vms: Vec<(Name, Revision)>,
}

/// Reads which revision is in force where.
pub(crate) fn fleet(state: &State, _now: Millis, _argument: &str) -> Fleet {
    let mut vms: Vec<(Name, Revision)> = state
        .members
        .iter()
        .map(|member| {
            let is_own = member.entry.vm == state.identity.vm;
            let revision = match is_own {
                true => state.intent.revision,
                false => member.entry.revision,
            };
            (member.entry.vm.clone(), revision)
        })
        .collect();
    vms.sort();
    Fleet { vms }
}

/// The status of one resource; `is_full` lists the VMs where it is in force, otherwise they are
/// only counted, which keeps lists short.
pub(crate) fn of_record(record: &Record, fleet: &Fleet, is_full: bool) -> Value {
    let (in_force, pending): (Vec<_>, Vec<_>) = fleet
        .vms
        .iter()
        .partition(|(_, revision)| *revision >= record.version);
    let names =
        |vms: &[&(Name, Revision)]| vms.iter().map(|(vm, _)| vm.clone()).collect::<Vec<_>>();
    let mut status = json!({
        "acceptedRevision": record.version,
        "inForceCount": in_force.len(),
        "pendingCount": pending.len(),
        "pending": names(&pending),
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
            let revision = if is_own {
                state.intent.revision
            } else {
                entry.revision
            };
            json!({
                "name": entry.vm,
                "zone": entry.zone,
                "revision": revision,
                "source": is_own.then(|| source(state.intent.source)),
                "standing": standing(entry.standing),
                "incarnation": entry.incarnation,
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
            let is_out = intent.is_out(&target.zone);
            json!({
                "name": name,
                "service": target.service,
                "zone": target.zone,
                "state": match (is_out, target.leaving) {
                    (true, _) => "out",
                    (false, true) => "leaving",
                    (false, false) => "in",
                },
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
        .log
        .steps(&id)
        .map(|step| json!({"ageMs": now.since(step.at), "text": step.text}))
        .collect();
    Explanation::Steps {
        is_own: id.vm == state.identity.vm,
        steps,
        vm: id.vm,
    }
}
