//! Tests of links between daemons over loopback connections.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hornbeamloom_daemon::link::{
    self, Endpoint, OutgoingFrame, Queue, MAX_QUEUED_BYTES, MAX_QUEUED_FRAMES,
};
use hornbeamloom_daemon::peer_server::{self, FrameHandler};
use hornbeamloom_daemon::published;
use hornbeamloom_daemon::settings::{self, Settings};
use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::ids::{Name, Revision};
use hornbeamloom_kernel::peer::Message;
use hornbeamloom_wire::frame;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Maximum wait for an expected event.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn settings() -> Arc<Settings> {
    let text = "
vm: entry-a1
zone: lodz-a
listen: {callers: '127.0.0.1:8100', operators: '127.0.0.1:8200', peers: '127.0.0.1:8300'}
platform: {table: 'http://127.0.0.1:1', objects: 'http://127.0.0.1:1', vms: 'http://127.0.0.1:1'}
keys: {operator: [op], peer: [new-key, old-key]}
";
    Arc::new(settings::parse(text).unwrap())
}

type Delivered = mpsc::UnboundedReceiver<(Name, Message)>;

/// Accepts peer links on `listener` and returns a channel with the messages delivered.
fn serve(listener: TcpListener) -> (Delivered, tokio::task::JoinHandle<()>) {
    let (sender, delivered) = mpsc::unbounded_channel();
    let handler = FrameHandler {
        own_vm: "entry-a1".into(),
        settings: published::channel(settings()).1,
        tunnels: None,
        on_message: move |from, message| drop(sender.send((from, message))),
    };
    (delivered, tokio::spawn(peer_server::accept(listener, handler)))
}

fn connect(address: &str, key: &str) -> Arc<Queue> {
    let queue = Arc::new(Queue::new());
    let (address, key): (Name, String) = (address.into(), key.into());
    let endpoint = move || Endpoint { address: address.clone(), key: key.clone() };
    tokio::spawn(link::run(endpoint, queue.clone()));
    queue
}

fn pull(sender: &str, from: u64) -> OutgoingFrame {
    let message = Message::Pull { from: Revision(from) };
    OutgoingFrame { kind: "pull", bytes: frame::encode(sender, &message).unwrap().into() }
}

async fn next(delivered: &mut Delivered) -> Option<(Name, Message)> {
    tokio::time::timeout(TEST_TIMEOUT, delivered.recv()).await.ok().flatten()
}

fn run(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(test);
}

async fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// Guards against a link that loses frames, or that accepts only the first key of the list.
fn delivers_frames(key: &'static str) {
    run(async move {
        let (listener, address) = listen().await;
        let (mut delivered, _) = serve(listener);
        let queue = connect(&address, key);
        for from in 0..3 {
            queue.push(pull("entry-b1", from)).unwrap();
        }
        for from in 0..3 {
            let (sender, message) = next(&mut delivered).await.unwrap();
            assert_eq!(&*sender, "entry-b1");
            assert_eq!(message, Message::Pull { from: Revision(from) });
        }
    });
}

cases! {
    delivers_frames;
    link_with_the_first_key_delivers_frames: ("new-key");
    link_with_a_key_being_replaced_delivers_frames: ("old-key");
}

/// Guards against accepting frames with an invalid key or sender: the frame of a second, valid link
/// must be the first one delivered, although the invalid frame was queued earlier.
fn frame_is_rejected(key: &'static str, sender: &'static str) {
    run(async move {
        let (listener, address) = listen().await;
        let (mut delivered, _) = serve(listener);
        let unauthorized = connect(&address, key);
        unauthorized.push(pull(sender, 1)).unwrap();
        // The invalid frame leaves its queue only over an open link.
        tokio::time::sleep(link::HEARTBEAT_INTERVAL).await;
        let peer = connect(&address, "new-key");
        peer.push(pull("entry-b1", 2)).unwrap();
        let (_, message) = next(&mut delivered).await.unwrap();
        assert_eq!(message, Message::Pull { from: Revision(2) });
    });
}

cases! {
    frame_is_rejected;
    frame_under_a_wrong_key_is_not_delivered: ("new-kez", "entry-c1");
    frame_under_an_empty_key_is_not_delivered: ("", "entry-c1");
    frame_under_a_prefix_of_the_key_is_not_delivered: ("new", "entry-c1");
    frame_under_the_receivers_own_name_is_not_delivered: ("new-key", "entry-a1");
}

