//! Bounds the queues, and refuses requests at once that are expected to miss their queue deadline.

use crate::outcome::{Reason, Refusal};
use crate::peer::Ask;
use crate::plugin::policy;

inventory::submit! {
    policy::Plugin { name: "overload", rank: 30, stage: policy::Stage::Admit(admit) }
}

fn admit(view: &policy::View<'_>, ask: &Ask) -> Result<(), Refusal> {
    let pool = view.pool;
    let refuse = |reason| {
        let refusal = Refusal::new(reason);
        Err(refusal.with_retry_after(pool.start_rate.retry_after(&pool.queue, view.now)))
    };
    let waiting = pool.queue.get(&ask.organisation);
    if waiting.map_or(0, |own| own.len()) >= pool.config.organisation_queue as usize {
        return refuse(Reason::OrganisationQueue);
    }
    if pool.queue.len() >= pool.config.pool_queue as usize {
        return refuse(Reason::PoolQueue);
    }
    // The scheduler decides on these by slack.
    if ask.slack.is_some() && pool.orders_by_slack() {
        return Ok(());
    }
    let wait = pool.start_rate.expected_wait(&pool.queue, ask, view.now);
    if ask.max_wait_ms == 0 || wait.is_some_and(|wait| wait > ask.max_wait_ms) {
        return refuse(Reason::QueueDeadline);
    }
    Ok(())
}
