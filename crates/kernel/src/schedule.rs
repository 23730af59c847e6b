//! Chooses the next request and its target with the policies that the service's configuration names.

use std::cmp::Reverse;

use crate::headroom;
use crate::ids::Millis;
use crate::kernel::{Outbox, State};
use crate::ledger::Running;
use crate::outcome::Refusal;
use crate::peer::{Ask, Grant, Message};
use crate::plugin::policy;
use crate::pool::{Key, Pool, Reservation};
use crate::quarantine::Registry;
use crate::request::{Class, Id};
use crate::resource;
use crate::takeover;

/// Requests tried from the front of each queue: one that must avoid a target holds up no other.
const LOOKAHEAD: usize = 4;
/// Grants that may pass the first request in order while it waits for memory.
const PASSES_MAX: u32 = 8;

/// The policies in use in one pool.
#[derive(Debug, Default)]
pub(crate) struct Stages {
    admit: Vec<policy::Admit>,
    order: Option<policy::Order>,
    filter: Vec<policy::Filter>,
    score: Vec<(&'static str, policy::Score)>,
}

impl Stages {
    /// Picks the registered policies that a configuration names or does not switch off.
    pub(crate) fn new(registered: &[policy::Plugin], wanted: &resource::Policy) -> Stages {
        let mut stages = Stages::default();
        let is_on = |name: &str| !wanted.off.iter().any(|off| **off == *name);
        for plugin in registered {
            match plugin.stage {
                policy::Stage::Admit(admit) if is_on(plugin.name) => stages.admit.push(admit),
                policy::Stage::Filter(filter) if is_on(plugin.name) => stages.filter.push(filter),
                policy::Stage::Order(order) if *wanted.order == *plugin.name => {
                    stages.order = Some(order);
                }
                policy::Stage::Score(score)
                    if wanted.score.iter().any(|name| **name == *plugin.name) =>
                {
                    stages.score.push((plugin.name, score));
                }
                _ => {}
            }
        }
        stages
    }
}

/// A request and the target chosen for it.
struct Choice {
    id: Id,
    target: usize,
    /// The first request in order, if the choice passes it.
    passed: Option<Id>,
}

/// Decides whether a request may join the queue.
pub(crate) fn admit(
    pool: &Pool,
    quarantine: &Registry,
    ask: &Ask,
    now: Millis,
) -> Result<(), Refusal> {
    let view = policy::View { pool, quarantine, now };
    pool.stages.admit.iter().try_for_each(|admit| admit(&view, ask))
}

/// Grants starts in a pool until no waiting request can be placed.
pub(crate) fn run(state: &mut State, key: &Key, now: Millis, out: &mut Outbox) {
    // The lease is checked again on each event: the process may have been paused.
    takeover::check(state, key, now, out);
    if state.entry.catching_up_until(now).is_some() {
        return;
    }
    let State { pools, quarantine, decisions, .. } = state;
    let Some(pool) = pools.get_mut(key) else {
        return;
    };
    pool.check_reservation();
    while let Some(choice) = choose(pool, quarantine, now) {
        if let Some(passed) = &choice.passed {
            pass(pool, quarantine, passed, now);
        }
        let reason = explain(pool, quarantine, &choice, now);
        let Some(grant) = start(pool, &choice, now) else {
            break;
        };
        decisions.record(now, &grant.id, reason);
        out.send(&grant.id.vm.clone(), Message::Grant(grant));
    }
    if pool.queue.is_empty() {
        pool.rate.reset();
    }
}

/// Heads of the queues in the order of service: organisation, class and position.
fn candidates(view: &policy::View<'_>) -> Vec<(usize, Class)> {
    let organisations = &view.pool.queue.organisations;
    let mut heads: Vec<(usize, Class)> = (0..organisations.len())
        .flat_map(|ix| [(ix, Class::Short), (ix, Class::Long)])
        .filter(|&(ix, class)| !organisations[ix].waiting(class).is_empty())
        .collect();
    heads.sort_by_cached_key(|&(ix, class)| {
        let head = organisations[ix].waiting(class).front();
        let rank = head.map_or(u64::MAX, |head| match view.pool.stages.order {
            Some(order) => order(view, ix, &head.ask),
            None => head.arrived.0,
        });
        let arrived = head.map(|head| head.arrived);
        // A generation whose target leaves has less time than a request that has not started.
        let is_new = head.is_none_or(|head| head.ask.made == 0);
        (is_new, rank, class, arrived, &organisations[ix].name)
    });
    heads
}

fn choose(pool: &Pool, quarantine: &Registry, now: Millis) -> Option<Choice> {
    let view = policy::View { pool, quarantine, now };
    if pool.queue.is_empty() {
        return None;
    }
    let open = [open_to(&view, Class::Short), open_to(&view, Class::Long)];
    let mut first = None;
    for (ix, class) in candidates(&view) {
        let targets = &open[class as usize];
        let waiting = pool.queue.organisations[ix].waiting(class);
        for queued in waiting.iter().take(LOOKAHEAD) {
            let ask = &queued.ask;
            if let Some(target) = place(&view, ask, targets) {
                let id = ask.id.clone();
                return Some(Choice { id, target, passed: first });
            }
            first.get_or_insert_with(|| ask.id.clone());
            if !is_particular(&view, ask) {
                break;
            }
        }
    }
    None
}

/// Whether a request may be kept from targets that the next one of its queue may use.
fn is_particular(view: &policy::View<'_>, ask: &Ask) -> bool {
    !ask.exclude.is_empty() || view.quarantine.is_suspect(ask.fingerprint, view.now)
}

/// Targets that could take the smallest request of a class.
///
/// Filters are at least as strict for any other request, so a full pool is searched only once and
/// not for each organisation.
fn open_to(view: &policy::View<'_>, class: Class) -> Vec<usize> {
    let smallest = Ask {
        pool: view.pool.key.clone(),
        id: Id::new("", Default::default(), 0),
        attempt: 0,
        organisation: "".into(),
        prompt_tokens: 0,
        max_tokens: Some(0),
        class,
        fingerprint: 0,
        prefixes: Vec::new(),
        waited_ms: 0,
        patience_ms: 0,
        priority: None,
        spills: false,
        held_at: None,
        made: 0,
        exclude: Vec::new(),
    };
    let held = view.pool.reserved.as_ref().map(|held| held.target);
    (0..view.pool.targets.len())
        .filter(|&target| held == Some(target) || is_open(view, &smallest, target))
        .collect()
}

fn is_open(view: &policy::View<'_>, ask: &Ask, target: usize) -> bool {
    view.pool.stages.filter.iter().all(|filter| filter(view, ask, target))
}

fn place(view: &policy::View<'_>, ask: &Ask, targets: &[usize]) -> Option<usize> {
    // The copy of its memory is nowhere else.
    let held = ask.held_at.as_deref().and_then(|name| view.pool.position(name));
    if let Some(held) = held.filter(|&held| is_open(view, ask, held)) {
        return Some(held);
    }
    let targets = targets.iter().copied();
    targets
        .filter(|&target| is_open(view, ask, target))
        .max_by_key(|&target| (score(view, ask, target), Reverse(target)))
}

fn score(view: &policy::View<'_>, ask: &Ask, target: usize) -> i64 {
    let scores = view.pool.stages.score.iter();
    scores.fold(0_i64, |sum, (_, score)| sum.saturating_add(score(view, ask, target)))
}

/// Counts that the first request in order was passed, and holds a target for it after a while.
fn pass(pool: &mut Pool, quarantine: &Registry, id: &Id, now: Millis) {
    let passes = match &pool.passed {
        Some((passed, passes)) if passed == id => passes + 1,
        _ => 1,
    };
    pool.passed = Some((id.clone(), passes));
    if passes < PASSES_MAX || pool.reserved.is_some() {
        return;
    }
    let view = policy::View { pool, quarantine, now };
    let Some(queued) = pool.queue.find(id) else {
        return;
    };
    let target = (0..pool.targets.len())
        .filter(|&target| headroom::lacks_memory(&view, &queued.ask, target))
        .min_by_key(|&target| (pool.targets[target].kv_use(now), target));
    let class = queued.ask.class;
    pool.reserved = target.map(|target| Reservation { id: id.clone(), class, target });
}

/// Why the target won, for the record of the request.
fn explain(pool: &Pool, quarantine: &Registry, choice: &Choice, now: Millis) -> String {
    let view = policy::View { pool, quarantine, now };
    let Some(queued) = pool.queue.find(&choice.id) else {
        return String::new();
    };
    let ask = &queued.ask;
    let open = (0..pool.targets.len()).filter(|&target| is_open(&view, ask, target));
    let scores: Vec<String> = pool
        .stages
        .score
        .iter()
        .map(|(name, score)| format!("{name} {}", score(&view, ask, choice.target)))
        .collect();
    let slot = &pool.targets[choice.target];
    format!(
        "granted {}: best of {} open targets ({}), {} running of {}, waited {} ms",
        slot.name,
        open.count(),
        scores.join(", "),
        pool.occupied(choice.target),
        pool.limit(slot),
        now.since(queued.arrived),
    )
}

/// Records a start in the ledger and makes its grant.
fn start(pool: &mut Pool, choice: &Choice, now: Millis) -> Option<Grant> {
    let queued = pool.queue.take(&choice.id, now)?;
    let ask = queued.ask;
    pool.turns += 1;
    let fill = pool.usage_permille(now);
    let slot = &mut pool.targets[choice.target];
    slot.turn = pool.turns;
    slot.note_start(now);
    let grant = Grant {
        pool: pool.key.clone(),
        id: ask.id.clone(),
        attempt: ask.attempt,
        target: slot.name.clone(),
        address: slot.spec.address.clone(),
        fence: pool.rights.fence(),
        priority: ask.priority.map_or(ask.class as i32, i32::from),
        fill,
    };
    let mut running = Running::new(ask, choice.target, now);
    running.grant = Some(grant.clone());
    pool.record(running);
    pool.rate.note(now);
    Some(grant)
}
