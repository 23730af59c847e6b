//! The streams that a mock engine runs.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeamloom_daemon::published;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use super::{Engine, Fault};

/// Time between the refusal of a final copy and the end of the stream, for a caller that notices the
/// former first.
const LATE_STOP_DELAY: Duration = Duration::from_millis(15);

/// What a run does after its next event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunOrder {
    Continue,
    Stop,
    Complete,
}

#[derive(Debug)]
pub(super) struct ActiveRun {
    pub(super) events_sent: u64,
    pub(super) order: watch::Sender<RunOrder>,
    pub(super) handle: Option<String>,
}

/// Parameters of a stream that an engine runs.
#[derive(Debug, Clone, Copy)]
struct StreamRun<'a> {
    attempt: &'a str,
    /// Id of the last event that the caller has received.
    last_event_id: u64,
    event_count: u64,
    /// Index of the request in the log.
    ix: usize,
    /// Engine to which the KV memory is replicated as it grows.
    standby: Option<SocketAddr>,
}

impl Engine {
    pub(super) async fn run_stream(
        &self,
        stream: &mut TcpStream,
        attempt: &str,
        last_event_id: u64,
        event_count: u64,
        ix: usize,
    ) -> std::io::Result<bool> {
        let (order, mut orders) = published::channel(RunOrder::Continue);
        let run = ActiveRun { events_sent: last_event_id, order, handle: None };
        self.lock().runs.insert(attempt.to_owned(), run);
        let standby =
            self.request_log.requests()[ix].header("x-kv-backup").and_then(|to| to.parse().ok());
        let stream_run = StreamRun { attempt, last_event_id, event_count, ix, standby };
        let result = self.send_events(stream, &stream_run, &mut orders).await;
        // The KV copies of a stopped run stay in the log, so that it can be resumed from them.
        self.lock().runs.remove(attempt);
        self.request_log.record_end(ix);
        result
    }

    async fn send_events(
        &self,
        stream: &mut TcpStream,
        stream_run: &StreamRun<'_>,
        orders: &mut published::Value<RunOrder>,
    ) -> std::io::Result<bool> {
        let StreamRun { attempt, last_event_id, event_count, ix, standby } = *stream_run;
        let (framing, hints) = {
            let state = self.lock();
            (state.framing, state.headers)
        };
        let signature = self.lock().fault.signature();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n\
             {signature}{hints}{}\r\n",
            framing.header()
        );
        let mut due = Instant::now();
        let mut interval = self.interval;
        let mut byte = [0];
        // Without a connection, events are generated and not sent.
        let mut is_connected = true;
        for seq in last_event_id + 1..=event_count {
            due += interval;
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                _ = orders.changed() => match orders.get_and_update() {
                    RunOrder::Stop => return Ok(false),
                    RunOrder::Continue | RunOrder::Complete => interval = Duration::ZERO,
                },
                _ = stream.read(&mut byte), if is_connected => {
                    self.request_log.record_disconnect(ix);
                    is_connected = false;
                    if !self.lock().outlives_connections {
                        return Ok(false);
                    }
                }
            }
            self.end_of_silence().await;
            let fault = self.lock().fault;
            if !is_connected {
                continue;
            }
            if seq == last_event_id + 1 {
                if let Fault::StartsSilently(delay) = fault {
                    tokio::time::sleep(delay).await;
                }
                stream.write_all(head.as_bytes()).await?;
            }
            let event = match fault {
                Fault::ReplacesEvent(replaced, text) if seq == replaced => {
                    text.replace("{id}", attempt)
                }
                _ => format!("id: {seq}\ndata: {attempt}.{seq}\n\n"),
            };
            let chunk = framing.encode(&event);
            match fault {
                Fault::ClosesAfter(last) if seq > last => {
                    if !self.lock().outlives_connections {
                        return Ok(false);
                    }
                    stream.shutdown().await?;
                    is_connected = false;
                    continue;
                }
                Fault::ResetsAfter(last) if seq > last => {
                    stream.set_zero_linger()?;
                    return Ok(false);
                }
                Fault::SkipsEvent(skipped) if seq == skipped => continue,
                _ => {}
            }
            if matches!(fault, Fault::DisconnectsAfter(count) if seq > count) {
                stream.write_all(&chunk.as_bytes()[..chunk.len() / 2]).await?;
                return Ok(false);
            }
            if matches!(fault, Fault::HangsAfter(count) if seq > count) {
                // Waits until the caller closes the connection.
                let _ = stream.read(&mut byte).await;
                self.request_log.record_disconnect(ix);
                return Ok(false);
            }
            stream.write_all(chunk.as_bytes()).await?;
            if let Some(run) = self.lock().runs.get_mut(attempt) {
                run.events_sent = seq;
            }
            if let Some(to) = standby {
                self.request_log.copy_to_standby(attempt, to);
            }
        }
        if !is_connected {
            return Ok(false);
        }
        self.request_log.release_copy(attempt);
        if self.lock().fault == Fault::ClosesAfter(event_count) {
            return Ok(false);
        }
        if last_event_id >= event_count {
            // The caller has all events and gets the end of the stream alone.
            stream.write_all(head.as_bytes()).await?;
        }
        framing.finish(stream).await
    }
}

/// Ends the stream of a run after [`LATE_STOP_DELAY`].
pub(super) fn stop_late(order: watch::Sender<RunOrder>) {
    tokio::spawn(async move {
        tokio::time::sleep(LATE_STOP_DELAY).await;
        order.send_replace(RunOrder::Stop);
    });
}
