//! Range and transaction of the etcd v3 JSON gateway.
//!
//! Keys and values are base64, 64-bit integers are strings, and fields with their default value
//! may be absent. Source: the etcd v3 API reference, "gRPC gateway".

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde_json::{json, Map, Value};

/// Path of a range request.
pub const RANGE_PATH: &str = "/v3/kv/range";
/// Path of a transaction.
pub const TXN_PATH: &str = "/v3/kv/txn";

/// Nested transactions that are read in an answer; deeper ones are malformed.
const DEPTH_MAX: u32 = 4;

/// The bytes are not the answer that was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("malformed answer from the table: {0}")]
pub struct Malformed(pub &'static str);

/// A range of keys to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// The first key.
    pub key: String,
    /// The end, exclusive; `None` reads one key.
    pub end: Option<String>,
    /// The lowest modification revision wanted; zero for all.
    pub modified_since: u64,
}

impl Range {
    /// One key.
    pub fn one(key: &str) -> Range {
        Range { key: key.to_owned(), end: None, modified_since: 0 }
    }

    /// Every key with a non-empty ASCII prefix.
    ///
    /// ```
    /// use hornbeamloom_wire::etcd::Range;
    ///
    /// assert_eq!(Range::prefix("/a/").end.as_deref(), Some("/a0"));
    /// ```
    pub fn prefix(prefix: &str) -> Range {
        let mut end = prefix.to_owned();
        let last = end.pop().unwrap_or('/');
        end.push(char::from_u32(last as u32 + 1).unwrap_or(char::MAX));
        Range { key: prefix.to_owned(), end: Some(end), modified_since: 0 }
    }

    /// The same range restricted to records changed at `revision` or later.
    pub fn with_modified_since(self, revision: u64) -> Range {
        Range { modified_since: revision, ..self }
    }

    fn encode(&self) -> Value {
        let mut object = Map::new();
        object.insert("key".to_owned(), encode(self.key.as_bytes()));
        if let Some(end) = &self.end {
            object.insert("range_end".to_owned(), encode(end.as_bytes()));
        }
        if self.modified_since > 0 {
            object.insert("min_mod_revision".to_owned(), int(self.modified_since));
        }
        Value::Object(object)
    }
}

/// A comparison that guards a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// Its modification revision; zero if it must not exist.
    pub version: u64,
}

impl Compare {
    /// The key must exist at this modification revision, or not at all if it is zero.
    pub fn new(key: &str, version: u64) -> Compare {
        Compare { key: key.to_owned(), version }
    }

    fn encode(&self) -> Value {
        let (target, field) = match self.version {
            0 => ("CREATE", "create_revision"),
            _ => ("MOD", "mod_revision"),
        };
        json!({
            "key": encode(self.key.as_bytes()),
            "result": "EQUAL",
            "target": target,
            field: int(self.version),
        })
    }
}

/// One step of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read.
    Range(Range),
    /// Write a value.
    Put(String, Vec<u8>),
    /// Delete one key.
    Delete(String),
    /// A transaction that is decided by itself.
    Txn(Txn),
}

impl Step {
    fn encode(&self) -> Value {
        match self {
            Step::Range(range) => json!({"requestRange": range.encode()}),
            Step::Put(key, value) => json!({
                "requestPut": {"key": encode(key.as_bytes()), "value": encode(value)}
            }),
            Step::Delete(key) => json!({"requestDeleteRange": {"key": encode(key.as_bytes())}}),
            Step::Txn(txn) => json!({"requestTxn": txn.encode()}),
        }
    }
}

/// A transaction: if every comparison holds, `success`, otherwise `failure`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// The guards.
    pub compare: Vec<Compare>,
    /// Steps if they hold.
    pub success: Vec<Step>,
    /// Steps if one does not.
    pub failure: Vec<Step>,
}

impl Txn {
    fn encode(&self) -> Value {
        let steps = |steps: &[Step]| steps.iter().map(Step::encode).collect::<Vec<_>>();
        json!({
            "compare": self.compare.iter().map(Compare::encode).collect::<Vec<_>>(),
            "success": steps(&self.success),
            "failure": steps(&self.failure),
        })
    }
}

/// The body of a range request.
///
/// ```
/// use hornbeamloom_wire::etcd::{range_body, Range};
///
/// assert_eq!(range_body(&Range::one("foo")), br#"{"key":"Zm9v"}"#);
/// ```
pub fn range_body(range: &Range) -> Vec<u8> {
    range.encode().to_string().into_bytes()
}

/// The body of a transaction.
pub fn txn_body(txn: &Txn) -> Vec<u8> {
    txn.encode().to_string().into_bytes()
}

/// A record that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pair {
    /// Its key; empty if it is not UTF-8.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub version: u64,
}

/// What a read found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Found {
    /// The table's revision.
    pub revision: u64,
    /// The records.
    pub pairs: Vec<Pair>,
}

