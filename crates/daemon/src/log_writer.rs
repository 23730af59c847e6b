//! Where log lines go: a bounded queue in front of standard output.
//!
//! A reader of the log that is slow or has stopped must not hold up the threads that log. Lines
//! that find the queue full are dropped and counted, and the count is a line of the log itself.
//!
//! ```
//! use std::io::Write;
//! use hornbeamloom_daemon::log_writer::LogWriter;
//!
//! let mut writer = LogWriter::new(std::io::sink(), 16);
//! writer.write_all(b"started\n").unwrap();
//! writer.flush().unwrap();
//! assert_eq!(writer.dropped(), 0);
//! ```

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

/// Lines that wait to be written: some seconds of a busy VM at two hundred bytes a line.
pub(crate) const MAX_QUEUED_LINES: usize = 4_096;
/// Longest wait of a flush, so that a reader that has stopped does not keep a process from exiting.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// What the writing thread is given.
enum Entry {
    /// One line with its end.
    Line(Vec<u8>),
    /// Everything before it was written when this is answered.
    Flush(SyncSender<()>),
}

/// The writing end of the queue.
#[derive(Debug)]
pub struct LogWriter {
    entries: SyncSender<Entry>,
    /// A line whose end has not come yet.
    partial: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// A queue of at most `lines` lines in front of `sink`, which a thread of its own writes to.
    pub fn new(sink: impl Write + Send + 'static, max_lines: usize) -> LogWriter {
        let (entries, receiver) = sync_channel(max_lines);
        let dropped = Arc::new(AtomicU64::new(0));
        let drop_counter = dropped.clone();
        let thread = std::thread::Builder::new().name("log".to_owned());
        // Without its thread the queue fills up and drops what comes, which it counts.
        let _ = thread.spawn(move || write_queued(&receiver, sink, &drop_counter));
        LogWriter { entries, partial: Vec::new(), dropped }
    }

    /// Lines that were dropped and are not accounted for in the log yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn push(&mut self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.entries.try_send(Entry::Line(line))
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for LogWriter {
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
        let (flushed, flush_done) = sync_channel(1);
        if self.entries.try_send(Entry::Flush(flushed)).is_ok() {
            // A sink that takes nothing is not waited for any longer.
            let _ = flush_done.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Writes what comes, with one call for all lines that wait.
fn write_queued(entries: &Receiver<Entry>, mut sink: impl Write, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    let mut flushes = Vec::new();
    while let Ok(first) = entries.recv() {
        for entry in std::iter::once(first).chain(entries.try_iter().take(MAX_QUEUED_LINES)) {
            match entry {
                Entry::Line(line) => batch.extend_from_slice(&line),
                Entry::Flush(flushed) => flushes.push(flushed),
            }
        }
        let drop_count = dropped.swap(0, Ordering::Relaxed);
        if drop_count > 0 {
            batch.extend_from_slice(format!("log lines dropped={drop_count}\n").as_bytes());
        }
        // There is nowhere left to report that the log cannot be written.
        let _ = sink.write_all(&batch).and_then(|()| sink.flush());
        batch.clear();
        for flushed in flushes.drain(..) {
            // Whoever flushed may have given up.
            let _ = flushed.send(());
        }
    }
}
