//! Resource writes with optimistic concurrency: a pure function plans the write from a view of the
//! resources, and a conditional transaction applies it.
//!
//! The transaction compares the head with the revision of the view. Everything the plan relied on,
//! including references in both directions, therefore still holds when the write is applied.

use std::sync::atomic::{AtomicU64, Ordering};

use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::intent::Intent;
use hornbeamloom_kernel::peer::Delta;
use hornbeamloom_kernel::resource::{Key, Record, ResourceMap, Spec};
use hornbeamloom_kernel::validate::{self, FieldError, MAX_DOCUMENT_BYTES};
use hornbeamloom_wire::etcd::{Compare, RequestOp, Txn, TxnResponse};
use hornbeamloom_wire::manifest::{self, Document, StoredResource};
use hornbeamloom_wire::table as keys;
use serde_json::{json, Value};

use crate::clock::BootInstant;
use crate::table::{read_steps, Changes, Client, RequestError};

/// Maximum number of plans tried while other operators write concurrently.
const MAX_ATTEMPTS: u32 = 8;
/// Maximum number of sends of one transaction whose responses are lost, including the first.
const MAX_SENDS: u32 = 3;

/// A change requested by an operator.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Change {
    /// Create a resource that does not exist yet.
    Create(Document),
    /// Replace the document of an existing resource.
    Replace(Document),
    /// Apply a JSON merge patch to a resource's document.
    Patch(Value),
    /// Delete a resource, provided that it has the given version, if any.
    Delete(Option<Revision>),
}

/// The reason why a write failed.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum WriteError {
    /// Fields are invalid.
    Invalid(Vec<FieldError>),
    /// The document is too large.
    TooLarge,
    /// The body is not a valid resource document.
    Malformed(String),
    /// The resource does not exist.
    NotFound,
    /// The resource already exists, at this version.
    AlreadyExists(Revision),
    /// The resource has this version, not the expected one.
    VersionConflict(Revision),
    /// Other resources refer to it.
    InUse(Vec<Key>),
    /// Concurrent writes by other operators invalidated every plan.
    Contended,
    /// The table is down; nothing was applied.
    TableUnavailable,
    /// The table is older than the resources in force on this VM; nothing was applied.
    TableRegressed,
    /// The response was lost, and reading back could not establish whether the write was applied.
    OutcomeUnknown,
}

impl From<manifest::Error> for WriteError {
    fn from(error: manifest::Error) -> WriteError {
        match error {
            manifest::Error::Malformed(text) => WriteError::Malformed(text),
            manifest::Error::TooLarge => WriteError::TooLarge,
            manifest::Error::Field(fault) => WriteError::Invalid(vec![fault]),
        }
    }
}

/// The planned write.
#[derive(Debug, Clone, PartialEq)]
enum Plan {
    /// Nothing is written: the resource already has the requested state.
    Unchanged(Record),
    /// Write this record or tombstone.
    Put(Record),
}

/// The result of a successful write.
#[derive(Debug)]
pub(crate) struct Written {
    /// The resource after the write.
    pub(crate) record: Record,
    /// All changes since the revision in force, to be applied by the kernel of this VM.
    pub(crate) delta: Delta,
}

/// The resources at one revision, and the changes since the revision in force on this VM.
struct ResourceView {
    base_revision: Revision,
    revision: Revision,
    resources: ResourceMap,
    changes: Vec<Record>,
    /// Table version of the record to write, if it has been read from the table.
    requested_version: Option<Revision>,
}

impl ResourceView {
    fn new(intent: &Intent) -> ResourceView {
        let records = intent.records();
        ResourceView {
            base_revision: intent.revision,
            revision: intent.revision,
            resources: records.map(|record| (record.key.clone(), record.clone())).collect(),
            changes: Vec::new(),
            requested_version: None,
        }
    }

    fn apply_changes(&mut self, changes: &Changes) -> Result<(), WriteError> {
        if changes.head < self.revision {
            return Err(WriteError::TableRegressed);
        }
        for stored in &changes.stored {
            let record = &stored.record;
            self.resources.insert(record.key.clone(), record.clone());
            self.changes.push(record.clone());
        }
        self.revision = changes.head;
        self.requested_version = Some(changes.requested_version);
        Ok(())
    }

    /// Returns the table version that the write replaces; zero if there is no such record.
    fn replaced_version(&self, key: &Key) -> Revision {
        let known = self.resources.get(key).map(|record| record.version);
        self.requested_version.or(known).unwrap_or_default()
    }

    fn into_written(mut self, record: Record, to: Revision) -> Written {
        self.changes.push(record.clone());
        let delta = Delta {
            from: self.base_revision,
            to,
            sequence: 0,
            complete: self.base_revision == Revision(0),
            records: self.changes,
        };
        Written { record, delta }
    }
}

