//! Resource documents: JSON in the resource API and in the table, JSON or YAML in files.

use std::collections::{BTreeMap, BTreeSet};

use hornbeamloom_kernel::ids::{Name, Revision};
use hornbeamloom_kernel::resource::{Key, Kind, Record, Spec};
use hornbeamloom_kernel::validate::{FieldError, MAX_DOCUMENT_BYTES};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{json, Value};

/// Version of the resource document format.
pub const API_VERSION: &str = "hornbeamloom/v1";

/// Why a document is rejected.
#[derive(Debug, Clone, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// Not a resource document.
    #[error("not a resource document: {0}")]
    Malformed(String),
    /// Larger than [`MAX_DOCUMENT_BYTES`].
    #[error("the document is larger than 64 KiB")]
    TooLarge,
    /// A field is invalid.
    #[error("{0}")]
    Field(FieldError),
}

/// Metadata of a document.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Metadata {
    /// Name of the resource; optional if the path of the request contains it.
    #[serde(default)]
    pub name: Option<Name>,
    /// Number of changes of the specification, set by the daemon.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<u64>,
    /// Table revision of this version, accepted as a number or a string of digits.
    #[serde(default, skip_serializing_if = "Option::is_none", deserialize_with = "version")]
    pub resource_version: Option<Revision>,
    /// User-defined labels.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
}

fn version<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Revision>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum RawVersion {
        Number(u64),
        Text(String),
    }
    match Option::<RawVersion>::deserialize(deserializer)? {
        None => Ok(None),
        Some(RawVersion::Number(number)) => Ok(Some(Revision(number))),
        Some(RawVersion::Text(text)) => {
            text.parse().map(|number| Some(Revision(number))).map_err(serde::de::Error::custom)
        }
    }
}

/// A resource document.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// Kind of the resource.
    pub kind: Kind,
    /// Metadata.
    pub metadata: Metadata,
    /// Specification.
    pub spec: Spec,
    /// Top-level fields of the specification that the document sets; all others have defaults.
    pub explicit_fields: BTreeSet<String>,
}

/// Parses a document; `kind` is the kind given by the path of the request, if any.
///
/// # Errors
///
/// Any [`Error`]; [`Error::Field`] names the first field that is unknown, missing or of the wrong
/// type.
///
/// ```
/// use hornbeamloom_kernel::resource::Kind;
/// use hornbeamloom_wire::manifest::parse;
///
/// let text = br#"{"metadata": {"name": "lodz-a"}, "spec": {"region": "pl-centrum"}}"#;
/// let document = parse(text, Some(Kind::AvailabilityZone)).unwrap();
/// assert_eq!(document.metadata.name.as_deref(), Some("lodz-a"));
/// ```
pub fn parse(bytes: &[u8], kind: Option<Kind>) -> Result<Document, Error> {
    if bytes.len() > MAX_DOCUMENT_BYTES {
        return Err(Error::TooLarge);
    }
    let value = serde_json::from_slice(bytes).map_err(malformed)?;
    from_value(value, kind)
}

/// Parses a file of one or more YAML documents; JSON is accepted as well.
///
/// # Errors
///
/// As [`parse`], for the first invalid document.
///
/// ```
/// use hornbeamloom_wire::manifest::parse_file;
///
/// let text = "
/// kind: AvailabilityZone
/// metadata: {name: lodz-a}
/// spec: {region: pl-centrum}
/// ---
/// kind: Service
/// metadata: {name: menu-model}
/// spec: {}
/// ";
/// assert_eq!(parse_file(text).unwrap().len(), 2);
/// ```
pub fn parse_file(text: &str) -> Result<Vec<Document>, Error> {
    let mut documents = Vec::new();
    for part in serde_yaml_ng::Deserializer::from_str(text) {
        let value = Value::deserialize(part).map_err(malformed)?;
        // A separator at the start or end of the file yields an empty document.
        if value.is_null() {
            continue;
        }
        documents.push(from_sized_value(value)?);
    }
    Ok(documents)
}

