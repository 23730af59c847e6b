//! Parsing of resource documents, and their stored form.

use hornbeamloom_kernel::cases;
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::resource::{Key, Kind};
use hornbeamloom_wire::manifest::{self, Error, StoredResource};

/// Guards against an error that does not name the invalid field, or that contains a secret.
fn names_the_field(kind: Kind, text: &str, expected: &str) {
    let error = manifest::parse(text.as_bytes(), Some(kind)).unwrap_err();
    assert!(!error.to_string().contains("secret"), "{error}");
    match error {
        Error::Field(fault) => assert_eq!(fault.field, expected, "{fault}"),
        other => panic!("error does not name a field: {other:?}"),
    }
}

cases! {
    names_the_field;
    unknown_field: (Kind::Service, r#"{"spec": {"colour": 1}}"#, "spec.colour");
    missing_field: (Kind::AvailabilityZone, r#"{"spec": {}}"#, "spec.region");
    wrong_type: (Kind::Target, r#"{"spec": {"service": "s", "zone": "z", "address": "a", "coldLimit": "many"}}"#, "spec.coldLimit");
    negative_number: (Kind::Organisation, r#"{"spec": {"services": [], "weight": -1}}"#, "spec.weight");
    secret_in_the_wrong_place: (Kind::Organisation, r#"{"spec": {"keys": "secret"}}"#, "spec.keys");
    unknown_top_level_field: (Kind::Service, r#"{"sepc": {}}"#, "sepc");
    other_api_version: (Kind::Service, r#"{"apiVersion": "v2", "spec": {}}"#, "apiVersion");
    other_kind_than_the_path: (Kind::Service, r#"{"kind": "Target", "spec": {}}"#, "kind");
    unknown_metadata: (Kind::Service, r#"{"metadata": {"nmae": "x"}}"#, "metadata.nmae");
    version_that_is_no_number: (Kind::Service, r#"{"metadata": {"resourceVersion": "new"}}"#, "metadata.resourceVersion");
}

/// Guards against a record that is stored but cannot be decoded by other VMs.
fn stored_is_read_back(text: &str) {
    let document = manifest::parse(text.as_bytes(), None).unwrap();
    let key = Key { kind: document.kind, name: "x".into() };
    let stored = StoredResource {
        record: hornbeamloom_kernel::resource::Record {
            key: key.clone(),
            version: Revision(7),
            generation: 3,
            labels: document.metadata.labels,
            spec: Some(document.spec),
        },
        write_id: "w".to_owned(),
        replaced_version: Revision(5),
    };
    let bytes = manifest::encode_stored(&stored);
    assert_eq!(manifest::decode_stored(&key, &bytes, Revision(7)), Ok(stored));
}

cases! {
    stored_is_read_back;
    organisation: (r#"{"kind": "Organisation", "metadata": {"labels": {"a": "b"}}, "spec": {"keys": ["k"]}}"#);
    service: (r#"{"kind": "Service", "spec": {"protocol": "plain", "onceMethods": ["POST"]}}"#);
    zone: (r#"{"kind": "AvailabilityZone", "spec": {"region": "riga", "state": "out"}}"#);
    target: (r#"{"kind": "Target", "spec": {"service": "s", "zone": "z", "address": "127.0.0.1:1"}}"#);
    configuration: (r#"{"kind": "Configuration", "spec": {"policy": {"order": "fifo"}}}"#);
}

/// Guards against an invalid record that is accepted, or that prevents valid ones from being read.
fn stored_is_refused(bytes: &[u8]) {
    let key = Key { kind: Kind::Service, name: "x".into() };
    assert!(manifest::decode_stored(&key, bytes, Revision(1)).is_err());
}

cases! {
    stored_is_refused;
    invalid_bytes: (b"\x00\xff");
    truncated_document: (br#"{"kind":"Service","generation":1,"spec":{"#);
    kind_of_another_key: (br#"{"kind":"AvailabilityZone","generation":1,"spec":{"region":"r"}}"#);
    larger_than_64_kib: (format!(r#"{{"kind":"Service","generation":1,"writeId":"{}","spec":{{}}}}"#, "x".repeat(65_536)).as_bytes());
}
