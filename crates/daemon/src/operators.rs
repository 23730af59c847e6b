//! The operators' HTTP API: resources, watches, status, request explanations and quarantine.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures_util::{Stream, StreamExt};
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::resource::{Key, Kind, Record};
use hornbeamloom_kernel::validate::{FieldError, MAX_DOCUMENT_BYTES};
use hornbeamloom_wire::manifest;
use hyper_util::service::TowerToHyperService;
use serde_json::{json, Value};
use warp::http::{HeaderMap, Method, StatusCode};
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::adapter::{self, Context, Error, Inbox, Plugin};
use crate::api_error::ApiError;
use crate::connections::Port;
use crate::control::Input;
use crate::table::{self, Client};
use crate::write::{self, Change, WriteError};
use crate::{auth, listener, memory, metrics, status, watch};

/// Timeout for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

inventory::submit! {
    Plugin {
        name: "operators",
        rank: 50,
        is_enabled: |_| true,
        check: |_| Ok(()),
        accepts: |_| false,
        start,
    }
}

fn start(context: Context, _inbox: Inbox) -> Result<(), Error> {
    let settings = context.settings.get();
    let listener = adapter::bind(&settings.listen.operators, "operators")?;
    metrics::install().map_err(|error| Error::Startup(error.to_string()))?;
    let http = table::http_client().map_err(|error| Error::Startup(error.to_string()))?;
    let api = Arc::new(Api {
        table: Client::new(http, &settings.platform.table),
        watch_cache: watch::WatchCache::start(
            context.intent.clone(),
            context.server_shutdown.clone(),
        ),
        context: context.clone(),
    });
    let service = TowerToHyperService::new(warp::service(routes(api)));
    tokio::spawn(listener::serve(listener, Port::Operators, context, service, no_memory));
    Ok(())
}

fn no_memory() -> Response {
    no_memory_error().into_response()
}

fn no_memory_error() -> ApiError {
    ApiError::new(StatusCode::SERVICE_UNAVAILABLE, "buffers_exhausted")
}

/// State shared by all requests.
struct Api {
    context: Context,
    table: Client,
    watch_cache: watch::WatchCache,
}

/// A request with its complete body.
struct Request {
    method: Method,
    path: String,
    query: String,
    body: Bytes,
}

/// Builds a single filter for all requests, so that unknown paths also get a typed error response.
fn routes(
    api: Arc<Api>,
) -> impl Filter<Extract = (impl Reply,), Error = std::convert::Infallible> + Clone {
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    let filter = warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: warp::path::FullPath, query, headers, body| {
            let api = api.clone();
            async move {
                let path = path.as_str().to_owned();
                let reply = handle_request(&api, method, path, query, headers, body).await;
                reply.unwrap_or_else(ApiError::into_response)
            }
        });
    let malformed = || ApiError::new(StatusCode::BAD_REQUEST, "malformed").into_response();
    filter.or(warp::any().map(malformed)).unify()
}

async fn handle_request<S, B>(
    api: &Api,
    method: Method,
    path: String,
    query: String,
    headers: HeaderMap,
    body: S,
) -> Result<Response, ApiError>
where
    S: Stream<Item = Result<B, warp::Error>> + Unpin,
    B: Buf,
{
    if let Some(reply) = handle_unauthenticated(api, &method, &path) {
        return Ok(reply);
    }
    let is_operator = {
        let settings = api.context.settings.get();
        auth::bearer_token(&headers)
            .is_some_and(|key| auth::contains_key(&settings.keys.operator, key))
    };
    if !is_operator {
        return Err(ApiError::new(StatusCode::UNAUTHORIZED, "unauthorized"));
    }
    let body = tokio::time::timeout(BODY_TIMEOUT, read_body(api, body)).await;
    let body = body.map_err(|_| ApiError::new(StatusCode::REQUEST_TIMEOUT, "body_deadline"))??;
    let request = Request { method, path, query, body };
    dispatch(api, &request).await
}

/// Serves the endpoints that need no key, for the load balancer and the metrics collector.
fn handle_unauthenticated(api: &Api, method: &Method, path: &str) -> Option<Response> {
    if *method != Method::GET {
        return None;
    }
    match path {
        "/healthz" => Some("ok\n".into_response()),
        "/readyz" => Some(readiness(api)),
        "/metrics" => Some(metrics::render(&api.context.memory).into_response()),
        _ => None,
    }
}

fn readiness(api: &Api) -> Response {
    let problem = match (api.context.stopping.get(), revision(api)) {
        (true, _) => "shutting down",
        (false, Revision(0)) => "no resources in force",
        (false, _) => return "ready\n".into_response(),
    };
    warp::reply::with_status(format!("{problem}\n"), StatusCode::SERVICE_UNAVAILABLE)
        .into_response()
}

