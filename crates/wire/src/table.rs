//! The keys and values of the platform's table, and the kernel's operations on it.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::pool;
use hornbeamloom_kernel::resource::{self, Kind};
use hornbeamloom_kernel::store::{
    Answer, Condition, Family, Key, Op, Record, Value, Write, WriteResult,
};
use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};

use crate::etcd::{self, Compare, Decided, Done, Found, Malformed, Pair, Range, Step, Txn};

/// The record whose revision is the configuration revision.
pub const HEAD: &str = "/hornbeamloom/head";
/// Prefix of all resources.
pub const RESOURCES: &str = "/hornbeamloom/resources/";

const LEASES: &str = "/hornbeamloom/leases/";
const CLAIMS: &str = "/hornbeamloom/claims/";
const QUARANTINE: &str = "/hornbeamloom/quarantine/";
const SLOTS: &str = "/hornbeamloom/slots/";

/// Characters of a key segment that are not percent-encoded, besides letters and digits.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.');

fn segment(text: &str) -> String {
    utf8_percent_encode(text, SEGMENT).to_string()
}

fn unsegment(text: &str) -> Option<String> {
    let text = percent_decode_str(text).decode_utf8().ok()?;
    Some(text.into_owned())
}

/// The table key of a resource.
///
/// ```
/// use hornbeamloom_kernel::resource::Kind;
/// use hornbeamloom_wire::table::{read_resource_path, resource_path};
///
/// let path = resource_path(Kind::Target, "engine-1");
/// assert_eq!(path, "/hornbeamloom/resources/targets/engine-1");
/// assert_eq!(&*read_resource_path(&path).unwrap().name, "engine-1");
/// ```
pub fn resource_path(kind: Kind, name: &str) -> String {
    format!("{RESOURCES}{}/{}", kind.plural(), segment(name))
}

/// The resource that a table key stands for; `None` for another key or an unknown kind.
pub fn read_resource_path(path: &str) -> Option<resource::Key> {
    let (plural, name) = path.strip_prefix(RESOURCES)?.split_once('/')?;
    Some(resource::Key { kind: Kind::from_plural(plural)?, name: unsegment(name)?.into() })
}

/// The table key of one of the kernel's records.
///
/// ```
/// use hornbeamloom_kernel::store::Key;
/// use hornbeamloom_wire::table::{path, read_path};
///
/// let key = Key::Claim { organisation: "a".into(), service: "b".into(), key: "x/ÿ".into() };
/// assert_eq!(path(&key), "/hornbeamloom/claims/a/b/x%2F%C3%BF");
/// assert_eq!(read_path(&path(&key)), Some(key));
/// ```
pub fn path(key: &Key) -> String {
    match key {
        Key::Lease(pool) => format!("{LEASES}{}/{}", segment(&pool.zone), segment(&pool.service)),
        Key::Claim { organisation, service, key } => {
            let (organisation, service) = (segment(organisation), segment(service));
            format!("{CLAIMS}{organisation}/{service}/{}", segment(key))
        }
        Key::Quarantine(fingerprint) => format!("{QUARANTINE}{fingerprint:016x}"),
        Key::Slot(slot) => format!("{SLOTS}{slot}"),
    }
}

/// The record that a table key stands for; `None` if it is none of the kernel's.
pub fn read_path(path: &str) -> Option<Key> {
    if let Some(rest) = path.strip_prefix(LEASES) {
        let (zone, service) = rest.split_once('/')?;
        return Some(Key::Lease(pool::Key::new(&unsegment(service)?, &unsegment(zone)?)));
    }
    if let Some(rest) = path.strip_prefix(CLAIMS) {
        let mut parts = rest.split('/').map(unsegment);
        return Some(Key::Claim {
            organisation: parts.next()??.into(),
            service: parts.next()??.into(),
            key: parts.next()??.into(),
        });
    }
    if let Some(rest) = path.strip_prefix(QUARANTINE) {
        return u64::from_str_radix(rest, 16).ok().map(Key::Quarantine);
    }
    path.strip_prefix(SLOTS)?.parse().ok().map(Key::Slot)
}

