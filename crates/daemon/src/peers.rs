//! The adapter between the control thread and other daemons.
//!
//! Messages leave over one link for each peer address, opened on demand ([`crate::link`]), and
//! arrive over links that the peers opened ([`crate::uplink`]). The two directions are separate connections, so a
//! failed link never has to be negotiated between its ends.

use std::sync::Arc;

use hornbeamloom_kernel::ids::Name;
use hornbeamloom_kernel::map::Map;
use hornbeamloom_kernel::outcome::Outcome;
use hornbeamloom_wire::frame;

use crate::adapter::{self, Context, Inbox};
use crate::control::Input;
use crate::link::{self, Outgoing, Peer, Queue};
use crate::uplink;

inventory::submit! {
    adapter::Plugin {
        name: "peers",
        rank: 20,
        is_enabled: |_| true,
        accepts: |outcome| matches!(outcome, Outcome::Send { .. }),
        start,
    }
}

fn start(context: Context, inbox: Inbox) -> Result<(), adapter::Error> {
    let address = context.settings.borrow().listen.peers.clone();
    let listener = adapter::bind(&address, "peers")?;
    let control = context.control.clone();
    let arrivals = uplink::Receiver {
        own: context.identity.vm.clone(),
        settings: context.settings.clone(),
        deliver: move |sender, message| control.tell(Input::Peer(sender, message)),
    };
    tokio::spawn(uplink::accept(listener, arrivals));
    tokio::spawn(route(context, inbox));
    Ok(())
}

/// Puts each outgoing message on the queue of its link.
async fn route(context: Context, mut inbox: Inbox) {
    let mut links: Map<Name, Arc<Queue>> = Map::default();
    while let Some(outcome) = inbox.recv().await {
        let Outcome::Send { address, message, .. } = outcome else {
            continue;
        };
        let kind = frame::kind(&message);
        match frame::encode(&context.identity.vm, &message) {
            Ok(bytes) => {
                let bytes = bytes.into();
                enqueue(&context, &mut links, &address, Outgoing { kind, bytes });
            }
            Err(error) => {
                log::warn!("kind={kind} message not sent: {error}");
                link::count_ignored(error.as_str());
            }
        }
    }
}

fn enqueue(context: &Context, links: &mut Map<Name, Arc<Queue>>, to: &Name, frame: Outgoing) {
    let queued = match links.get(to) {
        Some(queue) => queue.push(frame),
        None => Err(frame),
    };
    let dropped = queued.unwrap_or_else(|frame| {
        // The link was never opened or was closed as unused.
        let queue = Arc::new(Queue::new());
        // A new queue is open and has room for one frame.
        let dropped = queue.push(frame).unwrap_or_default();
        links.insert(to.clone(), queue.clone());
        open(context, to, queue);
        dropped
    });
    for kind in dropped {
        metrics::counter!("hornbeamloom_peer_dropped_total", "kind" => kind).increment(1);
    }
}

fn open(context: &Context, to: &Name, queue: Arc<Queue>) {
    let settings = context.settings.clone();
    let address = to.clone();
    let peer = move || {
        let keys = settings.borrow().keys.peer.first().cloned();
        Peer { address: address.clone(), key: keys.unwrap_or_default() }
    };
    tokio::spawn(link::run(peer, queue));
}
