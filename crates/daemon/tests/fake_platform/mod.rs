//! A fake of the platform's table and object store, with injected faults.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use bytes::Bytes;
use hornbeamloom_kernel::resource::Kind;
use hornbeamloom_wire::table::{resource_path, HEAD_PATH};
use serde_json::{json, Value};
use warp::http::StatusCode;
use warp::{Filter, Reply};

/// Faults for the next writes of resources, one per write in the order of injection.
#[derive(Debug, Clone)]
pub enum WriteFault {
    /// The write is applied and its response is lost.
    DropResponse,
    /// The write is not applied, and there is no response.
    DropRequest,
    /// Another operator writes this value before the write is applied.
    ConcurrentWrite(Kind, &'static str, Value),
    /// The same, by a tool that does not update the head revision.
    ConcurrentWriteWithoutHead(Kind, &'static str, Value),
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    objects: BTreeMap<String, Vec<u8>>,
    faults: Vec<WriteFault>,
    is_down: bool,
    is_malformed: bool,
    writes: u64,
}

/// The fake platform; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct FakePlatform {
    state: Arc<Mutex<State>>,
}

impl FakePlatform {
    /// Serves on a free port; returns the base URL.
    pub async fn start(&self) -> String {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let own = self.clone();
        let post = warp::post()
            .and(warp::path::full())
            .and(warp::body::json())
            .map(move |path: warp::path::FullPath, body| own.handle_post(path.as_str(), &body));
        let own = self.clone();
        let object =
            warp::any().and(warp::method()).and(warp::path::full()).and(warp::body::bytes()).map(
                move |method, path: warp::path::FullPath, body| {
                    own.handle_object(&method, path.as_str(), body)
                },
            );
        tokio::spawn(warp::serve(post.or(object)).incoming(listener).run());
        format!("http://{address}")
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
    }

    pub fn set_malformed(&self, is_malformed: bool) {
        self.lock().is_malformed = is_malformed;
    }

    pub fn inject(&self, fault: WriteFault) {
        self.lock().faults.push(fault);
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        self.lock().put(key, value);
    }

    /// Writes a resource as another operator would.
    pub fn declare(&self, kind: Kind, name: &str, spec: &Value) {
        self.lock().declare(kind, name, spec);
    }

    pub fn put_object(&self, path: &str, body: &str) {
        let body = body.as_bytes().to_vec();
        self.lock().objects.insert(path.to_owned(), body);
    }

    pub fn object_text(&self, path: &str) -> Option<String> {
        let body = self.lock().objects.get(path).cloned()?;
        Some(String::from_utf8_lossy(&body).into_owned())
    }

    /// Deletes all items and resets the revision, as if the table was restored from an old backup.
    pub fn reset(&self) {
        let mut state = self.lock();
        state.items.clear();
        state.revision = 0;
    }

    pub fn has_key(&self, prefix: &str) -> bool {
        self.lock().items.keys().any(|key| key.starts_with(prefix))
    }

    /// Number of applied writes of resources.
    pub fn writes(&self) -> u64 {
        self.lock().writes
    }

