//! The scheduler of the engine stand-in: continuous batching over limited KV memory.
//!
//! It has no I/O: the engine calls [`Batch::step`] once per decoding step.

use std::collections::VecDeque;

/// Sizes and speeds of an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shape {
    /// KV memory in tokens.
    pub(crate) kv_tokens: u64,
    /// Sequences that decode together.
    pub(crate) sequences_max: usize,
    /// Duration of a step with an empty batch, in microseconds.
    pub(crate) step_us: u64,
    /// Added duration of a step for each sequence, in microseconds.
    pub(crate) sequence_us: u64,
    /// Duration of prefill for each prompt token that is not cached, in microseconds.
    pub(crate) prefill_us: u64,
    /// Sequences that it can carry in cold start.
    pub(crate) cold_limit: usize,
    /// Slowdown in cold start.
    pub(crate) cold_factor: u64,
}

/// One generation inside the engine.
#[derive(Debug, Clone)]
pub(crate) struct Sequence {
    pub(crate) generation: u64,
    pub(crate) priority: i32,
    pub(crate) prompt: u64,
    pub(crate) cached: u64,
    pub(crate) emitted: u64,
    pub(crate) length: u64,
    prefilled: bool,
}

impl Sequence {
    pub(crate) fn new(generation: u64, priority: i32, prompt: u64, length: u64) -> Sequence {
        Sequence {
            generation,
            priority,
            prompt,
            cached: 0,
            emitted: 0,
            length: length.max(1),
            prefilled: false,
        }
    }

    pub(crate) fn with_cached(self, cached: u64) -> Sequence {
        Sequence { cached: cached.min(self.prompt), ..self }
    }

    fn kv(&self) -> u64 {
        self.prompt + self.emitted
    }
}

/// What one step did.
#[derive(Debug, Default)]
pub(crate) struct Step {
    /// Generations that emitted a token.
    pub(crate) emitted: Vec<u64>,
    /// Generations that finished with that token.
    pub(crate) finished: Vec<u64>,
    /// How long the step takes, in microseconds.
    pub(crate) duration_us: u64,
    /// More sequences ran in cold start than the engine can carry.
    pub(crate) overloaded: bool,
}

/// The running batch and the queue in front of it.
#[derive(Debug)]
pub(crate) struct Batch {
    shape: Shape,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    pub(crate) preemptions: u64,
}

impl Batch {
    pub(crate) fn new(shape: Shape) -> Batch {
        Batch { shape, running: Vec::new(), waiting: VecDeque::new(), preemptions: 0 }
    }

    pub(crate) fn push(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    pub(crate) fn cancel(&mut self, generation: u64) {
        self.running.retain(|sequence| sequence.generation != generation);
        self.waiting.retain(|sequence| sequence.generation != generation);
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    pub(crate) fn kv_used(&self) -> u64 {
        self.running.iter().map(Sequence::kv).sum()
    }

    /// Runs one decoding step.
    pub(crate) fn step(&mut self, is_cold: bool) -> Step {
        let prefill = self.admit();
        self.make_room();
        let mut step = Step::default();
        for sequence in &mut self.running {
            sequence.emitted += 1;
            step.emitted.push(sequence.generation);
            if sequence.emitted >= sequence.length {
                step.finished.push(sequence.generation);
            }
        }
        let sequences = self.running.len() as u64;
        let factor = if is_cold { self.shape.cold_factor } else { 1 };
        let decode = self.shape.step_us + sequences * self.shape.sequence_us;
        step.duration_us = (decode + prefill * self.shape.prefill_us) * factor;
        step.overloaded =
            is_cold && self.running.len() + self.waiting.len() > self.shape.cold_limit;
        self.running.retain(|sequence| sequence.emitted < sequence.length);
        step
    }

    /// Moves waiting sequences into the batch while they fit; returns the tokens to prefill.
    fn admit(&mut self) -> u64 {
        let mut prefill = 0;
        self.waiting.make_contiguous().sort_by_key(|sequence| sequence.priority);
        while self.running.len() < self.shape.sequences_max {
            let Some(next) = self.waiting.front() else {
                break;
            };
            if self.kv_used() + next.kv() + 1 > self.shape.kv_tokens {
                break;
            }
            let Some(mut next) = self.waiting.pop_front() else {
                break;
            };
            // A preempted sequence has lost its memory and computes everything again.
            let skip = if next.prefilled { 0 } else { next.cached };
            prefill += next.kv() - skip;
            next.prefilled = true;
            self.running.push(next);
        }
        prefill
    }

    /// Preempts until one more token for each sequence fits.
    fn make_room(&mut self) {
        while self.running.len() > 1
            && self.kv_used() + self.running.len() as u64 > self.shape.kv_tokens
        {
            let victim = self
                .running
                .iter()
                .enumerate()
                .max_by_key(|(ix, sequence)| (sequence.priority, *ix))
                .map(|(ix, _)| ix);
            let Some(victim) = victim else { return };
            let sequence = self.running.remove(victim);
            self.preemptions += 1;
            self.waiting.push_front(sequence);
        }
    }
}
