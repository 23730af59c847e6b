//! Fixtures: daemons that run in the test process, and scripted targets.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hornbeamloom_daemon::control::Input;
use hornbeamloom_daemon::run::Daemon;
use hornbeamloom_daemon::settings;
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::peer::Delta;
use hornbeamloom_kernel::resource::{Key, Record, Spec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time limit for any single wait in a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// One step of a scripted response.
#[derive(Debug, Clone)]
pub enum ScriptStep {
    Send(String),
    Wait(Duration),
    /// Keep the connection open and silent.
    Hang,
    /// Set the flag, once all previous bytes were written to the connection.
    SetFlag(Arc<AtomicBool>),
}

/// A request that a scripted target received.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub method: String,
    pub path: String,
    pub id: String,
    pub body: String,
    pub head: String,
}

impl ReceivedRequest {
    fn is_load_order(&self) -> bool {
        self.path == "/v1/models/load"
    }
}

/// A target that responds according to a script. Each connection carries one exchange.
#[derive(Debug, Clone)]
pub struct ScriptedTarget {
    pub address: String,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl ScriptedTarget {
    /// Starts a target that runs `script` for each request. `/metrics` reports a warm engine.
    pub async fn start<F>(script: F) -> ScriptedTarget
    where
        F: Fn(&ReceivedRequest, usize) -> Vec<ScriptStep> + Clone + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let target = ScriptedTarget { address, requests };
        let own = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, own.clone(), script.clone()));
            }
        });
        target
    }

    /// The requests of callers received so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        let requests = self.requests.lock().unwrap();
        requests.iter().filter(|request| !request.is_load_order()).cloned().collect()
    }

    /// Waits until a received request satisfies `predicate`.
    pub async fn wait_for(&self, predicate: impl Fn(&ReceivedRequest) -> bool) {
        let wait = async {
            while !self.requests.lock().unwrap().iter().any(&predicate) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, wait).await.expect("a matching request arrives");
    }
}

async fn serve<F>(mut stream: TcpStream, target: ScriptedTarget, script: F)
where
    F: Fn(&ReceivedRequest, usize) -> Vec<ScriptStep>,
{
    let Some(request) = read_request(&mut stream).await else {
        return;
    };
    let steps = match request.path.as_str() {
        "/metrics" => vec![ScriptStep::Send(full_response(
            200,
            "",
            "engine_start_id 1\nengine_phase{phase=\"warm\"} 1\nengine_kv_tokens 100000\n",
        ))],
        "/v1/models/load" => {
            target.requests.lock().unwrap().push(request.clone());
            vec![ScriptStep::Send(full_response(202, "", ""))]
        }
        path if path.starts_with("/v1/cache_events") => {
            vec![ScriptStep::Send(full_response(200, "", "{\"first\": 0}"))]
        }
        _ => {
            let count = {
                let mut requests = target.requests.lock().unwrap();
                requests.push(request.clone());
                requests.iter().filter(|request| !request.is_load_order()).count()
            };
            script(&request, count)
        }
    };
    for step in steps {
        match step {
            ScriptStep::Send(text) => {
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            ScriptStep::Wait(time) => tokio::time::sleep(time).await,
            ScriptStep::Hang => std::future::pending().await,
            ScriptStep::SetFlag(flag) => flag.store(true, Ordering::Relaxed),
        }
    }
    // Lets the client see the end of the response instead of a reset.
    let _ = stream.shutdown().await;
}

async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(at) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let length: usize =
        header_value(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    while buf.len() < end + length {
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
    let mut words = head.split(' ');
    Some(ReceivedRequest {
        method: words.next()?.to_owned(),
        path: words.next()?.to_owned(),
        id: header_value(&head, "x-request-id").unwrap_or_default().to_owned(),
        body: String::from_utf8_lossy(&buf[end..]).into_owned(),
        head: head.clone(),
    })
}

fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (field, value) = line.split_once(':')?;
        field.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// The head of an event stream that is delimited by the end of its connection.
pub fn stream_head(request_id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request_id}\r\n\
         X-Generation-Id: g1\r\nConnection: close\r\n\r\n"
    )
}