    fn handle_post(&self, path: &str, body: &Value) -> warp::reply::Response {
        let mut state = self.lock();
        if state.is_down {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        if state.is_malformed {
            return r#"{"kvs": [{"key": "?"}]}"#.into_response();
        }
        if path == "/v3/kv/range" {
            return warp::reply::json(&state.range(body)).into_response();
        }
        let is_resource = body["success"].to_string().contains(&STANDARD.encode(HEAD_PATH))
            && body["success"].to_string().contains("requestPut");
        let fault = match is_resource && !state.faults.is_empty() {
            true => Some(state.faults.remove(0)),
            false => None,
        };
        match fault {
            Some(WriteFault::DropRequest) => return StatusCode::GATEWAY_TIMEOUT.into_response(),
            Some(WriteFault::ConcurrentWrite(kind, name, spec)) => state.declare(kind, name, &spec),
            Some(WriteFault::ConcurrentWriteWithoutHead(kind, name, spec)) => {
                let head = state.items.get(HEAD_PATH).cloned();
                state.declare(kind, name, &spec);
                state.items.extend(head.map(|head| (HEAD_PATH.to_owned(), head)));
            }
            Some(WriteFault::DropResponse) => {
                state.txn(body);
                return StatusCode::GATEWAY_TIMEOUT.into_response();
            }
            None => {}
        }
        warp::reply::json(&state.txn(body)).into_response()
    }

    fn handle_object(&self, method: &warp::http::Method, path: &str, body: Bytes) -> StatusOrBody {
        let mut state = self.lock();
        if path == "/v1/vms" {
            return Ok(br#"{"vms": []}"#.to_vec());
        }
        if method == warp::http::Method::PUT {
            state.objects.insert(path.to_owned(), body.to_vec());
            return Ok(Vec::new());
        }
        state.objects.get(path).cloned().ok_or(StatusCode::NOT_FOUND)
    }
}

/// A response of the object store.
type StatusOrBody = Result<Vec<u8>, StatusCode>;

impl State {
    fn put(&mut self, key: &str, value: &[u8]) {
        self.revision += 1;
        self.items.insert(key.to_owned(), (value.to_vec(), self.revision));
    }

    fn declare(&mut self, kind: Kind, name: &str, spec: &Value) {
        let value = json!({"kind": kind, "generation": 9, "spec": spec, "writeId": "other"});
        self.put(&resource_path(kind, name), value.to_string().as_bytes());
        let revision = self.revision;
        self.items.insert(HEAD_PATH.to_owned(), (b"{}".to_vec(), revision));
    }

    fn range(&self, request: &Value) -> Value {
        let (key, end) = (decode_base64(&request["key"]), decode_base64(&request["range_end"]));
        let since = parse_int(&request["min_mod_revision"]);
        let kvs: Vec<Value> = self
            .items
            .iter()
            .filter(|(own, _)| **own == key || (**own > key && **own < end))
            .filter(|(_, (_, revision))| *revision >= since)
            .map(|(key, (value, revision))| {
                json!({
                    "key": STANDARD.encode(key),
                    "value": STANDARD.encode(value),
                    "mod_revision": revision.to_string(),
                })
            })
            .collect();
        json!({"header": {"revision": self.revision.to_string()}, "kvs": kvs})
    }

    fn txn(&mut self, request: &Value) -> Value {
        let before = self.revision;
        let (succeeded, responses) = self.run_txn(request, before + 1);
        json!({
            "header": {"revision": self.revision.to_string()},
            "succeeded": succeeded,
            "responses": responses,
        })
    }

    fn run_txn(&mut self, request: &Value, next: u64) -> (bool, Vec<Value>) {
        let compares = request["compare"].as_array().cloned().unwrap_or_default();
        let succeeded = compares.iter().all(|compare| {
            let item = self.items.get(&decode_base64(&compare["key"]));
            let actual = item.map_or(0, |(_, revision)| *revision);
            let wanted =
                parse_int(&compare["mod_revision"]).max(parse_int(&compare["create_revision"]));
            actual == wanted
        });
        let branch = if succeeded { "success" } else { "failure" };
        let ops = request[branch].as_array().cloned().unwrap_or_default();
        let responses = ops.iter().map(|op| self.run_op(op, next)).collect();
        (succeeded, responses)
    }

    fn run_op(&mut self, op: &Value, next: u64) -> Value {
        if let Some(put) = op.get("requestPut") {
            let key = decode_base64(&put["key"]);
            self.writes += u64::from(key == HEAD_PATH);
            let value = STANDARD.decode(put["value"].as_str().unwrap()).unwrap();
            self.items.insert(key, (value, next));
            self.revision = next;
            return json!({"response_put": {}});
        }
        if let Some(range) = op.get("requestRange") {
            return json!({"response_range": self.range(range)});
        }
        if let Some(delete) = op.get("requestDeleteRange") {
            self.items.remove(&decode_base64(&delete["key"]));
            self.revision = next;
            return json!({"response_delete_range": {}});
        }
        let (succeeded, responses) = self.run_txn(&op["requestTxn"], next);
        json!({"response_txn": {"succeeded": succeeded, "responses": responses}})
    }
}

fn decode_base64(value: &Value) -> String {
    let bytes = STANDARD.decode(value.as_str().unwrap_or_default());
    String::from_utf8(bytes.unwrap_or_default()).unwrap_or_default()
}

fn parse_int(value: &Value) -> u64 {
    value.as_str().and_then(|text| text.parse().ok()).unwrap_or(0)
}
