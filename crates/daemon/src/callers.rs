//! The callers' listener: generations, plain services, streams to come back to, health.

use std::future::Future;
use std::hash::Hasher;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures_util::{Stream, StreamExt};
use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::ingress;
use hornbeamloom_kernel::request::{Id, RouteOptions};
use hornbeamloom_kernel::resource::{self, Protocol};
use hornbeamloom_wire::openai::{self, Form};
use tokio::sync::mpsc;
use tokio::time::Instant;
use warp::http::{header, HeaderMap, HeaderValue, Method, StatusCode};
use warp::reply::Response;
use warp::Filter;

use crate::control::{Arrival, Input, Rerun};
use crate::engines::{self, Job, Place, Traffic, Work};
use crate::plain::{self, IDEMPOTENCY_KEY};
use crate::refusal::{Problem, REQUEST_ID};
use crate::relay::{Reader, Relay, GRACE};
use crate::settings::Settings;
use crate::{answer, auth, comeback, edge, http};

/// Longest idempotency key, in bytes.
const KEY_BYTES: usize = 255;

inventory::submit! {
    edge::Plugin { name: "callers", rank: 40, serves: Settings::is_own, takes: |_| false, start }
}

fn start(context: edge::Context, _inbox: edge::Inbox) -> Result<(), edge::Error> {
    let address = context.settings.borrow().listen.callers.clone();
    let listener = edge::bind(&address, "callers")?;
    crate::metrics::install().map_err(|error| edge::Error::Setting(error.to_string()))?;
    let client = http::client().map_err(|error| edge::Error::Setting(error.to_string()))?;
    let exit = context.exit.clone();
    let traffic = Arc::new(Traffic::new(context, client));
    let routes = warp::method()
        .and(warp::path::full())
        .and(warp::query::raw().or(warp::any().map(String::new)).unify())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: warp::path::FullPath, query, headers, body| {
            let traffic = traffic.clone();
            async move {
                let head = Head { method, path: path.as_str().to_owned(), query, headers };
                handle(&traffic, head, body).await
            }
        });
    let server = warp::serve(routes).incoming(listener).graceful(exit.clone().begun()).run();
    tokio::spawn(async move {
        let _permit = exit.register();
        server.await;
    });
    Ok(())
}

/// A request without its body.
pub(crate) struct Head {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
}

async fn handle<S, B>(traffic: &Arc<Traffic>, head: Head, body: S) -> Response
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    let identity = &traffic.context.identity;
    let counter = traffic.counter.fetch_add(1, Ordering::Relaxed);
    let id = Id::new(&identity.vm, identity.incarnation, counter);
    let text = id.to_string();
    let mut response = match route(traffic, &id, &head, body).await {
        Ok(response) => response,
        Err(problem) => {
            metrics::counter!("hornbeamloom_error_answers_total", "reason" => problem.reason)
                .increment(1);
            log::info!(
                "request refused id={text} reason={} status={}",
                problem.reason,
                problem.status.as_u16()
            );
            problem.response(&text)
        }
    };
    if let (false, Ok(value)) =
        (response.headers().contains_key(REQUEST_ID), HeaderValue::from_str(&text))
    {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

async fn route<S, B>(
    traffic: &Arc<Traffic>,
    id: &Id,
    head: &Head,
    body: S,
) -> Result<Response, Problem>
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    match (head.method.as_str(), head.path.as_str()) {
        ("GET", "/healthz") => return Ok(Response::new("ok\n".into())),
        ("GET", "/readyz") => return ready(traffic),
        ("GET", "/metrics") => return measures(traffic, &head.headers),
        _ => {}
    }
    let organisation = authorise(traffic, &head.headers)?;
    let place = traffic.enter().ok_or(crowded())?;
    if let Some(stream) = head.path.strip_prefix("/v1/streams/") {
        if head.method != Method::GET {
            return Err(no_method());
        }
        return comeback::resume(traffic, &organisation, stream, &head.headers, place).await;
    }
    if let Some(path) = head.path.strip_prefix("/services/") {
        let destination = Destination::new(traffic, path, &head.method);
        return call(traffic, id, organisation, destination, head, body, place).await;
    }
    if let Some(destination) = destination(traffic, id, &organisation, head) {
        return call(traffic, id, organisation, destination, head, body, place).await;
    }
    let form = match head.path.as_str() {
        "/v1/completions" => Form::Completion,
        "/v1/chat/completions" => Form::Chat,
        _ => return Err(no_route()),
    };
    if head.method != Method::POST {
        return Err(no_method());
    }
    let key = idempotency_key(&head.headers)?;
    let body = read_body(traffic, &head.headers, body).await?;
    generate(traffic, id, organisation, form, key, body, place).await
}

fn crowded() -> Problem {
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "connection_limit",
        "this VM has as many callers as it accepts",
    )
    .with_retry_after(1_000)
}

