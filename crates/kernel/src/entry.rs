//! The entry VM's side of a request: ask for a start, check it, follow the attempt.

use crate::event::Event;
use crate::ids::{Millis, Name};
use crate::kernel::{Outbox, State};
use crate::map::Map;
use crate::outcome::{Counter, Outcome, Reason, Refusal, Start};
use crate::peer::{Ask, Grant, Message, Release};
use crate::plugin::control;
use crate::pool;
use crate::request::{Class, End, Id, View};

/// Requests accepted by this VM.
#[derive(Debug, Default)]
pub struct Table {
    requests: Map<Id, Request>,
}

#[derive(Debug)]
struct Request {
    ask: Ask,
    phase: Phase,
}

#[derive(Debug)]
enum Phase {
    Asking,
    Running { target: Name },
}

inventory::submit! {
    control::Plugin { name: "entry", rank: 50, handle, wakeup: |_| None }
}

fn handle(state: &mut State, event: &Event<'_>, now: Millis, out: &mut Outbox) {
    match event {
        Event::Arrive(view) => arrive(state, view, now, out),
        Event::Peer {
            message: Message::Grant(grant),
            ..
        } => granted(state, grant, now, out),
        Event::Peer {
            message: Message::Refuse { id, refusal, .. },
            ..
        } => {
            refused(state, id, refusal, out);
        }
        Event::Ended {
            id,
            end,
            tokens,
            first_token_ms,
            ..
        } => {
            ended(state, id, *end, *tokens, *first_token_ms, out);
        }
        _ => {}
    }
}

fn arrive(state: &mut State, view: &View<'_>, now: Millis, out: &mut Outbox) {
    let Some(service) = state.intent.service(view.service) else {
        return refuse(out, view.id, Refusal::new(Reason::NotFound));
    };
    let key = pool::Key::new(view.service, &state.identity.zone);
    let ask = Ask {
        pool: key.clone(),
        id: view.id.clone(),
        attempt: 1,
        organisation: view.organisation.into(),
        prompt_tokens: view.prompt_tokens,
        max_tokens: view.max_tokens,
        class: if service.interactive {
            Class::Short
        } else {
            Class::Long
        },
        fingerprint: view.fingerprint,
        prefixes: view.prefixes.to_vec(),
        waited_ms: 0,
        patience_ms: service.queue_ms,
        exclude: Vec::new(),
    };
    let owner = match state.members.owner(&key) {
        Some((vm, _)) => vm.clone(),
        None => state.identity.vm.clone(),
    };
    state.log.note(
        now,
        view.id,
        format!("asked {owner} for a start in {}", key.zone),
    );
    let request = Request {
        ask: ask.clone(),
        phase: Phase::Asking,
    };
    state.entry.requests.insert(view.id.clone(), request);
    out.send(&owner, Message::Ask(ask));
}

fn granted(state: &mut State, grant: &Grant, now: Millis, out: &mut Outbox) {
    let Some(request) = state.entry.requests.get_mut(&grant.id) else {
        return;
    };
    request.phase = Phase::Running {
        target: grant.target.clone(),
    };
    state
        .log
        .note(now, &grant.id, format!("granted target {}", grant.target));
    out.push(Outcome::Start(Start {
        id: grant.id.clone(),
        attempt: grant.attempt,
        target: grant.target.clone(),
        address: grant.address.clone(),
        priority: grant.priority,
        fence: grant.fence,
    }));
}

fn ended(
    state: &mut State,
    id: &Id,
    end: End,
    tokens: u32,
    first_token_ms: Option<u32>,
    out: &mut Outbox,
) {
    let Some(request) = state.entry.requests.remove(id) else {
        return;
    };
    let Phase::Running { target } = request.phase else {
        return;
    };
    let owner = match state.members.owner(&request.ask.pool) {
        Some((vm, _)) => vm.clone(),
        None => state.identity.vm.clone(),
    };
    let (pool, attempt) = (request.ask.pool, request.ask.attempt);
    let id = id.clone();
    let release = Release {
        pool,
        id,
        attempt,
        target,
        end,
        tokens,
        first_token_ms,
    };
    out.send(&owner, Message::Release(release));
}

fn refused(state: &mut State, id: &Id, refusal: &Refusal, out: &mut Outbox) {
    if state.entry.requests.remove(id).is_some() {
        refuse(out, id, refusal.clone());
    }
}

fn refuse(out: &mut Outbox, id: &Id, refusal: Refusal) {
    out.count(Counter::Refusal(refusal.reason));
    out.push(Outcome::Refuse {
        id: id.clone(),
        refusal,
    });
}
