//! I1 and I4: random token events that are late, repeated, missing or of another generation.

use hornbeamloom_kernel::stream::{Accept, Cursor, ReplayBuffer};
use quickcheck::{Arbitrary, Gen};

/// Number of tokens per stream.
const TOKENS_PER_STREAM: u64 = 60;
/// Maximum number of events per stream.
const EVENTS_PER_STREAM: usize = 2_000;
const GENERATION: &str = "generation-1";

/// Which events are forwarded; all but `Cursor` are negative controls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reader {
    /// Those accepted by the cursor.
    Cursor,
    /// All events.
    All,
    /// All events newer than the last token.
    Newer,
}

/// The next event of a connection: mostly the next token, otherwise a faulty event.
fn event(g: &mut Gen, next: u64) -> (&'static str, u64) {
    let offset = u64::from(u8::arbitrary(g)) % TOKENS_PER_STREAM;
    match u8::arbitrary(g) % 10 {
        0..=4 => (GENERATION, next),
        5 => (GENERATION, next.saturating_sub(1 + offset % 4)),
        6 => (GENERATION, (next + 1 + offset % 4).min(TOKENS_PER_STREAM - 1)),
        7 => (GENERATION, offset),
        _ => ("generation-2", offset),
    }
}

fn token(generation: &str, seq: u64) -> Vec<u8> {
    format!("{generation}:{seq}").into_bytes()
}

/// The tokens read by a caller whose connection breaks now and then.
fn read(seed: u64, reader: Reader) -> Vec<Vec<u8>> {
    let mut g = Gen::from_size_and_seed(16, seed);
    let (mut cursor, mut replay) = (Cursor::new(), ReplayBuffer::new());
    let mut got: Vec<Vec<u8>> = Vec::new();
    // The connection's response header names the generation first.
    assert_eq!(cursor.accept(GENERATION, 0), Accept::Deliver);
    replay.push(&token(GENERATION, 0));
    for _ in 0..EVENTS_PER_STREAM {
        let (generation, seq) = event(&mut g, cursor.next().min(TOKENS_PER_STREAM - 1));
        let next = cursor.next();
        let accepted = cursor.accept(generation, seq);
        let is_forwarded = match reader {
            Reader::Cursor => accepted == Accept::Deliver,
            Reader::All => true,
            Reader::Newer => generation == GENERATION && seq >= next,
        };
        if is_forwarded {
            replay.push(&token(generation, seq));
        }
        if bool::arbitrary(&mut g) {
            let after = (got.len() as u64).checked_sub(1);
            let rest = replay.after(after).expect("the replay buffer holds the whole stream");
            let rest: Vec<_> = rest.map(|(_, event)| event.to_vec()).collect();
            got.extend(rest);
        }
    }
    let after = (got.len() as u64).checked_sub(1);
    let rest = replay.after(after).expect("the replay buffer holds the whole stream");
    got.extend(rest.map(|(_, event)| event.to_vec()).collect::<Vec<_>>());
    got
}

fn is_exact(got: &[Vec<u8>]) -> bool {
    let expected: Vec<Vec<u8>> = (0..TOKENS_PER_STREAM).map(|seq| token(GENERATION, seq)).collect();
    got == expected
}

/// Checks that every stream delivers exactly its tokens, once and in order.
fn delivers_exactly(first: u64, answers: u64) {
    for seed in first..first + answers {
        let got = read(seed, Reader::Cursor);
        assert!(is_exact(&got), "seed {seed}: {got:?}");
    }
    println!("fuzz: {} token events from seed {first}", answers * EVENTS_PER_STREAM as u64);
}

hornbeamloom_kernel::cases! {
    delivers_exactly;

    // Otherwise a caller would read a token twice, out of order, or from another generation (I1,
    // I4).
    each_token_is_read_once_and_in_order: (1, 50);
}

/// Checks that a reader that ignores the cursor is detected.
fn reader_is_rejected(reader: Reader) {
    assert!((1..10).any(|seed| !is_exact(&read(seed, reader))));
}

hornbeamloom_kernel::cases! {
    reader_is_rejected;

    // Negative controls: a check that cannot fail would hide a broken cursor.
    a_reader_of_all_events_is_rejected: (Reader::All);
    a_reader_of_newer_events_is_rejected: (Reader::Newer);
}
