//! Keys and values in the platform's table, and the encoding of the kernel's operations on it.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::pool;
use hornbeamloom_kernel::resource::{self, Kind};
use hornbeamloom_kernel::store::{
    Answer, Condition, Family, Key, Op, Record, Value, Write, WriteResult,
};
use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};

use crate::etcd::{
    self, Compare, KeyValue, MalformedResponse, Range, RangeResponse, RequestOp, ResponseOp, Txn,
    TxnResponse,
};

/// Key whose modification revision is the configuration revision.
pub const HEAD_PATH: &str = "/hornbeamloom/head";
/// Key prefix of all resources.
pub const RESOURCE_PREFIX: &str = "/hornbeamloom/resources/";

const LEASE_PREFIX: &str = "/hornbeamloom/leases/";
const CLAIM_PREFIX: &str = "/hornbeamloom/claims/";
const QUARANTINE_PREFIX: &str = "/hornbeamloom/quarantine/";
const SLOT_PREFIX: &str = "/hornbeamloom/slots/";
const ROLLOUT_LEASE_PREFIX: &str = "/hornbeamloom/rollout-leases/";
const ROLLOUT_STATUS_PREFIX: &str = "/hornbeamloom/rollouts/";

/// Percent-encoded characters of a key segment: all but letters, digits, `-`, `_` and `.`.
const SEGMENT_ENCODE_SET: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.');

fn encode_segment(text: &str) -> String {
    utf8_percent_encode(text, SEGMENT_ENCODE_SET).to_string()
}

fn decode_segment(text: &str) -> Option<String> {
    let text = percent_decode_str(text).decode_utf8().ok()?;
    Some(text.into_owned())
}

/// Table key of a resource.
///
/// ```
/// use hornbeamloom_kernel::resource::Kind;
/// use hornbeamloom_wire::table::{parse_resource_path, resource_path};
///
/// let path = resource_path(Kind::Target, "engine-1");
/// assert_eq!(path, "/hornbeamloom/resources/targets/engine-1");
/// assert_eq!(&*parse_resource_path(&path).unwrap().name, "engine-1");
/// ```
pub fn resource_path(kind: Kind, name: &str) -> String {
    format!("{RESOURCE_PREFIX}{}/{}", kind.plural(), encode_segment(name))
}

/// Parses the table key of a resource; `None` for any other key or an unknown kind.
pub fn parse_resource_path(path: &str) -> Option<resource::Key> {
    let (plural, name) = path.strip_prefix(RESOURCE_PREFIX)?.split_once('/')?;
    Some(resource::Key { kind: Kind::from_plural(plural)?, name: decode_segment(name)?.into() })
}

/// Table key of a record of the kernel.
///
/// ```
/// use hornbeamloom_kernel::store::Key;
/// use hornbeamloom_wire::table::{record_path, parse_record_path};
///
/// let key = Key::Claim { organisation: "a".into(), service: "b".into(), key: "x/ÿ".into() };
/// assert_eq!(record_path(&key), "/hornbeamloom/claims/a/b/x%2F%C3%BF");
/// assert_eq!(parse_record_path(&record_path(&key)), Some(key));
/// ```
pub fn record_path(key: &Key) -> String {
    match key {
        Key::Lease(pool) => format!(
            "{LEASE_PREFIX}{}/{}",
            encode_segment(&pool.zone),
            encode_segment(&pool.service)
        ),
        Key::Claim { organisation, service, key } => {
            let (organisation, service) = (encode_segment(organisation), encode_segment(service));
            format!("{CLAIM_PREFIX}{organisation}/{service}/{}", encode_segment(key))
        }
        Key::Quarantine(fingerprint) => format!("{QUARANTINE_PREFIX}{fingerprint:016x}"),
        Key::Slot(slot) => format!("{SLOT_PREFIX}{slot}"),
        Key::RolloutLease(service) => {
            format!("{ROLLOUT_LEASE_PREFIX}{}", encode_segment(service))
        }
        Key::RolloutStatus(service) => {
            format!("{ROLLOUT_STATUS_PREFIX}{}", encode_segment(service))
        }
    }
}

/// Parses the table key of a record of the kernel; `None` for any other key.
pub fn parse_record_path(path: &str) -> Option<Key> {
    if let Some(rest) = path.strip_prefix(LEASE_PREFIX) {
        let (zone, service) = rest.split_once('/')?;
        return Some(Key::Lease(pool::Key::new(&decode_segment(service)?, &decode_segment(zone)?)));
    }
    if let Some(rest) = path.strip_prefix(CLAIM_PREFIX) {
        let mut parts = rest.split('/').map(decode_segment);
        return Some(Key::Claim {
            organisation: parts.next()??.into(),
            service: parts.next()??.into(),
            key: parts.next()??.into(),
        });
    }
    if let Some(rest) = path.strip_prefix(QUARANTINE_PREFIX) {
        return u64::from_str_radix(rest, 16).ok().map(Key::Quarantine);
    }
    if let Some(service) = path.strip_prefix(ROLLOUT_LEASE_PREFIX) {
        return Some(Key::RolloutLease(decode_segment(service)?.into()));
    }
    if let Some(service) = path.strip_prefix(ROLLOUT_STATUS_PREFIX) {
        return Some(Key::RolloutStatus(decode_segment(service)?.into()));
    }
    path.strip_prefix(SLOT_PREFIX)?.parse().ok().map(Key::Slot)
}

