//! Range requests and transactions of the etcd v3 JSON gateway.
//!
//! Keys and values are base64, 64-bit integers are strings, and fields with their default value
//! may be omitted. See "gRPC gateway" in the etcd v3 API reference.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde_json::{json, Map, Value};

/// Path of range requests.
pub const RANGE_PATH: &str = "/v3/kv/range";
/// Path of transactions.
pub const TXN_PATH: &str = "/v3/kv/txn";

/// Deepest nesting of transactions accepted in a response.
const MAX_TXN_DEPTH: u32 = 4;

/// The response does not have the expected form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("malformed response from the table: {0}")]
pub struct MalformedResponse(pub &'static str);

/// A range of keys to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// First key of the range.
    pub key: String,
    /// Exclusive end of the range; `None` for a single key.
    pub range_end: Option<String>,
    /// Lowest modification revision to return; zero for all.
    pub min_mod_revision: u64,
}

impl Range {
    /// The range that contains a single key.
    pub fn single(key: &str) -> Range {
        Range { key: key.to_owned(), range_end: None, min_mod_revision: 0 }
    }

    /// The range of all keys with a non-empty ASCII prefix.
    ///
    /// ```
    /// use hornbeamloom_wire::etcd::Range;
    ///
    /// assert_eq!(Range::prefix("/a/").range_end.as_deref(), Some("/a0"));
    /// ```
    pub fn prefix(prefix: &str) -> Range {
        let mut range_end = prefix.to_owned();
        let last = range_end.pop().unwrap_or('/');
        range_end.push(char::from_u32(last as u32 + 1).unwrap_or(char::MAX));
        Range { key: prefix.to_owned(), range_end: Some(range_end), min_mod_revision: 0 }
    }

    /// Restricts the range to keys modified at `revision` or later.
    pub fn with_min_mod_revision(self, revision: u64) -> Range {
        Range { min_mod_revision: revision, ..self }
    }

    fn to_json(&self) -> Value {
        let mut object = Map::new();
        object.insert("key".to_owned(), base64_value(self.key.as_bytes()));
        if let Some(range_end) = &self.range_end {
            object.insert("range_end".to_owned(), base64_value(range_end.as_bytes()));
        }
        if self.min_mod_revision > 0 {
            object.insert("min_mod_revision".to_owned(), int64_value(self.min_mod_revision));
        }
        Value::Object(object)
    }
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// Key to compare.
    pub key: String,
    /// Expected modification revision; zero if the key must not exist.
    pub mod_revision: u64,
}

impl Compare {
    /// Holds if the key has this modification revision, or does not exist if that is zero.
    pub fn new(key: &str, mod_revision: u64) -> Compare {
        Compare { key: key.to_owned(), mod_revision }
    }

    fn to_json(&self) -> Value {
        let (target, field) = match self.mod_revision {
            0 => ("CREATE", "create_revision"),
            _ => ("MOD", "mod_revision"),
        };
        json!({
            "key": base64_value(self.key.as_bytes()),
            "result": "EQUAL",
            "target": target,
            field: int64_value(self.mod_revision),
        })
    }
}

/// One operation of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOp {
    /// Reads a range.
    Range(Range),
    /// Writes a value under a key.
    Put(String, Vec<u8>),
    /// Deletes a key.
    Delete(String),
    /// A nested transaction, whose conditions are evaluated separately.
    Txn(Txn),
}

impl RequestOp {
    fn to_json(&self) -> Value {
        match self {
            RequestOp::Range(range) => json!({"requestRange": range.to_json()}),
            RequestOp::Put(key, value) => json!({
                "requestPut": {"key": base64_value(key.as_bytes()), "value": base64_value(value)}
            }),
            RequestOp::Delete(key) => {
                json!({"requestDeleteRange": {"key": base64_value(key.as_bytes())}})
            }
            RequestOp::Txn(txn) => json!({"requestTxn": txn.to_json()}),
        }
    }
}

/// A transaction, which runs `success` if all conditions hold and `failure` otherwise.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Operations if all conditions hold.
    pub success: Vec<RequestOp>,
    /// Operations if a condition does not hold.
    pub failure: Vec<RequestOp>,
}

impl Txn {
    fn to_json(&self) -> Value {
        let encode_ops = |ops: &[RequestOp]| ops.iter().map(RequestOp::to_json).collect::<Vec<_>>();
        json!({
            "compare": self.compare.iter().map(Compare::to_json).collect::<Vec<_>>(),
            "success": encode_ops(&self.success),
            "failure": encode_ops(&self.failure),
        })
    }
}

/// Encodes the body of a range request.
///
/// ```
/// use hornbeamloom_wire::etcd::{encode_range, Range};
///
/// assert_eq!(encode_range(&Range::single("foo")), br#"{"key":"Zm9v"}"#);
/// ```
pub fn encode_range(range: &Range) -> Vec<u8> {
    range.to_json().to_string().into_bytes()
}

/// Encodes the body of a transaction.
pub fn encode_txn(txn: &Txn) -> Vec<u8> {
    txn.to_json().to_string().into_bytes()
}

/// A key-value pair.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Key; empty if it is not UTF-8.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last modification.
    pub mod_revision: u64,
}

/// Result of a range request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RangeResponse {
    /// Revision of the table.
    pub revision: u64,
    /// Key-value pairs in the range.
    pub kvs: Vec<KeyValue>,
}