/// Guards against an open connection whose peer never responds and that blocks all later frames.
#[test]
fn unresponsive_link_is_closed_and_a_new_one_opened() {
    run(async {
        let (listener, address) = listen().await;
        let queue = connect(&address, "new-key");
        queue.push(pull("entry-b1", 1)).unwrap();
        // The connection is kept open, but nothing responds on it.
        let unresponsive = tokio::time::timeout(TEST_TIMEOUT, listener.accept()).await;
        let unresponsive = unresponsive.unwrap().unwrap();
        let (mut delivered, _) = serve(listener);
        let (_, message) = next(&mut delivered).await.unwrap();
        assert_eq!(message, Message::Pull { from: Revision(1) });
        drop(unresponsive);
    });
}

/// Guards against a link that stays open without pongs: a relay forwards bytes in both directions
/// during the handshake, and afterwards only towards the peer.
#[test]
fn link_without_pongs_is_closed_and_a_new_one_opened() {
    run(async {
        let (peer, peer_address) = listen().await;
        let (mut delivered, _) = serve(peer);
        let (relay, address) = listen().await;
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = connections.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = relay.accept().await {
                accepted.fetch_add(1, Ordering::SeqCst);
                let server = tokio::net::TcpStream::connect(&peer_address).await.unwrap();
                tokio::spawn(relay_one_way_after_handshake(client, server));
            }
        });
        let queue = connect(&address, "new-key");
        queue.push(pull("entry-b1", 1)).unwrap();
        next(&mut delivered).await.unwrap();
        let reopened = async {
            while connections.load(Ordering::SeqCst) < 2 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, reopened).await.unwrap();
    });
}

async fn relay_one_way_after_handshake(
    client: tokio::net::TcpStream,
    server: tokio::net::TcpStream,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let back = async move {
        let mut buf = [0; 4096];
        let read = server_read.read(&mut buf).await.unwrap_or(0);
        // Only the handshake response is forwarded; the connection stays open.
        client_write.write_all(&buf[..read]).await.unwrap_or(());
        std::future::pending::<()>().await;
        drop((server_read, client_write));
    };
    let forward = tokio::io::copy(&mut client_read, &mut server_write);
    tokio::select! {
        _ = forward => {}
        () = back => {}
    }
}

/// Guards against a link that is not reopened after its peer has restarted.
#[test]
fn link_is_opened_again_after_the_peer_restarted() {
    run(async {
        let (listener, address) = listen().await;
        drop(listener);
        let queue = connect(&address, "new-key");
        queue.push(pull("entry-b1", 1)).unwrap();
        tokio::time::sleep(link::HEARTBEAT_INTERVAL).await;
        let listener = TcpListener::bind(&address).await.unwrap();
        let (mut delivered, _) = serve(listener);
        assert!(next(&mut delivered).await.is_some());
    });
}

/// Guards against links to VMs that were replaced: each would reconnect forever and keep its queue.
#[test]
fn link_to_a_vm_that_is_gone_is_given_up() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.unwrap().block_on(async {
        let (listener, address) = listen().await;
        drop(listener);
        let queue = connect(&address, "new-key");
        queue.push(pull("entry-b1", 1)).unwrap();
        // Time is paused and advances only while the link waits.
        tokio::time::sleep(2 * link::UNREACHABLE_TIMEOUT).await;
        assert!(queue.is_closed());
        assert!(queue.push(pull("entry-b1", 2)).is_err());
    });
}

fn outgoing(kind: &'static str, bytes: usize) -> OutgoingFrame {
    OutgoingFrame { kind, bytes: vec![0; bytes].into() }
}

/// Guards against unbounded memory use by a stalled link, and against dropping requests in favour
/// of gossip, which the next round supersedes anyway.
fn queue_is_bounded(
    first: &'static str,
    others: &'static str,
    bytes: usize,
    dropped: &'static str,
) {
    let queue = Queue::new();
    let capacity = MAX_QUEUED_FRAMES.min(MAX_QUEUED_BYTES / bytes);
    queue.push(outgoing(others, bytes)).unwrap();
    queue.push(outgoing(first, bytes)).unwrap();
    for _ in 2..capacity {
        assert!(queue.push(outgoing(others, bytes)).unwrap().is_empty());
    }
    assert_eq!(queue.push(outgoing(others, bytes)).unwrap(), vec![dropped]);
    let queued = std::iter::from_fn(|| queue.pop()).count();
    assert_eq!(queued, capacity);
}

cases! {
    queue_is_bounded;
    oldest_gossip_is_dropped_above_the_frame_limit: ("gossip", "ask", 16, "gossip");
    oldest_gossip_is_dropped_above_the_byte_limit: ("gossip", "ask", 64 << 10, "gossip");
    oldest_frame_is_dropped_without_queued_gossip: ("grant", "ask", 16, "ask");
}
