//! Delivers events to the kernels and carries out their outcomes.

use std::hash::Hash;

use hornbeamloom_kernel::event::Event;
use hornbeamloom_kernel::ids::Millis;
use hornbeamloom_kernel::outcome::{Outcome, Start};
use hornbeamloom_kernel::peer::Message;
use hornbeamloom_kernel::request::{End, Id};
use hornbeamloom_kernel::store::{Answer, Call, Op, StoredResponse};
use hornbeamloom_kernel::target::{Phase, PollError};

use super::{peer_address, Fault, Harness, PendingEvent, NAMES};
use crate::model::Run;
use crate::schedule::StoreMode;

fn stored() -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: Some(b"done".to_vec()),
    }
}

impl Harness {
    pub(super) fn deliver(&mut self, vm: usize, pending: PendingEvent) {
        match pending {
            PendingEvent::Message(from, message) => {
                if let Message::Grant(grant) = &message {
                    let granter = NAMES.iter().position(|name| **name == *from);
                    let attempt = (grant.id.clone(), grant.attempt);
                    self.granted_by.insert(attempt, granter.unwrap_or(vm));
                }
                let message = &message;
                self.handle_event(vm, Event::Peer { from: &from, message });
            }
            PendingEvent::Answer(call, answer) => {
                let answer = &answer;
                self.handle_event(vm, Event::StoreAnswered { call, answer });
            }
            PendingEvent::Report(ix, report) => {
                let is_cold = matches!(&report, Ok(report) if report.phase == Phase::Cold);
                let cold_reported_since = self.vms[vm].cold_reported_since[ix].unwrap_or(self.now);
                self.vms[vm].cold_reported_since[ix] = is_cold.then_some(cold_reported_since);
                let target = self.targets[ix].name;
                let report = report.as_ref().map_err(|silence| *silence);
                self.handle_event(vm, Event::Report { target, report });
            }
            PendingEvent::Head(None) => self.handle_event(vm, Event::TableUnavailable),
            PendingEvent::Head(Some(_)) if self.fault == Fault::ChangesDropped && vm == 0 => {}
            PendingEvent::Head(Some(delta)) => match delta.records.is_empty() {
                true => self.handle_event(vm, Event::TableHead(delta.to)),
                false => self.handle_event(vm, Event::Changes(&delta)),
            },
            PendingEvent::Begin(start) => self.begin_run(vm, &start),
            PendingEvent::Ended(id, attempt, end, tokens) => {
                self.on_ended(vm, &id, attempt, end, tokens)
            }
        }
    }

    /// Simulates the start's request reaching its target.
    fn begin_run(&mut self, vm: usize, start: &Start) {
        let (id, attempt) = (&start.id, start.attempt);
        let Some(&(_, ix)) = self.vms[vm].open_streams.get(id).filter(|open| open.0 == attempt)
        else {
            return;
        };
        let place = (id.clone(), attempt);
        let target = &mut self.targets[ix];
        if target.is_down(self.now) {
            target.runs.remove(&place);
            return self.end_attempt(id, attempt, End::Unsent, 0);
        }
        let is_full = target.is_full;
        let Some(run) = target.runs.get_mut(&place) else {
            return;
        };
        run.begun = true;
        if is_full {
            target.runs.remove(&place);
            self.count_outcome("rejected");
            self.handle_event(vm, Event::SendStarted { id, attempt });
            return self.end_attempt(id, attempt, End::Rejected, 0);
        }
        self.count_outcome("run");
        // A target that rejects a request does not run it (docs/design.md, section 3.17), so only
        // here does the request count as executed.
        self.oracle.executed(id, self.now);
        self.handle_event(vm, Event::SendStarted { id, attempt });
    }

    fn on_ended(&mut self, vm: usize, id: &Id, attempt: u32, end: End, tokens: u32) {
        if self.vms[vm].open_streams.get(id).is_none_or(|open| open.0 != attempt) {
            return;
        }
        self.vms[vm].open_streams.remove(id);
        if end == End::Complete {
            self.count_outcome("complete");
            self.oracle.completed(id, self.now);
        }
        let stored = stored();
        self.handle_event(
            vm,
            Event::AttemptEnded {
                id,
                attempt,
                end,
                tokens,
                first_token_ms: (tokens > 0).then_some(50),
                stored: (end == End::Complete).then_some(&stored),
            },
        );
    }

