//! I1 and I4: random token events, late, repeated, missing and of other generations.

use hornbeamloom_kernel::stream::{Accept, Cursor, ReplayBuffer};
use quickcheck::{Arbitrary, Gen};

/// Tokens of one answer.
const TOKENS: u64 = 60;
/// Events of one answer, at most.
const EVENTS: usize = 2_000;
const OWN: &str = "generation-1";

/// How events are delivered, for negative controls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reader {
    /// By the cursor.
    Cursor,
    /// Everything is passed on.
    All,
    /// Everything that is newer than the last token is passed on.
    Newer,
}

/// Event of one connection: mostly the next token, else one of the faults.
fn event(g: &mut Gen, next: u64) -> (&'static str, u64) {
    let far = u64::from(u8::arbitrary(g)) % TOKENS;
    match u8::arbitrary(g) % 10 {
        0..=4 => (OWN, next),
        5 => (OWN, next.saturating_sub(1 + far % 4)),
        6 => (OWN, (next + 1 + far % 4).min(TOKENS - 1)),
        7 => (OWN, far),
        _ => ("generation-2", far),
    }
}

fn token(generation: &str, seq: u64) -> Vec<u8> {
    format!("{generation}:{seq}").into_bytes()
}

/// What a caller reads that loses its connection now and then.
fn read(seed: u64, reader: Reader) -> Vec<Vec<u8>> {
    let mut g = Gen::from_size_and_seed(16, seed);
    let (mut cursor, mut replay) = (Cursor::new(), ReplayBuffer::new());
    let mut got: Vec<Vec<u8>> = Vec::new();
    // The request's connection shows the generation first: the header names it.
    assert_eq!(cursor.accept(OWN, 0), Accept::Deliver);
    replay.push(&token(OWN, 0));
    for _ in 0..EVENTS {
        let (generation, seq) = event(&mut g, cursor.next().min(TOKENS - 1));
        let next = cursor.next();
        let accepted = cursor.accept(generation, seq);
        let is_passed = match reader {
            Reader::Cursor => accepted == Accept::Deliver,
            Reader::All => true,
            Reader::Newer => generation == OWN && seq >= next,
        };
        if is_passed {
            replay.push(&token(generation, seq));
        }
        if bool::arbitrary(&mut g) {
            let after = (got.len() as u64).checked_sub(1);
            let rest = replay.after(after).expect("the buffer keeps short answers");
            let rest: Vec<_> = rest.map(|(_, event)| event.to_vec()).collect();
            got.extend(rest);
        }
    }
    let after = (got.len() as u64).checked_sub(1);
    let rest = replay.after(after).expect("the buffer keeps short answers");
    got.extend(rest.map(|(_, event)| event.to_vec()).collect::<Vec<_>>());
    got
}

fn is_exact(got: &[Vec<u8>]) -> bool {
    let expected: Vec<Vec<u8>> = (0..TOKENS).map(|seq| token(OWN, seq)).collect();
    got == expected
}

/// Every answer is read exactly: all its tokens, once, in order, and no other.
fn reads(first: u64, answers: u64) {
    for seed in first..first + answers {
        let got = read(seed, Reader::Cursor);
        assert!(is_exact(&got), "seed {seed}: {got:?}");
    }
    println!("fuzz: {} token events from seed {first}", answers * EVENTS as u64);
}

hornbeamloom_kernel::cases! {
    reads;

    // A caller would read a token twice, out of order, or of another generation (I1, I4).
    each_token_is_read_once_and_in_order: (1, 50);
}

/// A reader without the cursor's judgement is found out.
fn fails(reader: Reader) {
    assert!((1..10).any(|seed| !is_exact(&read(seed, reader))));
}

hornbeamloom_kernel::cases! {
    fails;

    // Negative controls: a check that cannot fail would hide a broken cursor.
    a_reader_of_all_events_is_found: (Reader::All);
    a_reader_of_newer_events_is_found: (Reader::Newer);
}
