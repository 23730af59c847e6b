//! Pure sequence logic of one answer: the replay buffer and the resume schedule.

use hornbeamloom_kernel::stream::{resume_delay, ReplayBuffer, TooOld, REPLAY_BUFFER_BYTES};

/// Pushes events of a size and asks for what comes after a number.
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

    // A caller that read nothing would miss the beginning.
    all_events_from_the_start: (3, 10, None, Ok((0, 3)));
    // A caller would read the event twice that it read last (I1).
    the_event_named_is_not_repeated: (3, 10, Some(0), Ok((1, 2)));
    // A caller that is up to date would get an error.
    nothing_after_the_newest: (3, 10, Some(2), Ok((3, 0)));
    // A caller would get an answer with a gap in it (I1).
    dropped_events_are_too_old: (5, REPLAY_BUFFER_BYTES / 4, None, Err(1));
    // The first event kept would be refused.
    the_oldest_event_kept_is_given: (5, REPLAY_BUFFER_BYTES / 4, Some(0), Ok((1, 4)));
    // An event larger than the buffer would grow it without bound.
    an_event_beyond_the_bound_is_dropped: (1, REPLAY_BUFFER_BYTES + 1, None, Err(1));
    // The largest number would overflow.
    the_largest_number_has_no_successor: (1, 1, Some(u64::MAX), Ok((1, 0)));
}

/// The delay of one try.
fn delays(attempt: u32, expected: Option<u64>) {
    assert_eq!(resume_delay(attempt), expected);
}

hornbeamloom_kernel::cases! {
    delays;

    // The first try would come at once, or later than the stall it is to end.
    the_first_try_comes_after_50_ms: (0, Some(50));
    // The tries would not spread over the outage.
    each_delay_doubles: (3, Some(400));
    // A generation that is gone would be asked for without end.
    there_is_no_sixth_try: (5, None);
}
