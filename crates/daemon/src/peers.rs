//! The adapter for messages between daemons.
//!
//! Outgoing messages use one link per peer address, opened on demand ([`crate::link`]); incoming
//! messages arrive over links opened by the peers ([`crate::peer_server`]). Since each direction
//! has its own connection, the two ends never have to negotiate which of them reconnects.

use std::sync::Arc;

use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::map::Map;
use hornbeamloom_kernel::outcome::Outcome;
use hornbeamloom_wire::frame;

use crate::adapter::{self, Context, Inbox};
use crate::control::Input;
use crate::link::{self, Endpoint, OutgoingFrame, Queue};
use crate::{peer_server, tunnel};

inventory::submit! {
    adapter::Plugin {
        name: "peers",
        rank: 20,
        is_enabled: |_| true,
        check: |_| Ok(()),
        accepts: |outcome| matches!(outcome, Outcome::Send { .. }),
        start,
    }
}

fn start(context: Context, inbox: Inbox) -> Result<(), adapter::Error> {
    let address = context.settings.get().listen.peers.clone();
    let listener = adapter::bind(&address, "peers")?;
    let control = context.control.clone();
    let handler = peer_server::FrameHandler {
        own_vm: context.identity.vm.clone(),
        settings: context.settings.clone(),
        tunnels: Some(tunnel::Server::new(&context)),
        on_message: move |sender, message| control.tell(Input::Peer(sender, message)),
    };
    tokio::spawn(peer_server::accept_limited(listener, handler, context.connections.clone()));
    tokio::spawn(send_messages(context, inbox));
    Ok(())
}

/// Encodes outgoing messages and appends them to the queues of their links.
async fn send_messages(context: Context, mut inbox: Inbox) {
    let mut links: Map<Name, Arc<Queue>> = Map::default();
    while let Some(outcome) = inbox.recv().await {
        let Outcome::Send { address, message, .. } = outcome else {
            continue;
        };
        let kind = frame::kind(&message);
        match frame::encode(&context.identity.vm, &message) {
            Ok(bytes) => {
                let bytes = bytes.into();
                enqueue(&context, &mut links, &address, OutgoingFrame { kind, bytes });
            }
            Err(error) => {
                log::warn!("kind={kind} message not sent: {error}");
                link::count_ignored(error.as_str());
            }
        }
    }
}

fn enqueue(
    context: &Context,
    links: &mut Map<Name, Arc<Queue>>,
    address: &Name,
    frame: OutgoingFrame,
) {
    let queued = match links.get(address) {
        Some(queue) => queue.push(frame),
        None => Err(frame),
    };
    let dropped = queued.unwrap_or_else(|frame| {
        // The link has not been opened yet, or has ended. VMs come and go, so the map must not keep
        // the queues of all that there have been.
        links.retain(|_, queue| !queue.is_closed());
        let queue = Arc::new(Queue::new());
        // A new queue is open and has capacity for one frame.
        let dropped = queue.push(frame).unwrap_or_default();
        links.insert(address.clone(), queue.clone());
        open_link(context, address, queue);
        dropped
    });
    for kind in dropped {
        metrics::counter!("hornbeamloom_peer_dropped_total", "kind" => kind).increment(1);
    }
}

fn open_link(context: &Context, address: &Name, queue: Arc<Queue>) {
    let settings = context.settings.clone();
    let address = address.clone();
    let endpoint = move || {
        let key = settings.get().keys.peer.first().cloned();
        Endpoint { address: address.clone(), key: key.unwrap_or_default() }
    };
    tokio::spawn(link::run(endpoint, queue));
}
