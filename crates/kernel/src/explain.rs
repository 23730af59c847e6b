//! A bounded log of the decisions about each request.

use std::collections::VecDeque;

use crate::ids::Millis;
use crate::request::Id;

/// Steps kept for all requests together; the oldest are evicted first.
const MAX_STEPS: usize = 16_384;
/// Bytes kept of one step's text.
const MAX_TEXT_BYTES: usize = 200;

/// One decision about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// When it was made.
    pub at: Millis,
    /// The request.
    pub id: Id,
    /// The decision, as one line of text.
    pub text: String,
}

/// The most recent steps of all requests.
///
/// ```
/// use hornbeamloom_kernel::explain::DecisionLog;
/// use hornbeamloom_kernel::ids::{Incarnation, Millis};
/// use hornbeamloom_kernel::request::Id;
///
/// let id = Id::new("entry-1", Incarnation(1), 1);
/// let mut log = DecisionLog::default();
/// log.record(Millis(5), &id, "asked entry-2".to_owned());
/// assert_eq!(log.steps(&id).count(), 1);
/// ```
#[derive(Debug, Default)]
pub struct DecisionLog {
    steps: VecDeque<Step>,
    /// Number of steps at the end that `take_unread` has not returned yet.
    unread: usize,
}

impl DecisionLog {
    /// Records a step; longer texts are truncated to 200 bytes.
    ///
    /// ```
    /// use hornbeamloom_kernel::explain::DecisionLog;
    /// use hornbeamloom_kernel::ids::{Incarnation, Millis};
    /// use hornbeamloom_kernel::request::Id;
    ///
    /// let id = Id::new("entry-1", Incarnation(1), 1);
    /// let mut log = DecisionLog::default();
    /// log.record(Millis(5), &id, "asked entry-2 for lodz-a".to_owned());
    /// assert_eq!(log.steps(&id).count(), 1);
    /// ```
    pub fn record(&mut self, at: Millis, id: &Id, mut text: String) {
        if self.steps.len() == MAX_STEPS {
            self.steps.pop_front();
        }
        let end = (0..=MAX_TEXT_BYTES.min(text.len())).rfind(|&ix| text.is_char_boundary(ix));
        text.truncate(end.unwrap_or(0));
        self.steps.push_back(Step { at, id: id.clone(), text });
        self.unread = (self.unread + 1).min(MAX_STEPS);
    }

    /// The steps recorded since the previous call, oldest first.
    pub(crate) fn take_unread(&mut self) -> impl Iterator<Item = &Step> {
        let known = self.steps.len() - std::mem::take(&mut self.unread);
        self.steps.range(known..)
    }

    /// The steps of one request, oldest first.
    pub fn steps<'a>(&'a self, id: &'a Id) -> impl Iterator<Item = &'a Step> {
        self.steps.iter().filter(move |step| step.id == *id)
    }

    /// Number of steps kept.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// Whether no step is kept.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }
}
