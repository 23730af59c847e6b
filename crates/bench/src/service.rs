//! A stand-in for a plain service that counts executions by idempotency key.
//!
//! `GET /_runs` returns the counts. `POST /_fault` takes `{"drop_answers": N}` (execute the next N
//! calls and close their connections without a body), `{"truncate": N}` (truncate the next N
//! response bodies), `{"delay_ms": N}`, `{"phase": "leaving"}`, `{"cold_s": N}` and
//! `{"die": true}`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use argh::FromArgs;
use bytes::Bytes;
use futures_util::stream;
use serde::Deserialize;
use serde_json::json;
use warp::http::{HeaderMap, Method, StatusCode};
use warp::{Filter, Reply};

use crate::{role, runtime};

/// Exit status of a simulated crash.
const CRASH_EXIT_STATUS: i32 = 70;

inventory::submit! {
    role::Plugin { name: "service", help: "stand-in for a plain service", run }
}

/// Stand-in for a plain service.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// duration of a call in milliseconds
    #[argh(option, default = "20")]
    delay_ms: u64,
    /// duration of the cold start in seconds
    #[argh(option, default = "0.0")]
    cold_s: f64,
    /// number of concurrent calls during cold start above which the process crashes
    #[argh(option, default = "2")]
    cold_limit: u32,
}

fn run(arguments: &[&str]) -> Result<ExitCode, role::Error> {
    let args: Args = runtime::parse_args("service", arguments)?;
    runtime::block_on(async move { runtime::serve(args.listen, routes(Service::new(&args))).await })
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    drop_answers: u32,
    truncate: u32,
    delay_ms: Option<u64>,
    phase: Option<String>,
    cold_s: Option<f64>,
    die: bool,
}

struct State {
    start_id: u128,
    runs: BTreeMap<String, u32>,
    total_calls: u64,
    running_calls: u32,
    responses_to_drop: u32,
    bodies_to_truncate: u32,
    delay: Duration,
    cold_until: Instant,
    cold_limit: u32,
    leaving: bool,
}

/// Shared state of the stand-in; the lock is never held across an await.
#[derive(Clone)]
struct Service(Arc<Mutex<State>>);

/// The fault injected into the response of one call.
enum ResponseFault {
    None,
    Drop,
    Truncate,
}

impl Service {
    fn new(args: &Args) -> Service {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Service(Arc::new(Mutex::new(State {
            start_id: since_epoch.unwrap_or_default().as_millis(),
            runs: BTreeMap::new(),
            total_calls: 0,
            running_calls: 0,
            responses_to_drop: 0,
            bodies_to_truncate: 0,
            delay: Duration::from_millis(args.delay_ms),
            cold_until: Instant::now() + Duration::from_secs_f64(args.cold_s),
            cold_limit: args.cold_limit,
            leaving: false,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start_call(&self, key: &str) -> (Duration, u32, ResponseFault) {
        let mut state = self.lock();
        state.total_calls += 1;
        state.running_calls += 1;
        if Instant::now() < state.cold_until && state.running_calls > state.cold_limit {
            eprintln!("service: more concurrent calls than --cold-limit during cold start");
            std::process::exit(CRASH_EXIT_STATUS);
        }
        let runs = state.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        let run_number = *runs;
        let response_fault = if state.responses_to_drop > 0 {
            state.responses_to_drop -= 1;
            ResponseFault::Drop
        } else if state.bodies_to_truncate > 0 {
            state.bodies_to_truncate -= 1;
            ResponseFault::Truncate
        } else {
            ResponseFault::None
        };
        (state.delay, run_number, response_fault)
    }

    async fn call(
        self,
        method: Method,
        path: warp::path::FullPath,
        headers: HeaderMap,
        body: Bytes,
    ) -> warp::reply::Response {
        let header = |name| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("");
        let (delay, run_number, response_fault) = self.start_call(header("idempotency-key"));
        tokio::time::sleep(delay).await;
        self.lock().running_calls -= 1;
        let body_text = json!({
            "method": method.as_str(),
            "path": path.as_str(),
            "body": String::from_utf8_lossy(&body),
            "run": run_number,
        })
        .to_string();
        let reply = match response_fault {
            ResponseFault::None => body_text.into_response(),
            ResponseFault::Drop => truncated_response("", body_text.len()),
            ResponseFault::Truncate => {
                truncated_response(&body_text[..body_text.len() / 2], body_text.len())
            }
        };
        let reply = warp::reply::with_header(reply, "content-type", "application/json");
        let request_id = header("x-request-id").to_owned();
        warp::reply::with_header(reply, "x-request-id", request_id).into_response()
    }

    fn metrics(self) -> String {
        let state = self.lock();
        let phase = match (state.leaving, Instant::now() < state.cold_until) {
            (true, _) => "leaving",
            (_, true) => "cold",
            _ => "warm",
        };
        format!(
            "engine_start_id {}\nengine_phase{{phase=\"{phase}\"}} 1\n\
             vllm:num_requests_running {}\nrequests_total {}\n",
            state.start_id, state.running_calls, state.total_calls
        )
    }

    fn apply_fault(self, fault: Fault) -> StatusCode {
        if fault.die {
            std::process::exit(CRASH_EXIT_STATUS);
        }
        let mut state = self.lock();
        state.responses_to_drop += fault.drop_answers;
        state.bodies_to_truncate += fault.truncate;
        if let Some(delay_ms) = fault.delay_ms {
            state.delay = Duration::from_millis(delay_ms);
        }
        if let Some(phase) = fault.phase {
            state.leaving = phase == "leaving";
        }
        if let Some(cold_s) = fault.cold_s {
            state.cold_until = Instant::now() + Duration::from_secs_f64(cold_s);
        }
        StatusCode::OK
    }
}

/// A response with a content length of `length` bytes whose body ends after `text`.
fn truncated_response(text: &str, length: usize) -> warp::reply::Response {
    let chunks = [Ok(Bytes::from(text.to_owned())), Err(BodyCut)];
    let reply = warp::reply::stream(stream::iter(chunks));
    warp::reply::with_header(reply, "content-length", length).into_response()
}

/// Ends a response body early, so that the server closes the connection.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("response body truncated by an injected fault")]
struct BodyCut;

fn routes(
    service: Service,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
    let with_service = warp::any().map(move || service.clone());
    let metrics = warp::path!("metrics").and(with_service.clone()).map(Service::metrics);
    let runs = warp::path!("_runs")
        .and(with_service.clone())
        .map(|service: Service| warp::reply::json(&service.lock().runs));
    let fault = warp::path!("_fault")
        .and(warp::post())
        .and(with_service.clone())
        .and(warp::body::json())
        .map(Service::apply_fault);
    let call = with_service
        .and(warp::method())
        .and(warp::path::full())
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .then(Service::call);
    metrics.or(runs).or(fault).or(call)
}
