//! Pool ownership by leases in the platform's table.

use crate::event::Event;
use crate::ids::{Fence, Millis};
use crate::kernel::{Outbox, State};
use crate::plugin::control;
use crate::pool;

/// The leases held here.
#[derive(Debug, Default)]
pub struct Keeper {}

impl Keeper {
    /// The fencing token of a lease that is valid at `now`, if this VM holds it.
    pub fn fence(&self, _pool: &pool::Key, _now: Millis) -> Option<Fence> {
        None
    }
}

inventory::submit! {
    control::Plugin { name: "lease", rank: 30, handle, wakeup: |_| None }
}

fn handle(_state: &mut State, _event: &Event<'_>, _now: Millis, _out: &mut Outbox) {}
