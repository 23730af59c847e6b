//! Writes of resources: a pure plan on a view of the resources, then a conditional transaction.
//!
//! The transaction compares the head with the revision of the view. So everything that the plan
//! relied on, references in both directions included, still holds when the write applies.

use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::intent::Intent;
use hornbeamloom_kernel::peer::Delta;
use hornbeamloom_kernel::resource::{Book, Key, Record, Spec};
use hornbeamloom_kernel::validate::{self, Fault, DOCUMENT_MAX};
use hornbeamloom_wire::etcd::{Compare, RequestOp, Txn, TxnResponse};
use hornbeamloom_wire::manifest::{self, Document, StoredResource};
use hornbeamloom_wire::table as keys;
use serde_json::{json, Value};

use crate::table::{read_steps, Changes, Client, Failure};

/// Plans tried when other operators write at the same time.
const ROUNDS_MAX: u32 = 8;
/// Sends of one transaction whose answer is lost, the first one included.
const SENDS_MAX: u32 = 3;

/// What an operator wants.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Change {
    /// A resource that does not exist so far.
    Create(Document),
    /// Another specification for an existing resource.
    Replace(Document),
    /// A JSON merge patch of a resource's document.
    Patch(Value),
    /// A deletion, of this version if one is named.
    Delete(Option<Revision>),
}

/// Why a write was not done.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Refusal {
    /// Fields are wrong.
    Invalid(Vec<Fault>),
    /// The document is too large.
    TooLarge,
    /// The body is no resource document.
    Malformed(String),
    /// There is no such resource.
    NotFound,
    /// The resource exists at this version.
    Exists(Revision),
    /// The resource is at this other version.
    Conflict(Revision),
    /// Other resources refer to it.
    InUse(Vec<Key>),
    /// Too many writes by other operators at the same time.
    Contended,
    /// The table is down; nothing was applied.
    Unavailable,
    /// The table is at an older state than this VM; nothing was applied.
    Regressed,
    /// The answer was lost, and so was what could tell.
    Unknown,
}

impl From<manifest::Error> for Refusal {
    fn from(error: manifest::Error) -> Refusal {
        match error {
            manifest::Error::Malformed(text) => Refusal::Malformed(text),
            manifest::Error::TooLarge => Refusal::TooLarge,
            manifest::Error::Field(fault) => Refusal::Invalid(vec![fault]),
        }
    }
}

/// What has to be written.
#[derive(Debug, Clone, PartialEq)]
enum Plan {
    /// Nothing: the resource is as wanted.
    Keep(Record),
    /// This record or tombstone.
    Put(Record),
}

/// The outcome of a write.
#[derive(Debug)]
pub(crate) struct Written {
    /// The resource as it stands now.
    pub(crate) record: Record,
    /// What the kernel of this VM has to learn.
    pub(crate) delta: Delta,
}

/// The resources at one revision, and the changes that led there from the revision in force.
struct View {
    base: Revision,
    revision: Revision,
    book: Book,
    news: Vec<Record>,
    /// Table version of the record to write, where the table has told.
    own_version: Option<Revision>,
}

impl View {
    fn new(intent: &Intent) -> View {
        let records = intent.records();
        View {
            base: intent.revision,
            revision: intent.revision,
            book: records.map(|record| (record.key.clone(), record.clone())).collect(),
            news: Vec::new(),
            own_version: None,
        }
    }

    fn fold(&mut self, changes: &Changes) -> Result<(), Refusal> {
        if changes.head < self.revision {
            return Err(Refusal::Regressed);
        }
        for stored in &changes.stored {
            let record = &stored.record;
            self.book.insert(record.key.clone(), record.clone());
            self.news.push(record.clone());
        }
        self.revision = changes.head;
        self.own_version = Some(changes.own_version);
        Ok(())
    }

    /// The table version that the write replaces; zero for none.
    fn replaced(&self, key: &Key) -> Revision {
        let known = self.book.get(key).map(|record| record.version);
        self.own_version.or(known).unwrap_or_default()
    }

