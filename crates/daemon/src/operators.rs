//! The operators' API: resources, watches, status, explanations and quarantine.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::resource::{Key, Kind, Record};
use hornbeamloom_kernel::validate::{Fault, DOCUMENT_MAX};
use hornbeamloom_wire::manifest;
use serde_json::{json, Value};
use warp::http::{HeaderMap, Method, StatusCode};
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::control::Input;
use crate::edge::{self, Context, Error, Inbox, Plugin};
use crate::failure::Failure;
use crate::table::{self, Client};
use crate::write::{self, Change, Refusal};
use crate::{auth, metrics, status, watch};

/// Time for a request's body.
const BODY_DEADLINE: Duration = Duration::from_secs(10);

inventory::submit! {
    Plugin { name: "operators", rank: 50, serves: |_| true, takes: |_| false, start }
}

fn start(context: Context, _inbox: Inbox) -> Result<(), Error> {
    let settings = context.settings.borrow().clone();
    let listener = edge::bind(&settings.listen.operators, "operators")?;
    let http = table::http().map_err(|error| Error::Setting(error.to_string()))?;
    let exit = context.exit.clone();
    let api = Arc::new(Api {
        table: Client::new(http, &settings.platform.table),
        hub: watch::Hub::start(context.intent.clone(), context.exit.clone()),
        context,
    });
    let server = warp::serve(routes(api)).incoming(listener).graceful(exit.clone().begun()).run();
    tokio::spawn(async move {
        let _permit = exit.register();
        server.await;
    });
    Ok(())
}

/// What every request may use.
struct Api {
    context: Context,
    table: Client,
    hub: watch::Hub,
}

/// A request with its body read.
struct Request {
    method: Method,
    path: String,
    query: String,
    body: Bytes,
}

/// One filter takes every request, so that unknown paths are answered in the same typed form.
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
                let reply = answer(&api, method, path, query, headers, body).await;
                reply.unwrap_or_else(Failure::into_response)
            }
        });
    let malformed = || Failure::new(StatusCode::BAD_REQUEST, "malformed").into_response();
    filter.or(warp::any().map(malformed)).unify()
}

async fn answer<S, B>(
    api: &Api,
    method: Method,
    path: String,
    query: String,
    headers: HeaderMap,
    body: S,
) -> Result<Response, Failure>
where
    S: Stream<Item = Result<B, warp::Error>> + Unpin,
    B: Buf,
{
    if let Some(reply) = health(api, &method, &path) {
        return Ok(reply);
    }
    let is_operator = {
        let settings = api.context.settings.borrow();
        auth::bearer_token(&headers)
            .is_some_and(|key| auth::contains_key(&settings.keys.operator, key))
    };
    if !is_operator {
        return Err(Failure::new(StatusCode::UNAUTHORIZED, "unauthorized"));
    }
    let body = tokio::time::timeout(BODY_DEADLINE, collect(body)).await;
    let body = body.map_err(|_| Failure::new(StatusCode::REQUEST_TIMEOUT, "body_deadline"))??;
    let request = Request { method, path, query, body };
    route(api, &request).await
}

/// Pages without a key, for the load balancer and the collector of metrics.
fn health(api: &Api, method: &Method, path: &str) -> Option<Response> {
    if *method != Method::GET {
        return None;
    }
    match path {
        "/healthz" => Some("ok\n".into_response()),
        "/readyz" => Some(ready(api)),
        "/metrics" => Some(metrics::render().into_response()),
        _ => None,
    }
}

fn ready(api: &Api) -> Response {
    let problem = match (*api.context.stopping.borrow(), revision(api)) {
        (true, _) => "shutting down",
        (false, Revision(0)) => "no resources in force",
        (false, _) => return "ready\n".into_response(),
    };
    warp::reply::with_status(format!("{problem}\n"), StatusCode::SERVICE_UNAVAILABLE)
        .into_response()
}