/// Converts one value of a file into a document.
pub(crate) fn from_sized_value(value: Value) -> Result<Document, Error> {
    match value.to_string().len() > MAX_DOCUMENT_BYTES {
        true => Err(Error::TooLarge),
        false => from_value(value, None),
    }
}

/// Converts a JSON value into a document; `kind` as for [`parse`].
///
/// # Errors
///
/// As [`parse`].
pub fn from_value(value: Value, kind: Option<Kind>) -> Result<Document, Error> {
    let Value::Object(mut object) = value else {
        return Err(Error::Malformed("expected an object".to_owned()));
    };
    // The status is computed by the daemon and ignored in documents.
    object.remove("status");
    if let Some(api) = object.remove("apiVersion") {
        if api != API_VERSION {
            return Err(invalid_field("apiVersion", "expected hornbeamloom/v1"));
        }
    }
    let kind = resolve_kind(object.remove("kind"), kind)?;
    let metadata = object.remove("metadata").unwrap_or_else(|| json!({}));
    let metadata: Metadata = serde_json::from_value(metadata.clone())
        .map_err(|error| field_error::<Metadata>("metadata", &metadata, &error))?;
    let spec = object.remove("spec").unwrap_or_else(|| json!({}));
    if let Some(unknown) = object.keys().next() {
        return Err(invalid_field(unknown, "unknown field"));
    }
    let explicit_fields = spec.as_object().map(|spec| spec.keys().cloned().collect());
    Ok(Document {
        kind,
        metadata,
        explicit_fields: explicit_fields.unwrap_or_default(),
        spec: parse_spec(kind, spec)?,
    })
}

fn resolve_kind(written: Option<Value>, expected: Option<Kind>) -> Result<Kind, Error> {
    let written = match written {
        None => None,
        Some(value) => {
            let kind = serde_json::from_value(value);
            Some(kind.map_err(|_| invalid_field("kind", "unknown kind"))?)
        }
    };
    match (written, expected) {
        (Some(written), Some(expected)) if written != expected => {
            Err(invalid_field("kind", "differs from the kind in the path"))
        }
        (Some(kind), _) | (None, Some(kind)) => Ok(kind),
        (None, None) => Err(invalid_field("kind", "is missing")),
    }
}

/// Parses the specification of a resource.
///
/// # Errors
///
/// [`Error::Field`] names the invalid field.
pub fn parse_spec(kind: Kind, value: Value) -> Result<Spec, Error> {
    match kind {
        Kind::Organisation => deserialize_spec(value, Spec::Organisation),
        Kind::Service => deserialize_spec(value, Spec::Service),
        Kind::AvailabilityZone => deserialize_spec(value, Spec::AvailabilityZone),
        Kind::Target => deserialize_spec(value, Spec::Target),
        Kind::Configuration => deserialize_spec(value, Spec::Configuration),
        Kind::Route => deserialize_spec(value, Spec::Route),
    }
}

fn deserialize_spec<T: serde::de::DeserializeOwned>(
    value: Value,
    wrap: fn(T) -> Spec,
) -> Result<Spec, Error> {
    if !value.is_object() {
        return Err(invalid_field("spec", "expected an object"));
    }
    T::deserialize(&value).map(wrap).map_err(|error| field_error::<T>("spec", &value, &error))
}

/// Converts a deserialisation error into one that names the invalid field.
///
/// serde names unknown and missing fields. For a value of the wrong type, the invalid field is the
/// one that yields the same error when it is deserialised alone.
fn field_error<T: serde::de::DeserializeOwned>(
    parent: &str,
    value: &Value,
    error: &serde_json::Error,
) -> Error {
    let text = error.to_string();
    let failing_member = value.as_object().and_then(|object| {
        object.iter().find(|(name, value)| {
            let single = json!({ name.as_str(): value });
            T::deserialize(&single).is_err_and(|error| error.to_string() == text)
        })
    });
    let named_field = || {
        let names_field = text.starts_with("unknown field") || text.starts_with("missing field");
        text.split('`').nth(1).filter(|_| names_field)
    };
    let field = match (named_field(), failing_member) {
        (Some(name), _) => format!("{parent}.{name}"),
        (None, Some((name, _))) => format!("{parent}.{name}"),
        (None, None) => parent.to_owned(),
    };
    invalid_field(&field, &redact(&text))
}