/// Applies a change to the resource `key`.
///
/// # Errors
///
/// Every [`WriteError`] except [`WriteError::OutcomeUnknown`] means that nothing was applied.
pub(crate) async fn apply(
    table: &Client,
    intent: &Intent,
    key: &Key,
    change: &Change,
) -> Result<Written, WriteError> {
    let mut view = ResourceView::new(intent);
    refresh(table, &mut view, key).await?;
    for _ in 0..MAX_ATTEMPTS {
        let record = match plan(change, key, &view.resources)? {
            Plan::Put(record) => record,
            Plan::Unchanged(record) => {
                let to = view.revision;
                return Ok(view.into_written(record, to));
            }
        };
        let stored = StoredResource {
            replaced_version: view.replaced_version(key),
            record,
            write_id: write_id(),
        };
        match send_transaction(table, view.revision, &stored).await? {
            TxnOutcome::Applied(version) => {
                let record = Record { version, ..stored.record };
                return Ok(view.into_written(record, version));
            }
            TxnOutcome::Conflicted(changes) => view.apply_changes(&changes)?,
        }
        metrics::counter!("hornbeamloom_retries_total", "reason" => "resource_moved").increment(1);
    }
    Err(WriteError::Contended)
}

/// Reads the head, and any changes, before the first write is sent, so that an outage is known to
/// have applied nothing.
async fn refresh(table: &Client, view: &mut ResourceView, key: &Key) -> Result<(), WriteError> {
    let head = table.head().await.map_err(|_| WriteError::TableUnavailable)?;
    if head != view.revision {
        let changes = table.changes(view.revision, Some(key)).await;
        view.apply_changes(&changes.map_err(|_| WriteError::TableUnavailable)?)?;
    }
    Ok(())
}

/// Generates the id of one write; random, because a counter would restart with the process.
///
/// Without a random source, the id is that of the process and a count: two writes must never share
/// one, since a write whose answer was lost is recognised by its id.
fn write_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    match getrandom::u64() {
        Ok(random) => format!("{random:016x}"),
        Err(error) => {
            let count = COUNT.fetch_add(1, Ordering::Relaxed);
            let boot_ms = BootInstant::now().since(BootInstant::default());
            log::warn!("no random bytes for the id of a write: {error}");
            format!("{:x}-{boot_ms:x}-{count:x}", std::process::id())
        }
    }
}

/// The outcome of a transaction.
enum TxnOutcome {
    /// It was applied at this revision.
    Applied(Revision),
    /// It was not and will not be applied, because the head has advanced.
    Conflicted(Box<Changes>),
}

/// Sends the transaction; if the response is lost, sends it again to read back the result by write
/// id.
///
/// A second send cannot apply the write twice: the transaction compares the head, which its own
/// success advances.
async fn send_transaction(
    table: &Client,
    base_revision: Revision,
    stored: &StoredResource,
) -> Result<TxnOutcome, WriteError> {
    let txn = build_transaction(base_revision, stored);
    let mut is_response_lost = false;
    for _ in 0..MAX_SENDS {
        match table.txn(&txn).await {
            Ok(decided) => return interpret(base_revision, stored, &decided, is_response_lost),
            Err(RequestError::Unavailable) if !is_response_lost => {
                return Err(WriteError::TableUnavailable)
            }
            Err(RequestError::Unavailable) => {}
            Err(RequestError::Unknown) => is_response_lost = true,
        }
        metrics::counter!("hornbeamloom_retries_total", "reason" => "write_answer_lost")
            .increment(1);
    }
    Err(WriteError::OutcomeUnknown)
}

fn build_transaction(base_revision: Revision, stored: &StoredResource) -> Txn {
    let key = &stored.record.key;
    let path = keys::resource_path(key.kind, &key.name);
    let head = json!({"writeId": stored.write_id}).to_string().into_bytes();
    Txn {
        compare: vec![
            Compare::new(keys::HEAD_PATH, base_revision.0),
            Compare::new(&path, stored.replaced_version.0),
        ],
        success: vec![
            RequestOp::Put(path, manifest::encode_stored(stored)),
            RequestOp::Put(keys::HEAD_PATH.to_owned(), head),
        ],
        failure: read_steps(base_revision, Some(key)),
    }
}

fn interpret(
    base_revision: Revision,
    sent: &StoredResource,
    decided: &TxnResponse,
    is_response_lost: bool,
) -> Result<TxnOutcome, WriteError> {
    if decided.succeeded {
        return Ok(TxnOutcome::Applied(Revision(decided.revision)));
    }
    let Ok(changes) = Changes::from_results(base_revision, &decided.responses) else {
        return Err(if is_response_lost {
            WriteError::OutcomeUnknown
        } else {
            WriteError::TableUnavailable
        });
    };
    if let Some(stored) =
        changes.requested.as_ref().filter(|stored| stored.write_id == sent.write_id)
    {
        return Ok(TxnOutcome::Applied(stored.record.version));
    }
    if is_response_lost && may_have_been_replaced(sent, &changes) {
        return Err(WriteError::OutcomeUnknown);
    }
    Ok(TxnOutcome::Conflicted(Box::new(changes)))
}

