//! Serves requests in the order of arrival over all organisations and classes; a baseline.

use crate::peer::Ask;
use crate::plugin::policy;

inventory::submit! {
    policy::Plugin { name: "fifo", rank: 20, stage: policy::Stage::Order(order) }
}

fn order(view: &policy::View<'_>, organisation: usize, head: &Ask) -> u64 {
    let waiting = view.pool.queue.organisations[organisation].waiting(head.class);
    waiting.front().map_or(u64::MAX, |queued| queued.arrived.0)
}