async fn read_body<S, B>(api: &Api, mut stream: S) -> Result<Bytes, ApiError>
where
    S: Stream<Item = Result<B, warp::Error>> + Unpin,
    B: Buf,
{
    let mut body = api.context.memory.buffer(MAX_DOCUMENT_BYTES);
    while let Some(chunk) = stream.next().await {
        let mut chunk =
            chunk.map_err(|_| WriteError::Malformed("the body broke off".to_owned()))?;
        while chunk.has_remaining() {
            body.push(chunk.chunk()).map_err(|error| match error {
                memory::Error::TooLong(_) => WriteError::TooLarge.into(),
                memory::Error::Exhausted => no_memory_error(),
            })?;
            chunk.advance(chunk.chunk().len());
        }
    }
    Ok(body.freeze())
}

async fn dispatch(api: &Api, request: &Request) -> Result<Response, ApiError> {
    let path = request.path.strip_prefix("/apis/v1/").unwrap_or_default();
    let parts: Vec<&str> = path.split('/').collect();
    match (&request.method, parts.as_slice()) {
        (&Method::GET, ["status"]) => query_state(api, status::page, "").await.map(ok),
        (&Method::GET, ["explain", id]) => explain_request(api, id).await,
        (&Method::GET, ["quarantine"]) => list_quarantine(api).await,
        (&Method::DELETE, ["quarantine", fingerprint]) => lift_quarantine(api, fingerprint).await,
        (method, [plural]) => {
            let kind = Kind::from_plural(plural).ok_or_else(not_found)?;
            match *method {
                Method::GET if is_watch(request) => watch_resources(api, request, kind),
                Method::GET => list_resources(api, kind).await,
                Method::POST => create_resource(api, request, kind).await,
                _ => Err(method_not_allowed()),
            }
        }
        (method, [plural, name]) => {
            let kind = Kind::from_plural(plural).ok_or_else(not_found)?;
            let key = Key { kind, name: (*name).into() };
            match *method {
                Method::GET => get_resource(api, &key).await,
                _ => modify_resource(api, request, &key).await,
            }
        }
        _ => Err(not_found()),
    }
}

fn is_watch(request: &Request) -> bool {
    query_parameter(&request.query, "watch").is_some_and(|value| value == "true")
}

/// Returns the value of a query parameter without percent-decoding, which no used value needs.
fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

fn resource_version(request: &Request) -> Result<Option<Revision>, ApiError> {
    let Some(text) = query_parameter(&request.query, "resourceVersion") else {
        return Ok(None);
    };
    let fault = FieldError::new("resourceVersion", "expected a revision number");
    let number = text.parse().map_err(|_| WriteError::Invalid(vec![fault]))?;
    Ok(Some(Revision(number)))
}

async fn query_state<T: Send + 'static>(
    api: &Api,
    read: fn(&hornbeamloom_kernel::kernel::State, hornbeamloom_kernel::ids::Millis, &str) -> T,
    argument: &str,
) -> Result<T, ApiError> {
    let answer = api.context.control.ask(read, argument).await;
    answer.ok_or_else(|| ApiError::new(StatusCode::SERVICE_UNAVAILABLE, "shutting_down"))
}

fn revision(api: &Api) -> Revision {
    api.context.intent.get().revision
}

async fn list_resources(api: &Api, kind: Kind) -> Result<Response, ApiError> {
    let fleet = query_state(api, status::fleet_revisions, "").await?;
    let intent = api.context.intent.get();
    let mut records: Vec<&Record> = intent
        .records()
        .filter(|record| record.key.kind == kind && record.spec.is_some())
        .collect();
    records.sort_by(|a, b| a.key.cmp(&b.key));
    let items: Vec<Value> =
        records.into_iter().map(|record| resource_document(record, &fleet, false)).collect();
    Ok(ok(json!({
        "apiVersion": manifest::API_VERSION,
        "kind": "List",
        "metadata": {"resourceVersion": intent.revision},
        "items": items,
    })))
}

fn resource_document(record: &Record, fleet: &status::FleetRevisions, is_full: bool) -> Value {
    let mut document = manifest::to_document(record);
    document["status"] = status::resource_status(record, fleet, is_full);
    document
}

async fn get_resource(api: &Api, key: &Key) -> Result<Response, ApiError> {
    let fleet = query_state(api, status::fleet_revisions, "").await?;
    let intent = api.context.intent.get();
    let record = intent.records().find(|record| record.key == *key && record.spec.is_some());
    let record = record.ok_or_else(not_found)?;
    Ok(ok(resource_document(record, &fleet, true)))
}

