//! Resources as documents: JSON in the resource API and the table, JSON or YAML in files.

use std::collections::{BTreeMap, BTreeSet};

use hornbeamloom_kernel::ids::{Name, Revision};
use hornbeamloom_kernel::resource::{Key, Kind, Record, Spec};
use hornbeamloom_kernel::validate::{Fault, DOCUMENT_MAX};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{json, Value};

/// The version of the resource documents.
pub const API_VERSION: &str = "hornbeamloom/v1";

/// The document cannot be used.
#[derive(Debug, Clone, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// It is not a resource document at all.
    #[error("not a resource document: {0}")]
    Malformed(String),
    /// It is larger than [`DOCUMENT_MAX`].
    #[error("the document is larger than 64 KiB")]
    TooLarge,
    /// One field is wrong.
    #[error("{0}")]
    Field(Fault),
}

/// Metadata of a document.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Metadata {
    /// Name of the resource; may be absent where the path names it.
    #[serde(default)]
    pub name: Option<Name>,
    /// Counts changes of the specification; set by the daemon.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<u64>,
    /// Table revision of the version, as a number or a text of digits.
    #[serde(default, skip_serializing_if = "Option::is_none", deserialize_with = "version")]
    pub resource_version: Option<Revision>,
    /// Free labels.
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
    /// Its kind.
    pub kind: Kind,
    /// Its metadata.
    pub metadata: Metadata,
    /// Its specification.
    pub spec: Spec,
    /// Top-level fields of the specification that the document states; the others have defaults.
    pub explicit_fields: BTreeSet<String>,
}

/// Reads a document; `kind` is the kind that the path names, if there is one.
///
/// # Errors
///
/// [`Error::Field`] names the first field that is unknown, missing or of the wrong type.
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
    if bytes.len() > DOCUMENT_MAX {
        return Err(Error::TooLarge);
    }
    let value = serde_json::from_slice(bytes).map_err(malformed)?;
    from_value(value, kind)
}

/// Reads a file of one or more YAML documents; JSON is accepted as well.
///
/// # Errors
///
/// As [`parse`], for the first document that cannot be used.
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
        // A separator at the start or end of a file makes an empty document.
        if value.is_null() {
            continue;
        }
        if value.to_string().len() > DOCUMENT_MAX {
            return Err(Error::TooLarge);
        }
        documents.push(from_value(value, None)?);
    }
    Ok(documents)
}

/// Reads a document that is already parsed.
///
/// # Errors
///
/// As [`parse`].
pub fn from_value(value: Value, kind: Option<Kind>) -> Result<Document, Error> {
    let Value::Object(mut object) = value else {
        return Err(Error::Malformed("expected an object".to_owned()));
    };
    // The status is computed by the daemon and ignored in input.
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

/// Reads the specification of a kind.
///
/// # Errors
///
/// [`Error::Field`] names the field.
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

/// Names the field at fault.
///
/// serde names unknown and missing fields. For a value of the wrong type, the field is the one
/// that alone gives the same error.
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

/// Removes the value from serde's text: a misplaced caller key must not reach logs.
fn redact(text: &str) -> String {
    let mut parts = text.split('"');
    let first = parts.next().unwrap_or_default().to_owned();
    match parts.next_back() {
        Some(last) => format!("{first}(text){last}"),
        None => first,
    }
}

fn invalid_field(field: &str, problem: &str) -> Error {
    Error::Field(Fault::new(field, problem))
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed(redact(&error.to_string()))
}

/// The specification as JSON, without its kind.
pub fn spec_to_json(spec: &Spec) -> Value {
    let value = match spec {
        Spec::Organisation(spec) => serde_json::to_value(spec),
        Spec::Service(spec) => serde_json::to_value(spec),
        Spec::AvailabilityZone(spec) => serde_json::to_value(spec),
        Spec::Target(spec) => serde_json::to_value(spec),
        Spec::Configuration(spec) => serde_json::to_value(spec),
        Spec::Route(spec) => serde_json::to_value(spec),
    };
    // Specifications hold only texts, numbers, booleans and lists of them.
    value.unwrap_or_default()
}

/// A record as a document of the resource API, without status.
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

/// A resource as it stands in the table.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredResource {
    /// The resource or tombstone.
    pub record: Record,
    /// Identifies the write.
    pub write_id: String,
    /// Version that the write replaced; zero for none.
    pub replaced_version: Revision,
}

/// The table value of a resource.
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

/// Reads the table value of a resource.
///
/// # Errors
///
/// Any [`Error`]; the caller counts the record and ignores it.
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
    if bytes.len() > DOCUMENT_MAX {
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
