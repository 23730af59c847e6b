//! Decides whether a broken stream of a resumable route is run again, from the event after the last
//! one that its caller has.

use crate::ids::Name;
use crate::peer::Ask;
use crate::request::End;

/// What is known of an attempt at a stream that has ended.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// How the attempt ended.
    pub end: End,
    /// Whether the route is resumable.
    pub is_resumable: bool,
    /// Whether the target only held a copy to which the generation had not moved.
    pub is_unused_placement: bool,
    /// Output tokens that the caller got from this attempt.
    pub tokens: u32,
    /// Output tokens that the caller got from earlier attempts.
    pub earlier_tokens: u32,
    /// Number of earlier attempts that may have been executed at least in part.
    pub executed_attempts: u32,
    /// Targets on which the request has run, this one included.
    pub targets: &'a [Name],
    /// Limit on the attempts and on the targets; unlimited if absent.
    pub max_attempts: Option<u32>,
    /// Whether a part of the prompt is suspected of crashing targets.
    pub has_suspected_part: bool,
    /// Whether the body or a part of the prompt is quarantined.
    pub is_quarantined: bool,
}

/// Why a broken stream is not run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The request has run as often as its route allows.
    Attempts,
    /// A part of its prompt may have crashed the target.
    Suspected,
    /// Its body or a part of its prompt is quarantined.
    Quarantined,
}

/// What follows the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The end is handled as on any other route.
    Other,
    /// The request is run again after the last event that its caller has.
    Rerun,
    /// The stream is truncated.
    Truncate(Cause),
}

/// Decides what follows the end of an attempt at a stream.
///
/// An attempt that did not run is none of those that the route limits. A suspected part is cleared by
/// the first output of its request, so that it matters only until then.
///
/// ```
/// use hornbeamloom_kernel::request::End;
/// use hornbeamloom_kernel::rerun::{self, Cause, Verdict, View};
///
/// let targets = ["m1".into()];
/// let first = View {
///     end: End::Broken,
///     is_resumable: true,
///     is_unused_placement: false,
///     tokens: 8,
///     earlier_tokens: 0,
///     executed_attempts: 0,
///     targets: &targets,
///     max_attempts: Some(2),
///     has_suspected_part: false,
///     is_quarantined: false,
/// };
/// assert_eq!(rerun::decide(&first), Verdict::Rerun);
/// let second = View { executed_attempts: 1, ..first };
/// assert_eq!(rerun::decide(&second), Verdict::Truncate(Cause::Attempts));
/// ```
pub fn decide(view: &View<'_>) -> Verdict {
    let is_broken = matches!(view.end, End::Broken | End::Died | End::Failed);
    if !view.is_resumable || !is_broken || view.is_unused_placement {
        return Verdict::Other;
    }
    if view.is_quarantined {
        return Verdict::Truncate(Cause::Quarantined);
    }
    if view.has_suspected_part && view.tokens == 0 && view.earlier_tokens == 0 {
        return Verdict::Truncate(Cause::Suspected);
    }
    let targets = u32::try_from(view.targets.len()).unwrap_or(u32::MAX);
    let used = targets.max(view.executed_attempts.saturating_add(1));
    match view.max_attempts.is_some_and(|limit| used >= limit) {
        true => Verdict::Truncate(Cause::Attempts),
        false => Verdict::Rerun,
    }
}

/// Charges the ask of a request that is run again with what its last attempt generated: without a copy
/// of the KV memory, the target processes it like the prompt.
pub(crate) fn charge(ask: &mut Ask, tokens: u32) {
    ask.prompt_tokens = ask.prompt_tokens.saturating_add(tokens);
    ask.generated_tokens = ask.generated_tokens.saturating_add(tokens);
    ask.is_recomputed = ask.generated_tokens > 0;
    ask.standby_target = None;
}