    fn written(mut self, record: Record, to: Revision) -> Written {
        self.news.push(record.clone());
        let delta =
            Delta { from: self.base, to, complete: self.base == Revision(0), records: self.news };
        Written { record, delta }
    }
}

/// Carries out a change of the resource `key`.
///
/// # Errors
///
/// Every [`Refusal`] but `Unknown` says that nothing was applied.
pub(crate) async fn apply(
    table: &Client,
    intent: &Intent,
    key: &Key,
    change: &Change,
) -> Result<Written, Refusal> {
    let mut view = View::new(intent);
    catch_up(table, &mut view, key).await?;
    for _ in 0..ROUNDS_MAX {
        let record = match plan(change, key, &view.book)? {
            Plan::Put(record) => record,
            Plan::Keep(record) => {
                let to = view.revision;
                return Ok(view.written(record, to));
            }
        };
        let stored =
            StoredResource { replaced_version: view.replaced(key), record, write_id: write_id() };
        match send(table, view.revision, &stored).await? {
            Sent::Applied(version) => {
                let record = Record { version, ..stored.record };
                return Ok(view.written(record, version));
            }
            Sent::Moved(changes) => view.fold(&changes)?,
        }
        metrics::counter!("hornbeamloom_retries_total", "reason" => "resource_moved").increment(1);
    }
    Err(Refusal::Contended)
}

/// Reads the head before anything is sent, so that an outage is known to have applied nothing.
async fn catch_up(table: &Client, view: &mut View, key: &Key) -> Result<(), Refusal> {
    let head = table.head().await.map_err(|_| Refusal::Unavailable)?;
    if head != view.revision {
        let changes = table.changes(view.revision, Some(key)).await;
        view.fold(&changes.map_err(|_| Refusal::Unavailable)?)?;
    }
    Ok(())
}

/// Identifies one write: random, because a counter would start again with the process.
fn write_id() -> String {
    let random = getrandom::u64().unwrap_or_default();
    format!("{random:016x}")
}

/// What became of a transaction.
enum Sent {
    /// It was applied at this revision.
    Applied(Revision),
    /// It was not and will not be applied: the head has moved on.
    Moved(Box<Changes>),
}

/// Sends the transaction; when its answer is lost, the same transaction reads back by write id.
///
/// Sending it again is safe: it compares the head, which its own success moves.
async fn send(table: &Client, base: Revision, stored: &StoredResource) -> Result<Sent, Refusal> {
    let txn = transaction(base, stored);
    let mut is_lost = false;
    for _ in 0..SENDS_MAX {
        match table.txn(&txn).await {
            Ok(decided) => return decide(base, stored, &decided, is_lost),
            Err(Failure::Unavailable) if !is_lost => return Err(Refusal::Unavailable),
            Err(Failure::Unavailable) => {}
            Err(Failure::Unknown) => is_lost = true,
        }
        metrics::counter!("hornbeamloom_retries_total", "reason" => "write_answer_lost")
            .increment(1);
    }
    Err(Refusal::Unknown)
}

fn transaction(base: Revision, stored: &StoredResource) -> Txn {
    let key = &stored.record.key;
    let path = keys::resource_path(key.kind, &key.name);
    let head = json!({"writeId": stored.write_id}).to_string().into_bytes();
    Txn {
        compare: vec![
            Compare::new(keys::HEAD_PATH, base.0),
            Compare::new(&path, stored.replaced_version.0),
        ],
        success: vec![
            RequestOp::Put(path, manifest::encode_stored(stored)),
            RequestOp::Put(keys::HEAD_PATH.to_owned(), head),
        ],
        failure: read_steps(base, Some(key)),
    }
}

