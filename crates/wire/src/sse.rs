//! Server-sent events: an incremental parser with a bounded buffer, and a writer.
//!
//! Lines may end in LF or CRLF. See the section "Server-sent events" of the HTML standard.

use std::borrow::Cow;

/// An event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event<'a> {
    /// Value of the last `id` field.
    pub id: Option<&'a str>,
    /// Value of the last `event` field.
    pub name: Option<&'a str>,
    /// Values of all `data` fields, joined by line feeds.
    pub data: Cow<'a, str>,
}

/// An item of an event stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Item<'a> {
    /// An event with data.
    Event(Event<'a>),
    /// A block without data, which contains only comments or other fields.
    Comment,
}

/// A block of the stream, up to and including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block<'a> {
    /// Value of the last `id` field.
    pub id: Option<&'a str>,
    /// Whether the block is an event. A block without data contains only comments or other fields.
    pub is_event: bool,
    /// Bytes of the block as received.
    pub bytes: &'a [u8],
}

/// Why a stream cannot be parsed any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// An event is longer than the parser's limit.
    #[error("an event is longer than {0} bytes")]
    TooLong(usize),
    /// An event is not UTF-8.
    #[error("an event is not UTF-8")]
    Encoding,
}

/// Splits a byte stream into events.
///
/// ```
/// use hornbeamloom_wire::sse::{Item, Parser};
///
/// let mut parser = Parser::new(1024);
/// parser.push(b": ping\n\nid: 7\ndata: hel");
/// assert_eq!(parser.next_item(), Ok(Some(Item::Comment)));
/// assert_eq!(parser.next_item(), Ok(None));
/// parser.push(b"lo\n\n");
/// let Ok(Some(Item::Event(event))) = parser.next_item() else { panic!() };
/// assert_eq!((event.id, &*event.data), (Some("7"), "hello"));
/// ```
#[derive(Debug)]
pub struct Parser {
    buf: Vec<u8>,
    /// Where the first block that has not been returned begins.
    start: usize,
    /// Where the first line that has no end yet begins.
    line: usize,
    /// Up to where no line end follows `line`.
    searched: usize,
    max_event_bytes: usize,
}

impl Parser {
    /// A parser that rejects events longer than `max_event_bytes`.
    pub fn new(max_event_bytes: usize) -> Parser {
        Parser { buf: Vec::new(), start: 0, line: 0, searched: 0, max_event_bytes }
    }

