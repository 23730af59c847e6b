//! Guards against generations that are lost since only the scheduler knows that their engine is
//! leaving, and against a scheduler that starts without reports of its targets.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::peer::Message;
use hornbeamloom_kernel::resource::Configuration;
use hornbeamloom_kernel::target::Phase;

use crate::harness::{config, target, Harness, ENTRY};

/// Checks how many notices the entry VM of a request gets after a report of the request's target.
fn notices(kv_tokens: u64, phase: Phase, expected: usize) {
    let spec = target(4, 4, kv_tokens);
    let mut harness = Harness::warm(&[("engine-1", spec)], config("fair", &["kvload"], &[]));
    harness.add_vm(ENTRY, 1);
    harness.ask_many("parlour-1", 1);
    assert_eq!(harness.running().len(), 1);
    harness.engines.get_mut("engine-1").unwrap().phase = phase;
    harness.report("engine-1");
    let sent = harness.sent_to(ENTRY, |message| matches!(message, Message::Departing { .. }));
    assert_eq!(sent.len(), expected);
}

cases! {
    notices;
    leaving_engine_is_announced_to_the_entry_vms_it_serves: (10_000, Phase::Leaving, 1);
    warm_engine_is_not_announced: (10_000, Phase::Warm, 0);
    // Calls of plain services end before a leaving target stops.
    leaving_plain_target_is_not_announced: (0, Phase::Leaving, 0);
}

/// Guards against refusals because the first reports are not requested at once.
#[test]
fn first_ask_polls_the_targets() {
    let targets = [("engine-1", target(4, 4, 0))];
    let mut harness = Harness::idle(&targets, Phase::Warm, Configuration::default());
    harness.polled.clear();
    let ask = harness.new_ask("parlour-1");
    harness.send(&ask);
    assert!(!harness.polled.is_empty());
}
