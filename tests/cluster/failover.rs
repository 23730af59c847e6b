//! Entry VMs that are killed, and callers that lose their connection and resume their stream.

use std::time::Duration;

use futures_util::StreamExt;
use hornbeamloom_bench::cluster::{Cluster, Target};
use serde_json::json;

use crate::harness::{
    add_targets, block_on, call_plain, inject_fault, start_cluster, wait_until, warm_engine,
    CALLER_KEY, MODEL_SERVICE, OTHER_CALLER_KEY, PLAIN_SERVICE,
};

const ZONE: &str = "lodz-a";
const DAEMONS: [(&str, &str); 2] = [("entry-a1", ZONE), ("entry-a2", ZONE)];

hornbeamloom_kernel::cases! {
    call_runs_once_after_a_kill;
    // Guards against a second run of a call whose entry VM was killed, and against a response that
    // states a wrong outcome.
    claimed_call_runs_once_when_its_entry_vm_restarts: (2_000, true);
    claimed_call_runs_once_when_its_entry_vm_stays_down: (1_000, false);
}

fn call_runs_once_after_a_kill(delay_ms: u64, restarts: bool) {
    block_on(async move {
        let mut cluster = start_cluster(&DAEMONS).await;
        add_targets(&mut cluster, &[Target::service("desk-a1", PLAIN_SERVICE, ZONE)]).await;
        let service = cluster.targets[0].address;
        for daemon in 0..2 {
            let ready = call_plain(&cluster, daemon, "GET", "/ready", None, "").await;
            assert_eq!(ready.status, 200, "{ready:?}");
        }
        inject_fault(&cluster, service, json!({"delay_ms": delay_ms})).await;
        let pid = cluster.daemons[0].process.id();
        let first_call = call_plain(&cluster, 0, "POST", "/notices", Some("k1"), "text");
        let kill = async {
            wait_until("the call is running", || async { run_count(&cluster, service).await == 1 })
                .await;
            let pid = nix::unistd::Pid::from_raw(i32::try_from(pid).expect("the process id fits"));
            nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGKILL)
                .expect("the daemon is running");
        };
        tokio::join!(first_call, kill);
        if restarts {
            cluster.restart_daemon(0).expect("the daemon starts");
        }
        for _ in 0..6 {
            let repeated = call_plain(&cluster, 1, "POST", "/notices", Some("k1"), "text").await;
            let error = &repeated.body["error"];
            let is_accurate = match repeated.status {
                200 => repeated.body["run"] == json!(1),
                409 => error["reason"] == "in_progress" && error["not_run"] != json!(true),
                _ => error["not_run"] == json!("unknown"),
            };
            assert!(is_accurate, "{repeated:?}");
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        assert_eq!(run_count(&cluster, service).await, 1);
    });
}

/// Returns how often the call with the idempotency key `k1` ran.
async fn run_count(cluster: &Cluster, service: std::net::SocketAddr) -> u64 {
    let response = cluster.client.get(format!("http://{service}/_runs")).send();
    let response = response.await.expect("the service responds");
    let runs: serde_json::Value = response.json().await.expect("the counts are JSON");
    runs["k1"].as_u64().unwrap_or(0)
}

hornbeamloom_kernel::cases! {
    stream_resumes_at;
    // Guards against tokens that are lost or repeated when the caller resumes its stream, at its
    // entry VM or at another one.
    stream_resumes_at_another_vm: (1);
    stream_resumes_at_its_entry_vm: (0);
}

fn stream_resumes_at(daemon: usize) {
    block_on(async move {
        let mut cluster = start_cluster(&DAEMONS).await;
        add_targets(&mut cluster, &[warm_engine("engine-a1", ZONE)]).await;
        let mut received = ReceivedEvents::default();
        let id = start_and_disconnect(&cluster, &mut received).await;
        let received_before = received.tokens.len();
        assert!((1..STREAM_TOKENS).contains(&received_before), "{received_before} tokens");
        let denied = resume_stream(&cluster, daemon, &id, &received, OTHER_CALLER_KEY).await;
        assert_eq!(denied.status(), 404);
        let text = denied.text().await.expect("the body is complete");
        assert!(!text.contains("t:"), "another organisation received tokens: {text}");
        let resumed = resume_stream(&cluster, daemon, &id, &received, CALLER_KEY).await;
        assert_eq!(resumed.status(), 200);
        received.read_events(&resumed.text().await.expect("the remaining stream is complete"));
        let expected: Vec<String> = (0..STREAM_TOKENS).map(|seq| format!("t:{seq} ")).collect();
        assert_eq!(
            received.tokens, expected,
            "{received_before} tokens were received before the disconnect"
        );
        assert!(received.done);
    });
}

const STREAM_TOKENS: usize = 200;
/// Tokens that the caller receives before it disconnects.
const TOKENS_BEFORE_DISCONNECT: usize = 30;

/// The events that a caller has received so far.
#[derive(Debug, Default)]
struct ReceivedEvents {
    last_id: Option<String>,
    tokens: Vec<String>,
    done: bool,
}

impl ReceivedEvents {
    /// Parses `text`, which contains complete events only.
    fn read_events(&mut self, text: &str) {
        let mut id = None;
        for line in text.lines() {
            if let Some(text) = line.strip_prefix("id:") {
                id = Some(text.trim().to_owned());
            }
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            if data.trim() == "[DONE]" {
                self.done = true;
            }
            let event: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
            if let Some(token) = event["choices"][0]["text"].as_str() {
                self.tokens.push(token.to_owned());
                self.last_id = id.take().or(self.last_id.take());
            }
        }
    }
}

/// Starts a stream at the first daemon and drops the connection in the middle. Returns the request
/// id.
async fn start_and_disconnect(cluster: &Cluster, received: &mut ReceivedEvents) -> String {
    let url = format!("http://{}/v1/completions", cluster.daemons[0].caller_address);
    let prompt = format!("len={STREAM_TOKENS} tag=t");
    let body = json!({"model": MODEL_SERVICE, "prompt": prompt, "stream": true});
    let request = cluster.client.post(url).bearer_auth(CALLER_KEY).json(&body);
    let response = request.send().await.expect("the daemon responds");
    let id = response.headers()["x-request-id"].to_str().expect("valid text");
    let id = id.to_owned();
    let mut chunks = response.bytes_stream();
    let mut buf = String::new();
    while received.tokens.len() < TOKENS_BEFORE_DISCONNECT {
        let chunk =
            chunks.next().await.expect("the stream continues").expect("the chunk is received");
        buf += std::str::from_utf8(&chunk).expect("valid text");
        if let Some(end) = buf.rfind("\n\n") {
            received.read_events(&buf[..end]);
            buf.drain(..end + 2);
        }
    }
    id
}

async fn resume_stream(
    cluster: &Cluster,
    daemon: usize,
    id: &str,
    received: &ReceivedEvents,
    key: &str,
) -> reqwest::Response {
    let url = format!("http://{}/v1/streams/{id}", cluster.daemons[daemon].caller_address);
    let last_id = received.last_id.as_deref().expect("events have ids");
    let request = cluster.client.get(url).bearer_auth(key);
    let sent = request.header("last-event-id", last_id).send().await;
    sent.expect("the daemon responds")
}
