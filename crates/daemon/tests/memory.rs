//! The account from which buffers of bodies are taken.

use hornbeamloom_daemon::memory::{Account, Buffer, Error, SMALL_BUFFER_BYTES};
use hornbeamloom_kernel::cases;

const LIMIT: usize = 1 << 20;

/// Pushes pieces of `piece_bytes` into a buffer that admits `max_bytes`, until it refuses one or has
/// `LIMIT` bytes.
fn fill(account: &Account, piece_bytes: usize, max_bytes: usize) -> (Buffer, Option<Error>) {
    let mut buffer = account.buffer(max_bytes);
    let piece = vec![b'x'; piece_bytes];
    while buffer.as_ref().len() < LIMIT {
        if let Err(error) = buffer.push(&piece) {
            return (buffer, Some(error));
        }
    }
    (buffer, None)
}

/// Checks how much of the account a buffer takes, whatever the size of its pieces.
fn buffer_is_charged(piece_bytes: usize, max_bytes: usize, expected: Option<Error>) {
    let account = Account::new(LIMIT);
    let (buffer, error) = fill(&account, piece_bytes, max_bytes);
    assert_eq!(error, expected);
    let length = buffer.as_ref().len();
    assert!(account.used() >= length, "{} of {length} bytes charged", account.used());
    assert!(account.used() <= 2 * length.max(piece_bytes), "{} charged", account.used());
    let body = buffer.freeze();
    assert_eq!(account.used(), length);
    let clone = body.clone();
    drop(body);
    assert_eq!(account.used(), length);
    drop(clone);
    assert_eq!(account.used(), 0);
}

cases! {
    buffer_is_charged;

    // Guards against memory that grows with the number of pieces.
    single_bytes: (1, 100_000, Some(Error::TooLong(100_000)));
    long_pieces: (100_000, 600_000, Some(Error::TooLong(600_000)));
    // Guards against a long body that takes the part of the account that is left to small ones.
    beyond_the_part_of_long_buffers: (1_000, LIMIT, Some(Error::Exhausted));
}

/// Guards against endless bodies that keep ordinary requests from being read, and against a charge
/// that a refused piece leaves behind.
#[test]
fn small_buffers_find_room_beside_long_ones() {
    let account = Account::new(LIMIT);
    let (first, _) = fill(&account, 1_000, LIMIT);
    let (second, error) = fill(&account, 1_000, LIMIT);
    assert_eq!(error, Some(Error::Exhausted));
    let used = account.used();
    let mut small = account.buffer(SMALL_BUFFER_BYTES);
    assert_eq!(small.push(&[b'x'; 1_000]), Ok(()));
    drop(small);
    assert_eq!(account.used(), used);
    drop((first, second));
    assert_eq!(account.used(), 0);
}

/// Guards against a lower limit that is not in force for buffers that exist already.
#[test]
fn lower_limit_stops_buffers_from_growing() {
    let account = Account::new(LIMIT);
    let mut buffer = account.buffer(LIMIT);
    assert_eq!(buffer.push(&[b'x'; 1_000]), Ok(()));
    account.set_limit(1_000);
    assert_eq!(buffer.push(&[b'x'; 1_000]), Err(Error::Exhausted));
    assert_eq!(buffer.as_ref().len(), 1_000);
}