/// Result of one operation of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseOp {
    /// A range was read.
    Range(RangeResponse),
    /// A value was written.
    Put,
    /// A key was deleted.
    Delete,
    /// A nested transaction ran.
    Txn(TxnResponse),
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TxnResponse {
    /// Revision of the table; zero in a nested transaction without a header.
    pub revision: u64,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Results of the operations, in order.
    pub responses: Vec<ResponseOp>,
}

/// Decodes the response to a range request.
///
/// # Errors
///
/// [`MalformedResponse`] if the bytes are not such a response.
///
/// ```
/// use hornbeamloom_wire::etcd::decode_range_response;
///
/// let text = br#"{"header":{"revision":"7"},"kvs":[{"key":"Zm9v","mod_revision":"5"}]}"#;
/// let found = decode_range_response(text).unwrap();
/// assert_eq!((found.revision, found.kvs[0].mod_revision), (7, 5));
/// assert!(decode_range_response(b"[]").is_err());
/// ```
pub fn decode_range_response(bytes: &[u8]) -> Result<RangeResponse, MalformedResponse> {
    range_response(&parse(bytes)?)
}

/// Decodes the response to a transaction.
///
/// # Errors
///
/// [`MalformedResponse`] if the bytes are not such a response.
pub fn decode_txn_response(bytes: &[u8]) -> Result<TxnResponse, MalformedResponse> {
    txn_response(&parse(bytes)?, MAX_TXN_DEPTH)
}

fn parse(bytes: &[u8]) -> Result<Value, MalformedResponse> {
    let value: Value = serde_json::from_slice(bytes).map_err(|_| MalformedResponse("not JSON"))?;
    let is_response = value.is_object() && value.get("error").is_none();
    is_response.then_some(value).ok_or(MalformedResponse("not a response object"))
}

fn range_response(value: &Value) -> Result<RangeResponse, MalformedResponse> {
    let kvs = array_field(value, "kvs")?;
    let kvs = kvs.iter().map(key_value).collect::<Result<_, _>>()?;
    Ok(RangeResponse { revision: revision(value)?, kvs })
}

fn key_value(value: &Value) -> Result<KeyValue, MalformedResponse> {
    let key = bytes_field(value, "key")?;
    Ok(KeyValue {
        key: String::from_utf8(key).unwrap_or_default(),
        value: bytes_field(value, "value")?,
        mod_revision: parse_u64(field_of_either_case(value, "mod_revision", "modRevision"))?,
    })
}

fn txn_response(value: &Value, depth: u32) -> Result<TxnResponse, MalformedResponse> {
    let depth = depth.checked_sub(1).ok_or(MalformedResponse("transactions nested too deeply"))?;
    let succeeded = match value.get("succeeded") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(succeeded)) => *succeeded,
        Some(_) => return Err(MalformedResponse("succeeded is not a boolean")),
    };
    let responses = array_field(value, "responses")?
        .iter()
        .map(|op| response_op(op, depth))
        .collect::<Result<_, _>>()?;
    Ok(TxnResponse { revision: revision(value)?, succeeded, responses })
}

fn response_op(value: &Value, depth: u32) -> Result<ResponseOp, MalformedResponse> {
    if let Some(range) = field_of_either_case(value, "response_range", "responseRange") {
        return range_response(range).map(ResponseOp::Range);
    }
    if let Some(txn) = field_of_either_case(value, "response_txn", "responseTxn") {
        return txn_response(txn, depth).map(ResponseOp::Txn);
    }
    if field_of_either_case(value, "response_put", "responsePut").is_some() {
        return Ok(ResponseOp::Put);
    }
    if field_of_either_case(value, "response_delete_range", "responseDeleteRange").is_some() {
        return Ok(ResponseOp::Delete);
    }
    Err(MalformedResponse("unknown type of operation"))
}

fn field_of_either_case<'a>(value: &'a Value, snake: &str, camel: &str) -> Option<&'a Value> {
    value.get(snake).or_else(|| value.get(camel))
}

fn array_field<'a>(value: &'a Value, name: &str) -> Result<&'a [Value], MalformedResponse> {
    match value.get(name) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(items)) => Ok(items),
        Some(_) => Err(MalformedResponse("expected an array")),
    }
}

fn revision(value: &Value) -> Result<u64, MalformedResponse> {
    parse_u64(value.get("header").and_then(|header| header.get("revision")))
}

fn parse_u64(value: Option<&Value>) -> Result<u64, MalformedResponse> {
    let number = match value {
        None | Some(Value::Null) => Some(0),
        Some(Value::String(text)) => text.parse().ok(),
        Some(value) => value.as_u64(),
    };
    number.ok_or(MalformedResponse("not a 64-bit integer"))
}

fn bytes_field(value: &Value, name: &str) -> Result<Vec<u8>, MalformedResponse> {
    match value.get(name) {
        None | Some(Value::Null) => Ok(Vec::new()),
        Some(Value::String(text)) => {
            STANDARD.decode(text).map_err(|_| MalformedResponse("not base64"))
        }
        Some(_) => Err(MalformedResponse("expected base64 text")),
    }
}

fn base64_value(bytes: &[u8]) -> Value {
    Value::String(STANDARD.encode(bytes))
}

/// The JSON mapping of protocol buffers represents 64-bit integers as strings.
fn int64_value(number: u64) -> Value {
    Value::String(number.to_string())
}
