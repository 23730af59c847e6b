//! A fault-injecting TCP proxy.
//!
//! `POST /_fault` on the control address takes `{"delay_ms": N}`, `{"stall": "up"|"down"|""}`
//! (bytes one way stop on all connections), `{"silence": true}` (connections open now never
//! carry another byte, new ones work), `{"cut": true}` (close the connections open now),
//! `{"refuse": true|false}` (close new connections at once), `{"drop_answers": N}` (on the next N
//! connections that carry an answer, close in place of its first byte) and
//! `{"truncate": BYTES}` (close the next answering connection after so many bytes).

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use argh::FromArgs;
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
    /// address of the control interface
    #[argh(option)]
    control: SocketAddr,
}

fn run(words: &[&str]) -> Result<ExitCode, role::Error> {
    let args: Args = runtime::parse_args("proxy", words)?;
    runtime::block_on(async move {
        let proxy = Proxy::new(args.to);
        let listener = TcpListener::bind(args.listen).await?;
        println!("proxying {}", listener.local_addr()?);
        tokio::spawn(proxy.clone().accept(listener));
        let route = warp::path!("_fault")
            .and(warp::post())
            .and(warp::body::json())
            .map(move |order| proxy.order(&order));
        runtime::serve(args.control, route).await
    })
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Order {
    delay_ms: Option<u64>,
    stall: Option<String>,
    silence: bool,
    cut: bool,
    refuse: Option<bool>,
    drop_answers: u32,
    truncate: Option<u64>,
}

/// The faults in force.
#[derive(Debug, Clone, Default)]
struct Fault {
    delay: Duration,
    stall: String,
    refuse: bool,
    /// Connections numbered below this are silent.
    silent_below: u64,
    /// Connections numbered below this are closed.
    cut_below: u64,
}

#[derive(Debug, Default)]
struct Counts {
    connections: u64,
    drop_answers: u32,
    truncate: Option<u64>,
}

#[derive(Debug, Clone)]
struct Proxy {
    to: SocketAddr,
    fault: watch::Sender<Fault>,
    counts: Arc<Mutex<Counts>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

impl Proxy {
    fn new(to: SocketAddr) -> Proxy {
        let (fault, _) = watch::channel(Fault::default());
        Proxy { to, fault, counts: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn order(&self, order: &Order) -> StatusCode {
        let next = {
            let mut counts = self.lock();
            counts.drop_answers += order.drop_answers;
            counts.truncate = order.truncate.or(counts.truncate);
            counts.connections
        };
        self.fault.send_modify(|fault| {
            if let Some(delay_ms) = order.delay_ms {
                fault.delay = Duration::from_millis(delay_ms);
            }
            if let Some(stall) = &order.stall {
                fault.stall.clone_from(stall);
            }
            if let Some(refuse) = order.refuse {
                fault.refuse = refuse;
            }
            if order.silence {
                fault.silent_below = next;
            }
            if order.cut {
                fault.cut_below = next;
            }
        });
        StatusCode::OK
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.fault.borrow().refuse {
                continue;
            }
            let number = {
                let mut counts = self.lock();
                counts.connections += 1;
                counts.connections - 1
            };
            tokio::spawn(self.clone().carry(number, stream));
        }
    }

    async fn carry(self, number: u64, near: TcpStream) {
        let Ok(far) = TcpStream::connect(self.to).await else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let mut fault = self.fault.subscribe();
        tokio::select! {
            // Returns early when one direction is cut.
            _ = async {
                tokio::try_join!(
                    self.copy(number, Direction::Up, near_read, far_write),
                    self.copy(number, Direction::Down, far_read, near_write),
                )
            } => {}
            _ = fault.wait_for(|fault| number < fault.cut_below) => {}
        }
    }

    async fn copy(
        &self,
        number: u64,
        direction: Direction,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> Result<(), Cut> {
        let mut fault = self.fault.subscribe();
        let mut buf = vec![0; BUFFER_BYTES];
        let mut rem = None;
        while let Ok(len @ 1..) = from.read(&mut buf).await {
            let delay = fault.borrow().delay;
            tokio::time::sleep(delay).await;
            fault.wait_for(|fault| passes(fault, number, direction)).await.map_err(|_| Cut)?;
            if direction == Direction::Down && rem.is_none() {
                rem = Some(self.answer_limit());
            }
            let len = rem.map_or(len, |rem| len.min(usize::try_from(rem).unwrap_or(usize::MAX)));
            to.write_all(&buf[..len]).await.map_err(|_| Cut)?;
            rem = rem.map(|rem| rem - len as u64);
            if rem == Some(0) {
                return Err(Cut);
            }
        }
        // The other direction may still carry bytes; the reader sees an orderly end.
        to.shutdown().await.map_err(|_| Cut)
    }

    /// Bytes of the answer that this connection may carry.
    fn answer_limit(&self) -> u64 {
        let mut counts = self.lock();
        if counts.drop_answers > 0 {
            counts.drop_answers -= 1;
            return 0;
        }
        counts.truncate.take().unwrap_or(u64::MAX)
    }
}

/// The connection is to be closed in both directions.
struct Cut;

fn passes(fault: &Fault, number: u64, direction: Direction) -> bool {
    let is_stalled = match direction {
        Direction::Up => fault.stall == "up",
        Direction::Down => fault.stall == "down",
    };
    !is_stalled && number >= fault.silent_below
}
