//! Random schedules: the actions of callers, operators, targets and the network, step by step.

use quickcheck::{Arbitrary, Gen};

/// How the store behaves towards one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    /// Calls have no effect and are answered as unavailable.
    Down,
    /// Writes are applied, but answered as unknown.
    AnswersLost,
    /// Calls are applied, but not answered.
    Silent,
}

/// A step of a schedule. Small numbers select a VM, a target, a key or a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Time passes, in milliseconds.
    Wait(u16),
    /// A repeatable request with a given body arrives at a VM.
    Arrive(u8, u8),
    /// A request with an idempotency key arrives, possibly as a repetition.
    ArriveOnce(u8, u8),
    /// The caller of one of the most recent requests disconnects.
    Cancel(u8),
    Pause(u8),
    Resume(u8),
    /// A new process with an empty kernel replaces the VM's process.
    Restart(u8),
    /// Operators take a zone out of service or put it back.
    Zone(u8, bool),
    /// Operators mark a target as leaving or revert this.
    Leaving(u8, bool),
    /// Writes a new revision that changes an organisation's weight.
    Weight(u8),
    /// Cuts or restores the link from one VM to another.
    Cut(u8, u8, bool),
    /// Cuts all links between the zones.
    PartitionZones,
    /// Restores all links.
    Heal,
    SetStoreMode(u8, StoreMode),
    /// Makes the store available to all VMs again.
    StoreUp,
    /// Sets the percentage of messages that are delivered twice, and the maximum additional delay
    /// in milliseconds.
    Network(u8, u8),
    /// A target's process crashes and is restarted, cold, one second later.
    Crash(u8),
    /// A target turns cold, which shows only in its reports.
    TurnCold(u8),
    /// A target turns warm.
    TurnWarm(u8),
    /// A target stops responding and reporting, or resumes.
    Stall(u8, bool),
    /// Sets the additional lag of a target's reports, in units of 10 ms.
    Lag(u8, u8),
    /// The connections of all runs on a target break.
    BreakConnections(u8),
    /// A target starts or stops rejecting requests without running them.
    Full(u8, bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let ix = u8::arbitrary(g) % 4;
        let small = u8::arbitrary(g);
        let is_on = bool::arbitrary(g);
        match u8::arbitrary(g) % 100 {
            0..=19 => Step::Wait(u16::arbitrary(g) % 400),
            20..=49 => Step::Arrive(ix, small),
            50..=61 => Step::ArriveOnce(ix, small % 32),
            62..=63 => Step::Cancel(small % 8),
            64..=65 => Step::Pause(ix),
            66..=69 => Step::Resume(ix),
            70 => Step::Restart(ix),
            71..=72 => Step::Zone(ix % 2, small < 96),
            73..=74 => Step::Leaving(ix, small < 96),
            75 => Step::Weight(small),
            76 => Step::Cut(ix, small % 4, is_on),
            77 if is_on => Step::PartitionZones,
            77..=79 => Step::Heal,
            80..=81 => Step::SetStoreMode(ix, StoreMode::arbitrary(g)),
            82..=83 => Step::StoreUp,
            84 => Step::Network(small % 30, u8::arbitrary(g)),
            85 => Step::Crash(ix),
            86 => Step::TurnCold(ix),
            87..=91 => Step::TurnWarm(ix),
            92 => Step::Stall(ix, small < 64),
            93 => Step::Stall(ix, false),
            94 => Step::Lag(ix, small % 100),
            95..=96 => Step::BreakConnections(ix),
            97 => Step::Full(ix, small < 96),
            _ => Step::Wait(u16::arbitrary(g) % 3_000),
        }
    }
}

impl Arbitrary for StoreMode {
    fn arbitrary(g: &mut Gen) -> StoreMode {
        let all = [StoreMode::Up, StoreMode::Down, StoreMode::AnswersLost, StoreMode::Silent];
        *g.choose(&all).unwrap_or(&StoreMode::Up)
    }
}

/// Generates a schedule with the given number of steps.
pub fn generate(seed: u64, steps: usize) -> Vec<Step> {
    let mut g = Gen::from_size_and_seed(steps, seed);
    (0..steps).map(|_| Step::arbitrary(&mut g)).collect()
}

/// Shrinks a failing schedule by removing ever smaller parts as long as it still fails.
pub fn shrink(steps: &[Step], fails: impl Fn(&[Step]) -> bool) -> Vec<Step> {
    /// Maximum number of runs spent on shrinking one failure.
    const MAX_RUNS: usize = 200;
    let mut best = steps.to_vec();
    let mut part = best.len() / 2;
    let mut runs = 0;
    while part > 0 && runs < MAX_RUNS {
        let mut from = 0;
        while from < best.len() && runs < MAX_RUNS {
            let to = (from + part).min(best.len());
            let shorter = [&best[..from], &best[to..]].concat();
            runs += 1;
            match fails(&shorter) {
                true => best = shorter,
                false => from = to,
            }
        }
        part /= 2;
    }
    best
}
