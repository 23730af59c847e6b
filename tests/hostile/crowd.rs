//! The clients: what each sends, and in what pieces.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::site::MAX_BODY_BYTES;

/// Number of clients; more than the daemon has descriptors for.
const CLIENTS: usize = 300;
/// Number of clients that connect again when they are closed; more than the port's connections.
const PERSISTENT_CLIENTS: usize = 150;
/// Time for which a client sends. It keeps its connection open afterwards.
const SENDING_TIME: Duration = Duration::from_secs(4);
/// Interval between two bytes of a slow client.
const SLOW_INTERVAL: Duration = Duration::from_millis(100);
/// Size of a piece that such a client sends to stay above the minimum rate.
const STEADY_PIECE_BYTES: usize = 70;
/// Size of a head that compliant callers may send.
const HEAD_BYTES: usize = 16_384;
/// Size of a piece of a body that is sent in small pieces.
const PIECE_BYTES: usize = 512;
/// Size of a chunk of a body that is sent in chunks.
const CHUNK_BYTES: usize = 64;
/// Number of pipelined requests that are sent in one piece.
const PIPELINE: usize = 200;
/// Size announced for a body that is far over the limit.
const ENDLESS_BODY_BYTES: u64 = 1 << 40;

/// A way to misbehave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// A body of legal size in one piece that stops one byte short of its end.
    BodyInOnePiece,
    /// The same in pieces of [`PIECE_BYTES`].
    BodyInSmallPieces,
    /// The same in chunks of [`CHUNK_BYTES`], without the last chunk.
    BodyInChunks,
    /// A body whose announced length is far over the limit, sent for as long as the daemon reads.
    BodyOverLimit,
    /// The same in chunks.
    ChunksOverLimit,
    /// Requests of legal size that consist of very short header fields.
    ManyFields,
    /// Very short header fields for as long as the daemon reads.
    FieldsWithoutEnd,
    /// Requests without end, none of whose responses is read.
    Pipelined,
    /// A head that arrives byte by byte.
    SlowHead,
    /// A body that arrives byte by byte.
    SlowBody,
    /// A body that arrives just above the minimum rate.
    SteadyBody,
    /// Requests without end, whose responses are read byte by byte.
    SlowReader,
    /// Nothing is sent.
    Silent,
}

/// A request that reaches one kind of path: the request line and header fields, each with its line
/// end, without those that frame the body.
#[derive(Debug, Clone)]
pub struct Target {
    pub line: &'static str,
    pub fields: String,
}

impl Target {
    fn head(&self, framing: &str) -> String {
        format!("{}\r\n{}{framing}", self.line, self.fields)
    }
}

/// Connects the clients, spread over `targets`, and has them misbehave. Returns the open connections.
///
/// Whatever the daemon does to a client is allowed, so errors are ignored.
pub async fn gather(address: SocketAddr, targets: &[Target], way: Way) -> Vec<TcpStream> {
    let clients = (0..CLIENTS).map(|number| {
        let target = &targets[number % targets.len()];
        async move {
            let mut stream = timeout(SENDING_TIME, TcpStream::connect(address)).await.ok()?.ok()?;
            let _ = stream.set_nodelay(true);
            let _ = timeout(SENDING_TIME, misbehave(&mut stream, target, way)).await;
            Some(stream)
        }
    });
    join_all(clients).await.into_iter().flatten().collect()
}

/// Has clients misbehave, and connect again whenever they are closed, until the result is dropped.
pub fn persist(address: SocketAddr, targets: &[Target], way: Way) -> JoinSet<()> {
    let mut crowd = JoinSet::new();
    for number in 0..PERSISTENT_CLIENTS {
        let target = targets[number % targets.len()].clone();
        crowd.spawn(async move {
            loop {
                if let Ok(mut stream) = TcpStream::connect(address).await {
                    // An error shows that the connection is closed.
                    let _ = misbehave(&mut stream, &target, way).await;
                }
                sleep(SLOW_INTERVAL).await;
            }
        });
    }
    crowd
}

