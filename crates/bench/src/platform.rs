//! A stand-in for the platform: transactional table, object store, weight store, list of VMs.
//!
//! `POST /_fault` takes `{"outage": "refuse"|"hang"|""}`, `{"slow_ms": N}`,
//! `{"lose_answers": N}` (apply the next N transactions without sending their responses),
//! `{"mark": true}` (save a snapshot of the table), `{"rewind": true}` (restore the last snapshot),
//! `{"vms": [...]}` (published after the lag) and `{"vms_lag_ms": N}`. `GET /_stats` returns the
//! number of requests, reads and writes.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use argh::FromArgs;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::sync::Semaphore;
use warp::http::StatusCode;
use warp::{Filter, Reply};

use crate::etcd_table::Table;
use crate::{role, runtime};

/// Time after which a hanging request is answered with 504.
const HANG_DURATION: Duration = Duration::from_secs(30);

inventory::submit! {
    role::Plugin { name: "platform", help: "stand-in for the platform's services", run }
}

/// Stand-in for the platform's services.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// largest number of concurrent reads from the weight store
    #[argh(option, default = "2")]
    weight_reads: usize,
    /// duration of a read from the weight store in milliseconds
    #[argh(option, default = "1_000")]
    weight_ms: u64,
    /// delay of changes to the list of VMs in milliseconds
    #[argh(option, default = "1_000")]
    vms_lag_ms: u64,
}

fn run(arguments: &[&str]) -> Result<ExitCode, role::Error> {
    let args: Args = runtime::parse_args("platform", arguments)?;
    runtime::block_on(
        async move { runtime::serve(args.listen, routes(Platform::new(&args))).await },
    )
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    outage: Option<String>,
    slow_ms: Option<u64>,
    lose_answers: u32,
    mark: bool,
    rewind: bool,
    vms: Option<Value>,
    vms_lag_ms: Option<u64>,
}

struct State {
    table: Table,
    snapshot: Option<Table>,
    objects: HashMap<String, Bytes>,
    vms: VecDeque<(Instant, Value)>,
    vms_lag: Duration,
    outage: String,
    added_latency: Duration,
    responses_to_drop: u32,
    reads: u64,
    requests: u64,
}

/// Shared state of the stand-in; the lock is never held across an await.
#[derive(Clone)]
struct Platform {
    state: Arc<Mutex<State>>,
    weight_reads: Arc<Semaphore>,
    weight_read_duration: Duration,
}