    pub(super) fn handle_event(&mut self, vm: usize, event: Event<'_>) {
        let mut out = Vec::new();
        let now = Millis(self.now + self.vms[vm].clock);
        self.vms[vm].kernel.handle(event, now, &mut out);
        for outcome in out {
            self.apply_outcome(vm, outcome);
        }
    }

    fn apply_outcome(&mut self, vm: usize, outcome: Outcome) {
        std::mem::discriminant(&outcome).hash(&mut self.digest);
        match outcome {
            Outcome::Start(start) => {
                format!("{start:?}").hash(&mut self.digest);
                self.start(vm, &start);
                if self.fault == Fault::StartedTwice {
                    self.start(vm, &start);
                }
            }
            Outcome::Refuse { id, refusal } => {
                format!("{id} {refusal:?}").hash(&mut self.digest);
                self.count_outcome(refusal.reason.as_str());
                self.oracle.refused(&id, refusal.ran, self.now);
                if self.fault == Fault::RefusedTwice {
                    self.oracle.refused(&id, refusal.ran, self.now);
                }
            }
            Outcome::Replay { id, .. } => {
                self.count_outcome("replay");
                self.oracle.completed(&id, self.now);
            }
            Outcome::Send { address, message, .. } => self.send(vm, &address, message),
            Outcome::Store(call) => self.store(vm, call),
            Outcome::Poll { target, .. } => self.poll(vm, &target),
            Outcome::Order(_) => self.count_outcome("order"),
            _ => {}
        }
    }

    fn start(&mut self, vm: usize, start: &Start) {
        self.count_outcome("start");
        let Some(ix) = self.targets.iter().position(|t| *t.name == *start.target) else {
            return;
        };
        let (id, attempt) = (start.id.clone(), start.attempt);
        self.oracle.started(&id, attempt, vm, &self.targets[ix], self.now);
        let granter = self.granted_by.remove(&(id.clone(), attempt));
        let run = Run {
            started_at: self.now,
            ends_at: self.now + 100 + self.random_below(2_500),
            begun: false,
        };
        self.targets[ix].runs.insert((id.clone(), attempt), run);
        let cold_reported_since = self.vms[granter.unwrap_or(vm)].cold_reported_since[ix];
        self.oracle.check_cold(&self.targets[ix], cold_reported_since, self.now);
        self.vms[vm].open_streams.insert(id, (attempt, ix));
        self.schedule_local(5, vm, PendingEvent::Begin(start.clone()));
    }

    fn send(&mut self, vm: usize, address: &str, message: Message) {
        // A seed is known by its address before its name is known.
        let Some(to) = NAMES.iter().position(|name| *peer_address(name) == *address) else {
            return;
        };
        let is_delta = matches!(message, Message::Delta(_));
        if self.cut_links[vm][to] || (is_delta && to == 0 && self.fault == Fault::ChangesDropped) {
            return;
        }
        let (duplicated, delay) = self.network;
        let copies = 1 + u64::from(self.random_below(100) < u64::from(duplicated));
        for _ in 0..copies {
            let after = 2 + self.random_below(u64::from(delay) + 1);
            let from = NAMES[vm].into();
            self.schedule(after, to, None, PendingEvent::Message(from, message.clone()));
        }
    }

    fn store(&mut self, vm: usize, call: Call) {
        let is_write = matches!(call.op, Op::Write(_));
        let answer = match self.vms[vm].store {
            StoreMode::Down => Answer::Unavailable,
            StoreMode::Up => self.table.perform(&call.op),
            StoreMode::AnswersLost => match (self.table.perform(&call.op), is_write) {
                (_, true) => Answer::Unknown,
                (answer, false) => answer,
            },
            StoreMode::Silent => return drop(self.table.perform(&call.op)),
        };
        self.schedule_local(20, vm, PendingEvent::Answer(call.id, answer));
    }

    fn poll(&mut self, vm: usize, name: &str) {
        let Some(ix) = self.targets.iter().position(|target| target.name == name) else {
            return;
        };
        let target = &self.targets[ix];
        let (after, report) = match (target.is_down(self.now), target.is_stalled) {
            (true, _) => (5, Err(PollError::Refused)),
            (false, true) => (1_000, Err(PollError::Timeout)),
            (false, false) => match target.report(self.now) {
                Some(report) => (10, Ok(report)),
                None => (10, Err(PollError::Malformed)),
            },
        };
        self.schedule_local(after, vm, PendingEvent::Report(ix, report));
    }
}