/// The caller's key for a call that runs at most once.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<Name>, Problem> {
    let Some(key) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = key.to_str().unwrap_or_default();
    match !key.is_empty() && key.len() <= KEY_BYTES {
        true => Ok(Some(key.into())),
        false => Err(Problem::new(
            StatusCode::BAD_REQUEST,
            "invalid_idempotency_key",
            "Idempotency-Key must have 1 to 255 printable characters",
        )),
    }
}

fn no_route() -> Problem {
    Problem::new(StatusCode::NOT_FOUND, "no_route", "no such path")
}

fn no_method() -> Problem {
    Problem::new(
        StatusCode::METHOD_NOT_ALLOWED,
        "method_not_allowed",
        "the path does not take this method",
    )
}

fn ready(traffic: &Traffic) -> Result<Response, Problem> {
    let context = &traffic.context;
    if *context.stopping.borrow() {
        return Err(Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "this VM is shutting down",
        ));
    }
    if context.intent.borrow().revision.0 == 0 {
        return Err(Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_resources",
            "no resources are in force",
        ));
    }
    Ok(Response::new("ready\n".into()))
}

/// Metrics name organisations and services, so they are for operators only.
fn measures(traffic: &Traffic, headers: &HeaderMap) -> Result<Response, Problem> {
    let key = auth::bearer(headers).unwrap_or_default();
    let settings = traffic.context.settings.borrow();
    match auth::is_known(&settings.keys.operator, key) {
        true => Ok(Response::new(crate::metrics::render().into())),
        false => Err(unauthorised()),
    }
}

fn unauthorised() -> Problem {
    Problem::new(StatusCode::UNAUTHORIZED, "unauthorized", "not authorised")
}

fn authorise(traffic: &Traffic, headers: &HeaderMap) -> Result<Name, Problem> {
    let key = auth::bearer(headers).unwrap_or_default();
    let intent = traffic.context.intent.borrow();
    auth::organisation(&intent, key).ok_or(unauthorised())
}

/// Reads the whole body within the settings' limits.
async fn read_body<S, B>(traffic: &Traffic, headers: &HeaderMap, body: S) -> Result<Bytes, Problem>
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    let limits = traffic.context.settings.borrow().limits.clone();
    let limit = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let declared = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let collect = collect(body, limit);
    let deadline = Duration::from_secs(limits.header_s);
    timed(deadline, collect).await
}

async fn timed<T>(
    deadline: Duration,
    work: impl Future<Output = Result<T, Problem>>,
) -> Result<T, Problem> {
    match tokio::time::timeout(deadline, work).await {
        Ok(result) => result,
        Err(_) => Err(Problem::new(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            "the body did not arrive in time",
        )),
    }
}

async fn collect<S, B>(body: S, limit: usize) -> Result<Bytes, Problem>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    let mut body = std::pin::pin!(body);
    let mut bytes = Vec::new();
    while let Some(part) = body.next().await {
        let mut part = part.map_err(|_| {
            Problem::new(StatusCode::BAD_REQUEST, "body_incomplete", "the body ended early")
        })?;
        if bytes.len() + part.remaining() > limit {
            return Err(too_large());
        }
        while part.has_remaining() {
            bytes.extend_from_slice(part.chunk());
            part.advance(part.chunk().len());
        }
    }
    Ok(bytes.into())
}

fn too_large() -> Problem {
    Problem::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        "the body is longer than this VM accepts",
    )
}

async fn generate(
    traffic: &Arc<Traffic>,
    id: &Id,
    organisation: Name,
    form: Form,
    once: Option<Name>,
    body: Bytes,
    place: Place,
) -> Result<Response, Problem> {
    let call = openai::read(form, &body).map_err(|error| {
        log::debug!("unreadable body id={id} cause={}", cause(&error));
        Problem::new(StatusCode::BAD_REQUEST, "invalid_body", "the body is not a valid request")
    })?;
    let service: Name = (&*call.model).into();
    check_service(traffic, &organisation, &service, Protocol::Model)?;
    let stream = call.stream;
    let request = Request {
        prompt_tokens: call.prompt_tokens(),
        max_tokens: call.max_tokens(),
        prefixes: call.prefixes(),
        fingerprint: fingerprint(&[service.as_bytes(), form.path().as_bytes(), &body]),
        service,
        organisation,
        once,
        job: Job::Generate { form, stream },
        terms: RouteOptions::default(),
        body: body.clone(),
    };
    let reader = submit(traffic, id, request, place);
    match stream {
        true => answer::stream(reader).await,
        false => answer::whole(reader, form).await,
    }
}

/// Where a call of a plain service goes.
struct Destination {
    service: Name,
    path: String,
    is_once: bool,
    terms: RouteOptions,
}

