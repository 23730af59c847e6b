//! Crash correlation: suspects, quarantine, its record in the table and its end.

mod common;

use common::{Harness, Step, StoreMode};
use hornbeamloom_kernel::ids::Millis;
use hornbeamloom_kernel::outcome::Outcome;
use hornbeamloom_kernel::peer::{Death, Message};
use hornbeamloom_kernel::request::End;
use hornbeamloom_kernel::store::{Key, Quarantine, Value};

/// Runs a script and compares everything that the VM did.
fn runs_script(steps: &[Step], expected: &[&str]) {
    let mut harness = Harness::new();
    assert_eq!(harness.run(steps), expected);
}

hornbeamloom_kernel::cases! {
    runs_script;

    // One crash, which any body beside the cause also sees, would lock out innocent callers.
    one_death_makes_a_suspect: (
        &[Step::Death("t1", 1, &[7]), Step::ShowBody(7), Step::ArriveBody(1, 7)],
        &["body 7 suspect", "ask e2 for 1"],
    );
    // A request that crashes each target would take down one engine after the other.
    two_deaths_quarantine_and_refuse: (
        &[Step::Death("t1", 1, &[7]), Step::Death("t2", 4, &[7]), Step::ShowBody(7), Step::ArriveBody(1, 7)],
        &["body 7 quarantined", "refuse 1 Quarantined ran No"],
    );
    // A second start of the same target would not count.
    two_starts_of_one_target_quarantine: (
        &[Step::Death("t1", 1, &[7]), Step::Death("t1", 2, &[7]), Step::ShowBody(7)],
        &["body 7 quarantined"],
    );
    // One death reported twice would quarantine a body.
    the_same_death_counts_once: (
        &[Step::Death("t1", 1, &[7]), Step::Death("t1", 1, &[7]), Step::ShowBody(7)],
        &["body 7 suspect"],
    );
    // A body beside a suspect would be locked out with it.
    a_body_beside_a_suspect_becomes_a_suspect_only: (
        &[Step::Death("t1", 1, &[7]), Step::Death("t2", 1, &[7, 8]), Step::ShowBody(7), Step::ShowBody(8)],
        &["body 7 quarantined", "body 8 suspect"],
    );
    // Two suspects that ran together before they were known would both be locked out.
    two_suspects_in_one_death_are_not_counted: (
        &[Step::Death("t1", 1, &[7, 8]), Step::Death("t2", 1, &[7, 8]), Step::ShowBody(7), Step::ShowBody(8)],
        &["body 7 suspect", "body 8 suspect"],
    );
    // A body that completed would be locked out by one more crash beside it.
    a_suspect_that_completes_is_cleared: (
        &[Step::Death("t1", 1, &[7]), Step::ArriveBody(1, 7), Step::Grant(1, "e2", "t1"), Step::End(1, End::Complete, 3), Step::ShowBody(7)],
        &["ask e2 for 1", "start 1 on t1", "release 1 on t1 Complete to e2", "body 7 clear"],
    );
    // A body quarantined while it waits would still be started.
    a_waiting_body_is_not_started: (
        &[
            Step::ArriveBody(1, 7), Step::Death("t1", 1, &[7]), Step::Death("t2", 1, &[7]),
            Step::Grant(1, "e2", "t1"),
        ],
        &["ask e2 for 1", "refuse 1 Quarantined ran No", "release 1 on t1 Unsent to e2"],
    );
    // A caller whose service was repaired would stay locked out.
    a_quarantine_ends_after_ten_minutes: (
        &[
            Step::Death("t1", 1, &[7]), Step::Death("t2", 1, &[7]), Step::Wait(599_000), Step::ShowBody(7),
            Step::Wait(1_000), Step::ShowBody(7),
        ],
        &["body 7 quarantined", "body 7 clear"],
    );
    // An operator could not let a body in again, and the table would bring the entry back.
    a_lifted_body_stays_clear: (
        &[
            Step::Death("t1", 1, &[7]), Step::Death("t2", 1, &[7]), Step::Wait(70_000), Step::SetStore(StoreMode::Down),
            Step::LiftQuarantine(7), Step::ShowBody(7), Step::SetStore(StoreMode::Up), Step::Wait(70_000), Step::ShowBody(7),
        ],
        &["body 7 clear", "body 7 clear"],
    );
}

