//! Versions that appear beside others and are named by no roll-out order yet.
//!
//! The rows of targets and orders are read apart, so a VM may see the targets of a new version before
//! the order that limits their share. Until then they get nothing.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Millis, Name};

/// Time for which a version without an order is held back. Operators who deploy without roll-outs
/// get its capacity after that.
const HOLD_MS: u64 = 30_000;

/// The versions of one service: since when each is held back, or `None` if it is not.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    held_since: BTreeMap<Name, Option<Millis>>,
}

impl Versions {
    /// Takes in which versions are registered. Those that appear beside others are held back; a
    /// version of which no target was left is one of these if it appears again.
    pub(crate) fn update(&mut self, registered: &BTreeSet<Name>, now: Millis) {
        self.held_since.retain(|version, _| registered.contains(version));
        let has_settled = self.held_since.values().any(Option::is_none);
        for version in registered {
            let held = self.held_since.entry(version.clone()).or_insert(Some(now));
            if !has_settled {
                *held = None;
            }
        }
    }

    /// Ends or starts the hold of a version by a verdict on it.
    pub(crate) fn apply_verdict(&mut self, version: &Name, is_good: bool) {
        if is_good {
            self.held_since.insert(version.clone(), None);
        } else {
            self.held_since.remove(version);
        }
    }

    /// The versions that are held back.
    pub(crate) fn held(&self, now: Millis) -> impl Iterator<Item = &Name> {
        let is_held = move |since: &Option<Millis>| since.is_some_and(|at| now.since(at) < HOLD_MS);
        self.held_since.iter().filter(move |(_, since)| is_held(since)).map(|(version, _)| version)
    }
}