/// A response with a `Content-Length`.
pub fn full_response(status: u16, request_id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: text/plain\r\nX-Request-Id: {request_id}\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Token event number `seq` of a generation, with its number as text.
pub fn token_event(generation: &str, seq: u64) -> String {
    format!(
        "id: {seq}\ndata: {{\"id\": \"{generation}\", \"choices\": [{{\"index\": 0, \"text\": \"<{seq}>\", \
         \"finish_reason\": null}}]}}\n\n"
    )
}

/// The last token event of generation `g1`, followed by `[DONE]`.
pub fn final_events(seq: u64) -> String {
    token_event("g1", seq).replace("null", "\"stop\"") + "data: [DONE]\n\n"
}

/// An entry VM: a daemon, and a client for its caller address.
pub struct Harness {
    pub daemon: Daemon,
    pub url: String,
    pub client: reqwest::Client,
}

/// Reserves a loopback address that no other test uses.
///
/// A daemon with a separate address can listen on fixed ports below the range of outgoing
/// connections, so that no other process can take a port between its choice and its use.
fn reserve_host() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let (process, count) = (std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    assert!(count < 255, "one address for each test of a process");
    format!("127.{}.{}.{count}", 1 + process / 250 % 250, process % 250)
}

/// Starts a fake platform that runs as long as the test process; returns its URL.
fn start_platform(host: &str) -> String {
    let address = format!("{host}:8400");
    let own = address.clone();
    std::thread::spawn(move || {
        let roles = inventory::iter::<hornbeamloom_bench::role::Plugin>;
        let role = roles.into_iter().find(|role| role.name == "platform").unwrap();
        (role.run)(&["--listen", &own]).unwrap();
    });
    format!("http://{address}")
}

/// The text of settings with free ports, extended by `more`.
pub fn settings_text(more: &str) -> String {
    let host = reserve_host();
    let platform = start_platform(&host);
    format!(
        "vm: entry-1\nzone: z\n\
         listen: {{callers: '{host}:8100', operators: '{host}:8200', \
         peers: '{host}:8300'}}\n\
         platform: {{table: '{platform}', objects: '{platform}', vms: '{platform}'}}\n\
         keys: {{operator: [op-key], peer: [peer-key]}}\nsettle_s: 0\n{more}"
    )
}

impl Harness {
    /// Starts a VM that uses `target` as an engine of `model` and as a back end of `desk`.
    pub async fn start(target: &ScriptedTarget) -> Harness {
        Harness::with_settings(target, "").await
    }

    /// The same, with further lines of settings.
    pub async fn with_settings(target: &ScriptedTarget, more: &str) -> Harness {
        let settings = settings::parse(&settings_text(more)).unwrap();
        let url = format!("http://{}", settings.listen.callers);
        let daemon = Daemon::start(settings).unwrap();
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        daemon.control().tell(Input::Changes(resources(&target.address)));
        let vm = Harness { daemon, url, client };
        vm.wait_until_ready().await;
        vm
    }

    /// Starts another VM of the same cluster, which joins by gossip.
    pub async fn start_peer(&self) -> Harness {
        let own = self.daemon.settings();
        let text = settings_text(&format!("peers: ['{}']", own.listen.peers));
        let mut settings = settings::parse(&text.replace("entry-1", "entry-2")).unwrap();
        settings.platform = own.platform.clone();
        let url = format!("http://{}", settings.listen.callers);
        let daemon = Daemon::start(settings).unwrap();
        let client = self.client.clone();
        let vm = Harness { daemon, url, client };
        vm.wait_until_ready().await;
        vm
    }

    async fn wait_until_ready(&self) {
        let wait = async {
            loop {
                let answer = self.client.get(format!("{}/readyz", self.url)).send().await;
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, wait).await.expect("the daemon becomes ready");
    }

    /// Builds a request with the caller's key.
    pub fn post(&self, path: &str, body: &str) -> reqwest::RequestBuilder {
        self.client.post(format!("{}{path}", self.url)).bearer_auth("key-1").body(body.to_owned())
    }

    /// Streams a completion to its end; returns the status and the body.
    pub async fn stream_completion(&self) -> (u16, String) {
        let body = r#"{"model": "model", "prompt": "p", "stream": true}"#;
        let request = self.post("/v1/completions", body).send();
        let answer = tokio::time::timeout(TEST_TIMEOUT, request).await.unwrap().unwrap();
        let status = answer.status().as_u16();
        let text = tokio::time::timeout(TEST_TIMEOUT, answer.text()).await.unwrap();
        (status, text.unwrap())
    }
}

/// The concatenated texts of the token events of a stream.
pub fn token_texts(stream: &str) -> String {
    let texts = stream.split("\"text\": \"").skip(1);
    texts.filter_map(|rest| rest.split('"').next()).collect()
}

/// Two organisations, a zone, a model service and a plain service with one target each.
pub fn resources(address: &str) -> Delta {
    let specs = [
        ("default", r#"{"kind": "Configuration", "spec": {"models": ["m@2"]}}"#.to_owned()),
        ("org-1", r#"{"kind": "Organisation", "spec": {"keys": ["key-1"]}}"#.to_owned()),
        ("org-2", r#"{"kind": "Organisation", "spec": {"keys": ["key-2"]}}"#.to_owned()),
        ("z", r#"{"kind": "AvailabilityZone", "spec": {"region": "r"}}"#.to_owned()),
        ("model", r#"{"kind": "Service", "spec": {"queueMs": 20000}}"#.to_owned()),
        (
            "desk",
            r#"{"kind": "Service", "spec": {"protocol": "plain", "onceMethods": ["PUT"]}}"#
                .to_owned(),
        ),
        ("engine-1", target_spec("model", address)),
        ("desk-1", target_spec("desk", address)),
    ];
    let records = specs.iter().map(|(name, spec)| {
        let spec: Spec = serde_json::from_str(spec).unwrap();
        Record {
            key: Key { kind: spec.kind(), name: (*name).into() },
            version: Revision(5),
            generation: 1,
            labels: Default::default(),
            spec: Some(spec),
        }
    });
    Delta {
        from: Revision(0),
        to: Revision(5),
        sequence: 0,
        complete: true,
        records: records.collect(),
    }
}

fn target_spec(service: &str, address: &str) -> String {
    format!(
        r#"{{"kind": "Target", "spec": {{"service": "{service}", "zone": "z", "address": "{address}", "coldLimit": 8, "fencing": true}}}}"#
    )
}