impl Destination {
    /// The service that the first segment of a path names.
    fn new(traffic: &Traffic, path: &str, method: &Method) -> Destination {
        let (service, path) = path.split_once('/').unwrap_or((path, ""));
        let intent = traffic.context.intent.borrow();
        let is_once = intent.service(service).is_some_and(|service| {
            let mut methods = service.once_methods.iter();
            methods.any(|once| once.eq_ignore_ascii_case(method.as_str()))
        });
        Destination {
            service: service.into(),
            path: format!("/{path}"),
            is_once,
            terms: RouteOptions::default(),
        }
    }
}

/// The service that a declared route leads to.
fn destination(traffic: &Traffic, id: &Id, organisation: &str, head: &Head) -> Option<Destination> {
    let host = head.headers.get(header::HOST)?.to_str().ok()?;
    let intent = traffic.context.intent.borrow();
    let (_, route) = ingress::find_route(&intent, host, &head.path)?;
    let service = ingress::pick_service(route, id.counter)?;
    Some(Destination {
        service: service.clone(),
        path: head.path.clone(),
        is_once: route.rerun == resource::Rerun::Never,
        terms: ingress::route_options(&intent, route, service, organisation),
    })
}

async fn call<S, B>(
    traffic: &Arc<Traffic>,
    id: &Id,
    organisation: Name,
    destination: Destination,
    head: &Head,
    body: S,
    place: Place,
) -> Result<Response, Problem>
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    let Destination { service, path, is_once, terms } = destination;
    check_service(traffic, &organisation, &service, Protocol::Plain)?;
    let key = idempotency_key(&head.headers)?;
    let body = read_body(traffic, &head.headers, body).await?;
    let path = match head.query.as_str() {
        "" => path,
        query => format!("{path}?{query}"),
    };
    let parts = [service.as_bytes(), head.method.as_str().as_bytes(), path.as_bytes(), &body];
    let request = Request {
        prompt_tokens: 0,
        max_tokens: None,
        prefixes: Vec::new(),
        fingerprint: fingerprint(&parts),
        service,
        organisation,
        // A declared method without a key runs under a key of its own.
        once: key.or_else(|| is_once.then(|| id.to_string().into())),
        job: Job::Call(plain::Call {
            method: head.method.clone(),
            path,
            headers: head.headers.clone(),
        }),
        terms,
        body,
    };
    answer::passed_on(submit(traffic, id, request, place)).await
}

/// A checked request.
struct Request {
    organisation: Name,
    service: Name,
    prompt_tokens: u32,
    max_tokens: Option<u32>,
    prefixes: Vec<u64>,
    fingerprint: u64,
    once: Option<Name>,
    job: Job,
    terms: RouteOptions,
    body: Bytes,
}

/// Hands a request to the control thread and starts its traffic task.
fn submit(traffic: &Arc<Traffic>, id: &Id, request: Request, place: Place) -> Reader {
    let (verdicts, receiver) = mpsc::unbounded_channel();
    let tokens = Arc::new(AtomicU32::new(0));
    let arrival = Arrival {
        id: id.clone(),
        organisation: request.organisation.clone(),
        service: request.service.clone(),
        prompt_tokens: request.prompt_tokens,
        max_tokens: request.max_tokens,
        fingerprint: request.fingerprint,
        prefixes: request.prefixes,
        rerun: request.once.clone().map_or(Rerun::Allowed, Rerun::Keyed),
        terms: request.terms,
        verdicts,
        tokens: tokens.clone(),
    };
    let work = Work {
        id: id.clone(),
        service: request.service,
        body: request.body,
        job: request.job,
        once: request.once,
        arrived: Instant::now(),
        tokens,
    };
    let grace = match work.is_resumable() {
        true => GRACE,
        false => Duration::ZERO,
    };
    let relay = Arc::new(Relay::new(id, &request.organisation, grace));
    let reader = relay.attach(0, place).expect("a new stream starts at 0");
    let control = &traffic.context.control;
    control.tell(Input::Arrive(Box::new(arrival)));
    engines::spawn(traffic, work, relay, receiver);
    reader
}

/// The class of a parse error, without any part of the body.
fn cause(error: &openai::Error) -> &'static str {
    match error {
        openai::Error::Json(_) => "json",
        openai::Error::Field(text) => text,
    }
}

fn check_service(
    traffic: &Traffic,
    organisation: &str,
    service: &str,
    protocol: Protocol,
) -> Result<(), Problem> {
    let intent = traffic.context.intent.borrow();
    let is_allowed = intent.organisation(organisation).is_some_and(|organisation| {
        organisation.services.is_empty()
            || organisation.services.iter().any(|allowed| &**allowed == service)
    });
    let is_offered = intent.service(service).is_some_and(|service| service.protocol == protocol);
    match is_allowed && is_offered {
        true => Ok(()),
        false => Err(Problem::new(StatusCode::NOT_FOUND, "not_found", "no such service")),
    }
}

/// A hash of the parts that is the same on every VM.
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    // The default hasher has fixed keys, unlike the one of a default hash map.
    let mut hasher = std::hash::DefaultHasher::new();
    for part in parts {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    hasher.finish()
}
