//! The scheduler of the engine stand-in: continuous batching with limited KV memory.
//!
//! It performs no I/O: the engine calls [`Batch::step`] once per decoding step.

use std::collections::VecDeque;

/// Capacity and step durations of a simulated engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BatchConfig {
    /// Size of the KV memory in tokens.
    pub(crate) kv_tokens: u64,
    /// Largest number of sequences in the batch.
    pub(crate) sequences_max: usize,
    /// Duration of a step with an empty batch, in microseconds.
    pub(crate) step_us: u64,
    /// Additional duration of a step for each sequence, in microseconds.
    pub(crate) sequence_us: u64,
    /// Prefill time for each token that is not cached, in microseconds.
    pub(crate) prefill_us: u64,
    /// Number of sequences above which the engine is overloaded during cold start.
    pub(crate) cold_limit: usize,
    /// Factor by which steps take longer during cold start.
    pub(crate) cold_slowdown: u64,
}

/// A generation in the batch or in the queue.
#[derive(Debug, Clone)]
pub(crate) struct Sequence {
    pub(crate) id: u64,
    pub(crate) priority: i32,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) output_length: u64,
    prefilled: bool,
}

impl Sequence {
    pub(crate) fn new(id: u64, priority: i32, prompt_tokens: u64, output_length: u64) -> Sequence {
        Sequence {
            id,
            priority,
            prompt_tokens,
            cached_tokens: 0,
            output_tokens: 0,
            output_length: output_length.max(1),
            prefilled: false,
        }
    }

    pub(crate) fn with_cached_tokens(self, cached_tokens: u64) -> Sequence {
        Sequence { cached_tokens: cached_tokens.min(self.prompt_tokens), ..self }
    }

    fn kv_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

/// The result of one step.
#[derive(Debug, Default)]
pub(crate) struct Step {
    /// Ids of the sequences that emitted a token.
    pub(crate) emitted: Vec<u64>,
    /// Ids of the sequences that finished with that token.
    pub(crate) finished: Vec<u64>,
    /// Duration of the step, in microseconds.
    pub(crate) duration_us: u64,
    /// More sequences than the cold limit were running or waiting during cold start.
    pub(crate) overloaded: bool,
}

/// The running batch and the queue of waiting sequences.
#[derive(Debug)]
pub(crate) struct Batch {
    config: BatchConfig,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    pub(crate) preemptions: u64,
}

impl Batch {
    pub(crate) fn new(config: BatchConfig) -> Batch {
        Batch { config, running: Vec::new(), waiting: VecDeque::new(), preemptions: 0 }
    }

    pub(crate) fn push(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    pub(crate) fn cancel(&mut self, id: u64) {
        self.running.retain(|sequence| sequence.id != id);
        self.waiting.retain(|sequence| sequence.id != id);
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
        self.running.iter().map(Sequence::kv_tokens).sum()
    }

    /// Runs one decoding step.
    pub(crate) fn step(&mut self, is_cold: bool) -> Step {
        let prefill_tokens = self.admit();
        self.preempt_to_fit();
        let mut step = Step::default();
        for sequence in &mut self.running {
            sequence.output_tokens += 1;
            step.emitted.push(sequence.id);
            if sequence.output_tokens >= sequence.output_length {
                step.finished.push(sequence.id);
            }
        }
        let sequences = self.running.len() as u64;
        let slowdown = if is_cold { self.config.cold_slowdown } else { 1 };
        let decode_us = self.config.step_us + sequences * self.config.sequence_us;
        step.duration_us = (decode_us + prefill_tokens * self.config.prefill_us) * slowdown;
        step.overloaded =
            is_cold && self.running.len() + self.waiting.len() > self.config.cold_limit;
        self.running.retain(|sequence| sequence.output_tokens < sequence.output_length);
        step
    }

    /// Moves waiting sequences into the batch while they fit and returns the number of tokens to
    /// prefill.
    fn admit(&mut self) -> u64 {
        let mut prefill_tokens = 0;
        self.waiting.make_contiguous().sort_by_key(|sequence| sequence.priority);
        while self.running.len() < self.config.sequences_max {
            let Some(next) = self.waiting.front() else {
                break;
            };
            if self.kv_used() + next.kv_tokens() + 1 > self.config.kv_tokens {
                break;
            }
            let Some(mut next) = self.waiting.pop_front() else {
                break;
            };
            // A preempted sequence has lost its KV memory and is recomputed from the start.
            let reused_tokens = if next.prefilled { 0 } else { next.cached_tokens };
            prefill_tokens += next.kv_tokens() - reused_tokens;
            next.prefilled = true;
            self.running.push(next);
        }
        prefill_tokens
    }

    /// Preempts sequences until the KV memory has room for one more token of each.
    fn preempt_to_fit(&mut self) {
        while self.running.len() > 1
            && self.kv_used() + self.running.len() as u64 > self.config.kv_tokens
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
