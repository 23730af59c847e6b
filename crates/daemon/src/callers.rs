//! The listener for callers: generations, plain services, reattaching to streams, health checks.

use std::future::Future;
use std::hash::Hasher;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures_util::{Stream, StreamExt};
use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::ingress;
use hornbeamloom_kernel::outcome::{Ran, Reason, Refusal};
use hornbeamloom_kernel::request::{Id, RouteOptions};
use hornbeamloom_kernel::resource::{self, Protocol};
use hornbeamloom_wire::openai::{self, Endpoint};
use hyper_util::service::TowerToHyperService;
use tokio::sync::mpsc;
use tokio::time::Instant;
use warp::http::{header, HeaderMap, HeaderValue, Method, StatusCode};
use warp::reply::Response;
use warp::Filter;

use crate::connections::{self, Port};
use crate::control::{Arrival, Input, RerunPolicy};
use crate::engines::{self, ConnectionPermit, Job, RequestTask, Traffic};
use crate::memory::{self, Buffer};
use crate::plain::{self, IDEMPOTENCY_KEY};
use crate::refusal::{ErrorResponse, REQUEST_ID};
use crate::relay::{Reader, Relay, REATTACH_GRACE};
use crate::settings::Settings;
use crate::{adapter, auth, http, listener, reattach, response};

/// Sent to callers whose body finds no memory; bodies are held for a second or longer.
const EXHAUSTED_RETRY_AFTER_MS: u64 = 1_000;

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

inventory::submit! {
    adapter::Plugin {
        name: "callers",
        rank: 40,
        is_enabled: Settings::uses_native_interface,
        check: |_| Ok(()),
        accepts: |_| false,
        start,
    }
}

fn start(context: adapter::Context, _inbox: adapter::Inbox) -> Result<(), adapter::Error> {
    let address = context.settings.get().listen.callers.clone();
    let listener = adapter::bind(&address, "callers")?;
    let client = http::client().map_err(|error| adapter::Error::Startup(error.to_string()))?;
    let traffic = Arc::new(Traffic::new(context.clone(), client));
    let routes = warp::method()
        .and(warp::path::full())
        .and(warp::query::raw().or(warp::any().map(String::new)).unify())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: warp::path::FullPath, query, headers, body| {
            let traffic = traffic.clone();
            async move {
                let head = RequestHead { method, path: path.as_str().to_owned(), query, headers };
                handle(&traffic, head, body).await
            }
        });
    let service = TowerToHyperService::new(warp::service(routes));
    tokio::spawn(listener::serve(listener, Port::Callers, context, service, no_memory));
    Ok(())
}

fn no_memory() -> Response {
    body_not_buffered(memory::Error::Exhausted).http_response("")
}

/// A request without its body.
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
}

async fn handle<S, B>(traffic: &Arc<Traffic>, head: RequestHead, body: S) -> Response
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    let identity = &traffic.context.identity;
    let counter = traffic.next_request.fetch_add(1, Ordering::Relaxed);
    let id = Id::new(&identity.vm, identity.incarnation, counter);
    let text = id.to_string();
    let mut response = match route(traffic, &id, &head, body).await {
        Ok(response) => response,
        Err(error) => {
            metrics::counter!("hornbeamloom_error_answers_total", "reason" => error.reason)
                .increment(1);
            log::info!(
                "request refused id={text} reason={} status={}",
                error.reason,
                error.status.as_u16()
            );
            error.http_response(&text)
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
    head: &RequestHead,
    body: S,
) -> Result<Response, ErrorResponse>
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    match (head.method.as_str(), head.path.as_str()) {
        ("GET", "/healthz") => return Ok(Response::new("ok\n".into())),
        ("GET", "/readyz") => return readiness(traffic),
        ("GET", "/metrics") => return render_metrics(traffic, &head.headers),
        _ => {}
    }
    let organisation = authenticate(traffic, &head.headers)?;
    let permit = traffic.acquire_connection().ok_or(connection_limit_reached())?;
    if let Some(stream) = head.path.strip_prefix("/v1/streams/") {
        if head.method != Method::GET {
            return Err(method_not_allowed());
        }
        return reattach::reattach(traffic, &organisation, stream, &head.headers, permit).await;
    }
    if let Some(path) = head.path.strip_prefix("/services/") {
        let destination = Destination::new(traffic, path, &head.method);
        return call_plain(traffic, id, organisation, destination, head, body, permit).await;
    }
    if let Some(destination) = routed_destination(traffic, id, &organisation, head) {
        return call_plain(traffic, id, organisation, destination, head, body, permit).await;
    }
    let endpoint = match head.path.as_str() {
        "/v1/completions" => Endpoint::Completion,
        "/v1/chat/completions" => Endpoint::Chat,
        _ => return Err(no_route()),
    };
    if head.method != Method::POST {
        return Err(method_not_allowed());
    }
    let key = idempotency_key(&head.headers)?;
    let (organisation, body) = read_authorised_body(traffic, &head.headers, body).await?;
    generate(traffic, id, organisation, endpoint, key, body, permit).await
}

