//! Orders to engines follow the configuration, are fenced, and are bounded by load slots.

mod fleet;

use std::collections::BTreeMap;

use fleet::{configuration, name, pool, service, target, zone, Fleet, StoreMode};
use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::ids::{Fence, Millis, Name};
use hornbeamloom_kernel::lease::LEASE_VALID_MS;
use hornbeamloom_kernel::reconcile::{
    Action, Answer, Order, MAX_BACKOFF_MS, MIN_BACKOFF_MS, ORDER_DEADLINE_MS, ORDER_SETTLE_MS,
};
use hornbeamloom_kernel::resource::Spec;
use hornbeamloom_kernel::target::{Phase, Report};

const SETTLE_MS: u64 = 8_000;
const REPORT_MS: u64 = 500;
const LOAD_MS: u64 = 10_000;

/// A simulated engine that executes orders, takes time to load, and reports.
#[derive(Debug, Clone, Default)]
struct Engine {
    report: Report,
    fencing: bool,
    /// It refuses every order.
    refuses: bool,
    loaded_at: u64,
    load_ms: u64,
}

impl Engine {
    fn execute(&mut self, order: &Order, now: u64) -> Answer {
        if self.fencing && order.fence.0 < self.report.fence {
            return Answer::Fenced;
        }
        if self.refuses {
            return Answer::Refused;
        }
        self.report.fence = self.report.fence.max(order.fence.0);
        match &order.action {
            Action::Load(model) => {
                self.report.loading = vec![model.clone()];
                self.loaded_at = now + self.load_ms;
            }
            Action::Unload(model) => self.report.loaded.retain(|loaded| loaded != model),
            Action::Role(role) => self.report.role = Some(role.clone()),
        }
        Answer::Accepted
    }

    fn advance(&mut self, now: u64) {
        if now >= self.loaded_at {
            let loaded: Vec<Name> = self.report.loading.drain(..).collect();
            self.report.loaded.extend(loaded);
        }
    }
}

/// VMs of one zone with engines that report to each of them.
struct EngineFleet {
    fleet: Fleet,
    engines: BTreeMap<&'static str, Engine>,
    /// Accepted orders with their times, in sequence.
    orders: Vec<(u64, Order)>,
    max_loading: usize,
    min_idle: usize,
}

const ENGINES: [&str; 3] = ["engine-1", "engine-2", "engine-3"];

