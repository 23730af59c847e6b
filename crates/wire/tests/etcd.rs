//! Encoding of the kernel's operations for the etcd JSON gateway, and decoding of its responses.

use hornbeamloom_kernel::ids::{Incarnation, Revision};
use hornbeamloom_kernel::store::{
    Answer, Claim, Condition, Family, Key, Lease, Op, Quarantine, Record, StoredResponse, Value,
    Write, WriteResult,
};
use hornbeamloom_kernel::{cases, pool};
use hornbeamloom_wire::{etcd, manifest, table};
use quickcheck::{Arbitrary, Gen};

fn lease_key() -> Key {
    Key::Lease(pool::Key::new("menu-model", "riga-a"))
}

fn lease() -> Value {
    Value::Lease(Lease {
        vm: "entry-1".into(),
        incarnation: Incarnation(3),
        fence: hornbeamloom_kernel::ids::Fence(2),
        renewal: 9,
        released: false,
    })
}

fn claim() -> Value {
    Value::Claim(Claim {
        attempt: "a".into(),
        vm: "entry-1".into(),
        incarnation: Incarnation(u64::MAX),
        fingerprint: u64::MAX,
        outcome: Some(StoredResponse {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Some(vec![0, 255, 10]),
        }),
    })
}

fn quarantine() -> Value {
    Value::Quarantine(Quarantine {
        deaths: 2,
        organisation: "o".into(),
        service: "s".into(),
        remaining_s: 600,
    })
}

/// Guards against values that another VM cannot decode.
fn round_trip(value: Value) {
    assert_eq!(table::decode_value(&table::encode_value(&value)), Some(value));
}

cases! {
    round_trip;
    lease_is_read_back: (lease());
    claim_with_stored_body_is_read_back: (claim());
    quarantine_is_read_back: (quarantine());
}

fn write_op(condition: Condition, value: Option<Value>) -> Op {
    let key = lease_key();
    Op::Write(vec![Write { key, condition, value }])
}

/// Guards against requests that a real gateway interprets differently, such as 64-bit integers that
/// are not encoded as strings.
fn request_contains(op: Op, path: &str, parts: &[&str]) {
    let (actual, body) = table::encode_request(&op);
    let body = String::from_utf8(body).unwrap();
    assert_eq!(actual, path);
    for part in parts {
        assert!(body.contains(part), "{part} is missing in {body}");
    }
}

cases! {
    request_contains;
    read_names_the_key: (Op::Read(lease_key()), "/v3/kv/range", &["\"key\":\"L2hvcm5iZWFtbG9vbS9sZWFzZXMvcmlnYS1hL21lbnUtbW9kZWw=\""]);
    list_has_a_range_end: (Op::List(Family::Quarantine), "/v3/kv/range", &["range_end"]);
    each_write_is_a_nested_transaction: (write_op(Condition::Any, Some(lease())), "/v3/kv/txn", &["requestTxn", "requestPut"]);
    absent_condition_compares_the_create_revision: (write_op(Condition::Absent, Some(lease())), "/v3/kv/txn", &["\"target\":\"CREATE\"", "\"create_revision\":\"0\""]);
    version_condition_compares_the_mod_revision: (write_op(Condition::Version(Revision(7)), None), "/v3/kv/txn", &["\"mod_revision\":\"7\"", "requestDeleteRange"]);
}

