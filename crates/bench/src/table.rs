//! The transactional table of the platform stand-in, in the form of etcd's JSON gateway.
//!
//! It holds plain data and has no I/O. Only what the system uses is there: ranges, and
//! transactions with comparisons of revisions, puts, deletions, ranges and nested transactions.

use std::collections::BTreeMap;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    create_revision: u64,
    mod_revision: u64,
    version: u64,
}

/// Keys with revisions.
#[derive(Debug, Clone)]
pub(crate) struct Table {
    revision: u64,
    items: BTreeMap<Vec<u8>, Item>,
    pub(crate) writes: u64,
}

impl Table {
    pub(crate) fn new() -> Table {
        Table { revision: 1, items: BTreeMap::new(), writes: 0 }
    }

    /// Serves a `RangeRequest`.
    pub(crate) fn range(&self, request: &Value) -> Value {
        let key = bytes(&request["key"]);
        let end = bytes(&request["range_end"]);
        let minimum = number(&request["min_mod_revision"]);
        let limit = number(&request["limit"]);
        let matches = |candidate: &[u8]| match end.as_slice() {
            [] => candidate == key,
            [0] => candidate >= key.as_slice(),
            end => candidate >= key.as_slice() && candidate < end,
        };
        let mut kvs: Vec<Value> = self
            .items
            .iter()
            .filter(|(key, item)| matches(key) && item.mod_revision >= minimum)
            .map(|(key, item)| entry(key, item))
            .collect();
        let count = kvs.len();
        if limit > 0 {
            kvs.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
        }
        let more = kvs.len() < count;
        json!({"header": self.header(), "kvs": kvs, "count": count.to_string(), "more": more})
    }

    /// Serves a `TxnRequest`.
    pub(crate) fn transact(&mut self, request: &Value) -> Value {
        let next = self.revision + 1;
        let (succeeded, responses, wrote) = self.run(request, next);
        if wrote {
            self.revision = next;
            self.writes += 1;
        }
        json!({"header": self.header(), "succeeded": succeeded, "responses": responses})
    }

    fn run(&mut self, request: &Value, revision: u64) -> (bool, Vec<Value>, bool) {
        let empty = Vec::new();
        let compares = request["compare"].as_array().unwrap_or(&empty);
        let succeeded = compares.iter().all(|compare| self.holds(compare));
        let branch = if succeeded { "success" } else { "failure" };
        let operations = request[branch].as_array().unwrap_or(&empty);
        let mut wrote = false;
        let mut responses = Vec::new();
        for operation in operations {
            let (response, changed) = self.apply(operation, revision);
            responses.push(response);
            wrote |= changed;
        }
        (succeeded, responses, wrote)
    }

    fn apply(&mut self, operation: &Value, revision: u64) -> (Value, bool) {
        if let Some(put) = get(operation, "requestPut", "request_put") {
            self.put(put, revision);
            return (json!({"response_put": {"header": self.header()}}), true);
        }
        if let Some(range) = get(operation, "requestRange", "request_range") {
            return (json!({"response_range": self.range(range)}), false);
        }
        if let Some(delete) = get(operation, "requestDeleteRange", "request_delete_range") {
            let deleted = usize::from(self.items.remove(&bytes(&delete["key"])).is_some());
            let response = json!({"deleted": deleted.to_string()});
            return (json!({"response_delete_range": response}), deleted > 0);
        }
        let Some(nested) = get(operation, "requestTxn", "request_txn") else {
            return (json!({}), false);
        };
        let (succeeded, responses, wrote) = self.run(nested, revision);
        let response = json!({"succeeded": succeeded, "responses": responses});
        (json!({"response_txn": response}), wrote)
    }

    fn put(&mut self, put: &Value, revision: u64) {
        let item = self.items.entry(bytes(&put["key"])).or_insert(Item {
            value: Vec::new(),
            create_revision: revision,
            mod_revision: revision,
            version: 0,
        });
        item.value = bytes(&put["value"]);
        item.mod_revision = revision;
        item.version += 1;
    }

    fn holds(&self, compare: &Value) -> bool {
        let item = self.items.get(&bytes(&compare["key"]));
        let (actual, field) = match compare["target"].as_str() {
            Some("CREATE") => (item.map_or(0, |item| item.create_revision), "create_revision"),
            Some("VERSION") => (item.map_or(0, |item| item.version), "version"),
            _ => (item.map_or(0, |item| item.mod_revision), "mod_revision"),
        };
        let wanted = number(&compare[field]);
        match compare["result"].as_str() {
            Some("GREATER") => actual > wanted,
            Some("LESS") => actual < wanted,
            Some("NOT_EQUAL") => actual != wanted,
            _ => actual == wanted,
        }
    }

    fn header(&self) -> Value {
        json!({"revision": self.revision.to_string()})
    }
}

fn entry(key: &[u8], item: &Item) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&item.value),
        "create_revision": item.create_revision.to_string(),
        "mod_revision": item.mod_revision.to_string(),
        "version": item.version.to_string(),
    })
}

/// A field under either spelling that the gateway accepts.
fn get<'a>(value: &'a Value, camel: &str, snake: &str) -> Option<&'a Value> {
    value.get(camel).or_else(|| value.get(snake))
}

fn bytes(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

/// An int64, which the gateway writes as text.
fn number(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_u64().unwrap_or(0),
    }
}