/// Returns whether a write whose response was lost may have been applied and then replaced by a
/// later write.
///
/// This is ruled out if the record still has its previous version, or if another write replaced
/// exactly that version.
fn may_have_been_replaced(sent: &StoredResource, changes: &Changes) -> bool {
    let is_unchanged = changes.requested_version == sent.replaced_version;
    let is_replaced_by_other = changes
        .requested
        .as_ref()
        .is_some_and(|stored| stored.replaced_version == sent.replaced_version);
    !is_unchanged && !is_replaced_by_other
}

/// Plans the write from the change and the resources alone.
fn plan(change: &Change, key: &Key, resources: &ResourceMap) -> Result<Plan, WriteError> {
    let current = resources.get(key).filter(|record| record.spec.is_some());
    match change {
        Change::Create(document) => match current {
            Some(current) => Err(WriteError::AlreadyExists(current.version)),
            None => plan_put(key, document, resources),
        },
        Change::Replace(document) => {
            let current = current.ok_or(WriteError::NotFound)?;
            match document.metadata.resource_version {
                Some(version) if version == current.version => plan_put(key, document, resources),
                _ => Err(WriteError::VersionConflict(current.version)),
            }
        }
        Change::Patch(patch) => {
            let current = current.ok_or(WriteError::NotFound)?;
            let mut merged = manifest::to_document(current);
            apply_merge_patch(&mut merged, patch);
            let document = manifest::from_value(merged, Some(key.kind))?;
            let expected = document.metadata.resource_version;
            match expected.is_none_or(|version| version == current.version) {
                true => plan_put(key, &document, resources),
                false => Err(WriteError::VersionConflict(current.version)),
            }
        }
        Change::Delete(expected) => {
            let current = current.ok_or(WriteError::NotFound)?;
            if expected.is_some_and(|version| version != current.version) {
                return Err(WriteError::VersionConflict(current.version));
            }
            let referrers = validate::referrers(key, resources);
            if !referrers.is_empty() {
                return Err(WriteError::InUse(referrers));
            }
            Ok(Plan::Put(Record {
                generation: current.generation + 1,
                labels: Default::default(),
                spec: None,
                ..current.clone()
            }))
        }
    }
}

fn plan_put(key: &Key, document: &Document, resources: &ResourceMap) -> Result<Plan, WriteError> {
    let document_name = document.metadata.name.as_ref();
    if document_name.is_some_and(|name| *name != key.name) {
        let fault = FieldError::new("metadata.name", "differs from the name in the path");
        return Err(WriteError::Invalid(vec![fault]));
    }
    let current = resources.get(key);
    let is_same_spec = current.is_some_and(|current| current.spec.as_ref() == Some(&document.spec));
    let generation = current.map_or(0, |current| current.generation) + u64::from(!is_same_spec);
    let record = Record {
        key: key.clone(),
        version: current.map(|current| current.version).unwrap_or_default(),
        generation,
        labels: document.metadata.labels.clone(),
        spec: Some(document.spec.clone()),
    };
    if current == Some(&record) {
        return Ok(Plan::Unchanged(record));
    }
    let faults = validate::record(&record, resources);
    if !faults.is_empty() {
        return Err(WriteError::Invalid(faults));
    }
    if is_too_large(&record) {
        return Err(WriteError::TooLarge);
    }
    Ok(Plan::Put(record))
}

/// Returns whether the stored form, with write id and version, exceeds the limit of readers.
fn is_too_large(record: &Record) -> bool {
    let spec = record.spec.as_ref().map(|spec: &Spec| manifest::spec_to_json(spec).to_string());
    let labels: usize =
        record.labels.iter().map(|(label, value)| 2 * (label.len() + value.len()) + 8).sum();
    spec.map_or(0, |spec| spec.len()) + labels + ENVELOPE_BYTES > MAX_DOCUMENT_BYTES
}

/// Size of a stored record without specification and labels, rounded up.
const ENVELOPE_BYTES: usize = 256;

/// Applies a JSON merge patch (RFC 7396).
fn apply_merge_patch(target: &mut Value, patch: &Value) {
    let Value::Object(patch) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = json!({});
    }
    let Value::Object(object) = target else {
        return;
    };
    for (name, value) in patch {
        match value {
            Value::Null => drop(object.remove(name)),
            _ => apply_merge_patch(object.entry(name.clone()).or_insert(Value::Null), value),
        }
    }
}
