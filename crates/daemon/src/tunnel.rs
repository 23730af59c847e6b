//! Connections to targets that another VM opens for a VM that reaches no target itself.
//!
//! A tunnel is a WebSocket connection to the peer listener of the relaying VM, under the path
//! [`PATH_PREFIX`]`TARGET`. The relaying VM connects to the target, tells the result in a text
//! message, and then passes bytes on in binary messages, in both directions. The end of the stream
//! becomes a close message. A tunnel without one was broken off, which must not look like the end of
//! a response.
//!
//! The relaying VM decides nothing about the request. It only connects to targets that it knows, that
//! are not leaving and whose zone is in service, and never passes a tunnel on to a third VM.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context as TaskContext, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::reach::{Path, Relay};
use hornbeamloom_kernel::resource::Target;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::WebSocketStream;

use crate::adapter::Context;
use crate::control::Input;
use crate::{jitter, link};

/// Prefix of the path of a tunnel on the peer listener; the name of the target follows.
pub(crate) const PATH_PREFIX: &str = "/targets/";
/// Time for the relaying VM to accept a tunnel and for its connection to the target.
const OPEN_TIMEOUT: Duration = Duration::from_millis(800);
/// Time allowed for the connection to the target, so that its result arrives in time.
const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of VMs that are asked to relay one connection. Those that reach no target either say so
/// at once.
const MAX_RELAYS: usize = 4;
/// Maximum number of tunnels that a VM relays at a time, since each costs memory and descriptors.
const MAX_TUNNELS: usize = 256;
/// Size of the buffer for each direction of a tunnel, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// The relaying VM's first message when it is connected to the target.
const CONNECTED: &str = "connected";
/// The target refuses connections.
const REFUSED: &str = "refused";
/// The target does not respond, is unknown, is leaving or is in a zone out of service.
const UNREACHED: &str = "unreached";
/// The relaying VM reaches no target itself, or relays too many connections already.
const UNABLE: &str = "unable";

/// Why there is no connection to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// No process listens at the address.
    #[error("connection refused")]
    Refused,
    /// The target did not respond in time, or the relaying VM may not connect to it.
    #[error("no response")]
    Unreached,
    /// No VM relays connections to targets at present.
    #[error("no VM relays the connection")]
    NoRelay,
}

/// A connection to a target through another VM.
#[derive(Debug)]
pub struct Tunnel {
    stream: DuplexStream,
    /// Whether the tunnel ended without a close message.
    is_broken: Arc<AtomicBool>,
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let result = std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        let is_end = buf.filled().len() == before && buf.remaining() > 0;
        match is_end && self.is_broken.load(Ordering::Acquire) {
            true => Poll::Ready(Err(std::io::ErrorKind::ConnectionReset.into())),
            false => Poll::Ready(result),
        }
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Opens a connection to a target through one of `relays`, to which `key` is presented. The first
/// one asked is chosen at random, so that connections are spread over them. `on_failure` is called
/// with each one that could not relay.
///
/// # Errors
///
/// The result of the last VM that tried, or [`Error::NoRelay`] if none could.
///
/// ```
/// use hornbeamloom_daemon::tunnel::{self, Error};
///
/// # let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
/// # runtime.block_on(async {
/// let opened = tunnel::open(&[], "peer-key", "engine-1", |_| {}).await;
/// assert_eq!(opened.unwrap_err(), Error::NoRelay);
/// # });
/// ```
pub async fn open(
    relays: &[Relay],
    key: &str,
    target: &str,
    on_failure: impl Fn(&Relay),
) -> Result<Tunnel, Error> {
    let first = jitter::index(relays.len());
    for relay in relays.iter().cycle().skip(first).take(relays.len().min(MAX_RELAYS)) {
        match timeout(OPEN_TIMEOUT, open_through(relay, key, target)).await {
            Ok(Ok(socket)) => return Ok(start_client(socket)),
            Ok(Err(error @ (Error::Refused | Error::Unreached))) => return Err(error),
            Ok(Err(Error::NoRelay)) | Err(_) => {
                log::info!("target={target} not relayed by vm={}", relay.vm);
                on_failure(relay);
            }
        }
    }
    Err(Error::NoRelay)
}

async fn open_through(
    relay: &Relay,
    key: &str,
    target: &str,
) -> Result<WebSocketStream<TcpStream>, Error> {
    let endpoint = link::Endpoint { address: relay.address.clone(), key: key.to_owned() };
    let path = format!("{PATH_PREFIX}{target}");
    let mut socket = link::open(&endpoint, &path).await.map_err(|error| {
        log::debug!("vm={} tunnel not opened: {error}", relay.vm);
        Error::NoRelay
    })?;
    match socket.next().await {
        Some(Ok(Message::Text(text))) => match text.as_str() {
            CONNECTED => Ok(socket),
            REFUSED => Err(Error::Refused),
            UNREACHED => Err(Error::Unreached),
            _ => Err(Error::NoRelay),
        },
        _ => Err(Error::NoRelay),
    }
}

fn start_client(socket: WebSocketStream<TcpStream>) -> Tunnel {
    let (stream, far_end) = tokio::io::duplex(BUFFER_BYTES);
    let is_broken = Arc::new(AtomicBool::new(true));
    let flag = is_broken.clone();
    tokio::spawn(async move {
        let is_ended =
            pass_on(socket, far_end, |ended| flag.store(!ended, Ordering::Release)).await;
        log::debug!("tunnel closed is_ended={is_ended}");
    });
    Tunnel { stream, is_broken }
}

/// Relays connections of other VMs to targets.
#[derive(Debug, Clone)]
pub struct Server {
    context: Context,
    permits: Arc<Semaphore>,
}

impl Server {
    /// Creates a server that relays to the targets of the resources in force.
    pub(crate) fn new(context: &Context) -> Server {
        Server { context: context.clone(), permits: Arc::new(Semaphore::new(MAX_TUNNELS)) }
    }