fn connection_limit_reached() -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "connection_limit",
        "this VM has as many callers as it accepts",
    )
    .with_retry_after(1_000)
}

/// The idempotency key of a call that runs at most once, if the caller sent one.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<Name>, ErrorResponse> {
    let Some(key) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = key.to_str().unwrap_or_default();
    match !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES {
        true => Ok(Some(key.into())),
        false => Err(ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            "invalid_idempotency_key",
            "Idempotency-Key must have 1 to 255 printable characters",
        )),
    }
}

fn no_route() -> ErrorResponse {
    ErrorResponse::new(StatusCode::NOT_FOUND, "no_route", "no such path")
}

fn method_not_allowed() -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::METHOD_NOT_ALLOWED,
        "method_not_allowed",
        "the path does not take this method",
    )
}

fn readiness(traffic: &Traffic) -> Result<Response, ErrorResponse> {
    let context = &traffic.context;
    if context.stopping.get() {
        return Err(ErrorResponse::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "this VM is shutting down",
        ));
    }
    if context.intent.get().revision.0 == 0 {
        return Err(ErrorResponse::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_resources",
            "no resources are in force",
        ));
    }
    Ok(Response::new("ready\n".into()))
}

/// Renders the metrics, for operators only: they contain names of organisations and services.
fn render_metrics(traffic: &Traffic, headers: &HeaderMap) -> Result<Response, ErrorResponse> {
    let key = auth::bearer_token(headers).unwrap_or_default();
    let settings = traffic.context.settings.get();
    match auth::contains_key(&settings.keys.operator, key) {
        true => Ok(Response::new(crate::metrics::render(&traffic.context.memory).into())),
        false => Err(unauthorized()),
    }
}

fn unauthorized() -> ErrorResponse {
    ErrorResponse::new(StatusCode::UNAUTHORIZED, "unauthorized", "not authorised")
}

fn authenticate(traffic: &Traffic, headers: &HeaderMap) -> Result<Name, ErrorResponse> {
    let key = auth::bearer_token(headers).unwrap_or_default();
    let intent = traffic.context.intent.get();
    auth::organisation(&intent, key).ok_or(unauthorized())
}

/// Reads the whole body, and authenticates the caller by the resources in force after that: while a
/// body arrives, a key may be revoked.
async fn read_authorised_body<S, B>(
    traffic: &Traffic,
    headers: &HeaderMap,
    body: S,
) -> Result<(Name, Bytes), ErrorResponse>
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    let body = read_body(traffic, headers, body).await?;
    Ok((authenticate(traffic, headers)?, body))
}

/// Reads the whole body within the limits of the settings.
async fn read_body<S, B>(
    traffic: &Traffic,
    headers: &HeaderMap,
    body: S,
) -> Result<Bytes, ErrorResponse>
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    let limits = traffic.context.settings.get().limits.clone();
    let limit = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let declared = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err(body_too_large());
    }
    let collected = collect_body(body, traffic.context.memory.buffer(limit));
    let timeout = Duration::from_secs_f64(limits.header_s);
    with_body_timeout(timeout, collected).await
}

async fn with_body_timeout<T>(
    timeout: Duration,
    work: impl Future<Output = Result<T, ErrorResponse>>,
) -> Result<T, ErrorResponse> {
    match tokio::time::timeout(timeout, work).await {
        Ok(result) => result,
        Err(_) => Err(ErrorResponse::new(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            "the body did not arrive in time",
        )),
    }
}

