//! Guards against accepting a key that was revoked while the VM was disconnected, and against
//! rejecting keys on a VM whose configuration is current.

mod common;

use common::{Harness, Step};
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::feed::{Row, Rows, Table};
use hornbeamloom_kernel::ids::{Millis, Revision};
use hornbeamloom_kernel::resource::Configuration;

/// Checks the outcome of a request that arrives `wait_ms` after the configuration was last known to
/// be current.
fn request_yields(key_age_ms: u32, current: bool, wait_ms: u64, expected: &str) {
    let mut world =
        Harness::with_configuration(Configuration { key_age_ms, ..Configuration::default() });
    if current {
        let at = Millis(world.now);
        world.handle(Event::TableCurrent { at });
    }
    world.run(&[Step::Wait(wait_ms)]);
    let before = world.trace.len();
    world.run(&[Step::Arrive(1)]);
    assert_eq!(world.trace[before..], [expected]);
}

hornbeamloom_kernel::cases! {
    request_yields;

    a_current_configuration_accepts_keys: (4_000, true, 3_900, "ask e2 for 1");
    a_stale_configuration_rejects_keys: (
        4_000, true, 4_100, "refuse 1 KeyUnconfirmed ran No",
    );
    // The first configuration came from a peer, which may be disconnected itself.
    a_configuration_that_was_never_current_rejects_keys: (
        4_000, false, 50, "refuse 1 KeyUnconfirmed ran No",
    );
    a_stale_configuration_without_a_limit_accepts_keys: (0, false, 60_000, "ask e2 for 1");
}

/// A later time is kept even if an earlier one is reported after it.
#[test]
fn an_earlier_reading_does_not_replace_a_later_one() {
    let mut world = Harness::with_configuration(Configuration {
        key_age_ms: 1_000,
        ..Configuration::default()
    });
    let before = Millis(world.now);
    world.run(&[Step::Wait(900)]);
    let at = Millis(world.now);
    world.handle(Event::TableCurrent { at });
    world.handle(Event::TableCurrent { at: before });
    world.run(&[Step::Wait(900), Step::Arrive(1)]);
    assert_eq!(world.trace.last().map(String::as_str), Some("ask e2 for 1"));
}

fn last(world: &Harness) -> &str {
    world.trace.last().map_or("", String::as_str)
}

const REFUSED: &str = "refuse 1 KeyUnconfirmed ran No";

/// Guards against a revoked key that is accepted because the rows which revoke it have been read,
/// but are not in force yet.
#[test]
fn rows_count_once_they_are_applied() {
    let mut world = Harness::with_configuration(Configuration {
        key_age_ms: 1_000,
        ..Configuration::default()
    });
    let (key, version, value) = ("config".into(), Revision(9), Some(b"{}".to_vec()));
    let rows = Rows {
        table: Table::Resources,
        from: Revision(0),
        version,
        is_whole: true,
        rows: vec![Row { key, version, value, sequence: None }],
    };
    world.handle(Event::RowsRead { rows: &rows, at: Millis(world.now) });
    world.run(&[Step::Arrive(1)]);
    assert_eq!(last(&world), REFUSED);
    world.handle(Event::RowsApplied { table: Table::Resources });
    world.run(&[Step::Arrive(2)]);
    assert_eq!(last(&world), "ask e2 for 2");
}

/// Guards against a request whose key was checked just before newer resources were in force, and
/// that arrives just after.
#[test]
fn keys_stay_refused_for_a_moment_after_an_outage() {
    let mut world = Harness::with_configuration(Configuration {
        key_age_ms: 1_000,
        ..Configuration::default()
    });
    world.handle(Event::TableCurrent { at: Millis(world.now) });
    world.run(&[Step::Wait(1_100)]);
    world.handle(Event::TableCurrent { at: Millis(world.now) });
    world.run(&[Step::Arrive(1)]);
    assert_eq!(last(&world), REFUSED);
    world.run(&[Step::Wait(250), Step::Arrive(2)]);
    assert_eq!(last(&world), "ask e2 for 2");
}
