//! Sequence logic of a response stream: replay buffer and resume delays.

use hornbeamloom_kernel::stream::{resume_delay, ReplayBuffer, TooOld, REPLAY_BUFFER_BYTES};

/// Pushes events of one size and compares the events after a given number.
fn replays(events: u64, bytes: usize, after: Option<u64>, expected: Result<(u64, u64), u64>) {
    let mut replay = ReplayBuffer::new();
    for seq in 0..events {
        assert_eq!(replay.push(&vec![b'x'; bytes]), seq);
    }
    assert_eq!(replay.next(), events);
    let kept = replay.after(after).map(|kept| {
        let numbers: Vec<u64> = kept.map(|(seq, _)| seq).collect();
        let first = numbers.first().copied().unwrap_or(events);
        (first, numbers.len() as u64)
    });
    assert_eq!(kept, expected.map_err(|first| TooOld { first }));
}

hornbeamloom_kernel::cases! {
    replays;

    // Guards against a missing beginning for a caller that has read nothing.
    all_events_from_the_start: (3, 10, None, Ok((0, 3)));
    // Guards against repeating the last event that the caller has read (I1).
    the_event_named_is_not_repeated: (3, 10, Some(0), Ok((1, 2)));
    // Guards against an error for a caller that is up to date.
    nothing_after_the_newest: (3, 10, Some(2), Ok((3, 0)));
    // Guards against an answer with missing events (I1).
    dropped_events_are_too_old: (5, REPLAY_BUFFER_BYTES / 4, None, Err(1));
    // Guards against refusing the oldest event in the buffer.
    the_oldest_event_kept_is_given: (5, REPLAY_BUFFER_BYTES / 4, Some(0), Ok((1, 4)));
    // Guards against a buffer that grows without limit because of one large event.
    an_event_beyond_the_bound_is_dropped: (1, REPLAY_BUFFER_BYTES + 1, None, Err(1));
    // Guards against an overflow at the largest sequence number.
    the_largest_number_has_no_successor: (1, 1, Some(u64::MAX), Ok((1, 0)));
}

/// Compares the delay of one attempt to resume.
fn delays(attempt: u32, expected: Option<u64>) {
    assert_eq!(resume_delay(attempt), expected);
}

hornbeamloom_kernel::cases! {
    delays;

    // Guards against a first attempt without delay, or with a delay longer than the stall that it
    // is to end.
    the_first_try_comes_after_50_ms: (0, Some(50));
    // Guards against attempts that end before a longer outage does.
    each_delay_doubles: (3, Some(400));
    // Guards against unlimited attempts to resume a generation that no longer exists.
    there_is_no_sixth_try: (5, None);
}