async fn collect<S, B>(mut stream: S) -> Result<Bytes, Failure>
where
    S: Stream<Item = Result<B, warp::Error>> + Unpin,
    B: Buf,
{
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.next().await {
        let mut chunk = chunk.map_err(|_| Refusal::Malformed("the body broke off".to_owned()))?;
        if body.len() + chunk.remaining() > DOCUMENT_MAX {
            return Err(Refusal::TooLarge.into());
        }
        body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok(body.freeze())
}

async fn route(api: &Api, request: &Request) -> Result<Response, Failure> {
    let path = request.path.strip_prefix("/apis/v1/").unwrap_or_default();
    let parts: Vec<&str> = path.split('/').collect();
    match (&request.method, parts.as_slice()) {
        (&Method::GET, ["status"]) => ask(api, status::page, "").await.map(ok),
        (&Method::GET, ["explain", id]) => explain(api, id).await,
        (&Method::GET, ["quarantine"]) => quarantined(api).await,
        (&Method::DELETE, ["quarantine", fingerprint]) => lift(api, fingerprint).await,
        (method, [plural]) => {
            let kind = Kind::from_plural(plural).ok_or_else(not_found)?;
            match *method {
                Method::GET if is_watch(request) => follow(api, request, kind),
                Method::GET => list(api, kind).await,
                Method::POST => create(api, request, kind).await,
                _ => Err(method_not_allowed()),
            }
        }
        (method, [plural, name]) => {
            let kind = Kind::from_plural(plural).ok_or_else(not_found)?;
            let key = Key { kind, name: (*name).into() };
            match *method {
                Method::GET => one(api, &key).await,
                _ => change(api, request, &key).await,
            }
        }
        _ => Err(not_found()),
    }
}

fn is_watch(request: &Request) -> bool {
    parameter(&request.query, "watch").is_some_and(|value| value == "true")
}

/// The value of a query parameter; the values in use need no decoding.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

fn version(request: &Request) -> Result<Option<Revision>, Failure> {
    let Some(text) = parameter(&request.query, "resourceVersion") else {
        return Ok(None);
    };
    let fault = Fault::new("resourceVersion", "expected a revision number");
    let number = text.parse().map_err(|_| Refusal::Invalid(vec![fault]))?;
    Ok(Some(Revision(number)))
}

async fn ask<T: Send + 'static>(
    api: &Api,
    read: fn(&hornbeamloom_kernel::kernel::State, hornbeamloom_kernel::ids::Millis, &str) -> T,
    argument: &str,
) -> Result<T, Failure> {
    let answer = api.context.control.ask(read, argument).await;
    answer.ok_or_else(|| Failure::new(StatusCode::SERVICE_UNAVAILABLE, "shutting_down"))
}

fn revision(api: &Api) -> Revision {
    api.context.intent.borrow().revision
}

async fn list(api: &Api, kind: Kind) -> Result<Response, Failure> {
    let fleet = ask(api, status::fleet, "").await?;
    let intent = api.context.intent.borrow().clone();
    let mut records: Vec<&Record> = intent
        .records()
        .filter(|record| record.key.kind == kind && record.spec.is_some())
        .collect();
    records.sort_by(|a, b| a.key.cmp(&b.key));
    let items: Vec<Value> =
        records.into_iter().map(|record| document(record, &fleet, false)).collect();
    Ok(ok(json!({
        "apiVersion": manifest::API_VERSION,
        "kind": "List",
        "metadata": {"resourceVersion": intent.revision},
        "items": items,
    })))
}

fn document(record: &Record, fleet: &status::Fleet, is_full: bool) -> Value {
    let mut document = manifest::to_document(record);
    document["status"] = status::of_record(record, fleet, is_full);
    document
}

async fn one(api: &Api, key: &Key) -> Result<Response, Failure> {
    let fleet = ask(api, status::fleet, "").await?;
    let intent = api.context.intent.borrow().clone();
    let record = intent.records().find(|record| record.key == *key && record.spec.is_some());
    let record = record.ok_or_else(not_found)?;
    Ok(ok(document(record, &fleet, true)))
}