/// The value as JSON; a kept body is base64.
pub fn value(value: &Value) -> Vec<u8> {
    let mut json = serde_json::to_value(value).unwrap_or_default();
    if let (Some(slot), Some(body)) = (json.pointer_mut(BODY), kept_body(value)) {
        *slot = serde_json::Value::String(STANDARD.encode(body));
    }
    json.to_string().into_bytes()
}

/// Where the kept body stands in a claim's JSON.
const BODY: &str = "/Claim/outcome/body";

fn kept_body(value: &Value) -> Option<&[u8]> {
    match value {
        Value::Claim(claim) => claim.outcome.as_ref()?.body.as_deref(),
        _ => None,
    }
}

/// Reads a value; `None` if it cannot be understood.
pub fn read_value(bytes: &[u8]) -> Option<Value> {
    let mut json: serde_json::Value = serde_json::from_slice(bytes).ok()?;
    if let Some(slot) = json.pointer_mut(BODY) {
        if let Some(text) = slot.as_str() {
            *slot = serde_json::Value::from(STANDARD.decode(text).ok()?);
        }
    }
    serde_json::from_value(json).ok()
}

/// The path and body of the request that carries out an operation.
pub fn request(op: &Op) -> (&'static str, Vec<u8>) {
    match op {
        Op::Read(key) => (etcd::RANGE_PATH, etcd::range_body(&Range::one(&path(key)))),
        Op::List(family) => (etcd::RANGE_PATH, etcd::range_body(&Range::prefix(&prefix(family)))),
        Op::Write(writes) => (etcd::TXN_PATH, etcd::txn_body(&batch(writes))),
    }
}

fn prefix(family: &Family) -> String {
    match family {
        Family::Leases { zone } => format!("{LEASES}{}/", segment(zone)),
        Family::Quarantine => QUARANTINE.to_owned(),
        Family::Slots => SLOTS.to_owned(),
    }
}

/// Each write is a nested transaction, so that one refused condition does not undo the others.
fn batch(writes: &[Write]) -> Txn {
    Txn { success: writes.iter().map(|write| Step::Txn(single(write))).collect(), ..Txn::default() }
}

fn single(write: &Write) -> Txn {
    let key = path(&write.key);
    let compare = match write.condition {
        Condition::Absent => vec![Compare::new(&key, 0)],
        Condition::Version(version) => vec![Compare::new(&key, version.0)],
        Condition::Any => Vec::new(),
    };
    let step = match &write.value {
        Some(new) => Step::Put(key.clone(), value(new)),
        None => Step::Delete(key.clone()),
    };
    Txn { compare, success: vec![step], failure: vec![Step::Range(Range::one(&key))] }
}

/// Reads the answer to an operation.
///
/// # Errors
///
/// [`Malformed`] if the bytes do not answer it.
pub fn answer(op: &Op, bytes: &[u8]) -> Result<Answer, Malformed> {
    match op {
        Op::Read(_) => {
            let found = etcd::read_range(bytes)?;
            Ok(Answer::Read(found.pairs.iter().find_map(record)))
        }
        Op::List(_) => {
            let found = etcd::read_range(bytes)?;
            Ok(Answer::Listed(found.pairs.iter().filter_map(record).collect()))
        }
        Op::Write(writes) => {
            let decided = etcd::read_txn(bytes)?;
            written(writes, &decided).map(Answer::Written)
        }
    }
}

fn written(writes: &[Write], decided: &Decided) -> Result<Vec<WriteResult>, Malformed> {
    if decided.steps.len() != writes.len() {
        return Err(Malformed("another number of steps"));
    }
    decided
        .steps
        .iter()
        .map(|step| match step {
            Done::Txn(nested) if nested.succeeded => {
                Ok(WriteResult::Applied(Revision(decided.revision)))
            }
            Done::Txn(nested) => match nested.steps.first() {
                Some(Done::Range(found)) => Ok(WriteResult::Conflict(first(found))),
                _ => Err(Malformed("a refused write without a read")),
            },
            _ => Err(Malformed("a step that is no transaction")),
        })
        .collect()
}

fn first(found: &Found) -> Option<Record> {
    found.pairs.first().and_then(record)
}

/// The record of a pair; `None` if its key is not one of the kernel's.
fn record(pair: &Pair) -> Option<Record> {
    Some(Record {
        key: read_path(&pair.key)?,
        version: Revision(pair.version),
        value: read_value(&pair.value),
    })
}
