//! A non-blocking log writer: a bounded queue of lines and a thread that writes them to a sink.
//!
//! A slow or stopped reader of the log must not block the threads that log. Lines are dropped while
//! the queue is full, and the number of dropped lines is itself written to the log.
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
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::Duration;

/// Queued lines: a few seconds of output of a busy VM, at 200 bytes a line.
pub(crate) const MAX_QUEUED_LINES: usize = 4_096;
/// Bytes queued in all lines: lines can contain text that callers choose.
const MAX_QUEUED_BYTES: usize = 1 << 20;
/// Maximum duration of a flush, so that a stopped reader does not keep the process from exiting.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// A queue entry for the writer thread.
enum Entry {
    /// One line, including its newline.
    Line(Vec<u8>),
    /// A flush request, acknowledged once all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// A writer that queues complete lines and never blocks on the sink.
#[derive(Debug)]
pub struct LogWriter {
    entries: SyncSender<Entry>,
    /// A line whose newline has not been written yet.
    partial: Vec<u8>,
    dropped: Arc<AtomicU64>,
    queued_bytes: Arc<AtomicUsize>,
}

impl LogWriter {
    /// Creates a queue of at most `max_lines` lines and a thread that writes them to `sink`.
    pub fn new(sink: impl Write + Send + 'static, max_lines: usize) -> LogWriter {
        let (entries, receiver) = sync_channel(max_lines);
        let dropped = Arc::new(AtomicU64::new(0));
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let (drop_counter, byte_counter) = (dropped.clone(), queued_bytes.clone());
        let thread = std::thread::Builder::new().name("log".to_owned());
        // If the thread cannot be spawned, lines are dropped and counted.
        let _ = thread.spawn(move || write_queued(&receiver, sink, &drop_counter, &byte_counter));
        LogWriter { entries, partial: Vec::new(), dropped, queued_bytes }
    }

    /// Returns the number of dropped lines not yet reported in the log.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn push(&mut self, line: Vec<u8>) {
        let length = line.len();
        let queued = self.queued_bytes.fetch_add(length, Ordering::Relaxed);
        if queued > MAX_QUEUED_BYTES || self.entries.try_send(Entry::Line(line)).is_err() {
            self.queued_bytes.fetch_sub(length, Ordering::Relaxed);
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
            // Gives up when the sink does not accept the data in time.
            let _ = flush_done.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Writes queued lines to the sink, batching all waiting lines into one call.
fn write_queued(
    entries: &Receiver<Entry>,
    mut sink: impl Write,
    dropped: &AtomicU64,
    queued_bytes: &AtomicUsize,
) {
    let mut batch = Vec::new();
    let mut flushes = Vec::new();
    while let Ok(first) = entries.recv() {
        for entry in std::iter::once(first).chain(entries.try_iter().take(MAX_QUEUED_LINES)) {
            match entry {
                Entry::Line(line) => batch.extend_from_slice(&line),
                Entry::Flush(flushed) => flushes.push(flushed),
            }
        }
        let line_bytes = batch.len();
        let drop_count = dropped.swap(0, Ordering::Relaxed);
        if drop_count > 0 {
            batch.extend_from_slice(format!("log lines dropped={drop_count}\n").as_bytes());
        }
        // A failure to write the log cannot be reported anywhere.
        let _ = sink.write_all(&batch).and_then(|()| sink.flush());
        queued_bytes.fetch_sub(line_bytes, Ordering::Relaxed);
        batch.clear();
        for flushed in flushes.drain(..) {
            // The flushing thread may have timed out.
            let _ = flushed.send(());
        }
    }
}