fn follow(api: &Api, request: &Request, kind: Kind) -> Result<Response, Failure> {
    let start = match version(request)? {
        Some(revision) => watch::Start::After(revision),
        None => watch::Start::Now,
    };
    let intent = api.context.intent.borrow().clone();
    let stream = watch::stream(&api.hub, &intent, kind, start);
    let reply = warp::reply::stream(stream);
    Ok(warp::reply::with_header(reply, "content-type", "application/x-ndjson").into_response())
}

async fn create(api: &Api, request: &Request, kind: Kind) -> Result<Response, Failure> {
    let document = manifest::parse(&request.body, Some(kind)).map_err(Refusal::from)?;
    let Some(name) = document.metadata.name.clone() else {
        let fault = Fault::new("metadata.name", "is missing");
        return Err(Refusal::Invalid(vec![fault]).into());
    };
    let key = Key { kind, name };
    commit(api, &key, &Change::Create(document), StatusCode::CREATED).await
}

async fn change(api: &Api, request: &Request, key: &Key) -> Result<Response, Failure> {
    let change = match request.method {
        Method::PUT => manifest::parse(&request.body, Some(key.kind))
            .map(Change::Replace)
            .map_err(Refusal::from),
        Method::PATCH => serde_json::from_slice(&request.body)
            .map(Change::Patch)
            .map_err(|_| Refusal::Malformed("the patch is not JSON".to_owned())),
        Method::DELETE => Ok(Change::Delete(version(request)?)),
        _ => return Err(method_not_allowed()),
    };
    commit(api, key, &change?, StatusCode::OK).await
}

async fn commit(
    api: &Api,
    key: &Key,
    change: &Change,
    status: StatusCode,
) -> Result<Response, Failure> {
    let intent = api.context.intent.borrow().clone();
    let written = write::apply(&api.table, &intent, key, change).await?;
    let (kind, name, to) = (key.kind.plural(), &key.name, written.delta.to.0);
    log::info!("written kind={kind} name={name} revision={to}");
    api.context.control.tell(Input::Changes(written.delta));
    // The answer to this question comes after the changes were applied.
    let fleet = ask(api, status::fleet, "").await?;
    let document = document(&written.record, &fleet, true);
    Ok(warp::reply::with_status(warp::reply::json(&document), status).into_response())
}

async fn explain(api: &Api, id: &str) -> Result<Response, Failure> {
    let absent = |reason| Failure::new(StatusCode::NOT_FOUND, reason);
    match ask(api, status::explain, id).await? {
        status::Explanation::Malformed => {
            Err(Refusal::Malformed("not a request id".to_owned()).into())
        }
        status::Explanation::Steps { vm, is_own, steps } if is_own && !steps.is_empty() => {
            Ok(ok(json!({"id": id, "vm": vm, "steps": steps})))
        }
        status::Explanation::Steps { is_own: true, .. } => {
            Err(absent("not_found").with_detail("no steps of this request are retained"))
        }
        // Membership does not carry operators' addresses, so the question cannot be forwarded.
        status::Explanation::Steps { vm, steps, .. } => Err(absent("other_vm")
            .with_detail(&format!("ask VM {vm}"))
            .with("vm", &*vm)
            .with("steps", steps)),
    }
}

async fn quarantined(api: &Api) -> Result<Response, Failure> {
    let items = ask(api, status::quarantined, "").await?;
    Ok(ok(json!({"items": items})))
}

/// Lifts a quarantine; the kernel tells the other VMs and deletes the record in the table, as
/// soon as the table can be reached.
async fn lift(api: &Api, text: &str) -> Result<Response, Failure> {
    let fingerprint = u64::from_str_radix(text, 16).map_err(|_| not_found())?;
    let text = format!("{fingerprint:016x}");
    let items = ask(api, status::quarantined, "").await?;
    if !items.iter().any(|item| item["fingerprint"] == *text) {
        return Err(not_found());
    }
    api.context.control.tell(Input::Lift(fingerprint));
    log::info!("lifted quarantine={text}");
    Ok(ok(json!({"fingerprint": text, "lifted": true})))
}

fn ok(value: Value) -> Response {
    warp::reply::json(&value).into_response()
}

fn not_found() -> Failure {
    Refusal::NotFound.into()
}

fn method_not_allowed() -> Failure {
    Failure::new(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed")
}
