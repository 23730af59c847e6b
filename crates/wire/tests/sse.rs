//! The parser of server-sent events, on arbitrary bytes split at arbitrary positions.

use std::time::{Duration, Instant};

use hornbeamloom_wire::sse::{write_comment, write_event, Error, Item, Parser};
use quickcheck::{Arbitrary, Gen};

/// Fixed, so that every run tests the same inputs.
const SEED: u64 = 11;
const MAX_EVENT_BYTES: usize = 64;
const RUNS: usize = 20_000;

/// A piece of input that is likely to exercise the rules of the parser.
#[derive(Debug, Clone)]
struct Piece(Vec<u8>);

impl Arbitrary for Piece {
    fn arbitrary(g: &mut Gen) -> Piece {
        let texts: [&[u8]; 12] = [
            b"\n",
            b"\r\n",
            b"\r",
            b":",
            b"id: 1",
            b"data: x",
            b"data",
            b"event:e",
            b": ping",
            b"\xff",
            b"\xc3",
            "zażółć".as_bytes(),
        ];
        match bool::arbitrary(g) {
            true => Piece(g.choose(&texts).unwrap().to_vec()),
            false => Piece(Vec::arbitrary(g)),
        }
    }
}

/// All items that the parser finds in the pieces, up to its first error.
fn parse(pieces: &[Vec<u8>]) -> (Vec<String>, Option<Error>) {
    let mut parser = Parser::new(MAX_EVENT_BYTES);
    let mut found = Vec::new();
    for piece in pieces {
        parser.push(piece);
        loop {
            match parser.next_item() {
                Ok(Some(item)) => found.push(format!("{item:?}")),
                Ok(None) => break,
                Err(error) => return (found, Some(error)),
            }
        }
        assert!(
            parser.buffered_bytes() <= MAX_EVENT_BYTES + 1,
            "the parser buffers more than one event"
        );
    }
    (found, None)
}

/// Guards against panics, unbounded buffers, and results that depend on how the network splits the
/// stream.
#[test]
fn any_bytes_in_any_pieces_give_the_same_bounded_result() {
    let mut g = Gen::from_size_and_seed(24, SEED);
    for _ in 0..RUNS {
        let pieces: Vec<Piece> = Vec::arbitrary(&mut g);
        let pieces: Vec<Vec<u8>> = pieces.into_iter().map(|piece| piece.0).collect();
        let bytes: Vec<Vec<u8>> = pieces.concat().into_iter().map(|byte| vec![byte]).collect();
        let (items, error) = parse(&pieces);
        let (bytewise_items, bytewise_error) = parse(&bytes);
        assert_eq!((items, error), (bytewise_items, bytewise_error), "{pieces:?}");
    }
}

/// Guards against events that differ once they are written and parsed.
#[test]
fn written_events_are_read_back() {
    let mut g = Gen::from_size_and_seed(40, SEED);
    for _ in 0..RUNS {
        let text = String::arbitrary(&mut g);
        // The format cannot represent a carriage return at the end of a line.
        let text = text.replace('\r', "");
        let id: Option<u64> = Option::arbitrary(&mut g);
        let mut out = Vec::new();
        write_comment(&mut out, "ping");
        write_event(&mut out, id, Some("error"), &text);
        let mut parser = Parser::new(4_096);
        parser.push(&out);
        assert_eq!(parser.next_item(), Ok(Some(Item::Comment)));
        let Ok(Some(Item::Event(event))) = parser.next_item() else {
            panic!("no event in {out:?}");
        };
        assert_eq!(event.data, text);
        assert_eq!(event.name, Some("error"));
        assert_eq!(event.id.map(str::to_owned), id.map(|id| id.to_string()));
    }
}

/// Whether the rest of the input after its last event is a part of another one.
fn ends_inside_event(input: &str, expected: bool) {
    let mut parser = Parser::new(MAX_EVENT_BYTES);
    parser.push(input.as_bytes());
    while parser.next_block().unwrap().is_some() {}
    assert_eq!(parser.is_inside_event(), expected);
}

hornbeamloom_kernel::cases! {
    ends_inside_event;
    // Guards against a truncated event at the end of a stream that is taken for complete.
    event_without_its_blank_line_is_unfinished: ("data: a\n\ndata: b\n", true);
    event_with_half_of_its_blank_line_is_unfinished: ("data: a\r\n\r", true);
    line_without_its_end_is_unfinished: ("data: a\n\nda", true);
    comment_without_its_end_is_unfinished: ("data: a\n\n: x", true);
    event_after_a_comment_is_unfinished: (": x\ndata: a\n", true);
    // Guards against a complete stream that is taken for truncated.
    end_after_an_event_is_no_event: ("data: a\n\n", false);
    comment_line_is_no_event: ("data: a\n\n: x\n", false);
    white_space_is_no_event: ("data: a\n\n\r\n \t\r", false);
}

/// The parser returns events with these data texts, then the error.
fn yields(input: &str, data: &[&str], error: Option<Error>) {
    let mut parser = Parser::new(MAX_EVENT_BYTES);
    parser.push(input.as_bytes());
    let mut found = Vec::new();
    let end = loop {
        match parser.next_item() {
            Ok(Some(Item::Event(event))) => found.push(event.data.into_owned()),
            Ok(Some(Item::Comment)) => {}
            Ok(None) => break None,
            Err(error) => break Some(error),
        }
    };
    assert_eq!(found, data);
    assert_eq!(end, error);
}

hornbeamloom_kernel::cases! {
    yields;
    incomplete_event_is_not_returned: ("data: a\n", &[], None);
    lines_may_end_in_crlf: ("data: a\r\nid: 1\r\n\r\n", &["a"], None);
    data_lines_are_joined: ("data: a\ndata: b\n\n", &["a\nb"], None);
    only_one_space_is_dropped: ("data:  a\n\n", &[" a"], None);
    comments_between_events_are_skipped: (": x\n\ndata: a\n\n:\n\ndata: b\n\n", &["a", "b"], None);
    event_beyond_the_limit_is_refused: (&format!("data: {}\n\n", "x".repeat(80)), &[], Some(Error::TooLong(MAX_EVENT_BYTES)));
    unterminated_line_is_refused: (&"x".repeat(80), &[], Some(Error::TooLong(MAX_EVENT_BYTES)));
}

/// Guards against processor time that grows with the square of an event's length: the search for its
/// end would take minutes here.
#[test]
fn long_event_in_single_bytes_is_searched_once() {
    const EVENT_BYTES: usize = 256 * 1024;
    let started = Instant::now();
    let mut parser = Parser::new(EVENT_BYTES);
    for byte in format!("data: {}\n", "x".repeat(EVENT_BYTES - 7)).bytes() {
        parser.push(&[byte]);
        assert_eq!(parser.next_item(), Ok(None));
    }
    parser.push(b"\n");
    assert!(matches!(parser.next_item(), Ok(Some(Item::Event(_)))));
    assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
}