    /// Serves one tunnel to `target` until either end closes it.
    pub(crate) async fn serve(&self, mut socket: WebSocketStream<TcpStream>, target: &str) {
        let permit = self.permits.try_acquire();
        let opened = match permit {
            Ok(_) => self.connect(target).await,
            Err(_) => Err(UNABLE),
        };
        let answer = opened.as_ref().map_or_else(|answer| *answer, |_| CONNECTED);
        link::count_event(match answer {
            CONNECTED => "tunnel_relayed",
            _ => "tunnel_refused",
        });
        if socket.send(Message::text(answer)).await.is_err() {
            return;
        }
        if let Ok(stream) = opened {
            pass_on(socket, stream, |_| {}).await;
        }
    }

    async fn connect(&self, target: &str) -> Result<TcpStream, &'static str> {
        if self.context.path.get() != Path::Direct {
            return Err(UNABLE);
        }
        let address = {
            let intent = self.context.intent.get();
            let is_usable = |known: &&Target| !known.leaving && !intent.is_zone_out(&known.zone);
            let known = intent.target(target).filter(is_usable);
            known.ok_or(UNREACHED)?.address.clone()
        };
        let connected = timeout(TARGET_CONNECT_TIMEOUT, TcpStream::connect(&address)).await;
        let target: Name = target.into();
        let is_reached = matches!(connected, Ok(Ok(_)));
        self.context.control.tell(Input::TargetContact { target, is_reached });
        match connected {
            Ok(Ok(stream)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!("TCP_NODELAY not set on a relayed connection: {error}");
                }
                Ok(stream)
            }
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => Err(REFUSED),
            Ok(Err(_)) | Err(_) => Err(UNREACHED),
        }
    }
}

/// Passes bytes between a tunnel and a stream until one of them ends. `on_end` is called before the
/// end of the tunnel reaches the stream, with whether the tunnel was closed rather than broken off.
///
/// Returns whether both directions ended regularly.
async fn pass_on<S: AsyncRead + AsyncWrite>(
    socket: WebSocketStream<TcpStream>,
    stream: S,
    on_end: impl FnOnce(bool),
) -> bool {
    let (mut sink, mut messages) = socket.split();
    let (mut reader, mut writer) = tokio::io::split(stream);
    let outgoing = async {
        let mut buf = vec![0; BUFFER_BYTES];
        loop {
            match reader.read(&mut buf).await {
                Ok(0) => {
                    let frame = CloseFrame { code: CloseCode::Normal, reason: "".into() };
                    return sink.send(Message::Close(Some(frame))).await.is_ok();
                }
                Ok(count) => {
                    let bytes = Bytes::copy_from_slice(&buf[..count]);
                    if sink.send(Message::Binary(bytes)).await.is_err() {
                        return false;
                    }
                }
                Err(_) => return false,
            }
        }
    };
    let incoming = async {
        loop {
            match messages.next().await {
                Some(Ok(Message::Binary(bytes))) => {
                    if writer.write_all(&bytes).await.is_err() {
                        return false;
                    }
                }
                Some(Ok(Message::Close(_))) => return true,
                Some(Ok(_)) => {}
                Some(Err(_)) | None => return false,
            }
        }
    };
    // The end of either direction ends the tunnel: a request has left in full before its response
    // ends, and a caller that closes wants no response.
    tokio::select! {
        is_ended = outgoing => is_ended,
        is_ended = incoming => {
            on_end(is_ended);
            is_ended
        }
    }
}