/// Connects one client and has it misbehave until the daemon has closed its connection.
pub async fn misbehave_until_closed(address: SocketAddr, target: &Target, way: Way) {
    let mut stream = TcpStream::connect(address).await.expect("the daemon listens");
    // An error shows that the connection is closed.
    let _ = misbehave(&mut stream, target, way).await;
    let mut received = vec![0; 64 << 10];
    while matches!(stream.read(&mut received).await, Ok(1..)) {}
}

async fn misbehave(stream: &mut TcpStream, target: &Target, way: Way) -> std::io::Result<()> {
    let with_length = |length| target.head(&format!("Content-Length: {length}\r\n\r\n"));
    let chunked = target.head("Transfer-Encoding: chunked\r\n\r\n");
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
    match way {
        Way::BodyInOnePiece => {
            let body = "x".repeat(MAX_BODY_BYTES - 1);
            stream.write_all((with_length(MAX_BODY_BYTES as u64) + &body).as_bytes()).await
        }
        Way::BodyInSmallPieces => {
            stream.write_all(with_length(MAX_BODY_BYTES as u64).as_bytes()).await?;
            for _ in 0..(MAX_BODY_BYTES - 1) / PIECE_BYTES {
                stream.write_all(&[b'x'; PIECE_BYTES]).await?;
            }
            Ok(())
        }
        Way::BodyInChunks => {
            stream.write_all(chunked.as_bytes()).await?;
            for _ in 0..(MAX_BODY_BYTES - 1) / CHUNK_BYTES {
                stream.write_all(chunk.as_bytes()).await?;
            }
            Ok(())
        }
        Way::BodyOverLimit => {
            let piece = "x".repeat(64 << 10);
            send_endlessly(stream, &with_length(ENDLESS_BODY_BYTES), &piece).await
        }
        Way::ChunksOverLimit => send_endlessly(stream, &chunked, &chunk.repeat(512)).await,
        Way::ManyFields => {
            let head = target.head("");
            let fields = "a:\r\n".repeat((HEAD_BYTES - head.len() - 2) / 4);
            stream.write_all(format!("{head}{fields}\r\n").as_bytes()).await
        }
        Way::FieldsWithoutEnd => {
            send_endlessly(stream, &target.head(""), &"a:\r\n".repeat(HEAD_BYTES / 4)).await
        }
        Way::Pipelined => send_endlessly(stream, "", &target.head("\r\n").repeat(PIPELINE)).await,
        Way::SlowHead => {
            stream.write_all(target.head("").as_bytes()).await?;
            send_slowly(stream, b"a").await
        }
        Way::SlowBody => {
            stream.write_all(with_length(MAX_BODY_BYTES as u64).as_bytes()).await?;
            send_slowly(stream, b"x").await
        }
        Way::SteadyBody => {
            stream.write_all(with_length(MAX_BODY_BYTES as u64).as_bytes()).await?;
            send_slowly(stream, &[b'x'; STEADY_PIECE_BYTES]).await
        }
        Way::SlowReader => {
            let requests = target.head("\r\n").repeat(PIPELINE);
            let (mut reader, mut writer) = stream.split();
            let read = async {
                while reader.read_u8().await.is_ok() {
                    sleep(SLOW_INTERVAL).await;
                }
                Ok(())
            };
            let send = async {
                loop {
                    writer.write_all(requests.as_bytes()).await?;
                }
            };
            tokio::select! {
                result = read => result,
                result = send => result,
            }
        }
        Way::Silent => Ok(()),
    }
}

async fn send_endlessly(stream: &mut TcpStream, head: &str, piece: &str) -> std::io::Result<()> {
    stream.write_all(head.as_bytes()).await?;
    loop {
        stream.write_all(piece.as_bytes()).await?;
    }
}

async fn send_slowly(stream: &mut TcpStream, piece: &[u8]) -> std::io::Result<()> {
    loop {
        stream.write_all(piece).await?;
        sleep(SLOW_INTERVAL).await;
    }
}
