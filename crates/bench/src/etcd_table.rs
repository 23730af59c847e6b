//! The transactional table of the platform stand-in, with the interface of etcd's JSON gateway.
//!
//! It is an in-memory data structure without I/O. It implements only what the system uses: range
//! requests, and transactions with revision compares, puts, deletes, ranges and nested
//! transactions.

use std::collections::BTreeMap;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

#[derive(Debug, Clone)]
struct KeyValue {
    value: Vec<u8>,
    create_revision: u64,
    mod_revision: u64,
    version: u64,
}

/// Key-value pairs with revisions.
#[derive(Debug, Clone)]
pub(crate) struct Table {
    revision: u64,
    entries: BTreeMap<Vec<u8>, KeyValue>,
    pub(crate) writes: u64,
}

impl Table {
    pub(crate) fn new() -> Table {
        Table { revision: 1, entries: BTreeMap::new(), writes: 0 }
    }

    /// Returns the response to a `RangeRequest`.
    pub(crate) fn range(&self, request: &Value) -> Value {
        let key = decode_bytes(&request["key"]);
        let range_end = decode_bytes(&request["range_end"]);
        let min_mod_revision = parse_int64(&request["min_mod_revision"]);
        let limit = parse_int64(&request["limit"]);
        let matches = |candidate: &[u8]| match range_end.as_slice() {
            [] => candidate == key,
            [0] => candidate >= key.as_slice(),
            range_end => candidate >= key.as_slice() && candidate < range_end,
        };
        let mut kvs: Vec<Value> = self
            .entries
            .iter()
            .filter(|(key, entry)| matches(key) && entry.mod_revision >= min_mod_revision)
            .map(|(key, entry)| entry_json(key, entry))
            .collect();
        let count = kvs.len();
        if limit > 0 {
            kvs.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
        }
        let more = kvs.len() < count;
        json!({"header": self.header(), "kvs": kvs, "count": count.to_string(), "more": more})
    }

    /// Applies a `TxnRequest` and returns its response.
    pub(crate) fn transact(&mut self, request: &Value) -> Value {
        let next_revision = self.revision + 1;
        let (succeeded, responses, modified) = self.run_txn(request, next_revision);
        if modified {
            self.revision = next_revision;
            self.writes += 1;
        }
        json!({"header": self.header(), "succeeded": succeeded, "responses": responses})
    }

    fn run_txn(&mut self, request: &Value, revision: u64) -> (bool, Vec<Value>, bool) {
        let empty = Vec::new();
        let compares = request["compare"].as_array().unwrap_or(&empty);
        let succeeded = compares.iter().all(|compare| self.compare_holds(compare));
        let branch = if succeeded { "success" } else { "failure" };
        let operations = request[branch].as_array().unwrap_or(&empty);
        let mut modified = false;
        let mut responses = Vec::new();
        for operation in operations {
            let (response, changed) = self.apply(operation, revision);
            responses.push(response);
            modified |= changed;
        }
        (succeeded, responses, modified)
    }

    fn apply(&mut self, operation: &Value, revision: u64) -> (Value, bool) {
        if let Some(put) = get_field(operation, "requestPut", "request_put") {
            self.put(put, revision);
            return (json!({"response_put": {"header": self.header()}}), true);
        }
        if let Some(range) = get_field(operation, "requestRange", "request_range") {
            return (json!({"response_range": self.range(range)}), false);
        }
        if let Some(delete) = get_field(operation, "requestDeleteRange", "request_delete_range") {
            let deleted = usize::from(self.entries.remove(&decode_bytes(&delete["key"])).is_some());
            let response = json!({"deleted": deleted.to_string()});
            return (json!({"response_delete_range": response}), deleted > 0);
        }
        let Some(nested) = get_field(operation, "requestTxn", "request_txn") else {
            return (json!({}), false);
        };
        let (succeeded, responses, modified) = self.run_txn(nested, revision);
        let response = json!({"succeeded": succeeded, "responses": responses});
        (json!({"response_txn": response}), modified)
    }

    fn put(&mut self, put: &Value, revision: u64) {
        let entry = self.entries.entry(decode_bytes(&put["key"])).or_insert(KeyValue {
            value: Vec::new(),
            create_revision: revision,
            mod_revision: revision,
            version: 0,
        });
        entry.value = decode_bytes(&put["value"]);
        entry.mod_revision = revision;
        entry.version += 1;
    }

    fn compare_holds(&self, compare: &Value) -> bool {
        let entry = self.entries.get(&decode_bytes(&compare["key"]));
        let (actual, field) = match compare["target"].as_str() {
            Some("CREATE") => (entry.map_or(0, |entry| entry.create_revision), "create_revision"),
            Some("VERSION") => (entry.map_or(0, |entry| entry.version), "version"),
            _ => (entry.map_or(0, |entry| entry.mod_revision), "mod_revision"),
        };
        let expected = parse_int64(&compare[field]);
        match compare["result"].as_str() {
            Some("GREATER") => actual > expected,
            Some("LESS") => actual < expected,
            Some("NOT_EQUAL") => actual != expected,
            _ => actual == expected,
        }
    }

    fn header(&self) -> Value {
        json!({"revision": self.revision.to_string()})
    }
}

fn entry_json(key: &[u8], entry: &KeyValue) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&entry.value),
        "create_revision": entry.create_revision.to_string(),
        "mod_revision": entry.mod_revision.to_string(),
        "version": entry.version.to_string(),
    })
}

/// A field in either of the spellings that the gateway accepts.
fn get_field<'a>(value: &'a Value, camel: &str, snake: &str) -> Option<&'a Value> {
    value.get(camel).or_else(|| value.get(snake))
}

fn decode_bytes(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

/// Parses an int64, which the gateway encodes as a string.
fn parse_int64(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_u64().unwrap_or(0),
    }
}
