//! Suspects of a crash must run on different targets; driven through the scheduler of a pool.

#[allow(dead_code)]
#[path = "pool/harness.rs"]
mod harness;

use harness::Harness;
use hornbeamloom_kernel::peer::{Death, Message, Suspect};

/// Sends one request per body, where `suspects` ran on a target that died, and counts the starts.
fn starts(targets: usize, off: &[&str], suspects: &[u64], bodies: &[u64], expected: usize) {
    let names = ["t1", "t2"];
    let target = |name| (name, harness::target(4, 4, 100_000));
    let targets: Vec<_> = names.into_iter().take(targets).map(target).collect();
    let mut harness = Harness::warm(&targets, harness::config("fair", &["least_outstanding"], off));
    let suspect = |body: &u64| Suspect {
        fingerprint: *body,
        organisation: "school".into(),
        service: harness::key().service,
        parts: Vec::new(),
        granted_ago_ms: 0,
    };
    let death = Death {
        target: "t9".into(),
        start_id: 1,
        running: suspects.iter().map(suspect).collect(),
        age_ms: 0,
    };
    harness.receive("entry-9", Message::Death(death));
    for body in bodies {
        let mut ask = harness.new_ask("school");
        ask.fingerprint = *body;
        harness.send(&ask);
    }
    assert_eq!(harness.running().len(), expected);
}

hornbeamloom_kernel::cases! {
    starts;

    // The next death would have two suspects, and a harmless body could be quarantined.
    two_suspects_do_not_share_a_target: (1, &[], &[1, 2], &[1, 2], 1);
    // A suspect would wait although another target runs none.
    two_suspects_run_on_two_targets: (2, &[], &[1, 2], &[1, 2], 2);
    // Requests with other bodies would wait for a suspect.
    other_bodies_run_beside_a_suspect: (1, &[], &[1], &[1, 3, 4], 3);
    // Requests with the same body, which are one suspect, would run one after another.
    one_body_twice_is_one_suspect: (1, &[], &[1, 2], &[1, 1], 2);
    // Negative control: without the policy suspects share a target.
    without_the_policy_suspects_share: (1, &["isolate"], &[1, 2], &[1, 2], 2);
}