/// Encodes a value as JSON, in which a stored response body is base64.
pub fn encode_value(value: &Value) -> Vec<u8> {
    let mut json = serde_json::to_value(value).unwrap_or_default();
    if let (Some(body_json), Some(body)) =
        (json.pointer_mut(STORED_BODY_POINTER), stored_body(value))
    {
        *body_json = serde_json::Value::String(STANDARD.encode(body));
    }
    json.to_string().into_bytes()
}

/// JSON pointer of the stored response body in a claim.
const STORED_BODY_POINTER: &str = "/Claim/outcome/body";

fn stored_body(value: &Value) -> Option<&[u8]> {
    match value {
        Value::Claim(claim) => claim.outcome.as_ref()?.body.as_deref(),
        _ => None,
    }
}

/// Decodes a value; `None` if it is malformed.
pub fn decode_value(bytes: &[u8]) -> Option<Value> {
    let mut json: serde_json::Value = serde_json::from_slice(bytes).ok()?;
    if let Some(body_json) = json.pointer_mut(STORED_BODY_POINTER) {
        if let Some(text) = body_json.as_str() {
            *body_json = serde_json::Value::from(STANDARD.decode(text).ok()?);
        }
    }
    serde_json::from_value(json).ok()
}

/// Path and body of the request for an operation.
pub fn encode_request(op: &Op) -> (&'static str, Vec<u8>) {
    match op {
        Op::Read(key) => (etcd::RANGE_PATH, etcd::encode_range(&Range::single(&record_path(key)))),
        Op::List(family) => {
            (etcd::RANGE_PATH, etcd::encode_range(&Range::prefix(&family_prefix(family))))
        }
        Op::Write(writes) => (etcd::TXN_PATH, etcd::encode_txn(&batch_txn(writes))),
    }
}

fn family_prefix(family: &Family) -> String {
    match family {
        Family::Leases { zone } => format!("{LEASE_PREFIX}{}/", encode_segment(zone)),
        Family::Quarantine => QUARANTINE_PREFIX.to_owned(),
        Family::Slots => SLOT_PREFIX.to_owned(),
    }
}

/// Each write is a nested transaction, so that a conflict does not affect the other writes.
fn batch_txn(writes: &[Write]) -> Txn {
    Txn {
        success: writes.iter().map(|write| RequestOp::Txn(write_txn(write))).collect(),
        ..Txn::default()
    }
}

fn write_txn(write: &Write) -> Txn {
    let key = record_path(&write.key);
    let compare = match write.condition {
        Condition::Absent => vec![Compare::new(&key, 0)],
        Condition::Version(version) => vec![Compare::new(&key, version.0)],
        Condition::Any => Vec::new(),
    };
    let op = match &write.value {
        Some(new) => RequestOp::Put(key.clone(), encode_value(new)),
        None => RequestOp::Delete(key.clone()),
    };
    Txn { compare, success: vec![op], failure: vec![RequestOp::Range(Range::single(&key))] }
}

/// Decodes the response to an operation.
///
/// # Errors
///
/// [`MalformedResponse`] if the bytes are not a response to this operation.
pub fn decode_answer(op: &Op, bytes: &[u8]) -> Result<Answer, MalformedResponse> {
    match op {
        Op::Read(_) => {
            let found = etcd::decode_range_response(bytes)?;
            Ok(Answer::Read(found.kvs.iter().find_map(decode_record)))
        }
        Op::List(_) => {
            let found = etcd::decode_range_response(bytes)?;
            Ok(Answer::Listed(found.kvs.iter().filter_map(decode_record).collect()))
        }
        Op::Write(writes) => {
            let response = etcd::decode_txn_response(bytes)?;
            write_results(writes, &response).map(Answer::Written)
        }
    }
}

fn write_results(
    writes: &[Write],
    response: &TxnResponse,
) -> Result<Vec<WriteResult>, MalformedResponse> {
    if response.responses.len() != writes.len() {
        return Err(MalformedResponse("number of results differs from number of writes"));
    }
    response
        .responses
        .iter()
        .map(|op| match op {
            ResponseOp::Txn(nested) if nested.succeeded => {
                Ok(WriteResult::Applied(Revision(response.revision)))
            }
            ResponseOp::Txn(nested) => match nested.responses.first() {
                Some(ResponseOp::Range(found)) => Ok(WriteResult::Conflict(first_record(found))),
                _ => Err(MalformedResponse("conflicting write without the current record")),
            },
            _ => Err(MalformedResponse("result of a write is not a transaction")),
        })
        .collect()
}

fn first_record(found: &RangeResponse) -> Option<Record> {
    found.kvs.first().and_then(decode_record)
}

/// Decodes a record; `None` if the key is not that of a record of the kernel.
fn decode_record(kv: &KeyValue) -> Option<Record> {
    Some(Record {
        key: parse_record_path(&kv.key)?,
        version: Revision(kv.mod_revision),
        value: decode_value(&kv.value),
    })
}
