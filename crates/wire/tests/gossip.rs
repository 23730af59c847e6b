//! Size of encoded gossip in a large fleet of kernels.

#[path = "../../kernel/tests/fleet/mod.rs"]
mod fleet;

use fleet::{name, Fleet};
use hornbeamloom_wire::frame;

/// Limit on the control traffic of a VM in a fleet of the size expected in two years.
const MAX_CONTROL_BYTES_PER_S: usize = 16 << 10;

/// Guards against gossip that uses more than three quarters of the control traffic of a VM.
#[test]
fn gossip_of_a_large_fleet_fits_the_control_traffic() {
    const VMS: usize = 126;
    const ZONES: usize = 2;
    const SECONDS: usize = 10;
    let mut fleet = Fleet::default();
    for ix in 1..=VMS {
        fleet.start_vm(&format!("entry-a{ix}"), &format!("zone-{}", ix % ZONES), 1_700_000_000_000);
    }
    fleet.run(30_000);
    fleet.traced_vm = Some(name("entry-a63"));
    fleet.run(SECONDS as u64 * 1_000);
    let frames = fleet.trace.iter().map(|message| frame::encode("entry-a63", message).unwrap());
    let bytes_per_s = frames.map(|frame| frame.len()).sum::<usize>() / SECONDS;
    println!("{bytes_per_s} bytes/s");
    assert!(bytes_per_s <= MAX_CONTROL_BYTES_PER_S * 3 / 4, "{bytes_per_s} bytes/s");
}
