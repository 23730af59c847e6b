//! A bounded record of why requests went where they did.

use std::collections::VecDeque;

use crate::ids::Millis;
use crate::request::Id;

/// Steps kept in all; the oldest are dropped first.
const STEPS_MAX: usize = 16_384;

/// One step in a request's life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// When.
    pub at: Millis,
    /// The request.
    pub id: Id,
    /// What was decided, in one line.
    pub text: String,
}

/// The newest steps of all requests.
#[derive(Debug, Default)]
pub struct Log {
    steps: VecDeque<Step>,
}

impl Log {
    /// Records a step.
    pub fn note(&mut self, at: Millis, id: &Id, text: String) {
        if self.steps.len() == STEPS_MAX {
            self.steps.pop_front();
        }
        self.steps.push_back(Step {
            at,
            id: id.clone(),
            text,
        });
    }

    /// The steps of one request, oldest first.
    pub fn steps<'a>(&'a self, id: &'a Id) -> impl Iterator<Item = &'a Step> {
        self.steps.iter().filter(move |step| step.id == *id)
    }
}
