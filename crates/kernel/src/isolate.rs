//! Runs crash suspects on different targets, so that the next death of a target has one suspect.

use crate::peer::Ask;
use crate::plugin::policy;

inventory::submit! {
    policy::Plugin { name: "isolate", rank: 30, stage: policy::Stage::Filter(filter) }
}

/// Allows a suspect only on a target where no other suspect runs.
///
/// Requests with the same body are one suspect.
fn filter(view: &policy::View<'_>, ask: &Ask, target: usize) -> bool {
    let is_suspect = |fingerprint| view.quarantine.is_suspect(fingerprint, view.now);
    if !is_suspect(ask.fingerprint) {
        return true;
    }
    !view
        .pool
        .requests_on(target)
        .any(|other| other.fingerprint != ask.fingerprint && is_suspect(other.fingerprint))
}
