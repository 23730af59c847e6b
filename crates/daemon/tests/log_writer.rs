//! Tests that the log is written completely and in order, and that logging never blocks.

use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};

use hornbeamloom_daemon::log_writer::LogWriter;

/// Number of lines logged by a test; far more than its queue holds.
const LINES: usize = 1_000;

/// A sink that records the data written, and blocks the first write until it receives a permit.
struct Sink {
    written: Arc<Mutex<Vec<u8>>>,
    permit: Option<Receiver<()>>,
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(permit) = self.permit.take() {
            // The sender is dropped when the test has ended.
            let _ = permit.recv();
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn sink() -> (Sink, Arc<Mutex<Vec<u8>>>, Sender<()>) {
    let written = Arc::new(Mutex::new(Vec::new()));
    let (permit, permitted) = channel();
    let sink = Sink { written: written.clone(), permit: Some(permitted) };
    (sink, written, permit)
}

/// Writes the parts and compares the text that reaches the sink.
fn is_written_as(parts: &[&str], expected: &str) {
    let (sink, written, permit) = sink();
    permit.send(()).unwrap();
    let mut writer = LogWriter::new(sink, 16);
    for part in parts {
        writer.write_all(part.as_bytes()).unwrap();
    }
    writer.flush().unwrap();
    assert_eq!(String::from_utf8_lossy(&written.lock().unwrap()), expected);
}

hornbeamloom_kernel::cases! {
    is_written_as;

    // Otherwise the lines of two threads could be interleaved.
    line_in_parts_is_written_as_one: (&["a=", "1", "\n"], "a=1\n");
    lines_keep_their_order: (&["a=1\nb=2\n", "c=3\n"], "a=1\nb=2\nc=3\n");
    incomplete_line_is_not_written: (&["a=1\nb="], "a=1\n");
}

/// Guards against a log reader that blocks the daemon by no longer reading.
#[test]
fn blocked_sink_does_not_block_the_logger() {
    let (sink, written, permit) = sink();
    let mut writer = LogWriter::new(sink, 4);
    for number in 0..LINES {
        writeln!(writer, "line={number}").unwrap();
    }
    // The sink has not accepted any data so far.
    assert_eq!(written.lock().unwrap().len(), 0);
    permit.send(()).unwrap();
    let mut extra = 0;
    while accounted_lines(&written.lock().unwrap()) < LINES + extra {
        writer.flush().unwrap();
        // The number of dropped lines is reported together with the next line.
        writeln!(writer, "line={extra}").unwrap();
        extra += 1;
        writer.flush().unwrap();
    }
    assert_eq!(accounted_lines(&written.lock().unwrap()), LINES + extra);
}

/// Returns the number of lines written or reported as dropped in a log.
fn accounted_lines(log: &[u8]) -> usize {
    let log = String::from_utf8_lossy(log);
    let lines = log.lines().filter_map(|line| match line.strip_prefix("log lines dropped=") {
        Some(count) => count.parse().ok(),
        None => line.starts_with("line=").then_some(1),
    });
    lines.sum()
}

/// Guards against a queue that is bounded in lines only: lines contain text that callers choose.
#[test]
fn long_lines_are_bounded_in_bytes() {
    const LINE_BYTES: usize = 16 << 10;
    let (sink, written, permit) = sink();
    let mut writer = LogWriter::new(sink, LINES);
    let line = "x".repeat(LINE_BYTES - 1) + "\n";
    for _ in 0..LINES {
        writer.write_all(line.as_bytes()).unwrap();
    }
    let dropped = writer.dropped() as usize;
    drop(permit);
    writer.flush().unwrap();
    // The sink may have taken a first batch before it blocked.
    assert!((LINES - dropped) * LINE_BYTES <= 4 << 20, "{dropped} of {LINES} lines dropped");
    assert!(written.lock().unwrap().len() >= LINE_BYTES);
}
