//! The adapter for the platform's services: polls the table for resource changes, executes store
//! calls, polls the list of VMs and maintains a snapshot of the resources in the object store.

use std::sync::Arc;
use std::time::Duration;

use hornbeamloom_kernel::event::Vm;
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::outcome::Outcome;
use hornbeamloom_kernel::store::{Answer, Call};
use serde::Deserialize;
use tokio::sync::Semaphore;

use crate::adapter::{Context, Error, Inbox, Plugin};
use crate::clock::BootInstant;
use crate::control::Input;
use crate::settings::Settings;
use crate::table::{self, Client, RequestError, REQUEST_TIMEOUT};
use crate::{jitter, snapshot};

/// Interval at which the table's head is read.
const HEAD_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the table's head is read in a large fleet.
const LARGE_FLEET_HEAD_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Number of VMs above which the head is read less often, to stay within the table's read rate.
const LARGE_FLEET_VMS: usize = 32;
/// Interval at which the list of VMs is read.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of concurrent store calls.
const MAX_CALLS_IN_FLIGHT: usize = 64;
/// Number of consecutive failed reads of the head after which a VM without resources restores the
/// snapshot. Until then, peers have time to send their resources, which may be newer.
const SNAPSHOT_AFTER_FAILURES: u32 = 3;

inventory::submit! {
    Plugin {
        name: "platform",
        rank: 40,
        is_enabled: Settings::uses_native_interface,
        check: |_| Ok(()),
        accepts: |outcome| matches!(outcome, Outcome::Store(_)),
        start,
    }
}

fn start(context: Context, inbox: Inbox) -> Result<(), Error> {
    let http = table::http_client().map_err(|error| Error::Startup(error.to_string()))?;
    let platform = context.settings.get().platform.clone();
    let table = Client::new(http.clone(), &platform.table);
    let objects = snapshot::ObjectStore::new(http.clone(), &platform.objects);
    tokio::spawn(poll_table(context.clone(), table.clone(), objects.clone()));
    tokio::spawn(execute_calls(context.clone(), table, inbox));
    tokio::spawn(snapshot::run_writer(context.clone(), objects));
    tokio::spawn(poll_vm_list(context, http, platform.vms.to_string()));
    Ok(())
}

/// Polls the head, and reads the changes whenever it has advanced, until the process exits.
async fn poll_table(context: Context, table: Client, objects: snapshot::ObjectStore) {
    let mut failures = 0;
    loop {
        let started_at = BootInstant::now();
        match poll_once(&context, &table).await {
            Ok(input) => {
                failures = 0;
                context.control.tell(input);
                context.control.tell(Input::TableCurrent(started_at));
            }
            Err(_) => {
                failures += 1;
                context.control.tell(Input::TableUnavailable);
                if failures >= SNAPSHOT_AFTER_FAILURES {
                    snapshot::restore_if_empty(&context, &objects).await;
                }
            }
        }
        tokio::time::sleep(jitter::around(head_poll_interval(&context).await)).await;
    }
}

async fn poll_once(context: &Context, table: &Client) -> Result<Input, RequestError> {
    let head = table.head().await?;
    let current = context.intent.get().revision;
    if head > current {
        let changes = table.changes(current, None).await?;
        return Ok(Input::Changes(changes.to_delta()));
    }
    // A head older than the revision in force (a table restored from a backup) is counted by the
    // kernel but never applied.
    Ok(Input::TableHead(head))
}

async fn head_poll_interval(context: &Context) -> Duration {
    let count = context.control.ask(|state, _, _| state.members.iter().count(), "").await;
    match count {
        Some(count) if count > LARGE_FLEET_VMS => LARGE_FLEET_HEAD_POLL_INTERVAL,
        _ => HEAD_POLL_INTERVAL,
    }
}

/// Executes the kernel's store calls.
async fn execute_calls(context: Context, table: Client, mut inbox: Inbox) {
    let permits = Arc::new(Semaphore::new(MAX_CALLS_IN_FLIGHT));
    while let Some(outcome) = inbox.recv().await {
        let Outcome::Store(call) = outcome else {
            continue;
        };
        let (context, table, permits) = (context.clone(), table.clone(), permits.clone());
        tokio::spawn(async move {
            let Call { id, op } = call;
            // A call that times out while waiting for a permit was never sent.
            let answer = match tokio::time::timeout(REQUEST_TIMEOUT, permits.acquire()).await {
                Ok(_permit) => table.execute(&op).await,
                Err(_) => Answer::Unavailable,
            };
            context.control.tell(Input::StoreAnswered(id, answer));
        });
    }
}

/// Polls the platform's list of VMs until the process exits.
async fn poll_vm_list(context: Context, http: reqwest::Client, base: String) {
    let url = format!("{}/v1/vms", base.trim_end_matches('/'));
    loop {
        match fetch_vm_list(&http, &url).await {
            Some(vms) => context.control.tell(Input::Vms(vms)),
            None => {
                metrics::counter!("hornbeamloom_ignored_total", "input" => "vms").increment(1);
            }
        }
        tokio::time::sleep(jitter::around(VM_LIST_POLL_INTERVAL)).await;
    }
}

async fn fetch_vm_list(http: &reqwest::Client, url: &str) -> Option<Vec<Vm>> {
    #[derive(Deserialize)]
    struct List {
        vms: Vec<Vm>,
    }
    let response = http.get(url).send().await.ok()?;
    let response = response.error_for_status().ok()?;
    let body = table::read_body(response).await.ok()?;
    let list: List = serde_json::from_slice(&body).ok()?;
    Some(list.vms)
}

/// Returns whether this VM, by its own membership view, performs the work meant for one VM of its
/// zone.
///
/// The views of two VMs may differ for some seconds, so that both may act: the work must be
/// conditional.
pub(crate) async fn is_zone_leader(context: &Context) -> bool {
    let is_leader = context.control.ask(
        |state, _, _| {
            let own_vm = &state.identity.vm;
            let zone = state.members.in_zone(&state.identity.zone);
            zone.map(|member| &member.entry.vm)
                .filter(|vm| state.members.is_reachable(vm))
                .all(|vm| vm >= own_vm)
        },
        "",
    );
    is_leader.await.unwrap_or(false)
}

/// Returns the revision in force on this VM.
pub(crate) fn current_revision(context: &Context) -> Revision {
    context.intent.get().revision
}