/// Removes values from serde's error message, so that a misplaced API key does not reach the logs.
fn redact(text: &str) -> String {
    let mut parts = text.split('"');
    let first = parts.next().unwrap_or_default().to_owned();
    match parts.next_back() {
        Some(last) => format!("{first}(text){last}"),
        None => first,
    }
}

fn invalid_field(field: &str, problem: &str) -> Error {
    Error::Field(FieldError::new(field, problem))
}

pub(crate) fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed(redact(&error.to_string()))
}

/// Encodes a specification as JSON, without its kind.
pub fn spec_to_json(spec: &Spec) -> Value {
    let value = match spec {
        Spec::Organisation(spec) => serde_json::to_value(spec),
        Spec::Service(spec) => serde_json::to_value(spec),
        Spec::AvailabilityZone(spec) => serde_json::to_value(spec),
        Spec::Target(spec) => serde_json::to_value(spec),
        Spec::Configuration(spec) => serde_json::to_value(spec),
        Spec::Route(spec) => serde_json::to_value(spec),
    };
    // Cannot fail: specifications contain only strings, numbers, booleans and lists of them.
    value.unwrap_or_default()
}

/// Encodes a record as a document of the resource API, without a status.
pub fn to_document(record: &Record) -> Value {
    let mut document = json!({
        "apiVersion": API_VERSION,
        "kind": record.key.kind,
        "metadata": {
            "name": record.key.name,
            "generation": record.generation,
            "resourceVersion": record.version,
            "labels": record.labels,
        },
    });
    if let Some(current) = &record.spec {
        document["spec"] = spec_to_json(current);
    }
    document
}

/// A resource as stored in the table.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredResource {
    /// The resource, or its tombstone.
    pub record: Record,
    /// Identifies the write that stored it.
    pub write_id: String,
    /// Version that the write replaced; zero if there was none.
    pub replaced_version: Revision,
}

/// Encodes the table value of a resource.
pub fn encode_stored(stored: &StoredResource) -> Vec<u8> {
    let record = &stored.record;
    json!({
        "kind": record.key.kind,
        "generation": record.generation,
        "labels": record.labels,
        "spec": record.spec.as_ref().map(spec_to_json),
        "writeId": stored.write_id,
        "replaced": stored.replaced_version,
    })
    .to_string()
    .into_bytes()
}

/// Decodes the table value of a resource.
///
/// # Errors
///
/// Any [`Error`]; callers count the record and skip it.
pub fn decode_stored(key: &Key, bytes: &[u8], version: Revision) -> Result<StoredResource, Error> {
    #[derive(Deserialize)]
    #[serde(rename_all = "camelCase")]
    struct RawStored {
        kind: Kind,
        generation: u64,
        #[serde(default)]
        labels: BTreeMap<String, String>,
        spec: Option<Value>,
        #[serde(default)]
        write_id: String,
        #[serde(default)]
        #[serde(rename = "replaced")]
        replaced_version: Revision,
    }
    if bytes.len() > MAX_DOCUMENT_BYTES {
        return Err(Error::TooLarge);
    }
    let raw: RawStored = serde_json::from_slice(bytes).map_err(malformed)?;
    if raw.kind != key.kind {
        return Err(invalid_field("kind", "differs from the kind in the key"));
    }
    let spec = match raw.spec {
        Some(spec) => Some(parse_spec(key.kind, spec)?),
        None => None,
    };
    let record =
        Record { key: key.clone(), version, generation: raw.generation, labels: raw.labels, spec };
    Ok(StoredResource { record, write_id: raw.write_id, replaced_version: raw.replaced_version })
}
