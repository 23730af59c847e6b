//! Where log lines go: a bounded queue in front of standard output.
//!
//! A reader of the log that is slow or has stopped must not hold up the threads that log. Lines
//! that find the queue full are dropped and counted, and the count is a line of the log itself.
//!
//! ```
//! use std::io::Write;
//! use hornbeamloom_daemon::output::Queue;
//!
//! let mut queue = Queue::new(std::io::sink(), 16);
//! queue.write_all(b"started\n").unwrap();
//! queue.flush().unwrap();
//! assert_eq!(queue.dropped(), 0);
//! ```

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

/// Lines that wait to be written: some seconds of a busy VM at two hundred bytes a line.
pub(crate) const LINES_MAX: usize = 4_096;
/// Longest wait of a flush, so that a reader that has stopped does not keep a process from exiting.
const FLUSH: Duration = Duration::from_millis(250);

/// What the writing thread is given.
enum Item {
    /// One line with its end.
    Line(Vec<u8>),
    /// Everything before it was written when this is answered.
    Flush(SyncSender<()>),
}

/// The writing end of the queue.
#[derive(Debug)]
pub struct Queue {
    items: SyncSender<Item>,
    /// A line whose end has not come yet.
    partial: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// A queue of at most `lines` lines in front of `sink`, which a thread of its own writes to.
    pub fn new(sink: impl Write + Send + 'static, lines: usize) -> Queue {
        let (items, receiver) = sync_channel(lines);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        let thread = std::thread::Builder::new().name("log".to_owned());
        // Without its thread the queue fills up and drops what comes, which it counts.
        let _ = thread.spawn(move || carry(&receiver, sink, &counted));
        Queue { items, partial: Vec::new(), dropped }
    }

    /// Lines that were dropped and are not accounted for in the log yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn push(&mut self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.items.try_send(Item::Line(line))
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.partial.extend_from_slice(bytes);
        while let Some(end) = self.partial.iter().position(|byte| *byte == b'\n') {
            let rest = self.partial.split_off(end + 1);
            let line = std::mem::replace(&mut self.partial, rest);
            self.push(line);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (done, is_done) = sync_channel(1);
        if self.items.try_send(Item::Flush(done)).is_ok() {
            // A sink that takes nothing is not waited for any longer.
            let _ = is_done.recv_timeout(FLUSH);
        }
        Ok(())
    }
}

/// Writes what comes, with one call for all lines that wait.
fn carry(items: &Receiver<Item>, mut sink: impl Write, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    let mut flushes = Vec::new();
    while let Ok(first) = items.recv() {
        for item in std::iter::once(first).chain(items.try_iter().take(LINES_MAX)) {
            match item {
                Item::Line(line) => batch.extend_from_slice(&line),
                Item::Flush(done) => flushes.push(done),
            }
        }
        let missing = dropped.swap(0, Ordering::Relaxed);
        if missing > 0 {
            batch.extend_from_slice(format!("log lines dropped={missing}\n").as_bytes());
        }
        // There is nowhere left to report that the log cannot be written.
        let _ = sink.write_all(&batch).and_then(|()| sink.flush());
        batch.clear();
        for done in flushes.drain(..) {
            // Whoever flushed may have given up.
            let _ = done.send(());
        }
    }
}
