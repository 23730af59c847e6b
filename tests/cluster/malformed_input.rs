//! Malformed input on each of the daemon's ports.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeamloom_bench::cluster::OPERATOR_KEY;
use quickcheck::{Arbitrary, Gen};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::harness::{
    add_targets, block_on, operator_get, start_cluster, stream_completion, warm_engine, CALLER_KEY,
    MODEL_SERVICE,
};

/// Number of inputs in each case.
const INPUTS: usize = 150;
/// Maximum size of a generated list.
const GENERATOR_SIZE: usize = 400;
/// Time limit for the response to one input. Many inputs get none.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(40);
/// Maximum resident memory of a daemon, in KiB.
const RESIDENT_MAX_KIB: u64 = 256 * 1_024;

/// Generates one input.
type Generator = fn(&mut Gen) -> Vec<u8>;

#[derive(Clone, Copy)]
enum Port {
    Callers,
    Operators,
    Peers,
}

hornbeamloom_kernel::cases! {
    daemon_survives;
    // Guards against input that crashes the daemon, blocks it or makes its memory grow.
    daemon_survives_random_bytes_on_the_caller_port: (Port::Callers, 1, Vec::arbitrary);
    daemon_survives_malformed_completions_on_the_caller_port: (Port::Callers, 2, completion_request);
    daemon_survives_malformed_headers_on_the_caller_port: (Port::Callers, 3, header_request);
    daemon_survives_random_bytes_on_the_operator_port: (Port::Operators, 4, Vec::arbitrary);
    daemon_survives_malformed_resources_on_the_operator_port: (Port::Operators, 5, resource_request);
    daemon_survives_random_bytes_on_the_peer_port: (Port::Peers, 6, Vec::arbitrary);
    daemon_survives_malformed_frames_on_the_peer_port: (Port::Peers, 7, peer_frames);
}

fn daemon_survives(port: Port, seed: u64, generate: Generator) {
    block_on(async move {
        let mut cluster = start_cluster(&[("entry-a1", "lodz-a")]).await;
        add_targets(&mut cluster, &[warm_engine("engine-a1", "lodz-a")]).await;
        let daemon = &cluster.daemons[0];
        let address = match port {
            Port::Callers => daemon.caller_address,
            Port::Operators => daemon.operator_address,
            Port::Peers => daemon.peer_address,
        };
        let mut gen = Gen::from_size_and_seed(GENERATOR_SIZE, seed);
        for ix in 0..INPUTS {
            send_input(address, &generate(&mut gen)).await;
            if ix % 50 == 0 {
                stream_completion(&cluster, 0, "t", 3).await.assert_complete("t", 3);
            }
        }
        stream_completion(&cluster, 0, "after", 5).await.assert_complete("after", 5);
        let status = operator_get(&cluster, 0, "/apis/v1/status").await;
        assert_eq!(status["vm"], "entry-a1");
        let resident = resident_kib(cluster.daemons[0].process.id());
        assert!(resident < RESIDENT_MAX_KIB, "{resident} KiB resident");
        assert!(cluster.daemons[0].process.exit_status().is_none());
    });
}

/// Sends one input on a connection of its own and waits up to [`RESPONSE_TIMEOUT`] for a response.
async fn send_input(address: SocketAddr, input: &[u8]) {
    let mut stream = TcpStream::connect(address).await.expect("the daemon accepts connections");
    // The daemon may close the connection before it has read the whole input.
    let _ = stream.write_all(input).await;
    let mut buf = [0; 512];
    let _ = timeout(RESPONSE_TIMEOUT, stream.read(&mut buf)).await;
}

fn resident_kib(pid: u32) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the daemon is running");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).expect("VmRSS is a number")
}

fn request(method: &str, path: &str, key: &str, extra_headers: &str, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n{extra_headers}\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    text.extend_from_slice(body);
    text
}

/// Returns a JSON object with random values, truncated in half of the cases.
fn random_json(gen: &mut Gen, fields: &[&str]) -> Vec<u8> {
    let value = |gen: &mut Gen| match u8::arbitrary(gen) % 6 {
        0 => serde_json::json!(i64::arbitrary(gen)),
        1 => serde_json::json!(String::arbitrary(gen)),
        2 => serde_json::json!(f64::arbitrary(gen)),
        3 => serde_json::json!(Vec::<u16>::arbitrary(gen)),
        4 => serde_json::Value::Null,
        _ => serde_json::json!({"x": bool::arbitrary(gen)}),
    };
    let object: serde_json::Map<String, serde_json::Value> =
        fields.iter().map(|field| ((*field).to_owned(), value(gen))).collect();
    let mut text = serde_json::Value::from(object).to_string().into_bytes();
    if bool::arbitrary(gen) {
        text.truncate(usize::arbitrary(gen) % text.len());
    }
    text
}

fn completion_request(gen: &mut Gen) -> Vec<u8> {
    let mut body = random_json(gen, &["prompt", "messages", "stream", "max_tokens", "temperature"]);
    if bool::arbitrary(gen) {
        let head = format!("{{\"model\":\"{MODEL_SERVICE}\",");
        body.splice(..1.min(body.len()), head.into_bytes());
    }
    let paths = ["/v1/completions", "/v1/chat/completions", "/v1/streams/x-1-1"];
    let path = gen.choose(&paths).copied().unwrap_or_default();
    request("POST", path, CALLER_KEY, "", &body)
}

fn header_request(gen: &mut Gen) -> Vec<u8> {
    let name: String = String::arbitrary(gen).chars().filter(char::is_ascii_graphic).collect();
    let value = String::arbitrary(gen);
    let length = u64::arbitrary(gen);
    let extra_headers =
        format!("{name}: {value}\r\nlast-event-id: {value}\r\ncontent-length: {length}\r\n");
    let path = format!("/services/{name}/{length}");
    request("POST", &path, CALLER_KEY, &extra_headers, b"{}")
}

fn resource_request(gen: &mut Gen) -> Vec<u8> {
    let kinds = ["organisations", "services", "targets", "configurations", "nothing"];
    let kind = gen.choose(&kinds).copied().unwrap_or_default();
    let methods = ["POST", "PUT", "PATCH", "DELETE"];
    let method = gen.choose(&methods).copied().unwrap_or_default();
    let body = random_json(gen, &["apiVersion", "kind", "metadata", "spec", "status"]);
    let path = format!("/apis/v1/{kind}/n{}", u8::arbitrary(gen));
    request(method, &path, OPERATOR_KEY, "", &body)
}

/// Returns the handshake of a peer link with a valid key, followed by frames that contain no valid
/// message.
fn peer_frames(gen: &mut Gen) -> Vec<u8> {
    let extra_headers =
        "connection: Upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\n\
         sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n";
    let mut bytes = request("GET", "/", "peer-key", extra_headers, b"");
    for _ in 0..4 {
        let payload: Vec<u8> = Vec::arbitrary(gen);
        let length = u16::try_from(payload.len()).unwrap_or(u16::MAX);
        // A final binary frame with a 16-bit length and a masking key of zeros.
        bytes.extend([0x82, 0x80 | 126]);
        bytes.extend(length.to_be_bytes());
        bytes.extend([0; 4]);
        bytes.extend(&payload[..usize::from(length)]);
    }
    bytes
}
