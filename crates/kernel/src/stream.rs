//! Sequence logic of one answer, used by traffic threads.

/// Where one answer stands: which generation it comes from and which token is next.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cursor {
    generation: Option<String>,
    next: u64,
}

/// What to do with a token event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accept {
    /// It is the next token.
    Deliver,
    /// It was delivered before; drop it.
    Duplicate,
    /// Tokens before it are missing; resume from the cursor.
    Gap,
    /// It belongs to another generation; drop it and the connection.
    Foreign,
}

impl Cursor {
    /// A cursor before the first token of any generation.
    pub fn new() -> Cursor {
        Cursor::default()
    }

    /// Sequence number of the next token wanted, from 0.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Judges token number `seq` of `generation` and moves on if it is the next.
    ///
    /// ```
    /// use hornbeamloom_kernel::stream::{Accept, Cursor};
    ///
    /// let mut cursor = Cursor::new();
    /// assert_eq!(cursor.accept("g1", 0), Accept::Deliver);
    /// assert_eq!(cursor.accept("g1", 0), Accept::Duplicate);
    /// assert_eq!(cursor.accept("g1", 2), Accept::Gap);
    /// assert_eq!(cursor.accept("g2", 1), Accept::Foreign);
    /// assert_eq!(cursor.next(), 1);
    /// ```
    pub fn accept(&mut self, generation: &str, seq: u64) -> Accept {
        match &self.generation {
            Some(current) if current != generation => return Accept::Foreign,
            Some(_) => {}
            None => self.generation = Some(generation.to_owned()),
        }
        match seq.cmp(&self.next) {
            std::cmp::Ordering::Less => Accept::Duplicate,
            std::cmp::Ordering::Greater => Accept::Gap,
            std::cmp::Ordering::Equal => {
                self.next += 1;
                Accept::Deliver
            }
        }
    }
}
