//! Guards against counters that deviate from the requests in flight over random schedules.

use std::collections::BTreeSet;

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::request::{Class, End};
use hornbeamloom_kernel::resource::{Configuration, ZoneState};
use hornbeamloom_kernel::target::Phase;

use crate::harness::{target, Harness, ENTRY, OWNER};

const STEPS: usize = 1_500;
const ENGINES: [&str; 3] = ["engine-1", "engine-2", "engine-3"];

/// A linear congruential generator, so that the schedule depends on the seed alone.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// All counters of the pool and its targets must agree with the requests in flight.
fn check(harness: &Harness) {
    let pool = harness.pool();
    let in_flight: usize = pool.targets.iter().map(|slot| slot.in_flight.len()).sum();
    assert_eq!(in_flight, pool.in_flight.len());
    for (ix, slot) in pool.targets.iter().enumerate() {
        let here = || pool.in_flight.values().filter(|running| running.target_ix == ix);
        let kv: u64 = here().map(|running| running.projected_kv).sum();
        let short = here().filter(|running| running.ask.class == Class::Short);
        let short: u64 = short.map(|running| running.projected_kv).sum();
        assert!(slot.in_flight_count() <= slot.spec.warm_limit, "{}", slot.name);
        assert_eq!((slot.projected_kv, slot.projected_kv_short), (kv, short), "{}", slot.name);
        assert!(here().all(|running| slot.in_flight.contains(&running.ask.id)));
    }
    let waiting: usize = pool.queue.organisations.iter().map(|one| one.len()).sum();
    assert_eq!(waiting, pool.queue.len());
    assert!(pool.queue.iter().all(|one| pool.in_flight.get(&one.ask.id).is_none()));
}

fn step(harness: &mut Harness, random: &mut Random) {
    let engine = ENGINES[random.below(3) as usize];
    match random.below(20) {
        0..=6 => {
            let mut ask = harness.new_ask(["a", "b", "c"][random.below(3) as usize]);
            ask.max_tokens = Some(20 + random.below(600) as u32);
            ask.prompt_tokens = 1 + random.below(300) as u32;
            harness.send(&ask);
        }
        7..=11 => {
            let running = harness.running();
            if !running.is_empty() {
                let (id, _) = &running[random.below(running.len() as u64) as usize];
                let ends = [End::Complete, End::Complete, End::Broken, End::Rejected, End::Unsent];
                let end = ends[random.below(5) as usize];
                harness.end_attempt(
                    id,
                    end,
                    random.below(400) as u32,
                    Some(random.below(2_000) as u32),
                );
            }
        }
        12 => harness.engines.get_mut(engine).unwrap().start_id += 1,
        13 => {
            let phases = [Phase::Cold, Phase::Warm, Phase::Warm, Phase::Leaving];
            harness.engines.get_mut(engine).unwrap().phase = phases[random.below(4) as usize];
        }
        14 => harness.entry_up = random.below(3) > 0,
        15 => harness.store_up = random.below(3) > 0,
        16 => {
            let out = random.below(4) == 0;
            harness.set_zone(if out { ZoneState::OutOfService } else { ZoneState::InService });
        }
        17 => {
            let running: Vec<_> = harness.running().into_iter().map(|(id, _)| id).collect();
            for id in running {
                harness.tokens.insert(id, random.below(500) as u32);
            }
        }
        18 => {
            let listed: &[&str] = if random.below(2) == 0 { &[OWNER] } else { &[OWNER, ENTRY] };
            harness.list_vms(listed);
        }
        _ => harness.advance(random.below(4_000)),
    }
    harness.advance(random.below(300));
}

fn state_is_consistent(seed: u64) {
    let targets = ENGINES.map(|name| (name, target(1, 6, 4_000)));
    let mut harness = Harness::holder(&targets, Phase::Warm, Configuration::default());
    let mut random = Random(seed);
    let mut ran = BTreeSet::new();
    for _ in 0..STEPS {
        step(&mut harness, &mut random);
        check(&harness);
        ran.extend(harness.running().into_iter().map(|(id, _)| id));
    }
    assert!(ran.len() > STEPS / 20, "only {} requests ran", ran.len());
    harness.store_up = true;
    harness.entry_up = true;
    harness.stop_asking();
    for _ in 0..400 {
        harness.finish_all();
        harness.advance(100);
    }
    check(&harness);
    assert_eq!(harness.running(), []);
    let kv: u64 = harness.pool().targets.iter().map(|slot| slot.projected_kv).sum();
    assert_eq!((harness.pool().queue.len(), kv), (0, 0));
}

cases! {
    state_is_consistent;
    state_is_consistent_over_random_schedule_1: (1);
    state_is_consistent_over_random_schedule_2: (2);
    state_is_consistent_over_random_schedule_3: (3);
}

/// The same events must give the same decisions; otherwise a replay could not explain a failure.
#[test]
fn same_schedule_gives_the_same_grants() {
    let run = || {
        let targets = ENGINES.map(|name| (name, target(1, 6, 4_000)));
        let mut harness = Harness::holder(&targets, Phase::Warm, Configuration::default());
        let mut random = Random(7);
        let mut grants = Vec::new();
        for _ in 0..400 {
            step(&mut harness, &mut random);
            grants.push(harness.running());
        }
        grants
    };
    assert_eq!(run(), run());
}
