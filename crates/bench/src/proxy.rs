//! A fault-injecting TCP proxy.
//!
//! `POST /_fault` on the control address takes `{"delay_ms": N}`, `{"stall": "up"|"down"|""}`
//! (forward nothing in one direction, on all connections), `{"silence": true}` (forward nothing
//! more on connections that are open now; new ones work), `{"cut": true}` (close the connections
//! that are open now), `{"refuse": true|false}` (close new connections at once),
//! `{"drop_answers": N}` (on the next N connections that receive a response, close instead of
//! forwarding its first byte) and `{"truncate": BYTES}` (close the next connection that receives a
//! response after that many bytes).

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use argh::FromArgs;
use hornbeamloom_daemon::published;
use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use warp::http::StatusCode;
use warp::Filter;

use crate::{role, runtime};

const BUFFER_BYTES: usize = 16 * 1024;

inventory::submit! {
    role::Plugin { name: "proxy", help: "fault-injecting TCP proxy", run }
}

/// Fault-injecting TCP proxy.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// address to forward to
    #[argh(option)]
    to: SocketAddr,
    /// address of the fault control interface
    #[argh(option)]
    control: SocketAddr,
}

fn run(arguments: &[&str]) -> Result<ExitCode, role::Error> {
    let args: Args = runtime::parse_args("proxy", arguments)?;
    runtime::block_on(async move {
        let proxy = Proxy::new(args.to);
        let listener = TcpListener::bind(args.listen).await?;
        println!("proxying {}", listener.local_addr()?);
        tokio::spawn(proxy.clone().accept(listener));
        let route = warp::path!("_fault")
            .and(warp::post())
            .and(warp::body::json())
            .map(move |request| proxy.inject_faults(&request));
        runtime::serve(args.control, route).await
    })
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct FaultRequest {
    delay_ms: Option<u64>,
    stall: Option<String>,
    silence: bool,
    cut: bool,
    refuse: Option<bool>,
    drop_answers: u32,
    truncate: Option<u64>,
}

/// The faults that apply to connections.
#[derive(Debug, Clone, Default)]
struct ActiveFaults {
    delay: Duration,
    stall: String,
    refuse: bool,
    /// Nothing is forwarded on connections with numbers below this.
    silenced_below: u64,
    /// Connections with numbers below this are closed.
    closed_below: u64,
}

#[derive(Debug, Default)]
struct Counters {
    connections: u64,
    responses_to_drop: u32,
    truncate_at: Option<u64>,
}

#[derive(Debug, Clone)]
struct Proxy {
    upstream_address: SocketAddr,
    faults: watch::Sender<ActiveFaults>,
    counters: Arc<Mutex<Counters>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

impl Proxy {
    fn new(upstream_address: SocketAddr) -> Proxy {
        let (faults, _) = watch::channel(ActiveFaults::default());
        Proxy { upstream_address, faults, counters: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Counters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn inject_faults(&self, request: &FaultRequest) -> StatusCode {
        let next_connection = {
            let mut counters = self.lock();
            counters.responses_to_drop += request.drop_answers;
            counters.truncate_at = request.truncate.or(counters.truncate_at);
            counters.connections
        };
        self.faults.send_modify(|faults| {
            if let Some(delay_ms) = request.delay_ms {
                faults.delay = Duration::from_millis(delay_ms);
            }
            if let Some(stall) = &request.stall {
                faults.stall.clone_from(stall);
            }
            if let Some(refuse) = request.refuse {
                faults.refuse = refuse;
            }
            if request.silence {
                faults.silenced_below = next_connection;
            }
            if request.cut {
                faults.closed_below = next_connection;
            }
        });
        StatusCode::OK
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            if published::latest(&self.faults).refuse {
                continue;
            }
            let connection = {
                let mut counters = self.lock();
                counters.connections += 1;
                counters.connections - 1
            };
            tokio::spawn(self.clone().forward(connection, stream));
        }
    }

    async fn forward(self, connection: u64, client: TcpStream) {
        let Ok(upstream) = TcpStream::connect(self.upstream_address).await else {
            return;
        };
        let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (upstream_read, upstream_write) = upstream.into_split();
        let mut faults = published::Value::new(&self.faults);
        tokio::select! {
            // `try_join!` returns as soon as one direction fails, which closes both.
            _ = async {
                tokio::try_join!(
                    self.forward_one_way(connection, Direction::Up, client_read, upstream_write),
                    self.forward_one_way(connection, Direction::Down, upstream_read, client_write),
                )
            } => {}
            _ = faults.wait_for(|faults| connection < faults.closed_below) => {}
        }
    }

    async fn forward_one_way(
        &self,
        connection: u64,
        direction: Direction,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> Result<(), Closed> {
        let mut faults = published::Value::new(&self.faults);
        let mut buf = vec![0; BUFFER_BYTES];
        let mut remaining = None;
        while let Ok(len @ 1..) = from.read(&mut buf).await {
            let delay = faults.get().delay;
            tokio::time::sleep(delay).await;
            faults
                .wait_for(|faults| can_forward(faults, connection, direction))
                .await
                .map_err(|_| Closed)?;
            if direction == Direction::Down && remaining.is_none() {
                remaining = Some(self.response_limit());
            }
            let len = remaining
                .map_or(len, |remaining| len.min(usize::try_from(remaining).unwrap_or(usize::MAX)));
            to.write_all(&buf[..len]).await.map_err(|_| Closed)?;
            remaining = remaining.map(|remaining| remaining - len as u64);
            if remaining == Some(0) {
                return Err(Closed);
            }
        }
        // Only this direction is shut down; the other one may still carry bytes.
        to.shutdown().await.map_err(|_| Closed)
    }

    /// Number of response bytes that may be forwarded on a connection.
    fn response_limit(&self) -> u64 {
        let mut counters = self.lock();
        if counters.responses_to_drop > 0 {
            counters.responses_to_drop -= 1;
            return 0;
        }
        counters.truncate_at.take().unwrap_or(u64::MAX)
    }
}

/// Both directions of the connection are to be closed.
struct Closed;

fn can_forward(faults: &ActiveFaults, connection: u64, direction: Direction) -> bool {
    let is_stalled = match direction {
        Direction::Up => faults.stall == "up",
        Direction::Down => faults.stall == "down",
    };
    !is_stalled && connection >= faults.silenced_below
}
