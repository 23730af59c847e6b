//! Orders to engines: derived from the configuration, fenced, bounded by load slots.

mod fleet;

use std::collections::BTreeMap;

use fleet::{configuration, name, pool, service, target, zone, Fleet, Store};
use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::ids::{Fence, Millis, Name};
use hornbeamloom_kernel::lease::HOLD_MS;
use hornbeamloom_kernel::reconcile::{
    Action, Answer, Order, BACKOFF_MAX_MS, BACKOFF_MIN_MS, ORDER_DEADLINE_MS, TENURE_MS,
};
use hornbeamloom_kernel::resource::Spec;
use hornbeamloom_kernel::target::{Phase, Report};

const SETTLE_MS: u64 = 8_000;
const REPORT_MS: u64 = 500;
const LOAD_MS: u64 = 10_000;

/// A small engine: it obeys orders, takes time to load, and reports.
#[derive(Debug, Clone, Default)]
struct Engine {
    report: Report,
    fencing: bool,
    /// Refuses every order.
    refuses: bool,
    done_at: u64,
    load_ms: u64,
}

impl Engine {
    fn obey(&mut self, order: &Order, now: u64) -> Answer {
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
                self.done_at = now + self.load_ms;
            }
            Action::Unload(model) => self.report.loaded.retain(|loaded| loaded != model),
            Action::Role(role) => self.report.role = Some(role.clone()),
        }
        Answer::Accepted
    }

    fn advance(&mut self, now: u64) {
        if now >= self.done_at {
            let loaded: Vec<Name> = self.report.loading.drain(..).collect();
            self.report.loaded.extend(loaded);
        }
    }
}

/// A fleet with engines that report to every VM.
struct Site {
    fleet: Fleet,
    engines: BTreeMap<&'static str, Engine>,
    /// Orders in the order in which they were obeyed.
    orders: Vec<(u64, Order)>,
    most_loading: usize,
    least_warm_idle: usize,
}

const ENGINES: [&str; 3] = ["engine-1", "engine-2", "engine-3"];