/// The result of one step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Done {
    /// A read.
    Range(Found),
    /// A write.
    Put,
    /// A deletion.
    Delete,
    /// A nested transaction.
    Txn(Decided),
}

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decided {
    /// The table's revision; zero in a nested transaction without its own header.
    pub revision: u64,
    /// Whether the comparisons held.
    pub succeeded: bool,
    /// The steps' results, in order.
    pub steps: Vec<Done>,
}

/// Reads the answer to a range request.
///
/// # Errors
///
/// [`Malformed`] if the bytes are not such an answer.
///
/// ```
/// use hornbeamloom_wire::etcd::read_range;
///
/// let text = br#"{"header":{"revision":"7"},"kvs":[{"key":"Zm9v","mod_revision":"5"}]}"#;
/// let found = read_range(text).unwrap();
/// assert_eq!((found.revision, found.pairs[0].version), (7, 5));
/// assert!(read_range(b"[]").is_err());
/// ```
pub fn read_range(bytes: &[u8]) -> Result<Found, Malformed> {
    found(&parse(bytes)?)
}

/// Reads the answer to a transaction.
///
/// # Errors
///
/// [`Malformed`] if the bytes are not such an answer.
pub fn read_txn(bytes: &[u8]) -> Result<Decided, Malformed> {
    decided(&parse(bytes)?, DEPTH_MAX)
}

fn parse(bytes: &[u8]) -> Result<Value, Malformed> {
    let value: Value = serde_json::from_slice(bytes).map_err(|_| Malformed("not JSON"))?;
    let is_answer = value.is_object() && value.get("error").is_none();
    is_answer.then_some(value).ok_or(Malformed("not an answer object"))
}

fn found(value: &Value) -> Result<Found, Malformed> {
    let kvs = list(value, "kvs")?;
    let pairs = kvs.iter().map(pair).collect::<Result<_, _>>()?;
    Ok(Found { revision: revision(value)?, pairs })
}

fn pair(value: &Value) -> Result<Pair, Malformed> {
    let key = bytes(value, "key")?;
    Ok(Pair {
        key: String::from_utf8(key).unwrap_or_default(),
        value: bytes(value, "value")?,
        version: number(field(value, "mod_revision", "modRevision"))?,
    })
}

fn decided(value: &Value, depth: u32) -> Result<Decided, Malformed> {
    let depth = depth.checked_sub(1).ok_or(Malformed("nested too deep"))?;
    let succeeded = match value.get("succeeded") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(succeeded)) => *succeeded,
        Some(_) => return Err(Malformed("succeeded is not a boolean")),
    };
    let steps =
        list(value, "responses")?.iter().map(|step| done(step, depth)).collect::<Result<_, _>>()?;
    Ok(Decided { revision: revision(value)?, succeeded, steps })
}

fn done(value: &Value, depth: u32) -> Result<Done, Malformed> {
    if let Some(range) = field(value, "response_range", "responseRange") {
        return found(range).map(Done::Range);
    }
    if let Some(txn) = field(value, "response_txn", "responseTxn") {
        return decided(txn, depth).map(Done::Txn);
    }
    if field(value, "response_put", "responsePut").is_some() {
        return Ok(Done::Put);
    }
    if field(value, "response_delete_range", "responseDeleteRange").is_some() {
        return Ok(Done::Delete);
    }
    Err(Malformed("unknown step"))
}

fn field<'a>(value: &'a Value, snake: &str, camel: &str) -> Option<&'a Value> {
    value.get(snake).or_else(|| value.get(camel))
}

fn list<'a>(value: &'a Value, name: &str) -> Result<&'a [Value], Malformed> {
    match value.get(name) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(items)) => Ok(items),
        Some(_) => Err(Malformed("expected a list")),
    }
}

fn revision(value: &Value) -> Result<u64, Malformed> {
    number(value.get("header").and_then(|header| header.get("revision")))
}

fn number(value: Option<&Value>) -> Result<u64, Malformed> {
    let number = match value {
        None | Some(Value::Null) => Some(0),
        Some(Value::String(text)) => text.parse().ok(),
        Some(value) => value.as_u64(),
    };
    number.ok_or(Malformed("not a 64-bit integer"))
}

fn bytes(value: &Value, name: &str) -> Result<Vec<u8>, Malformed> {
    match value.get(name) {
        None | Some(Value::Null) => Ok(Vec::new()),
        Some(Value::String(text)) => STANDARD.decode(text).map_err(|_| Malformed("not base64")),
        Some(_) => Err(Malformed("expected base64 text")),
    }
}

fn encode(bytes: &[u8]) -> Value {
    Value::String(STANDARD.encode(bytes))
}

/// 64-bit integers are strings in the JSON form of protocol buffers.
fn int(number: u64) -> Value {
    Value::String(number.to_string())
}
