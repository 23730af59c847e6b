//! A stand-in for the engines and back ends of the users' platform.
//!
//! It runs in the test's own process and speaks HTTP over plain sockets, so that it can break off,
//! answer twice or answer another request. The body of a request says what comes: `events=N` gives
//! a stream of N events, anything else a whole answer. Every event names its request and number, so
//! that a caller can tell a gap, a repeat or another's event.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Header that says that a request was not run.
const NOT_RUN: &str = "X-Not-Executed: 1\r\n";

/// Time between the answer to an order and the death that follows it.
const DEATH: Duration = Duration::from_millis(2);

/// How an engine behaves towards requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// As it should.
    #[default]
    None,
    /// It takes no request.
    Sheds,
    /// It runs requests and answers that it failed.
    Fails,
    /// It closes the connection after so many events, in the middle of the next one.
    CutsAfter(u64),
    /// It falls silent after so many events and keeps the connection.
    SilentAfter(u64),
    /// It promises a longer answer than it sends.
    Truncates,
    /// It sends a second answer behind the first.
    AnswersTwice,
    /// Its answer has the id of another request.
    AnswersAnother,
    /// Another engine has taken its address.
    Misdirected,
    /// It encodes its answer.
    Encodes,
}

/// How an engine behaves towards orders to copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CopyFault {
    /// As it should.
    #[default]
    None,
    /// It has no room for copies.
    NoRoom,
    /// It takes the first copy of a run, then stops the run and refuses the rest.
    NoRoomAtTheEnd,
    /// It dies right after the first copy of a run.
    Dies,
}

/// One request that reached an engine.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Name of the engine.
    pub engine: String,
    /// The request line and headers.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
    /// It began to run.
    pub ran: bool,
    /// Its caller went away while it ran.
    pub left: bool,
}

impl Seen {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(own, _)| own.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

/// Memory of a run that can go on.
#[derive(Debug, Clone)]
struct Kept {
    attempt: String,
    /// Engines at which the copy can be used.
    places: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Run {
    made: u64,
    stop: watch::Sender<bool>,
    handle: Option<String>,
}

/// What all engines of a test share.
#[derive(Debug, Default)]
struct World {
    seen: Vec<Seen>,
    copies: BTreeMap<String, Kept>,
    handles: u64,
}

/// The engines of one test, and everything that reached them.
#[derive(Debug, Clone, Default)]
pub struct Journal(Arc<Mutex<World>>);

impl Journal {
    /// A journal without engines.
    pub fn new() -> Journal {
        Journal::default()
    }

    fn lock(&self) -> MutexGuard<'_, World> {
        self.0.lock().expect("no holder of the lock panics")
    }

    /// The requests that reached engines, in order, without reports and orders.
    pub fn seen(&self) -> Vec<Seen> {
        self.lock().seen.clone()
    }

    /// Engines at which a caller's attempt ran, in order.
    pub fn runs(&self, attempt: &str) -> Vec<String> {
        let world = self.lock();
        let own = world.seen.iter().filter(|seen| seen.header("x-attempt-id") == Some(attempt));
        own.filter(|seen| seen.ran).map(|seen| seen.engine.clone()).collect()
    }

    /// Keeps the memory of a run at the engine that it is sent to as it grows.
    fn stand_by(&self, attempt: &str, to: SocketAddr) {
        let copy = Kept { attempt: attempt.to_owned(), places: vec![to] };
        self.lock().copies.insert(attempt.to_owned(), copy);
    }

    fn free(&self, handle: &str) {
        self.lock().copies.remove(handle);
    }

    /// Copies that can still be used.
    pub fn copies(&self) -> usize {
        self.lock().copies.len()
    }
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    copy_fault: CopyFault,
    is_leaving: bool,
    runs: BTreeMap<String, Run>,
}

/// A stream that an engine runs.
#[derive(Debug, Clone, Copy)]
struct Order<'a> {
    attempt: &'a str,
    /// The last event that the caller has.
    last: u64,
    events: u64,
    /// Its place in the journal.
    ix: usize,
    /// Where its memory is sent as it grows.
    standby: Option<SocketAddr>,
}

/// One engine or back end.
#[derive(Debug, Clone)]
pub struct Engine {
    name: String,
    address: SocketAddr,
    interval: Duration,
    copy: Duration,
    journal: Journal,
    state: Arc<Mutex<State>>,
    dead: watch::Sender<bool>,
}

