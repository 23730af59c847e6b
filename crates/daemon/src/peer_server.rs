//! Inbound connections from peers: authentication, reception of frames, and tunnels to targets.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::peer::Message as PeerMessage;
use hornbeamloom_wire::frame;
use subtle::{Choice, ConstantTimeEq};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, Instant};
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::header::AUTHORIZATION;
use tokio_tungstenite::tungstenite::http::StatusCode;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::WebSocketStream;

use crate::connections::{self, Connections, Meter, Port};
use crate::link::{self, HEARTBEAT_TIMEOUT, IDLE_TIMEOUT};
use crate::published;
use crate::settings::Settings;
use crate::tunnel;

/// Maximum number of open inbound links; more than the fleet opens at the two-year scale.
const MAX_INBOUND_LINKS: usize = 1_024;

/// Time without incoming data after which a link is closed; the peer has closed its end by then.
const INBOUND_IDLE_TIMEOUT: Duration =
    Duration::from_secs(IDLE_TIMEOUT.as_secs() + HEARTBEAT_TIMEOUT.as_secs());

/// Handles the frames received from peers.
#[derive(Debug, Clone)]
pub struct FrameHandler<D> {
    /// Name of this VM; frames that claim it as their sender are ignored.
    pub own_vm: Name,
    /// Settings with the accepted peer keys.
    pub settings: published::Value<Arc<Settings>>,
    /// Relays connections to targets; `None` if this VM relays none.
    pub tunnels: Option<tunnel::Server>,
    /// Called with the sender and the decoded message of each frame.
    pub on_message: D,
}

/// Accepts links until the process exits, each served by its own task.
pub async fn accept<D>(listener: TcpListener, handler: FrameHandler<D>)
where
    D: Fn(Name, PeerMessage) + Clone + Send + Sync + 'static,
{
    let connections = Connections::new(handler.settings.clone());
    accept_limited(listener, handler, connections).await;
}

/// Accepts links as [`accept`] does, within the limits of `connections`.
pub(crate) async fn accept_limited<D>(
    listener: TcpListener,
    handler: FrameHandler<D>,
    connections: Connections,
) where
    D: Fn(Name, PeerMessage) + Clone + Send + Sync + 'static,
{
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_INBOUND_LINKS));
    loop {
        // The semaphore is never closed.
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                // File descriptors may be exhausted; the delay keeps the loop from spinning.
                log::warn!("cannot accept a peer connection: {error}");
                tokio::time::sleep(link::HEARTBEAT_INTERVAL).await;
                continue;
            }
        };
        let Some(admitted) = connections.admit(Port::Peers, address.ip()) else {
            continue;
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            let terms = connections::terms(&handler.settings.get().limits);
            admitted.run(&terms, serve(&handler, stream, &admitted.meter)).await;
            drop(permit);
        });
    }
}

async fn serve(
    handler: &FrameHandler<impl Fn(Name, PeerMessage)>,
    stream: TcpStream,
    meter: &Meter,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let settings = handler.settings.get();
    let mut path = String::new();
    // The error type is prescribed by tungstenite's callback.
    #[allow(clippy::result_large_err)]
    let authenticate = |request: &Request, response: Response| {
        request.uri().path().clone_into(&mut path);
        match is_authorized(&settings, request) {
            true => {
                // Other VMs' connections are never closed to make room for others.
                meter.begin_request(false);
                Ok(response)
            }
            false => Err(unauthorized()),
        }
    };
    let handshake = tokio_tungstenite::accept_hdr_async_with_config(
        stream,
        authenticate,
        Some(link::websocket_config()),
    );
    match timeout(HEARTBEAT_TIMEOUT, handshake).await {
        Ok(Ok(socket)) => match (path.strip_prefix(tunnel::PATH_PREFIX), &handler.tunnels) {
            (Some(target), Some(tunnels)) => tunnels.serve(socket, target).await,
            (Some(_), None) => link::count_ignored("tunnel"),
            (None, _) => receive_frames(handler, socket).await,
        },
        Ok(Err(_)) | Err(_) => link::count_event("peer_handshake_failed"),
    }
}

fn unauthorized() -> ErrorResponse {
    let mut response = ErrorResponse::new(Some("unknown peer key".to_owned()));
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    response
}

/// Returns whether the request carries an accepted peer key; the time taken does not depend on how
/// much of a key matches.
fn is_authorized(settings: &Settings, request: &Request) -> bool {
    let presented = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let Some(presented) = presented else {
        return false;
    };
    let matched = settings
        .keys
        .peer
        .iter()
        .fold(Choice::from(0), |matched, key| matched | key.as_bytes().ct_eq(presented));
    matched.into()
}

/// Handles the frames of one link until it is closed or idle.
async fn receive_frames(
    handler: &FrameHandler<impl Fn(Name, PeerMessage)>,
    mut socket: WebSocketStream<TcpStream>,
) {
    let mut last_received = Instant::now();
    loop {
        let next =
            tokio::time::timeout_at(last_received + INBOUND_IDLE_TIMEOUT, socket.next()).await;
        match next {
            Ok(Some(Ok(Message::Binary(bytes)))) => handle_frame(handler, &bytes),
            Ok(Some(Ok(Message::Ping(_)))) => {
                link::count_bytes("received", "heartbeat", 0);
                // The library only queues the pong, which must not wait for other traffic.
                if timeout(HEARTBEAT_TIMEOUT, socket.flush()).await.is_err() {
                    return;
                }
            }
            Ok(Some(Ok(_))) => link::count_ignored("peer_frame_type"),
            Ok(Some(Err(_)) | None) => return,
            Err(_) => return link::count_event("accepted_link_silent"),
        }
        last_received = Instant::now();
    }
}

fn handle_frame(handler: &FrameHandler<impl Fn(Name, PeerMessage)>, bytes: &[u8]) {
    match frame::decode(bytes) {
        Ok(frame) if frame.sender == handler.own_vm => link::count_ignored("frame_from_own_name"),
        Ok(frame) => {
            link::count_bytes("received", frame::kind(&frame.message), bytes.len());
            (handler.on_message)(frame.sender, frame.message);
        }
        Err(error) => {
            link::count_bytes("received", "ignored", bytes.len());
            link::count_ignored(error.as_str());
        }
    }
}
