//! A request as the control thread keeps it while the traffic side runs it.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use hornbeamloom_kernel::event::TokenCount;
use hornbeamloom_kernel::request::Id;
use tokio::sync::mpsc;

use crate::control::{Arrival, Decision};
use crate::pace;

/// The connection of the control thread to the traffic task of one placement.
pub(crate) struct ActiveRequest {
    pub(crate) decisions: mpsc::UnboundedSender<Decision>,
    tokens: Arc<AtomicU32>,
    /// Tokens delivered by earlier placements and attempts of the generation.
    earlier_tokens: u32,
    /// `None` until the generation has moved to this placement.
    pace: Option<Arc<pace::Meter>>,
}

impl ActiveRequest {
    pub(crate) fn new(arrival: &Arrival) -> ActiveRequest {
        ActiveRequest {
            decisions: arrival.decisions.clone(),
            tokens: arrival.tokens.clone(),
            earlier_tokens: 0,
            pace: Some(arrival.pace.clone()),
        }
    }

    /// Returns the next placement of a running generation, which has not moved there yet.
    pub(crate) fn next_placement(&self) -> ActiveRequest {
        ActiveRequest {
            decisions: self.decisions.clone(),
            tokens: self.tokens.clone(),
            earlier_tokens: self.tokens.load(Ordering::Relaxed),
            pace: None,
        }
    }

    /// Begins an attempt, to which the tokens delivered so far do not belong.
    pub(crate) fn begin_attempt(&mut self) {
        self.earlier_tokens = self.tokens.load(Ordering::Relaxed);
    }

    /// Records that the generation has moved here from an earlier placement.
    pub(crate) fn continue_from(&mut self, earlier: &ActiveRequest) {
        self.earlier_tokens = earlier.tokens.load(Ordering::Relaxed);
        self.pace = earlier.pace.clone();
    }

    /// Returns the number of tokens delivered by the current attempt.
    pub(crate) fn delivered(&self) -> u32 {
        self.tokens.load(Ordering::Relaxed).saturating_sub(self.earlier_tokens)
    }

    /// Returns the progress since the last call.
    pub(crate) fn count(&self, id: &Id) -> TokenCount {
        let pace = self.pace.as_ref().map(|meter| meter.take()).unwrap_or_default();
        TokenCount { id: id.clone(), tokens: self.delivered(), pace }
    }
}