fn encoded_record(value: &Value) -> String {
    use base64::engine::general_purpose::STANDARD;
    use base64::Engine as _;
    let (key, value) = (
        STANDARD.encode(table::record_path(&lease_key())),
        STANDARD.encode(table::encode_value(value)),
    );
    format!(r#"{{"key":"{key}","value":"{value}","create_revision":"2","mod_revision":"5"}}"#)
}

fn record(version: u64, value: Option<Value>) -> Record {
    let version = Revision(version);
    Record { key: lease_key(), version, value }
}

/// Guards against responses that are decoded to a wrong answer.
fn decodes_to(op: Op, text: &str, expected: Option<Answer>) {
    assert_eq!(table::decode_answer(&op, text.as_bytes()).ok(), expected);
}

cases! {
    decodes_to;
    absent_record: (Op::Read(lease_key()), r#"{"header":{"revision":"9"}}"#, Some(Answer::Read(None)));
    record_with_version: (Op::Read(lease_key()), &format!(r#"{{"kvs":[{}]}}"#, encoded_record(&lease())), Some(Answer::Read(Some(record(5, Some(lease()))))));
    applied_write_has_the_revision: (write_op(Condition::Any, None), r#"{"header":{"revision":"8"},"succeeded":true,"responses":[{"response_txn":{"succeeded":true,"responses":[{"response_put":{}}]}}]}"#, Some(Answer::Written(vec![WriteResult::Applied(Revision(8))])));
    conflicting_write_returns_the_current_record: (write_op(Condition::Absent, None), &format!(r#"{{"succeeded":true,"responses":[{{"response_txn":{{"responses":[{{"response_range":{{"kvs":[{}]}}}}]}}}}]}}"#, encoded_record(&lease())), Some(Answer::Written(vec![WriteResult::Conflict(Some(record(5, Some(lease()))))])));
    missing_response_is_malformed: (write_op(Condition::Any, None), r#"{"succeeded":true}"#, None);
    error_object_is_malformed: (Op::Read(lease_key()), r#"{"error":"etcdserver: request timed out","code":14}"#, None);
    bad_base64_is_malformed: (Op::Read(lease_key()), r#"{"kvs":[{"key":"?"}]}"#, None);
    integer_beyond_64_bits_is_malformed: (Op::Read(lease_key()), r#"{"kvs":[{"key":"","mod_revision":"99999999999999999999"}]}"#, None);
    deep_nesting_is_malformed: (write_op(Condition::Any, None), &nested_txn_response(9), None);
}

fn nested_txn_response(depth: u32) -> String {
    match depth {
        0 => "{}".to_owned(),
        _ => format!(r#"{{"responses":[{{"response_txn":{}}}]}}"#, nested_txn_response(depth - 1)),
    }
}

/// Random inputs for each parser and seed.
const RUNS: usize = 2_000;

/// Guards against panics on input from outside. Random changes of valid input reach deep branches.
fn never_panics(seed: u64, sample: &str, parse: fn(&[u8])) {
    let mut gen = Gen::from_size_and_seed(64, seed);
    for _ in 0..RUNS {
        let mut bytes = sample.as_bytes().to_vec();
        for _ in 0..1 + usize::arbitrary(&mut gen) % 4 {
            let start = usize::arbitrary(&mut gen) % (bytes.len() + 1);
            let removed = usize::arbitrary(&mut gen) % 3;
            let end = (start + removed).min(bytes.len());
            bytes.splice(start..end, Vec::<u8>::arbitrary(&mut gen).into_iter().take(3));
        }
        parse(&bytes);
    }
}

const TXN: &str = r#"{"header":{"revision":"8"},"succeeded":true,"responses":[{"response_range":{"kvs":[{"key":"Zm9v","value":"e30=","mod_revision":"5"}]}},{"response_txn":{"succeeded":true}}]}"#;
const DOCUMENT: &str = r#"{"apiVersion":"hornbeamloom/v1","kind":"Target","metadata":{"name":"t","labels":{"a":"b"},"resourceVersion":"7"},"spec":{"service":"s","zone":"z","address":"127.0.0.1:1","coldLimit":1}}"#;

cases! {
    never_panics;
    range_reader: (11, TXN, |bytes| drop(etcd::decode_range_response(bytes)));
    transaction_reader: (12, TXN, |bytes| drop(etcd::decode_txn_response(bytes)));
    value_reader: (13, r#"{"Claim":{"attempt":"a","vm":"v","incarnation":1,"fingerprint":2,"outcome":{"status":200,"content_type":"t","body":"AAA="}}}"#, |bytes| drop(table::decode_value(bytes)));
    path_reader: (14, "/hornbeamloom/claims/a/b/x%2F%C3%BF", |bytes| drop(table::parse_record_path(&String::from_utf8_lossy(bytes))));
    resource_path_reader: (15, "/hornbeamloom/resources/targets/a%2F", |bytes| drop(table::parse_resource_path(&String::from_utf8_lossy(bytes))));
    document_reader: (16, DOCUMENT, |bytes| drop(manifest::parse(bytes, None)));
    file_reader: (17, "kind: Service\nmetadata: {name: a}\nspec: {}\n---\n&a [*a]\n", |bytes| drop(manifest::parse_file(&String::from_utf8_lossy(bytes))));
}