async fn collect_body<S, B>(body: S, mut buffer: Buffer) -> Result<Bytes, ErrorResponse>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    let mut body = std::pin::pin!(body);
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|_| {
            ErrorResponse::new(StatusCode::BAD_REQUEST, "body_incomplete", "the body ended early")
        })?;
        while chunk.has_remaining() {
            buffer.push(chunk.chunk()).map_err(body_not_buffered)?;
            chunk.advance(chunk.chunk().len());
        }
    }
    Ok(buffer.freeze())
}

fn body_not_buffered(error: memory::Error) -> ErrorResponse {
    match error {
        memory::Error::TooLong(_) => body_too_large(),
        memory::Error::Exhausted => ErrorResponse::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "buffers_exhausted",
            "this VM has no memory left to read the body",
        )
        .with_retry_after(EXHAUSTED_RETRY_AFTER_MS),
    }
}

fn body_too_large() -> ErrorResponse {
    connections::count("body");
    ErrorResponse::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        "the body is longer than this VM accepts",
    )
}

async fn generate(
    traffic: &Arc<Traffic>,
    id: &Id,
    organisation: Name,
    endpoint: Endpoint,
    idempotency_key: Option<Name>,
    body: Bytes,
    permit: ConnectionPermit,
) -> Result<Response, ErrorResponse> {
    let call = openai::parse_request(endpoint, &body).map_err(|error| {
        log::debug!("invalid request body id={id} cause={}", parse_error_class(&error));
        ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            "invalid_body",
            "the body is not a valid request",
        )
    })?;
    let service: Name = (&*call.model).into();
    check_service(traffic, &organisation, &service, Protocol::Model)?;
    let stream = call.stream;
    let request = CheckedRequest {
        prompt_tokens: call.prompt_tokens(),
        max_tokens: call.max_tokens(),
        prefixes: call.prefix_hashes(),
        fingerprint: fingerprint(&[service.as_bytes(), endpoint.path().as_bytes(), &body]),
        service,
        organisation,
        idempotency_key,
        job: Job::Generate { endpoint, stream },
        terms: RouteOptions::default(),
        body: body.clone(),
    };
    let reader = submit(traffic, id, request, permit);
    let response = async {
        match stream {
            true => response::stream(reader).await,
            false => response::full(reader, endpoint).await,
        }
    };
    before_process_end(traffic, response).await
}

/// The response, or a refusal if the process is about to end before there is one.
async fn before_process_end(
    traffic: &Traffic,
    response: impl Future<Output = Result<Response, ErrorResponse>>,
) -> Result<Response, ErrorResponse> {
    tokio::select! {
        biased;
        response = response => response,
        () = traffic.context.final_responses_due() => {
            let refusal = Refusal::new(Reason::ShuttingDown).with_ran(Ran::Unknown);
            Err((&refusal).into())
        }
    }
}

/// The destination of a call to a plain service.
struct Destination {
    service: Name,
    path: String,
    runs_at_most_once: bool,
    terms: RouteOptions,
}

impl Destination {
    /// The service that the first segment of `path` names.
    fn new(traffic: &Traffic, path: &str, method: &Method) -> Destination {
        let (service, path) = path.split_once('/').unwrap_or((path, ""));
        let intent = traffic.context.intent.get();
        let runs_at_most_once = intent.service(service).is_some_and(|service| {
            let mut methods = service.once_methods.iter();
            methods.any(|once| once.eq_ignore_ascii_case(method.as_str()))
        });
        Destination {
            service: service.into(),
            path: format!("/{path}"),
            runs_at_most_once,
            terms: RouteOptions::default(),
        }
    }
}

/// The destination given by a declared route.
fn routed_destination(
    traffic: &Traffic,
    id: &Id,
    organisation: &str,
    head: &RequestHead,
) -> Option<Destination> {
    let host = head.headers.get(header::HOST)?.to_str().ok()?;
    let intent = traffic.context.intent.get();
    let (_, route) = ingress::find_route(&intent, host, &head.path)?;
    let service = ingress::pick_service(route, id.counter)?;
    Some(Destination {
        service: service.clone(),
        path: head.path.clone(),
        runs_at_most_once: route.rerun == resource::Rerun::Never,
        terms: ingress::route_options(&intent, route, service, organisation),
    })
}

