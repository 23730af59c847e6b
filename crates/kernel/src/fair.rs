//! Serves the backlogged organisation that received the least service first.

use crate::peer::Ask;
use crate::plugin::policy;

inventory::submit! {
    policy::Plugin { name: "fair", rank: 10, stage: policy::Stage::Order(order) }
}

fn order(view: &policy::View<'_>, organisation: usize, _head: &Ask) -> u64 {
    view.pool.queue.organisations[organisation].service_counter
}
