//! HTTP connections under the limits on clients: what is read, written and in progress is recorded.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context as TaskContext, Poll};
use std::time::Duration;

use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::{service_fn, Service};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::adapter::Context;
use crate::connections::{self, Admitted, Meter, Port};
use crate::memory::Charge;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper accepts.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;
/// Number of fields that hyper parses without an allocation, and accepts by default.
const DEFAULT_MAX_FIELDS: usize = 100;

/// Memory of a header field beside its text, in bytes: its entries in the header map, which doubles
/// its capacity as it grows, and in the copy that is passed on.
const FIELD_BYTES: usize = 256;

/// A connection whose reads and writes are recorded.
#[derive(Debug)]
pub struct Metered {
    stream: TcpStream,
    meter: Arc<Meter>,
}

impl Metered {
    /// Records the reads and writes of `stream` for `admitted`.
    pub fn new(stream: TcpStream, admitted: &Admitted) -> Metered {
        Metered { stream, meter: admitted.meter.clone() }
    }

    fn record_write(&self, result: &Poll<std::io::Result<usize>>) {
        match result {
            Poll::Ready(Ok(bytes)) => self.meter.record_written(*bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.meter.record_write_blocked(),
        }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        let bytes = buf.filled().len() - before;
        if bytes > 0 {
            self.meter.record_read(bytes);
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called once everything has been written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<std::io::Result<()>> {
        let result = ready!(Pin::new(&mut self.stream).poll_flush(cx));
        self.meter.record_flushed();
        Poll::Ready(result)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The body of a request, whose end is recorded.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    meter: Arc<Meter>,
}

impl Body for RequestBody {
    type Data = bytes::Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        if self.incoming.is_end_stream() || !matches!(frame, Some(Ok(_))) {
            self.meter.end_body();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        self.meter.end_body();
    }
}

/// The body of a response, which ends its request when it is dropped.
#[derive(Debug)]
pub struct ResponseBody<B> {
    body: B,
    meter: Arc<Meter>,
    /// The memory of the request's head.
    _head: Charge,
}

impl<B: Body + Unpin> Body for ResponseBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for ResponseBody<B> {
    fn drop(&mut self) {
        self.meter.end_request();
    }
}

/// Handles a request with `handle` and records its course. If there is no memory for its head, the
/// response is that of `refuse`, and the request is not handled.
pub async fn track<B, F>(
    context: &Context,
    meter: Arc<Meter>,
    request: Request<Incoming>,
    handle: impl FnOnce(Request<RequestBody>) -> F,
    refuse: impl FnOnce() -> Response<B>,
) -> Response<ResponseBody<B>>
where
    F: Future<Output = Response<B>>,
{
    meter.begin_request(!request.body().is_end_stream());
    if context.memory.is_nearly_exhausted() {
        context.connections.close_slow_body();
    }
    let mut head = context.memory.charge();
    let response = match head.resize(head_bytes(request.headers())) {
        Ok(()) => {
            let meter = meter.clone();
            handle(request.map(|incoming| RequestBody { incoming, meter })).await
        }
        Err(_) => {
            connections::count("head_memory");
            refuse()
        }
    };
    response.map(|body| ResponseBody { body, meter, _head: head })
}

/// Memory that a head occupies while its request is handled, in bytes.
fn head_bytes(headers: &HeaderMap) -> usize {
    let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    fields.map(|bytes| 2 * bytes + FIELD_BYTES).sum()
}

/// Serves HTTP at a port until the servers shut down, then waits for open connections to close.
///
/// `refuse` makes the response to a request for whose head there is no memory.
pub(crate) async fn serve<S>(
    listener: TcpListener,
    port: Port,
    context: Context,
    service: S,
    refuse: fn() -> warp::reply::Response,
) where
    S: Service<Request<RequestBody>, Response = warp::reply::Response, Error = Infallible>,
    S: Clone + Send + Sync + 'static,
    S::Future: Send,
{
    let _permit = context.server_shutdown.register();
    let (guard, mut all_closed) = mpsc::channel::<()>(1);
    let exit = context.server_shutdown.clone().requested();
    tokio::pin!(exit);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut exit => break,
        };
        match accepted {
            Ok((stream, address)) => {
                if let Some(admitted) = context.connections.admit(port, address.ip()) {
                    let (context, service, guard) =
                        (context.clone(), service.clone(), guard.clone());
                    tokio::spawn(async move {
                        serve_connection(&context, &admitted, stream, &service, refuse).await;
                        drop(guard);
                    });
                }
            }
            Err(error) => {
                log::warn!("connection not accepted: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop((listener, guard));
    // Nothing is ever sent: the channel closes when the last connection drops its sender.
    let _ = all_closed.recv().await;
}

async fn serve_connection<S>(
    context: &Context,
    admitted: &Admitted,
    stream: TcpStream,
    service: &S,
    refuse: fn() -> warp::reply::Response,
) where
    S: Service<Request<RequestBody>, Response = warp::reply::Response, Error = Infallible>,
{
    let limits = context.settings.get().limits.clone();
    let terms = connections::terms(&limits);
    let handler = service_fn(|request| {
        let meter = admitted.meter.clone();
        async move {
            let handle = |request: Request<RequestBody>| async move {
                // warp panics on a target without a path, such as that of CONNECT.
                if request.uri().path_and_query().is_none() {
                    let mut response = warp::reply::Response::default();
                    *response.status_mut() = StatusCode::BAD_REQUEST;
                    return response;
                }
                match service.call(request).await {
                    Ok(response) => response,
                    Err(never) => match never {},
                }
            };
            Ok::<_, Infallible>(track(context, meter, request, handle, refuse).await)
        }
    });
    let connection = builder(limits.header_bytes, limits.header_fields)
        .serve_connection(TokioIo::new(Metered::new(stream, admitted)), handler);
    tokio::pin!(connection);
    let exit = context.server_shutdown.clone().requested();
    let work = async {
        tokio::select! {
            result = connection.as_mut() => result,
            () = exit => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    if let Some(Err(error)) = admitted.run(&terms, work).await {
        record_error(&error);
    }
}

/// Returns a builder of connections that accept heads of `max_head_bytes` and `max_fields`.
pub fn builder(max_head_bytes: usize, max_fields: usize) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The time limits on heads are those of the connection.
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes.max(MIN_READ_BUFFER_BYTES));
    if max_fields != DEFAULT_MAX_FIELDS {
        builder.max_headers(max_fields);
    }
    builder
}

/// Logs why a connection ended, and counts heads over the limits.
pub fn record_error(error: &hyper::Error) {
    if error.is_parse_too_large() {
        connections::count("head");
    }
    log::debug!("connection of a client closed with an error: {error}");
}
