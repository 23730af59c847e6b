//! The HTTP client for targets: time-outs, the echoed request id, and whether bytes were sent.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use reqwest::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use reqwest::{Body, Client, RequestBuilder, Response, StatusCode};

use crate::memory::Buffer;
use crate::refusal::REQUEST_ID;

/// Time limit for opening a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without data after which a connection is given up. Targets send something every 500 ms.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Headers that apply to a single connection and are not forwarded.
pub const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why an exchange yielded no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// No byte of the request was sent.
    Unsent,
    /// The connection was refused, so no process listens at the address.
    ConnectionRefused,
    /// The connection broke, or the response was truncated.
    Broken,
    /// No data arrived within the time limit.
    TimedOut,
    /// The response belongs to another request.
    RequestIdMismatch,
    /// The response is longer than the reader's limit, or no memory is left to buffer it.
    TooLarge,
}

/// A client that opens a new connection for each exchange.
///
/// A pooled connection that has gone silent would cost its next user the whole idle time-out, and
/// one that delivered a wrong or broken response must not be reused.
pub(crate) fn client() -> reqwest::Result<Client> {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(0)
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .tcp_nodelay(true)
        .build()
}

/// Sends a request with `body` and waits at most `timeout` for the head of its response.
///
/// `on_send` runs once the connection is open and before the first byte is sent (for an empty body:
/// before the connection is opened).
pub(crate) async fn send(
    request: RequestBuilder,
    body: Bytes,
    timeout: Duration,
    on_send: impl FnOnce() + Send + Sync + 'static,
) -> Result<Response, ExchangeError> {
    let is_sent = Arc::new(AtomicBool::new(false));
    let request = match body.is_empty() {
        true => {
            is_sent.store(true, Ordering::Relaxed);
            on_send();
            request
        }
        false => {
            let is_sent = is_sent.clone();
            // The client polls the body after connecting and before flushing the head.
            let body = stream::once(async move {
                is_sent.store(true, Ordering::Relaxed);
                on_send();
                Ok::<_, std::convert::Infallible>(body)
            });
            request.body(Body::wrap_stream(body))
        }
    };
    match tokio::time::timeout(timeout, request.send()).await {
        Ok(Ok(response)) => match is_valid_head(response.status(), response.headers()) {
            true => Ok(response),
            false => Err(ExchangeError::Broken),
        },
        Ok(Err(error)) if error.is_connect() && is_connection_refused(&error) => {
            Err(ExchangeError::ConnectionRefused)
        }
        Ok(Err(error)) if error.is_connect() => Err(ExchangeError::Unsent),
        _ if !is_sent.load(Ordering::Relaxed) => Err(ExchangeError::Unsent),
        Ok(Err(_)) => Err(ExchangeError::Broken),
        Err(_) => Err(ExchangeError::TimedOut),
    }
}

/// Whether a head is that of a final response as HTTP defines it.
///
/// The library accepts any three digits from 100 on as a status, and reads no body after a 204, so
/// one that the head announces would be lost.
///
/// ```
/// use hornbeamloom_daemon::http::is_valid_head;
/// use warp::http::{HeaderMap, StatusCode};
///
/// let mut headers = HeaderMap::new();
/// headers.insert("content-length", "800".parse().unwrap());
/// assert!(is_valid_head(StatusCode::OK, &headers));
/// assert!(is_valid_head(StatusCode::NO_CONTENT, &HeaderMap::new()));
/// assert!(!is_valid_head(StatusCode::NO_CONTENT, &headers));
/// assert!(!is_valid_head(StatusCode::from_u16(600).unwrap(), &headers));
/// ```
pub fn is_valid_head(status: StatusCode, headers: &HeaderMap) -> bool {
    let is_final = (200..600).contains(&status.as_u16());
    is_final && (status != StatusCode::NO_CONTENT || !announces_body(headers))
}

fn announces_body(headers: &HeaderMap) -> bool {
    let has_length = headers.get(CONTENT_LENGTH).is_some_and(|length| length != "0");
    let content_type = headers.get(CONTENT_TYPE).map_or(&[][..], HeaderValue::as_bytes);
    let is_event_stream = content_type.starts_with(b"text/event-stream");
    has_length || is_event_stream || headers.contains_key(TRANSFER_ENCODING)
}

/// Sets the length of a body that is passed to [`send`].
pub(crate) fn with_content_length(request: RequestBuilder, body: &[u8]) -> RequestBuilder {
    match body.is_empty() {
        true => request,
        false => request.header(CONTENT_LENGTH, body.len()),
    }
}

/// Whether the remote host refused the connection.
pub(crate) fn is_connection_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// Whether the port of `address` refuses connections, so that no process listens there.
pub(crate) async fn refuses_connections(address: &str) -> bool {
    let connect = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// The request id that a response echoes.
pub(crate) fn echoed_request_id(response: &Response) -> Option<&str> {
    response.headers().get(REQUEST_ID)?.to_str().ok()
}

/// Reads the whole body into `buffer`, with at most `idle_timeout` between two chunks.
///
/// A body shorter than its `Content-Length` is [`ExchangeError::Broken`].
pub(crate) async fn read_body(
    mut response: Response,
    mut buffer: Buffer,
    idle_timeout: Duration,
) -> Result<Bytes, ExchangeError> {
    let content_length = response.content_length();
    let length = content_length.map_or(0, |length| usize::try_from(length).unwrap_or(usize::MAX));
    buffer.check_length(length).map_err(|_| ExchangeError::TooLarge)?;
    loop {
        let chunk = tokio::time::timeout(idle_timeout, response.chunk()).await;
        match chunk.map_err(|_| ExchangeError::TimedOut)? {
            Ok(Some(chunk)) => buffer.push(&chunk).map_err(|_| ExchangeError::TooLarge)?,
            Ok(None) => break,
            Err(_) => return Err(ExchangeError::Broken),
        }
    }
    match content_length {
        Some(length) if length != buffer.as_ref().len() as u64 => Err(ExchangeError::Broken),
        _ => Ok(buffer.freeze()),
    }
}