/// A death that this VM saw itself, as the owner of the target's pool tells it.
fn own_death(harness: &mut Harness, target: &str) {
    let death =
        Death { target: target.into(), start_id: 1, running: common::suspects(&[7]), age_ms: 0 };
    harness.receive("e1", Message::Death(death));
}

/// Lets the VM see two deaths while the store is in `store`; counts what it then tells and writes.
fn broadcasts_and_writes(store: StoreMode, wait_ms: u64, peers: usize, records: usize) {
    let mut harness = Harness::new();
    harness.run(&[Step::SetStore(store)]);
    own_death(&mut harness, "t1");
    own_death(&mut harness, "t2");
    let is_told = |outcome: &&Outcome| {
        matches!(outcome, Outcome::Send { message: Message::Quarantine { fingerprint: 7, .. }, .. })
    };
    assert_eq!(harness.outcomes.iter().filter(is_told).count(), peers);
    harness.run(&[Step::SetStore(StoreMode::Up), Step::Wait(wait_ms)]);
    assert_eq!(harness.table.len(), records);
}

hornbeamloom_kernel::cases! {
    broadcasts_and_writes;

    // Other VMs, and those that start later, would let the body in.
    the_vm_that_observed_the_death_broadcasts_and_writes: (StoreMode::Up, 0, 3, 1);
    // An outage of the store would lose the record.
    a_failed_write_is_repeated: (StoreMode::Down, 6_000, 3, 1);
    // The table would keep entries for ever.
    an_expired_record_is_deleted: (StoreMode::Up, 602_000, 3, 0);
}

/// What a VM that starts learns from the table, and whether reading it again prolongs it.
fn reads_table(remaining_s: u64, is_lifted: bool, wait_ms: u64, expected: bool) {
    let mut harness = Harness::new();
    let value = Quarantine {
        deaths: 2,
        organisation: "school".into(),
        service: "menu".into(),
        remaining_s,
    };
    let row = (5, Value::Quarantine(value));
    harness.table.insert(Key::Quarantine(7), row);
    harness.run(&[Step::Wait(100)]);
    if is_lifted {
        let message = Message::Quarantine {
            fingerprint: 7,
            organisation: "school".into(),
            service: "menu".into(),
            deaths: 2,
            remaining_ms: 0,
        };
        harness.receive("e3", message);
    }
    harness.run(&[Step::Wait(wait_ms)]);
    let now = Millis(harness.now);
    assert_eq!(harness.kernel.state().quarantine.is_quarantined(7, now), expected);
}

hornbeamloom_kernel::cases! {
    reads_table;

    // A VM that starts would let a quarantined body in.
    entries_are_read_at_the_start: (300, false, 100, true);
    // Each reading of the same record would start its time again.
    reading_again_does_not_prolong: (60, false, 100_000, false);
    // A record that the lifting VM has not deleted yet would lock the body out again.
    a_record_of_a_lifted_body_is_ignored: (300, true, 40_000, false);
}

/// A message from a peer about body 7 and what follows from it.
fn applies_message(starts: u64, deaths: u32, remaining_ms: u64, expected: (bool, bool)) {
    let mut harness = Harness::new();
    for start in 0..starts {
        harness.run(&[Step::Death("t1", start, &[7])]);
    }
    let message = Message::Quarantine {
        fingerprint: 7,
        organisation: "school".into(),
        service: "menu".into(),
        deaths,
        remaining_ms,
    };
    harness.receive("e3", message);
    let (registry, now) = (&harness.kernel.state().quarantine, Millis(harness.now));
    let state = (registry.is_quarantined(7, now), registry.is_suspect(7, now));
    assert_eq!(state, expected);
    let listed = registry.entries(now).len();
    assert_eq!(listed, usize::from(expected.1));
}

hornbeamloom_kernel::cases! {
    applies_message;

    // A VM that missed the deaths would let the body in.
    an_entry_of_a_peer_is_applied: (1, 2, 60_000, (true, true));
    // A body lifted at one VM would stay locked out at the others.
    a_lift_of_a_peer_is_applied: (2, 2, 0, (false, false));
    // A body cleared at one VM would stay a suspect at the others.
    a_clearance_of_a_peer_is_applied: (1, 0, 0, (false, false));
    // A run that ends after the second death would lift the quarantine.
    a_clearance_does_not_lift_a_quarantine: (2, 0, 0, (true, true));
}