fn decide(
    base: Revision,
    sent: &StoredResource,
    decided: &TxnResponse,
    is_lost: bool,
) -> Result<Sent, Refusal> {
    if decided.succeeded {
        return Ok(Sent::Applied(Revision(decided.revision)));
    }
    let Ok(changes) = Changes::read(base, &decided.responses) else {
        return Err(if is_lost { Refusal::Unknown } else { Refusal::Unavailable });
    };
    if let Some(own) = changes.own.as_ref().filter(|own| own.write_id == sent.write_id) {
        return Ok(Sent::Applied(own.record.version));
    }
    if is_lost && may_be_hidden(sent, &changes) {
        return Err(Refusal::Unknown);
    }
    Ok(Sent::Moved(Box::new(changes)))
}

/// Whether a write with a lost answer may have been applied and then replaced by a later one.
///
/// It was not if the record still has the version it had before, or if another write replaced
/// exactly that version.
fn may_be_hidden(sent: &StoredResource, changes: &Changes) -> bool {
    let is_unchanged = changes.own_version == sent.replaced_version;
    let is_replaced_by_other =
        changes.own.as_ref().is_some_and(|own| own.replaced_version == sent.replaced_version);
    !is_unchanged && !is_replaced_by_other
}

/// Decides what to write, from the change and the resources alone.
fn plan(change: &Change, key: &Key, book: &Book) -> Result<Plan, Refusal> {
    let current = book.get(key).filter(|record| record.spec.is_some());
    match change {
        Change::Create(document) => match current {
            Some(current) => Err(Refusal::Exists(current.version)),
            None => put(key, document, book),
        },
        Change::Replace(document) => {
            let current = current.ok_or(Refusal::NotFound)?;
            match document.metadata.resource_version {
                Some(version) if version == current.version => put(key, document, book),
                _ => Err(Refusal::Conflict(current.version)),
            }
        }
        Change::Patch(patch) => {
            let current = current.ok_or(Refusal::NotFound)?;
            let mut merged = manifest::to_document(current);
            merge(&mut merged, patch);
            let document = manifest::from_value(merged, Some(key.kind))?;
            let expected = document.metadata.resource_version;
            match expected.is_none_or(|version| version == current.version) {
                true => put(key, &document, book),
                false => Err(Refusal::Conflict(current.version)),
            }
        }
        Change::Delete(expected) => {
            let current = current.ok_or(Refusal::NotFound)?;
            if expected.is_some_and(|version| version != current.version) {
                return Err(Refusal::Conflict(current.version));
            }
            let users = validate::in_use(key, book);
            if !users.is_empty() {
                return Err(Refusal::InUse(users));
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

fn put(key: &Key, document: &Document, book: &Book) -> Result<Plan, Refusal> {
    let named = document.metadata.name.as_ref();
    if named.is_some_and(|name| *name != key.name) {
        let fault = Fault::new("metadata.name", "differs from the name in the path");
        return Err(Refusal::Invalid(vec![fault]));
    }
    let current = book.get(key);
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
        return Ok(Plan::Keep(record));
    }
    let faults = validate::record(&record, book);
    if !faults.is_empty() {
        return Err(Refusal::Invalid(faults));
    }
    if is_too_large(&record) {
        return Err(Refusal::TooLarge);
    }
    Ok(Plan::Put(record))
}

/// Whether the stored form, with its write id and version, exceeds the bound of readers.
fn is_too_large(record: &Record) -> bool {
    let spec = record.spec.as_ref().map(|spec: &Spec| manifest::spec_to_json(spec).to_string());
    let labels: usize =
        record.labels.iter().map(|(label, value)| 2 * (label.len() + value.len()) + 8).sum();
    spec.map_or(0, |spec| spec.len()) + labels + ENVELOPE > DOCUMENT_MAX
}

/// Bytes of a stored record besides specification and labels, rounded up.
const ENVELOPE: usize = 256;

/// Applies a JSON merge patch (RFC 7396).
fn merge(target: &mut Value, patch: &Value) {
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
            _ => merge(object.entry(name.clone()).or_insert(Value::Null), value),
        }
    }
}