    /// Adds received bytes. Take all complete items before, so that the buffer stays bounded.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.drain(..self.start);
        self.line -= self.start;
        self.searched -= self.start;
        self.start = 0;
        self.buf.extend_from_slice(bytes);
    }

    /// Number of bytes that have not been returned yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buf.len() - self.start
    }

    /// Number of bytes that the parser has allocated.
    pub fn allocated_bytes(&self) -> usize {
        self.buf.capacity()
    }

    /// Whether the bytes that have not been returned yet are a part of an event. Blank lines and
    /// whole lines of comments are not.
    pub fn is_inside_event(&self) -> bool {
        let mut lines = self.buf[self.start..].split_inclusive(|byte| *byte == b'\n');
        lines.any(|line| {
            let is_comment = line.starts_with(b":") && line.ends_with(b"\n");
            !is_comment && !line.trim_ascii().is_empty()
        })
    }

    /// The next complete item, or `None` until more bytes are pushed.
    pub fn next_item(&mut self) -> Result<Option<Item<'_>>, Error> {
        let Some((end, next)) = self.find_block() else {
            // The byte after the limit may be the first one of the blank line that ends the event.
            return match self.buffered_bytes() > self.max_event_bytes + 1 {
                true => Err(Error::TooLong(self.max_event_bytes)),
                false => Ok(None),
            };
        };
        let begin = std::mem::replace(&mut self.start, next);
        if end - begin > self.max_event_bytes {
            return Err(Error::TooLong(self.max_event_bytes));
        }
        let text = std::str::from_utf8(&self.buf[begin..end]).map_err(|_| Error::Encoding)?;
        Ok(Some(parse_block(text)))
    }

    /// The next complete block as received, with its `id` field, or `None` until more bytes are
    /// pushed.
    ///
    /// # Errors
    ///
    /// As [`Parser::next_item`].
    ///
    /// ```
    /// use hornbeamloom_wire::sse::{Block, Parser};
    ///
    /// let mut parser = Parser::new(1024);
    /// parser.push(b"id: 7\ndata: a\n\nid: 8\n");
    /// let block = parser.next_block().unwrap().unwrap();
    /// assert_eq!(block, Block { id: Some("7"), is_event: true, bytes: b"id: 7\ndata: a\n\n" });
    /// assert_eq!(parser.next_block(), Ok(None));
    /// assert_eq!(parser.buffered_bytes(), 6);
    /// assert!(parser.is_inside_event());
    /// ```
    pub fn next_block(&mut self) -> Result<Option<Block<'_>>, Error> {
        let begin = self.start;
        let is_event = match self.next_item()? {
            Some(item) => matches!(item, Item::Event(_)),
            None => return Ok(None),
        };
        let bytes = &self.buf[begin..self.start];
        let text = std::str::from_utf8(bytes).map_err(|_| Error::Encoding)?;
        let mut ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
        let id = ids.next_back().map(|id| id.strip_prefix(' ').unwrap_or(id));
        Ok(Some(Block { id, is_event, bytes }))
    }

    /// End of the next block, without its blank line, and start of the block after it.
    fn find_block(&mut self) -> Option<(usize, usize)> {
        // Bytes are searched once, however small the pieces in which they arrive.
        while let Some(length) = self.buf[self.searched..].iter().position(|byte| *byte == b'\n') {
            let next = self.searched + length + 1;
            let line = std::mem::replace(&mut self.line, next);
            self.searched = next;
            if matches!(&self.buf[line..next], b"\n" | b"\r\n") {
                return Some((line, next));
            }
        }
        self.searched = self.buf.len();
        None
    }
}

fn parse_block(block: &str) -> Item<'_> {
    let mut event = Event { id: None, name: None, data: Cow::Borrowed("") };
    let mut has_data = false;
    for line in block.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => event.id = Some(value),
            "event" => event.name = Some(value),
            "data" if has_data => {
                event.data.to_mut().push('\n');
                event.data.to_mut().push_str(value);
            }
            "data" => {
                event.data = Cow::Borrowed(value);
                has_data = true;
            }
            _ => {}
        }
    }
    match has_data {
        true => Item::Event(event),
        false => Item::Comment,
    }
}

/// Appends one event to `out`.
///
/// ```
/// let mut out = Vec::new();
/// hornbeamloom_wire::sse::write_event(&mut out, Some(3), None, "{}");
/// assert_eq!(out, b"id: 3\ndata: {}\n\n");
/// ```
pub fn write_event(out: &mut Vec<u8>, id: Option<u64>, name: Option<&str>, data: &str) {
    if let Some(id) = id {
        out.extend_from_slice(format!("id: {id}\n").as_bytes());
    }
    if let Some(name) = name {
        out.extend_from_slice(format!("event: {name}\n").as_bytes());
    }
    for line in data.split('\n') {
        out.extend_from_slice(b"data: ");
        out.extend_from_slice(line.as_bytes());
        out.push(b'\n');
    }
    out.push(b'\n');
}

/// Appends a comment, which parsers skip, to `out`.
///
/// ```
/// let mut out = Vec::new();
/// hornbeamloom_wire::sse::write_comment(&mut out, "ping");
/// assert_eq!(out, b": ping\n\n");
/// ```
pub fn write_comment(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(b": ");
    out.extend_from_slice(text.as_bytes());
    out.extend_from_slice(b"\n\n");
}
