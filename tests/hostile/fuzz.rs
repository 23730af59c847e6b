//! Requests that are damaged at random, sent to the decoders of a real daemon.
//!
//! The short run is part of the tests. For a long one, HORNBEAMLOOM_FUZZ_INPUTS is the number of
//! inputs for each port.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use fastrand::Rng;
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::timeout;

use crate::crowd::Target;
use crate::site::{first_line, Port, Site};
use crate::{fleet, ONE_AT_A_TIME};

/// Inputs of the short run for each port.
const SHORT_RUN: usize = 2_000;
/// Number of connections at a time.
const CLIENTS: usize = 32;
/// Inputs on one connection. Those that follow one after which the daemon closes it are counted as
/// sent, but are not decoded.
const INPUTS_PER_CONNECTION: usize = 16;
/// Time for the responses to the inputs of one connection. A damaged request may leave the daemon to
/// wait for the rest, so the client closes its side first.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
const SEED: u64 = 5;

/// Text that is inserted into requests.
const TOKENS: [&str; 22] = [
    "\r\n",
    "\r\n\r\n",
    "\n",
    "\0",
    "\t",
    ":",
    " ",
    ";a=b",
    "0\r\n\r\n",
    "-1",
    "ffffffffffffffff\r\n",
    "18446744073709551616",
    "Content-Length: 5\r\n",
    "Content-Length: 99999999999999999999\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Expect: 100-continue\r\n",
    "Connection: close\r\n",
    "X-Prompt-Prefix: 1:2,f:9,\r\n",
    "X-Token-Usage: 9999999999,-1\r\n",
    "HTTP/1.0",
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
];

hornbeamloom_kernel::cases! {
    damaged_requests_never_panic;
    // Guard against a panic in a decoder, and against memory that an announced length allocates.
    own_callers_damaged_requests: (Port::OwnCallers);
    adapter_callers_damaged_requests: (Port::AdapterCallers);
    readiness_damaged_requests: (Port::Readiness);
    operators_damaged_requests: (Port::Operators);
    peers_damaged_requests: (Port::Peers);
}

fn damaged_requests_never_panic(port: Port) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    fleet::block_on(async {
        let site = Site::start(port).await;
        let watch = site.watch_descriptors();
        let inputs = std::env::var("HORNBEAMLOOM_FUZZ_INPUTS").ok();
        let inputs = inputs.and_then(|inputs| inputs.parse().ok()).unwrap_or(SHORT_RUN);
        let sent = Arc::new(AtomicUsize::new(0));
        let clients = (0..CLIENTS).map(|client| {
            let (address, targets, sent) = (site.address(), site.targets(), sent.clone());
            tokio::spawn(async move {
                let mut rng = Rng::with_seed(SEED + client as u64);
                let mut connection = 0;
                while sent.load(Ordering::Relaxed) < inputs {
                    connection += 1;
                    // Addresses of the client's own, for the ports of a long run.
                    let source = Ipv4Addr::new(127, 1 + client as u8, (connection % 250) as u8, 1);
                    let requests: Vec<Vec<u8>> = (0..INPUTS_PER_CONNECTION)
                        .map(|_| damaged_request(&targets, &mut rng))
                        .collect();
                    let exchange = exchange(source.into(), address, &requests, &sent);
                    let _ = timeout(CONNECTION_TIMEOUT, exchange).await;
                }
            })
        });
        join_all(clients).await;
        let is_answered = site.answers_ordinary_request().await;
        println!("{} inputs sent", sent.load(Ordering::Relaxed));
        assert_eq!(site.panics(), 0, "a task of the daemon has panicked");
        site.assert_survived(watch.finish().await, is_answered);
    });
}

/// Guards against a panic in a route on a target that has no path, which only long runs find.
#[test]
fn requests_without_a_path_are_refused() {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    fleet::block_on(async {
        for port in [Port::OwnCallers, Port::Operators] {
            let site = Site::start(port).await;
            for method in ["CONNECT", "POST"] {
                let request = format!("{method} x:1 HTTP/1.1\r\nHost: x\r\n\r\n");
                let line = first_line(site.address(), &request).await;
                let line = line.expect("the daemon responds");
                assert!(line.starts_with("HTTP/1.1 400 "), "{method}: {line}");
            }
            assert_eq!(site.panics(), 0, "a task of the daemon has panicked");
        }
    });
}

/// Sends requests on one connection until the daemon closes it, and reads what it responds.
async fn exchange(
    source: IpAddr,
    address: SocketAddr,
    requests: &[Vec<u8>],
    sent: &AtomicUsize,
) -> std::io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    let (mut reader, mut writer) = socket.connect(address).await?.into_split();
    let write = async move {
        for request in requests {
            writer.write_all(request).await?;
            sent.fetch_add(1, Ordering::Relaxed);
        }
        writer.shutdown().await
    };
    let mut discarded = vec![0; 16 << 10];
    let read = async {
        while reader.read(&mut discarded).await? > 0 {}
        Ok(())
    };
    tokio::try_join!(write, read).map(drop)
}

/// A request of one of the kinds that the port serves, with none to eight faults.
fn damaged_request(targets: &[Target], rng: &mut Rng) -> Vec<u8> {
    let target = &targets[rng.usize(..targets.len())];
    let mut text = format!("{}\r\n{}", target.line, target.fields);
    for _ in 0..rng.usize(..4) * rng.usize(..20) {
        let value = "v".repeat(rng.usize(..40));
        text.push_str(&format!("x-{}: {value}\r\n", rng.alphanumeric()));
    }
    match rng.u8(..4) {
        0 => text.push_str("\r\n"),
        1 => {
            let body = r#"{"model": "pisarz-modelu", "prompt": "len=1 tag=f", "stream": true}"#;
            text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        }
        _ => {
            text.push_str("Transfer-Encoding: chunked\r\n\r\n");
            for _ in 0..rng.usize(..8) {
                let length = rng.usize(1..200);
                text.push_str(&format!("{length:x}\r\n{}\r\n", "x".repeat(length)));
            }
            text.push_str(["0\r\n\r\n", "0\r\nx-trailer: 1\r\n\r\n"][rng.usize(..2)]);
        }
    }
    let mut bytes = text.into_bytes();
    for _ in 0..rng.usize(..9) {
        let at = rng.usize(..=bytes.len());
        match rng.u8(..6) {
            0 => bytes.truncate(at),
            1 if at < bytes.len() => bytes[at] = rng.u8(..),
            2 => bytes.insert(at, rng.u8(..)),
            3 if at < bytes.len() => drop(bytes.remove(at)),
            4 => {
                let copied = bytes[at..(at + rng.usize(..200)).min(bytes.len())].to_vec();
                bytes.splice(at..at, copied);
            }
            _ => {
                let token = TOKENS[rng.usize(..TOKENS.len())];
                bytes.splice(at..at, token.bytes());
            }
        }
    }
    bytes
}