fn watch_resources(api: &Api, request: &Request, kind: Kind) -> Result<Response, ApiError> {
    let start = match resource_version(request)? {
        Some(revision) => watch::Start::After(revision),
        None => watch::Start::Now,
    };
    let intent = api.context.intent.get();
    let stream = watch::stream(&api.watch_cache, &intent, kind, start);
    let reply = warp::reply::stream(stream);
    Ok(warp::reply::with_header(reply, "content-type", "application/x-ndjson").into_response())
}

async fn create_resource(api: &Api, request: &Request, kind: Kind) -> Result<Response, ApiError> {
    let document = manifest::parse(&request.body, Some(kind)).map_err(WriteError::from)?;
    let Some(name) = document.metadata.name.clone() else {
        let fault = FieldError::new("metadata.name", "is missing");
        return Err(WriteError::Invalid(vec![fault]).into());
    };
    let key = Key { kind, name };
    apply_change(api, &key, &Change::Create(document), StatusCode::CREATED).await
}

async fn modify_resource(api: &Api, request: &Request, key: &Key) -> Result<Response, ApiError> {
    let change = match request.method {
        Method::PUT => manifest::parse(&request.body, Some(key.kind))
            .map(Change::Replace)
            .map_err(WriteError::from),
        Method::PATCH => serde_json::from_slice(&request.body)
            .map(Change::Patch)
            .map_err(|_| WriteError::Malformed("the patch is not JSON".to_owned())),
        Method::DELETE => Ok(Change::Delete(resource_version(request)?)),
        _ => return Err(method_not_allowed()),
    };
    apply_change(api, key, &change?, StatusCode::OK).await
}

async fn apply_change(
    api: &Api,
    key: &Key,
    change: &Change,
    status: StatusCode,
) -> Result<Response, ApiError> {
    let intent = api.context.intent.get();
    let written = write::apply(&api.table, &intent, key, change).await?;
    let (kind, name, to) = (key.kind.plural(), &key.name, written.delta.to.0);
    log::info!("resource written kind={kind} name={name} revision={to}");
    api.context.control.tell(Input::Changes(written.delta));
    // Inputs are handled in order, so this query sees the changes applied.
    let fleet = query_state(api, status::fleet_revisions, "").await?;
    let document = resource_document(&written.record, &fleet, true);
    Ok(warp::reply::with_status(warp::reply::json(&document), status).into_response())
}

async fn explain_request(api: &Api, id: &str) -> Result<Response, ApiError> {
    let absent = |reason| ApiError::new(StatusCode::NOT_FOUND, reason);
    match query_state(api, status::explain, id).await? {
        status::Explanation::Malformed => {
            Err(WriteError::Malformed("not a request id".to_owned()).into())
        }
        status::Explanation::Steps { vm, is_own, steps } if is_own && !steps.is_empty() => {
            Ok(ok(json!({"id": id, "vm": vm, "steps": steps})))
        }
        status::Explanation::Steps { is_own: true, .. } => {
            Err(absent("not_found").with_detail("no steps of this request are retained"))
        }
        // Membership does not include the operators' addresses of other VMs, so the request cannot
        // be forwarded.
        status::Explanation::Steps { vm, steps, .. } => Err(absent("other_vm")
            .with_detail(&format!("ask VM {vm}"))
            .with_field("vm", &*vm)
            .with_field("steps", steps)),
    }
}

async fn list_quarantine(api: &Api) -> Result<Response, ApiError> {
    let items = query_state(api, status::quarantine_entries, "").await?;
    Ok(ok(json!({"items": items})))
}

/// Lifts a quarantine. The kernel notifies the other VMs and deletes the record from the table as
/// soon as the table is reachable.
async fn lift_quarantine(api: &Api, text: &str) -> Result<Response, ApiError> {
    let fingerprint = u64::from_str_radix(text, 16).map_err(|_| not_found())?;
    let text = format!("{fingerprint:016x}");
    let items = query_state(api, status::quarantine_entries, "").await?;
    if !items.iter().any(|item| item["fingerprint"] == *text) {
        return Err(not_found());
    }
    api.context.control.tell(Input::LiftQuarantine(fingerprint));
    log::info!("quarantine lifted quarantine={text}");
    Ok(ok(json!({"fingerprint": text, "lifted": true})))
}

fn ok(value: Value) -> Response {
    warp::reply::json(&value).into_response()
}

fn not_found() -> ApiError {
    WriteError::NotFound.into()
}

fn method_not_allowed() -> ApiError {
    ApiError::new(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed")
}