impl Platform {
    fn new(args: &Args) -> Platform {
        let state = State {
            table: Table::new(),
            snapshot: None,
            objects: HashMap::new(),
            vms: VecDeque::from([(Instant::now(), json!([]))]),
            vms_lag: Duration::from_millis(args.vms_lag_ms),
            outage: String::new(),
            added_latency: Duration::ZERO,
            responses_to_drop: 0,
            reads: 0,
            requests: 0,
        };
        Platform {
            state: Arc::new(Mutex::new(state)),
            weight_reads: Arc::new(Semaphore::new(args.weight_reads)),
            weight_read_duration: Duration::from_millis(args.weight_ms),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the active outage and added latency; an error is the status to respond with.
    async fn apply_outage(&self) -> Result<(), StatusCode> {
        let (outage, added_latency) = {
            let mut state = self.lock();
            state.requests += 1;
            (state.outage.clone(), state.added_latency)
        };
        tokio::time::sleep(added_latency).await;
        match outage.as_str() {
            "" => Ok(()),
            "hang" => {
                tokio::time::sleep(HANG_DURATION).await;
                Err(StatusCode::GATEWAY_TIMEOUT)
            }
            _ => Err(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn range(self, request: Value) -> warp::reply::Response {
        if let Err(status) = self.apply_outage().await {
            return status.into_response();
        }
        let mut state = self.lock();
        state.reads += 1;
        warp::reply::json(&state.table.range(&request)).into_response()
    }

    async fn transact(self, request: Value) -> warp::reply::Response {
        if let Err(status) = self.apply_outage().await {
            return status.into_response();
        }
        let (response, is_response_dropped) = {
            let mut state = self.lock();
            let response = state.table.transact(&request);
            let is_response_dropped = state.responses_to_drop > 0;
            state.responses_to_drop = state.responses_to_drop.saturating_sub(1);
            (response, is_response_dropped)
        };
        if is_response_dropped {
            tokio::time::sleep(HANG_DURATION).await;
            return StatusCode::GATEWAY_TIMEOUT.into_response();
        }
        warp::reply::json(&response).into_response()
    }

    async fn list_vms(self) -> warp::reply::Response {
        if let Err(status) = self.apply_outage().await {
            return status.into_response();
        }
        let mut state = self.lock();
        let lag = state.vms_lag;
        while state.vms.len() > 1 && state.vms[1].0.elapsed() >= lag {
            state.vms.pop_front();
        }
        warp::reply::json(&json!({"vms": state.vms[0].1})).into_response()
    }

    async fn put_object(self, path: String, body: Bytes) -> warp::reply::Response {
        if let Err(status) = self.apply_outage().await {
            return status.into_response();
        }
        self.lock().objects.insert(path, body);
        StatusCode::OK.into_response()
    }

    async fn get_object(self, path: String) -> warp::reply::Response {
        if let Err(status) = self.apply_outage().await {
            return status.into_response();
        }
        match self.lock().objects.get(&path) {
            Some(body) => warp::http::Response::new(body.clone()).into_response(),
            None => StatusCode::NOT_FOUND.into_response(),
        }
    }

    async fn read_weights(self, name: String) -> warp::reply::Response {
        let Ok(_permit) = self.weight_reads.acquire().await else {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        };
        tokio::time::sleep(self.weight_read_duration).await;
        name.into_response()
    }

    fn apply_fault(self, fault: Fault) -> StatusCode {
        let mut state = self.lock();
        if let Some(outage) = fault.outage {
            state.outage = outage;
        }
        if let Some(slow_ms) = fault.slow_ms {
            state.added_latency = Duration::from_millis(slow_ms);
        }
        if let Some(lag) = fault.vms_lag_ms {
            state.vms_lag = Duration::from_millis(lag);
        }
        if let Some(vms) = fault.vms {
            state.vms.push_back((Instant::now(), vms));
        }
        if fault.mark {
            state.snapshot = Some(state.table.clone());
        }
        if let Some(snapshot) = state.snapshot.clone().filter(|_| fault.rewind) {
            state.table = snapshot;
        }
        state.responses_to_drop += fault.lose_answers;
        StatusCode::OK
    }

    fn stats(self) -> impl Reply {
        let state = self.lock();
        warp::reply::json(&json!({
            "requests": state.requests,
            "reads": state.reads,
            "writes": state.table.writes,
        }))
    }
}

fn routes(
    platform: Platform,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
    let with_platform = warp::any().map(move || platform.clone());
    let range = warp::path!("v3" / "kv" / "range")
        .and(warp::post())
        .and(with_platform.clone())
        .and(warp::body::json())
        .then(Platform::range);
    let transact = warp::path!("v3" / "kv" / "txn")
        .and(warp::post())
        .and(with_platform.clone())
        .and(warp::body::json())
        .then(Platform::transact);
    let vms = warp::path!("v1" / "vms")
        .and(warp::get())
        .and(with_platform.clone())
        .then(Platform::list_vms);
    let weights = warp::path!("weights" / String)
        .and(warp::get())
        .and(with_platform.clone())
        .then(|name, platform: Platform| platform.read_weights(name));
    let fault = warp::path!("_fault")
        .and(warp::post())
        .and(with_platform.clone())
        .and(warp::body::json())
        .map(Platform::apply_fault);
    let stats =
        warp::path!("_stats").and(warp::get()).and(with_platform.clone()).map(Platform::stats);
    let object = warp::path!(String / String).map(|bucket, object| format!("{bucket}/{object}"));
    let put = object
        .and(warp::put())
        .and(with_platform.clone())
        .and(warp::body::bytes())
        .then(|path, platform: Platform, body| platform.put_object(path, body));
    let get = object
        .and(warp::get())
        .and(with_platform)
        .then(|path, platform: Platform| platform.get_object(path));
    range.or(transact).or(vms).or(weights).or(fault).or(stats).or(put).or(get)
}