fn specs(models: &str, slots: u32, fencing: bool) -> Vec<(&'static str, Spec)> {
    let extra_fields = format!(r#", "fencing": {fencing}, "role": "decode""#);
    let fields = format!(r#""models": [{models}], "loadSlots": {slots}"#);
    let mut specs =
        vec![("default", configuration(&fields)), ("riga-a", zone()), ("menu-model", service())];
    specs.extend(ENGINES.map(|engine| (engine, target("menu-model", "riga-a", &extra_fields))));
    specs
}

impl EngineFleet {
    fn new(vms: usize, engines: usize, slots: u32, fencing: bool) -> EngineFleet {
        let mut fleet = Fleet::of_zone(vms);
        fleet.declare(&specs(r#""menu@1""#, slots, fencing));
        let engine = Engine {
            fencing,
            load_ms: LOAD_MS,
            report: Report {
                phase: Phase::Warm,
                role: Some(name("decode")),
                loaded: vec![name("menu@1")],
                ..Report::default()
            },
            ..Engine::default()
        };
        let engines = ENGINES[..engines].iter().map(|name| (*name, engine.clone()));
        EngineFleet {
            fleet,
            engines: engines.collect(),
            orders: Vec::new(),
            max_loading: 0,
            min_idle: usize::MAX,
        }
    }

    fn declare(&mut self, models: &str, slots: u32, fencing: bool) {
        self.fleet.declare(&specs(models, slots, fencing));
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / REPORT_MS {
            self.fleet.run(REPORT_MS);
            self.deliver_orders();
            self.report();
        }
    }

    fn deliver_orders(&mut self) {
        for ix in 0..self.fleet.nodes.len() {
            let orders: Vec<_> = self.fleet.nodes[ix].orders.drain(..).collect();
            for (_, order) in orders {
                self.deliver_order(ix, &order);
            }
        }
    }

    fn deliver_order(&mut self, ix: usize, order: &Order) {
        let now = self.fleet.now;
        let Some(engine) = self.engines.get_mut(&*order.target) else {
            return;
        };
        let answer = engine.execute(order, now);
        if answer == Answer::Accepted {
            self.orders.push((now, order.clone()));
        }
        let target = &order.target;
        self.fleet.event(ix, Event::OrderAnswered { target, order, answer });
    }

    fn report(&mut self) {
        let now = self.fleet.now;
        for engine in self.engines.values_mut() {
            engine.advance(now);
        }
        let is_loading = |engine: &&Engine| !engine.report.loading.is_empty();
        let loading = self.engines.values().filter(is_loading).count();
        self.max_loading = self.max_loading.max(loading);
        self.min_idle = self.min_idle.min(self.engines.len() - loading);
        for (target, engine) in &self.engines {
            let report = Ok(&engine.report);
            for ix in 0..self.fleet.nodes.len() {
                if !self.fleet.nodes[ix].is_paused {
                    self.fleet.event(ix, Event::Report { target, report });
                }
            }
        }
    }

    fn loaded(&self, engine: &str) -> Vec<&str> {
        self.engines[engine].report.loaded.iter().map(|name| &**name).collect()
    }

    fn all_loaded(&self, models: &[&str]) -> bool {
        self.engines.keys().all(|engine| self.loaded(engine) == models)
    }
}

/// Guards against a configuration that never reaches the engines, and against orders without a
/// difference.
#[test]
fn engines_follow_the_configuration() {
    let mut engine_fleet = EngineFleet::new(2, 3, 3, true);
    engine_fleet.run(SETTLE_MS);
    assert!(engine_fleet.orders.is_empty());
    engine_fleet.declare(r#""menu@2""#, 3, true);
    engine_fleet.run(10 * LOAD_MS);
    assert!(engine_fleet.all_loaded(&["menu@2"]));
    let orders = engine_fleet.orders.len();
    // A load and an unload for each engine.
    assert_eq!(orders, 6);
    engine_fleet.run(LOAD_MS);
    assert_eq!(engine_fleet.orders.len(), orders);
}

/// Guards against more simultaneous loads than the weight store can serve, and against a service
/// without a warm target during loads.
fn loads_are_bounded(slots: u32, max_loading: usize) {
    let mut engine_fleet = EngineFleet::new(2, 3, slots, true);
    engine_fleet.run(SETTLE_MS);
    engine_fleet.declare(r#""menu@2""#, slots, true);
    engine_fleet.run(20 * LOAD_MS);
    assert!(engine_fleet.all_loaded(&["menu@2"]));
    assert_eq!(engine_fleet.max_loading, max_loading);
    assert!(engine_fleet.min_idle >= 1);
}

cases! {
    loads_are_bounded;
    one_slot_lets_one_engine_load: (1, 1);
    two_slots_let_two_engines_load: (2, 2);
    three_slots_keep_the_last_warm_target: (3, 2);
}

/// Guards against a slot that stays taken when its VM dies during a load: the new holder must take
/// it over and release it after the load.
#[test]
fn slot_of_a_dead_holder_goes_over_with_the_load() {
    let mut engine_fleet = EngineFleet::new(2, 2, 1, true);
    engine_fleet.run(SETTLE_MS);
    for engine in engine_fleet.engines.values_mut() {
        engine.load_ms = 3 * LOAD_MS;
    }
    engine_fleet.declare(r#""menu@2""#, 1, true);
    engine_fleet.run(2 * REPORT_MS);
    assert_eq!(engine_fleet.max_loading, 1);
    let holder = engine_fleet.fleet.holder(&pool()).unwrap();
    engine_fleet.fleet.node(&holder).is_stopped = true;
    engine_fleet.run(8 * LOAD_MS);
    assert!(engine_fleet.all_loaded(&["menu@2"]));
    assert_eq!(engine_fleet.max_loading, 1);
    let is_load = |order: &&(u64, Order)| matches!(order.1.action, Action::Load(_));
    let loads: Vec<u64> = engine_fleet.orders.iter().filter(is_load).map(|(at, _)| *at).collect();
    // The second load does not wait the 30 s in which a slot expires.
    assert!(loads[1] - loads[0] <= 3 * LOAD_MS + 5_000, "loads at {loads:?}");
}

/// Guards against another VM taking the slot of a long load.
#[test]
fn slot_of_a_long_load_stays_taken() {
    let mut engine_fleet = EngineFleet::new(1, 2, 1, true);
    engine_fleet.fleet.start_vm("b1", "riga-b", 1);
    let elsewhere = target("menu-model", "riga-b", r#", "fencing": true, "role": "decode""#);
    engine_fleet.fleet.declare(&specs(r#""menu@1""#, 1, true));
    engine_fleet.fleet.declare(&[("riga-b", zone()), ("engine-2", elsewhere)]);
    engine_fleet.run(SETTLE_MS);
    for engine in engine_fleet.engines.values_mut() {
        engine.load_ms = 10 * LOAD_MS;
    }
    engine_fleet
        .fleet
        .declare(&[("default", configuration(r#""models": ["menu@2"], "loadSlots": 1"#))]);
    engine_fleet.run(25 * LOAD_MS);
    assert!(engine_fleet.all_loaded(&["menu@2"]));
    assert_eq!(engine_fleet.max_loading, 1);
}

/// Guards against the only target of a pool waiting for ever for another warm one.
#[test]
fn only_target_of_a_pool_is_changed() {
    let mut engine_fleet = EngineFleet::new(1, 1, 1, true);
    engine_fleet.run(SETTLE_MS);
    engine_fleet.declare(r#""menu@2""#, 1, true);
    engine_fleet.run(3 * LOAD_MS);
    assert!(engine_fleet.all_loaded(&["menu@2"]));
}

/// Guards against loads without a slot while the store is down, and against loads that do not
/// follow once it is up.
#[test]
fn loads_wait_for_the_store() {
    let mut engine_fleet = EngineFleet::new(1, 2, 1, true);
    engine_fleet.run(SETTLE_MS);
    engine_fleet.fleet.node("a1").store_mode = StoreMode::Down;
    engine_fleet.declare(r#""menu@2""#, 1, true);
    engine_fleet.run(3 * LOAD_MS);
    assert!(engine_fleet.orders.is_empty());
    engine_fleet.fleet.node("a1").store_mode = StoreMode::Up;
    engine_fleet.run(6 * LOAD_MS);
    assert!(engine_fleet.all_loaded(&["menu@2"]));
}

/// Guards against a slot that is taken twice or leaked because the answer to its write was lost.
#[test]
fn slot_whose_answer_was_lost_is_found() {
    let mut engine_fleet = EngineFleet::new(1, 2, 1, true);
    engine_fleet.run(SETTLE_MS);
    engine_fleet.fleet.node("a1").store_mode = StoreMode::WriteAnswersLost;
    engine_fleet.declare(r#""menu@2""#, 1, true);
    engine_fleet.run(LOAD_MS);
    engine_fleet.fleet.node("a1").store_mode = StoreMode::Up;
    engine_fleet.run(12 * LOAD_MS);
    assert!(engine_fleet.all_loaded(&["menu@2"]));
    assert_eq!(engine_fleet.max_loading, 1);
}

/// Guards against a stream of orders to an engine that refuses them.
#[test]
fn refused_orders_are_retried_with_backoff() {
    let mut engine_fleet = EngineFleet::new(1, 1, 1, true);
    engine_fleet.run(SETTLE_MS);
    engine_fleet.engines.get_mut("engine-1").unwrap().refuses = true;
    engine_fleet.declare(r#""menu@2""#, 1, true);
    // Delays of 1, 2, 4 ... 32 s and then 60 s.
    engine_fleet.run(2 * MAX_BACKOFF_MS + 70 * MIN_BACKOFF_MS);
    let refused = engine_fleet.fleet.node("a1").count("order_refused");
    assert!((6..=10).contains(&refused), "{refused} refused orders");
    engine_fleet.engines.get_mut("engine-1").unwrap().refuses = false;
    engine_fleet.run(2 * MAX_BACKOFF_MS);
    assert!(engine_fleet.all_loaded(&["menu@2"]));
}

/// Guards against orders of a holder whose lease lapsed during a pause. A change of role needs no
/// slot, so a VM that still took itself for the holder would order it at once.
#[test]
fn paused_holder_orders_nothing() {
    let mut engine_fleet = EngineFleet::new(2, 2, 2, true);
    engine_fleet.run(SETTLE_MS);
    let holder = engine_fleet.fleet.holder(&pool()).unwrap();
    engine_fleet.fleet.node(&holder).is_paused = true;
    let extra_fields = r#", "fencing": true, "role": "prefill""#;
    let specs = ENGINES.map(|engine| (engine, target("menu-model", "riga-a", extra_fields)));
    engine_fleet.fleet.run(LEASE_VALID_MS + REPORT_MS);
    engine_fleet.fleet.node(&holder).is_paused = false;
    let delta = fleet::delta(1, 90, &specs);
    engine_fleet.fleet.event_at(&holder, Event::Changes(&delta));
    engine_fleet.report();
    assert!(engine_fleet.fleet.node(&holder).orders.is_empty());
}

/// Guards against orders of two holders at an engine that does not check the token: the last order
/// of the old holder takes effect within its deadline, and the new holder waits for longer.
#[test]
fn new_holder_waits_before_it_orders_an_engine_without_fencing() {
    let mut engine_fleet = EngineFleet::new(2, 2, 2, false);
    engine_fleet.run(SETTLE_MS);
    let holder = engine_fleet.fleet.holder(&pool()).unwrap();
    engine_fleet.fleet.node(&holder).is_stopped = true;
    engine_fleet.declare(r#""menu@2""#, 2, false);
    let mut taken_at = None;
    while engine_fleet.orders.is_empty() {
        engine_fleet.run(REPORT_MS);
        if taken_at.is_none() && engine_fleet.fleet.holder(&pool()).is_some() {
            taken_at = Some(engine_fleet.fleet.now);
        }
        assert!(engine_fleet.fleet.now < 120_000);
    }
    let waited = engine_fleet.orders[0].0 - taken_at.unwrap();
    assert!(waited + REPORT_MS >= ORDER_SETTLE_MS, "waited {waited} ms");
    const { assert!(ORDER_SETTLE_MS > ORDER_DEADLINE_MS) };
}

/// Guards against the unnoticed effect of a delayed old order on an engine without fencing: reports
/// must show it, and the configured state is ordered again.
#[test]
fn delayed_old_order_is_repaired() {
    let mut engine_fleet = EngineFleet::new(2, 2, 2, false);
    engine_fleet.run(SETTLE_MS + ORDER_SETTLE_MS);
    let old = Order {
        target: name("engine-1"),
        address: "127.0.0.1:1".to_owned(),
        action: Action::Unload(name("menu@1")),
        fence: Fence(0),
        deadline_ms: ORDER_DEADLINE_MS,
    };
    let now = engine_fleet.fleet.now;
    engine_fleet.engines.get_mut("engine-1").unwrap().execute(&old, now);
    assert!(engine_fleet.loaded("engine-1").is_empty());
    engine_fleet.run(3 * LOAD_MS);
    assert_eq!(engine_fleet.loaded("engine-1"), ["menu@1"]);
}

/// Guards against a holder that continues to send orders to an engine that obeys a later holder.
#[test]
fn fenced_holder_stops_ordering() {
    let mut engine_fleet = EngineFleet::new(1, 2, 2, true);
    engine_fleet.run(SETTLE_MS);
    let engine = engine_fleet.engines.get_mut("engine-1").unwrap();
    // The engine has obeyed a later holder, and the reports that the kernel gets do not show it
    // yet.
    engine.report.fence = 99;
    let mut lagging = engine.report.clone();
    lagging.fence = 1;
    engine_fleet.declare(r#""menu@2""#, 2, true);
    for _ in 0..20 {
        engine_fleet.fleet.run(REPORT_MS);
        engine_fleet.deliver_orders();
        let report = Ok(&lagging);
        let target = "engine-1";
        engine_fleet.fleet.event(0, Event::Report { target, report });
    }
    assert_eq!(engine_fleet.fleet.node("a1").count("order_fenced"), 1);
    assert!(engine_fleet.orders.is_empty());
}

/// Guards against a restarted engine that stays without its model because the order went to the
/// earlier process.
#[test]
fn restarted_engine_is_ordered_again() {
    let mut engine_fleet = EngineFleet::new(1, 2, 2, true);
    engine_fleet.run(SETTLE_MS);
    let engine = engine_fleet.engines.get_mut("engine-1").unwrap();
    engine.report.start_id = 2;
    engine.report.loaded.clear();
    engine.report.role = None;
    engine_fleet.run(3 * LOAD_MS);
    assert!(engine_fleet.all_loaded(&["menu@1"]));
    assert_eq!(engine_fleet.engines["engine-1"].report.role, Some(name("decode")));
}

/// Guards against orders without the fencing token of the lease.
#[test]
fn orders_carry_the_fence_and_the_deadline() {
    let mut engine_fleet = EngineFleet::new(1, 2, 2, true);
    engine_fleet.run(SETTLE_MS);
    let fence = engine_fleet.fleet.holders(&pool())[0].1;
    engine_fleet.declare(r#""menu@2""#, 2, true);
    engine_fleet.run(LOAD_MS);
    assert!(!engine_fleet.orders.is_empty());
    for (_, order) in &engine_fleet.orders {
        assert_eq!((order.fence, order.deadline_ms), (fence, ORDER_DEADLINE_MS));
    }
    assert_ne!(fence, Fence(0));
    assert!(engine_fleet.fleet.clock("a1") > Millis(0));
}