fn specs(models: &str, slots: u32, fencing: bool) -> Vec<(&'static str, Spec)> {
    let more = format!(r#", "fencing": {fencing}, "role": "decode""#);
    let fields = format!(r#""models": [{models}], "loadSlots": {slots}"#);
    let mut specs =
        vec![("default", configuration(&fields)), ("riga-a", zone()), ("menu-model", service())];
    specs.extend(ENGINES.map(|engine| (engine, target("menu-model", "riga-a", &more))));
    specs
}

impl Site {
    fn new(vms: usize, engines: usize, slots: u32, fencing: bool) -> Site {
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
        Site {
            fleet,
            engines: engines.collect(),
            orders: Vec::new(),
            most_loading: 0,
            least_warm_idle: usize::MAX,
        }
    }

    fn declare(&mut self, models: &str, slots: u32, fencing: bool) {
        self.fleet.declare(&specs(models, slots, fencing));
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / REPORT_MS {
            self.fleet.run(REPORT_MS);
            self.obey();
            self.report();
        }
    }

    fn obey(&mut self) {
        for ix in 0..self.fleet.nodes.len() {
            let orders: Vec<_> = self.fleet.nodes[ix].orders.drain(..).collect();
            for (_, order) in orders {
                self.deliver(ix, &order);
            }
        }
    }

    fn deliver(&mut self, ix: usize, order: &Order) {
        let now = self.fleet.now;
        let Some(engine) = self.engines.get_mut(&*order.target) else {
            return;
        };
        let answer = engine.obey(order, now);
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
        self.most_loading = self.most_loading.max(loading);
        self.least_warm_idle = self.least_warm_idle.min(self.engines.len() - loading);
        for (target, engine) in &self.engines {
            let report = Ok(&engine.report);
            for ix in 0..self.fleet.nodes.len() {
                if !self.fleet.nodes[ix].paused {
                    self.fleet.event(ix, Event::Report { target, report });
                }
            }
        }
    }

    fn loaded(&self, engine: &str) -> Vec<&str> {
        self.engines[engine].report.loaded.iter().map(|name| &**name).collect()
    }

    fn all_have(&self, models: &[&str]) -> bool {
        self.engines.keys().all(|engine| self.loaded(engine) == models)
    }
}

/// Guards against a configuration that never reaches the engines, and against orders where nothing
/// differs.
#[test]
fn engines_follow_the_configuration() {
    let mut site = Site::new(2, 3, 3, true);
    site.run(SETTLE_MS);
    assert!(site.orders.is_empty());
    site.declare(r#""menu@2""#, 3, true);
    site.run(10 * LOAD_MS);
    assert!(site.all_have(&["menu@2"]));
    let orders = site.orders.len();
    // A load and an unload for each engine.
    assert_eq!(orders, 6);
    site.run(LOAD_MS);
    assert_eq!(site.orders.len(), orders);
}

/// Guards against a weight store that is asked by more engines than it can serve, and against a
/// service without a warm target while others load.
fn loads_are_bounded(slots: u32, most_loading: usize) {
    let mut site = Site::new(2, 3, slots, true);
    site.run(SETTLE_MS);
    site.declare(r#""menu@2""#, slots, true);
    site.run(20 * LOAD_MS);
    assert!(site.all_have(&["menu@2"]));
    assert_eq!(site.most_loading, most_loading);
    assert!(site.least_warm_idle >= 1);
}

cases! {
    loads_are_bounded;
    one_slot_lets_one_engine_load: (1, 1);
    two_slots_let_two_engines_load: (2, 2);
    three_slots_keep_the_last_warm_target: (3, 2);
}

/// Guards against a slot that is held up by a VM that died while its engine loaded: it goes over to
/// the new holder, which gives it back when the load is done.
#[test]
fn slot_of_a_dead_holder_goes_over_with_the_load() {
    let mut site = Site::new(2, 2, 1, true);
    site.run(SETTLE_MS);
    for engine in site.engines.values_mut() {
        engine.load_ms = 3 * LOAD_MS;
    }
    site.declare(r#""menu@2""#, 1, true);
    site.run(2 * REPORT_MS);
    assert_eq!(site.most_loading, 1);
    let holder = site.fleet.holder(&pool()).unwrap();
    site.fleet.node(&holder).gone = true;
    site.run(8 * LOAD_MS);
    assert!(site.all_have(&["menu@2"]));
    assert_eq!(site.most_loading, 1);
    let is_load = |order: &&(u64, Order)| matches!(order.1.action, Action::Load(_));
    let loads: Vec<u64> = site.orders.iter().filter(is_load).map(|(at, _)| *at).collect();
    // The second load follows the first without the wait of 30 s for a slot that expires.
    assert!(loads[1] - loads[0] <= 3 * LOAD_MS + 5_000, "loads at {loads:?}");
}

/// Guards against a long load whose slot another VM takes for free.
#[test]
fn slot_of_a_long_load_stays_taken() {
    let mut site = Site::new(1, 2, 1, true);
    site.fleet.join("b1", "riga-b", 1);
    let elsewhere = target("menu-model", "riga-b", r#", "fencing": true, "role": "decode""#);
    site.fleet.declare(&specs(r#""menu@1""#, 1, true));
    site.fleet.declare(&[("riga-b", zone()), ("engine-2", elsewhere)]);
    site.run(SETTLE_MS);
    for engine in site.engines.values_mut() {
        engine.load_ms = 10 * LOAD_MS;
    }
    site.fleet.declare(&[("default", configuration(r#""models": ["menu@2"], "loadSlots": 1"#))]);
    site.run(25 * LOAD_MS);
    assert!(site.all_have(&["menu@2"]));
    assert_eq!(site.most_loading, 1);
}

/// Guards against an only target that waits for ever for another one to be warm.
#[test]
fn only_target_of_a_pool_is_changed() {
    let mut site = Site::new(1, 1, 1, true);
    site.run(SETTLE_MS);
    site.declare(r#""menu@2""#, 1, true);
    site.run(3 * LOAD_MS);
    assert!(site.all_have(&["menu@2"]));
}

/// Guards against loads without a slot while the store is down, and against loads that are never
/// made up for.
#[test]
fn loads_wait_for_the_store() {
    let mut site = Site::new(1, 2, 1, true);
    site.run(SETTLE_MS);
    site.fleet.node("a1").store = Store::Down;
    site.declare(r#""menu@2""#, 1, true);
    site.run(3 * LOAD_MS);
    assert!(site.orders.is_empty());
    site.fleet.node("a1").store = Store::Up;
    site.run(6 * LOAD_MS);
    assert!(site.all_have(&["menu@2"]));
}

/// Guards against a slot that is taken twice, or lost, because the answer to the write was lost.
#[test]
fn slot_whose_answer_was_lost_is_found() {
    let mut site = Site::new(1, 2, 1, true);
    site.run(SETTLE_MS);
    site.fleet.node("a1").store = Store::WriteAnswersLost;
    site.declare(r#""menu@2""#, 1, true);
    site.run(LOAD_MS);
    site.fleet.node("a1").store = Store::Up;
    site.run(12 * LOAD_MS);
    assert!(site.all_have(&["menu@2"]));
    assert_eq!(site.most_loading, 1);
}

/// Guards against a stream of orders to an engine that refuses them.
#[test]
fn refused_orders_are_retried_with_backoff() {
    let mut site = Site::new(1, 1, 1, true);
    site.run(SETTLE_MS);
    site.engines.get_mut("engine-1").unwrap().refuses = true;
    site.declare(r#""menu@2""#, 1, true);
    // Waits of 1, 2, 4 ... 32 s and then 60 s.
    site.run(2 * BACKOFF_MAX_MS + 70 * BACKOFF_MIN_MS);
    let refused = site.fleet.node("a1").count("order_refused");
    assert!((6..=10).contains(&refused), "{refused} refused orders");
    site.engines.get_mut("engine-1").unwrap().refuses = false;
    site.run(2 * BACKOFF_MAX_MS);
    assert!(site.all_have(&["menu@2"]));
}

/// Guards against orders of a holder whose lease lapsed in a pause. A change of role needs no slot
/// and is ordered at once by a VM that takes itself for the holder.
#[test]
fn paused_holder_orders_nothing() {
    let mut site = Site::new(2, 2, 2, true);
    site.run(SETTLE_MS);
    let holder = site.fleet.holder(&pool()).unwrap();
    site.fleet.node(&holder).paused = true;
    let more = r#", "fencing": true, "role": "prefill""#;
    let specs = ENGINES.map(|engine| (engine, target("menu-model", "riga-a", more)));
    site.fleet.run(HOLD_MS + REPORT_MS);
    site.fleet.node(&holder).paused = false;
    let delta = fleet::delta(1, 90, &specs);
    site.fleet.event_at(&holder, Event::Changes(&delta));
    site.report();
    assert!(site.fleet.node(&holder).orders.is_empty());
}

/// Guards against two holders' orders at one engine that does not check the token: the last order
/// of the old holder is obeyed within its deadline, and the new one waits for longer than that.
#[test]
fn new_holder_waits_before_it_orders_an_engine_without_fencing() {
    let mut site = Site::new(2, 2, 2, false);
    site.run(SETTLE_MS);
    let holder = site.fleet.holder(&pool()).unwrap();
    site.fleet.node(&holder).gone = true;
    site.declare(r#""menu@2""#, 2, false);
    let mut taken_at = None;
    while site.orders.is_empty() {
        site.run(REPORT_MS);
        if taken_at.is_none() && site.fleet.holder(&pool()).is_some() {
            taken_at = Some(site.fleet.now);
        }
        assert!(site.fleet.now < 120_000);
    }
    let waited = site.orders[0].0 - taken_at.unwrap();
    assert!(waited + REPORT_MS >= TENURE_MS, "waited {waited} ms");
    const { assert!(TENURE_MS > ORDER_DEADLINE_MS) };
}

/// Guards against a delayed old order that an engine without fencing obeys and that nobody notices:
/// the state is read back and repaired.
#[test]
fn delayed_old_order_is_repaired() {
    let mut site = Site::new(2, 2, 2, false);
    site.run(SETTLE_MS + TENURE_MS);
    let old = Order {
        target: name("engine-1"),
        address: "127.0.0.1:1".to_owned(),
        action: Action::Unload(name("menu@1")),
        fence: Fence(0),
        deadline_ms: ORDER_DEADLINE_MS,
    };
    let now = site.fleet.now;
    site.engines.get_mut("engine-1").unwrap().obey(&old, now);
    assert!(site.loaded("engine-1").is_empty());
    site.run(3 * LOAD_MS);
    assert_eq!(site.loaded("engine-1"), ["menu@1"]);
}

/// Guards against a holder that goes on ordering an engine that obeys a later one.
#[test]
fn fenced_holder_stops_ordering() {
    let mut site = Site::new(1, 2, 2, true);
    site.run(SETTLE_MS);
    let engine = site.engines.get_mut("engine-1").unwrap();
    // The report lags: the engine has obeyed a later holder, and this is not reported yet.
    engine.report.fence = 99;
    let mut lagging = engine.report.clone();
    lagging.fence = 1;
    site.declare(r#""menu@2""#, 2, true);
    for _ in 0..20 {
        site.fleet.run(REPORT_MS);
        site.obey();
        let report = Ok(&lagging);
        let target = "engine-1";
        site.fleet.event(0, Event::Report { target, report });
    }
    assert_eq!(site.fleet.node("a1").count("order_fenced"), 1);
    assert!(site.orders.is_empty());
}

/// Guards against a restarted engine that stays without its model because the order was sent to the
/// earlier process.
#[test]
fn restarted_engine_is_ordered_again() {
    let mut site = Site::new(1, 2, 2, true);
    site.run(SETTLE_MS);
    let engine = site.engines.get_mut("engine-1").unwrap();
    engine.report.start_id = 2;
    engine.report.loaded.clear();
    engine.report.role = None;
    site.run(3 * LOAD_MS);
    assert!(site.all_have(&["menu@1"]));
    assert_eq!(site.engines["engine-1"].report.role, Some(name("decode")));
}

/// Guards against orders that leave without the token of the lease.
#[test]
fn orders_carry_the_fence_and_the_deadline() {
    let mut site = Site::new(1, 2, 2, true);
    site.run(SETTLE_MS);
    let fence = site.fleet.holders(&pool())[0].1;
    site.declare(r#""menu@2""#, 2, true);
    site.run(LOAD_MS);
    assert!(!site.orders.is_empty());
    for (_, order) in &site.orders {
        assert_eq!((order.fence, order.deadline_ms), (fence, ORDER_DEADLINE_MS));
    }
    assert_ne!(fence, Fence(0));
    assert!(site.fleet.clock("a1") > Millis(0));
}
