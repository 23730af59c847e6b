//! Guards against requests with a key that was taken away while the VM could not hear of it, and
//! against refusals of keys by a VM that knows the newest configuration.

mod common;

use common::{Harness, Step};
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::ids::Millis;
use hornbeamloom_kernel::resource::Configuration;

/// What becomes of a request `wait_ms` after the configuration was known to be the newest.
fn asks(key_age_ms: u32, current: bool, wait_ms: u64, expected: &str) {
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
    asks;

    a_key_holds_while_the_configuration_is_current: (4_000, true, 3_900, "ask e2 for 1");
    an_old_configuration_says_nothing_of_keys: (
        4_000, true, 4_100, "refuse 1 KeyUnconfirmed ran No",
    );
    // The first configuration came from a peer, which may be cut off itself.
    a_configuration_that_was_never_current_says_nothing: (
        4_000, false, 50, "refuse 1 KeyUnconfirmed ran No",
    );
    without_a_limit_an_old_configuration_does: (0, false, 60_000, "ask e2 for 1");
}

/// A later reading counts, an earlier one that is told late does not set it back.
#[test]
fn the_latest_reading_counts() {
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
