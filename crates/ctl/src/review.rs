//! Compares a resource file with the resources in force, and collects what is wrong with it.

use std::collections::{BTreeMap, BTreeSet};

use hornbeamloom_kernel::lint;
use hornbeamloom_kernel::resource::{Key, Kind, Record, ResourceMap, Spec};
use hornbeamloom_kernel::validate;
use hornbeamloom_wire::manifest::{self, Document, Error};
use hornbeamloom_wire::resource_file::{self, Entry};
use serde::Serialize;
use serde_json::{json, Value};

/// Path of the caller keys of an organisation.
const KEYS_FIELD: &str = "spec.keys";

/// A message on a field of a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Message {
    /// Line of the field in the file, counted from 1; absent if the file does not contain it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// The resource as `KIND/NAME`, or the number of the document.
    pub resource: String,
    /// Path of the field.
    pub field: String,
    /// What is wrong.
    pub problem: String,
}

/// A field that the file would change.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct FieldChange {
    /// Path of the field.
    pub field: String,
    /// The value in force.
    pub from: Value,
    /// The value in the file.
    pub to: Value,
}

/// A resource that applying the file would create or change.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Change {
    /// The resource as `KIND/NAME`.
    pub resource: String,
    /// Whether it does not exist yet.
    pub is_new: bool,
    /// The fields that differ; those of a new resource are not listed.
    pub fields: Vec<FieldChange>,
}

/// What is known of a file before it is applied.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct Review {
    /// What the daemon would reject.
    pub errors: Vec<Message>,
    /// What it would accept and is probably a mistake.
    pub warnings: Vec<Message>,
    /// What would change.
    pub changes: Vec<Change>,
}

/// Reviews a file against the resources in force.
///
/// ```
/// use hornbeamloom_ctl::review;
/// use hornbeamloom_kernel::resource::ResourceMap;
///
/// let text = "kind: Service\nmetadata: {name: s}\nspec: {queueMs: 0}\n";
/// let review = review::file(text, &ResourceMap::default());
/// assert_eq!((review.errors[0].line, &*review.errors[0].field), (Some(3), "spec.queueMs"));
/// ```
pub fn file(text: &str, in_force: &ResourceMap) -> Review {
    let mut review = Review::default();
    let entries = match resource_file::parse(text) {
        Ok(entries) => entries,
        Err(error) => {
            review.errors.push(document_error(None, 1, &error));
            return review;
        }
    };
    let mut resources = in_force.clone();
    let mut declared: BTreeMap<Key, &Entry<'_>> = BTreeMap::new();
    for (entry, document) in sorted_by_kind(&entries, &mut review.errors) {
        let key = document_key(document);
        if declared.insert(key.clone(), entry).is_some() {
            let problem = "an earlier document of the file has the same kind and name";
            review.errors.push(message(Some(entry), &key, "metadata.name", problem));
        }
        let record = to_record(&with_operational_state(document, in_force.get(&key)));
        let errors = validate::record(&record, &resources);
        let messages =
            errors.iter().map(|error| message(Some(entry), &key, &error.field, &error.problem));
        review.errors.extend(messages);
        review.changes.extend(change(&record, in_force.get(&key)));
        resources.insert(key, record);
    }
    review.warnings = warnings(in_force, &resources, &declared);
    review
}

/// The documents in the order in which they are applied. Rejected ones become errors.
fn sorted_by_kind<'a, 'b>(
    entries: &'a [Entry<'b>],
    errors: &mut Vec<Message>,
) -> Vec<(&'a Entry<'b>, &'a Document)> {
    let mut documents = Vec::new();
    for (ix, entry) in entries.iter().enumerate() {
        match &entry.document {
            Ok(document) if document.metadata.name.is_none() => {
                let error = validate::FieldError::new("metadata.name", "is missing");
                errors.push(document_error(Some(entry), ix + 1, &Error::Field(error)));
            }
            Ok(document) => documents.push((entry, document)),
            Err(error) => errors.push(document_error(Some(entry), ix + 1, error)),
        }
    }
    documents.sort_by_key(|(_, document)| Kind::ALL.iter().position(|kind| *kind == document.kind));
    documents
}