impl Engine {
    /// Starts an engine on a free port.
    ///
    /// `interval` is the time between two events and of a whole answer, `copy` that of a copy.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start(
        name: &str,
        journal: &Journal,
        interval: Duration,
        copy: Duration,
    ) -> std::io::Result<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let engine = Engine {
            name: name.to_owned(),
            address: listener.local_addr()?,
            interval,
            copy,
            journal: journal.clone(),
            state: Arc::default(),
            dead: watch::channel(false).0,
        };
        tokio::spawn(engine.clone().accept(listener));
        Ok(engine)
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes it behave in another way towards requests.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Makes it behave in another way towards orders to copy.
    pub fn set_copy_fault(&self, fault: CopyFault) {
        self.lock().copy_fault = fault;
    }

    /// Makes its reports say that it leaves.
    pub fn leave(&self) {
        self.lock().is_leaving = true;
    }

    /// Ends it: nothing listens any more and every connection breaks.
    pub fn kill(&self) {
        self.dead.send_replace(true);
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.lock().runs.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    async fn accept(self, listener: TcpListener) {
        let mut dead = self.dead.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().connection(stream));
                    }
                }
                _ = dead.changed() => return,
            }
        }
    }

    async fn connection(self, mut stream: TcpStream) {
        let mut dead = self.dead.subscribe();
        tokio::select! {
            _ = self.serve(&mut stream) => {}
            _ = dead.changed() => {}
        }
    }

    async fn serve(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        while let Some((head, body)) = receive(stream).await? {
            let line = head.lines().next().unwrap_or_default().to_owned();
            if line.starts_with("GET /hornbeamloom/report ") {
                stream.write_all(&self.report()).await?;
            } else if line.starts_with("POST /hornbeamloom/kv-move ") {
                let answer = self.copy(&body).await;
                stream.write_all(&answer).await?;
            } else if let Some(rest) = line.strip_prefix("DELETE /hornbeamloom/kv-handle/") {
                let handle = rest.split(' ').next().unwrap_or_default();
                self.journal.free(handle);
                stream.write_all(&answer(200, "", b"")).await?;
            } else if !self.request(stream, head, body).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    fn report(&self) -> Vec<u8> {
        let state = self.lock();
        let report = json!({
            "phase": "both", "models": [], "busy": false, "sequence": 1, "waiting": 0,
            "running": state.runs.len(), "kv_used_tokens": 0, "kv_total_tokens": 100_000,
            "handles": 0, "born": 1, "state": if state.is_leaving { "draining" } else { "ready" },
        });
        answer(200, "Content-Type: application/json\r\n", report.to_string().as_bytes())
    }

    /// Carries out an order to copy.
    async fn copy(&self, body: &[u8]) -> Vec<u8> {
        let order: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let attempt = order["id"].as_str().unwrap_or_default().to_owned();
        let to: Option<SocketAddr> = order["to"].as_str().and_then(|to| to.parse().ok());
        let is_last = order["last"].as_bool().unwrap_or(false);
        let fault = self.lock().copy_fault;
        if fault == CopyFault::NoRoom {
            return answer(503, "", b"{}");
        }
        let (handle, made) = {
            let mut state = self.lock();
            let Some(run) = state.runs.get_mut(&attempt) else {
                return answer(404, "", b"{}");
            };
            if is_last {
                run.stop.send_replace(true);
            }
            let handle = run.handle.get_or_insert_with(|| {
                let mut world = self.journal.lock();
                world.handles += 1;
                format!("h{}", world.handles)
            });
            (handle.clone(), run.made)
        };
        let is_refused = is_last && fault == CopyFault::NoRoomAtTheEnd;
        if !is_refused {
            tokio::time::sleep(self.copy).await;
        }
        let mut world = self.journal.lock();
        let first = world.copies.get(&handle).map(|copy| copy.places.clone());
        // The first copy may have been used while the rest was on its way.
        if !is_last || first.is_some() {
            let mut places = first.unwrap_or_default();
            places.extend(to);
            places.extend(is_last.then_some(self.address));
            world.copies.insert(handle.clone(), Kept { attempt, places });
        }
        drop(world);
        if fault == CopyFault::Dies {
            let engine = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(DEATH).await;
                engine.kill();
            });
        }
        let text = json!({"handle": handle, "created": made}).to_string();
        answer(if is_refused { 503 } else { 200 }, "", text.as_bytes())
    }

    /// Answers a request; false if the connection must be closed.
    async fn request(
        &self,
        stream: &mut TcpStream,
        head: String,
        body: Vec<u8>,
    ) -> std::io::Result<bool> {
        let attempt = header(&head, "x-attempt-id").unwrap_or_default().to_owned();
        let fault = self.lock().fault;
        let expected = header(&head, "x-expected-instance");
        let is_other = expected.is_some_and(|name| name != self.name);
        let refused = match fault {
            _ if is_other || fault == Fault::Misdirected => Some(421),
            Fault::Sheds => Some(503),
            _ => {
                let memory = header(&head, "kv-from").map(|from| self.take(from, &attempt));
                (memory == Some(false)).then_some(503)
            }
        };
        let last = header(&head, "last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let ix = {
            let mut world = self.journal.lock();
            let ran = refused.is_none();
            let engine = self.name.clone();
            world.seen.push(Seen { engine, head, body: body.clone(), ran, left: false });
            world.seen.len() - 1
        };
        if let Some(status) = refused {
            let echo = format!("{NOT_RUN}X-Attempt-Id: {attempt}\r\n");
            stream.write_all(&answer(status, &echo, b"")).await?;
            return Ok(true);
        }
        let text = String::from_utf8_lossy(&body);
        let events = text.strip_prefix("events=").and_then(|count| count.trim().parse().ok());
        match events {
            Some(events) => self.stream(stream, &attempt, last, events, ix).await,
            None => self.whole(stream, &attempt, ix).await,
        }
    }

    /// Whether memory for a run can be used here; it can be used once.
    fn take(&self, from: &str, attempt: &str) -> bool {
        let handle = from.rsplit('/').next().unwrap_or_default();
        let mut world = self.journal.lock();
        let is_here = world
            .copies
            .get(handle)
            .is_some_and(|copy| copy.attempt == attempt && copy.places.contains(&self.address));
        if is_here {
            world.copies.remove(handle);
        }
        is_here
    }

    async fn whole(
        &self,
        stream: &mut TcpStream,
        attempt: &str,
        ix: usize,
    ) -> std::io::Result<bool> {
        let mut byte = [0];
        tokio::select! {
            () = tokio::time::sleep(self.interval) => {}
            _ = stream.read(&mut byte) => {
                self.journal.lock().seen[ix].left = true;
                return Ok(false);
            }
        }
        let fault = self.lock().fault;
        let echo = match fault {
            Fault::AnswersAnother => "another",
            _ => attempt,
        };
        let encoding = if fault == Fault::Encodes { "Content-Encoding: gzip\r\n" } else { "" };
        let headers = format!("X-Response-Signature: s\r\nX-Attempt-Id: {echo}\r\n{encoding}");
        let body = format!("{}:{attempt}", self.name);
        let status = if fault == Fault::Fails { 500 } else { 200 };
        let whole = answer(status, &headers, body.as_bytes());
        match fault {
            Fault::Truncates => {
                stream.write_all(&whole[..whole.len() - 3]).await?;
                Ok(false)
            }
            Fault::AnswersTwice => {
                stream.write_all(&whole).await?;
                stream.write_all(&whole).await?;
                Ok(true)
            }
            _ => {
                stream.write_all(&whole).await?;
                Ok(true)
            }
        }
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        attempt: &str,
        last: u64,
        events: u64,
        ix: usize,
    ) -> std::io::Result<bool> {
        let (stop, mut stopped) = watch::channel(false);
        let run = Run { made: last, stop, handle: None };
        self.lock().runs.insert(attempt.to_owned(), run);
        let standby = self.journal.seen()[ix].header("x-kv-backup").and_then(|to| to.parse().ok());
        let order = Order { attempt, last, events, ix, standby };
        let result = self.events(stream, &order, &mut stopped).await;
        // A run that was stopped keeps its memory; whoever asks for it finds the copy.
        self.lock().runs.remove(attempt);
        result
    }

    async fn events(
        &self,
        stream: &mut TcpStream,
        order: &Order<'_>,
        stopped: &mut watch::Receiver<bool>,
    ) -> std::io::Result<bool> {
        let Order { attempt, last, events, ix, standby } = *order;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n\
             X-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut due = Instant::now();
        let mut byte = [0];
        for seq in last + 1..=events {
            due += self.interval;
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                _ = stopped.changed() => return Ok(false),
                _ = stream.read(&mut byte) => {
                    self.journal.lock().seen[ix].left = true;
                    return Ok(false);
                }
            }
            if seq == last + 1 {
                stream.write_all(head.as_bytes()).await?;
            }
            let event = format!("id: {seq}\ndata: {attempt}.{seq}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let fault = self.lock().fault;
            if matches!(fault, Fault::CutsAfter(count) if seq > count) {
                stream.write_all(&chunk.as_bytes()[..chunk.len() / 2]).await?;
                return Ok(false);
            }
            if matches!(fault, Fault::SilentAfter(count) if seq > count) {
                // Until the caller closes the connection.
                let _ = stream.read(&mut byte).await;
                self.journal.lock().seen[ix].left = true;
                return Ok(false);
            }
            stream.write_all(chunk.as_bytes()).await?;
            if let Some(run) = self.lock().runs.get_mut(attempt) {
                run.made = seq;
            }
            if let Some(to) = standby {
                self.journal.stand_by(attempt, to);
            }
        }
        self.journal.free(attempt);
        stream.write_all(b"0\r\n\r\n").await?;
        Ok(true)
    }
}

/// Reads one request; `None` if the connection was closed before one.
async fn receive(stream: &mut TcpStream) -> std::io::Result<Option<(String, Vec<u8>)>> {
    let mut bytes = Vec::new();
    let mut part = [0; 4_096];
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        let count = stream.read(&mut part).await?;
        if count == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&part[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length = header(&head, "content-length").and_then(|length| length.parse().ok());
    let mut body = bytes[end..].to_vec();
    while body.len() < length.unwrap_or(0) {
        let count = stream.read(&mut part).await?;
        if count == 0 {
            return Ok(None);
        }
        body.extend_from_slice(&part[..count]);
    }
    Ok(Some((head, body)))
}

fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} x\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