async fn call_plain<S, B>(
    traffic: &Arc<Traffic>,
    id: &Id,
    organisation: Name,
    destination: Destination,
    head: &RequestHead,
    body: S,
    permit: ConnectionPermit,
) -> Result<Response, ErrorResponse>
where
    S: Stream<Item = Result<B, warp::Error>> + Send,
    B: Buf,
{
    let Destination { service, path, runs_at_most_once, terms } = destination;
    check_service(traffic, &organisation, &service, Protocol::Plain)?;
    let key = idempotency_key(&head.headers)?;
    let (organisation, body) = read_authorised_body(traffic, &head.headers, body).await?;
    let path = match head.query.as_str() {
        "" => path,
        query => format!("{path}?{query}"),
    };
    let parts = [service.as_bytes(), head.method.as_str().as_bytes(), path.as_bytes(), &body];
    let request = CheckedRequest {
        prompt_tokens: 0,
        max_tokens: None,
        prefixes: Vec::new(),
        fingerprint: fingerprint(&parts),
        service,
        organisation,
        // A call that runs at most once and has no key uses its request id as the key.
        idempotency_key: key.or_else(|| runs_at_most_once.then(|| id.to_string().into())),
        job: Job::Call(plain::Call {
            method: head.method.clone(),
            path,
            headers: head.headers.clone(),
        }),
        terms,
        body,
    };
    let response = response::forwarded(submit(traffic, id, request, permit));
    before_process_end(traffic, response).await
}

/// A validated request.
struct CheckedRequest {
    organisation: Name,
    service: Name,
    prompt_tokens: u32,
    max_tokens: Option<u32>,
    prefixes: Vec<u64>,
    fingerprint: u64,
    idempotency_key: Option<Name>,
    job: Job,
    terms: RouteOptions,
    body: Bytes,
}

/// Submits a request to the control thread and starts its traffic task.
fn submit(
    traffic: &Arc<Traffic>,
    id: &Id,
    request: CheckedRequest,
    permit: ConnectionPermit,
) -> Reader {
    let (decisions, receiver) = mpsc::unbounded_channel();
    let delivered_tokens = Arc::new(AtomicU32::new(0));
    let arrival = Arrival {
        id: id.clone(),
        organisation: request.organisation.clone(),
        service: request.service.clone(),
        prompt_tokens: request.prompt_tokens,
        max_tokens: request.max_tokens,
        fingerprint: request.fingerprint,
        prefixes: request.prefixes,
        parts: Vec::new(),
        rerun: request.idempotency_key.clone().map_or(RerunPolicy::Allowed, RerunPolicy::Keyed),
        terms: request.terms,
        decisions,
        tokens: delivered_tokens.clone(),
        // The events of this interface are those of the relay, not of one target.
        pace: Arc::default(),
    };
    let task = RequestTask {
        id: id.clone(),
        service: request.service,
        body: request.body,
        job: request.job,
        idempotency_key: request.idempotency_key,
        arrived_at: Instant::now(),
        delivered_tokens,
    };
    let grace_period = match task.is_resumable() {
        true => REATTACH_GRACE,
        false => Duration::ZERO,
    };
    let relay = Arc::new(
        Relay::new(id, &request.organisation, grace_period)
            .with_charge(traffic.context.memory.charge()),
    );
    let reader = relay.attach(0, permit).expect("a new stream starts at 0");
    let control = &traffic.context.control;
    control.tell(Input::RequestArrived(Box::new(arrival)));
    engines::spawn(traffic, task, relay, receiver);
    reader
}

/// The class of a parse error, without any part of the body.
fn parse_error_class(error: &openai::Error) -> &'static str {
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
) -> Result<(), ErrorResponse> {
    let intent = traffic.context.intent.get();
    let is_allowed = intent.organisation(organisation).is_some_and(|organisation| {
        organisation.services.is_empty()
            || organisation.services.iter().any(|allowed| &**allowed == service)
    });
    let is_offered = intent.service(service).is_some_and(|service| service.protocol == protocol);
    match is_allowed && is_offered {
        true => Ok(()),
        false => Err(ErrorResponse::new(StatusCode::NOT_FOUND, "not_found", "no such service")),
    }
}

/// A hash of `parts` that is the same on every VM.
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    // The default hasher has fixed keys, unlike that of a default hash map.
    let mut hasher = std::hash::DefaultHasher::new();
    for part in parts {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    hasher.finish()
}