/// What is found in the resources with the file, without what is found there today in resources that
/// the file does not declare.
fn warnings(
    in_force: &ResourceMap,
    resources: &ResourceMap,
    declared: &BTreeMap<Key, &Entry<'_>>,
) -> Vec<Message> {
    let known: BTreeSet<lint::Finding> = lint::findings(in_force).into_iter().collect();
    let findings = lint::findings(resources).into_iter();
    let findings =
        findings.filter(|finding| declared.contains_key(&finding.key) || !known.contains(finding));
    findings
        .map(|finding| {
            let entry = declared.get(&finding.key).copied();
            message(entry, &finding.key, &finding.field, &finding.problem)
        })
        .collect()
}

fn message(entry: Option<&Entry<'_>>, key: &Key, field: &str, problem: &str) -> Message {
    Message {
        line: entry.map(|entry| entry.line(field)).filter(|line| *line > 0),
        resource: resource_path(key),
        field: field.to_owned(),
        problem: problem.to_owned(),
    }
}

fn document_error(entry: Option<&Entry<'_>>, number: usize, error: &Error) -> Message {
    let (field, problem) = match error {
        Error::Field(error) => (error.field.clone(), error.problem.clone()),
        error => (String::new(), error.to_string()),
    };
    Message {
        line: entry.map(|entry| entry.line(&field)).filter(|line| *line > 0),
        resource: format!("document {number}"),
        field,
        problem,
    }
}

fn change(record: &Record, in_force: Option<&Record>) -> Option<Change> {
    let resource = resource_path(&record.key);
    let Some(current) = in_force else {
        return Some(Change { resource, is_new: true, fields: Vec::new() });
    };
    let mut fields = Vec::new();
    compare("", &comparable(current), &comparable(record), &mut fields);
    let fields: Vec<FieldChange> = fields.into_iter().map(redact).collect();
    (!fields.is_empty()).then_some(Change { resource, is_new: false, fields })
}

/// The parts of a record that its author sets.
fn comparable(record: &Record) -> Value {
    let spec = record.spec.as_ref().map(manifest::spec_to_json).unwrap_or_default();
    json!({"labels": record.labels, "spec": spec})
}

/// Replaces caller keys by their number: reviews are read on shared screens.
fn redact(change: FieldChange) -> FieldChange {
    let hidden =
        |value: &Value| json!(format!("{} (hidden)", value.as_array().map_or(0, Vec::len)));
    match &*change.field {
        KEYS_FIELD => FieldChange { from: hidden(&change.from), to: hidden(&change.to), ..change },
        _ => change,
    }
}

/// Collects the fields in which two values differ.
fn compare(path: &str, from: &Value, to: &Value, changes: &mut Vec<FieldChange>) {
    if let (Value::Object(old), Value::Object(new)) = (from, to) {
        let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        for name in names {
            let path = match path {
                "" => name.clone(),
                path => format!("{path}.{name}"),
            };
            let member = |object: &serde_json::Map<String, Value>| {
                object.get(name).cloned().unwrap_or_default()
            };
            compare(&path, &member(old), &member(new), changes);
        }
    } else if from != to {
        let field = path.to_owned();
        changes.push(FieldChange { field, from: from.clone(), to: to.clone() });
    }
}

/// The document with the operational state in force where the file does not set it.
pub(crate) fn with_operational_state(document: &Document, current: Option<&Record>) -> Document {
    let mut document = document.clone();
    let current = current.and_then(|record| record.spec.as_ref());
    match (&mut document.spec, current) {
        (Spec::AvailabilityZone(zone), Some(Spec::AvailabilityZone(current)))
            if !document.explicit_fields.contains("state") =>
        {
            zone.state = current.state;
        }
        (Spec::Target(target), Some(Spec::Target(current)))
            if !document.explicit_fields.contains("leaving") =>
        {
            target.leaving = current.leaving;
        }
        _ => {}
    }
    document
}

pub(crate) fn document_key(document: &Document) -> Key {
    Key { kind: document.kind, name: document.metadata.name.clone().unwrap_or_default() }
}

pub(crate) fn resource_path(key: &Key) -> String {
    format!("{}/{}", key.kind.plural(), key.name)
}

pub(crate) fn to_record(document: &Document) -> Record {
    Record {
        key: document_key(document),
        version: document.metadata.resource_version.unwrap_or_default(),
        generation: document.metadata.generation.unwrap_or(1),
        labels: document.metadata.labels.clone(),
        spec: Some(document.spec.clone()),
    }
}
