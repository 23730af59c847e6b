//! `hornbeamctl apply`: creates or replaces the resources in a file.

use argh::FromArgs;
use hornbeamloom_kernel::ids::Revision;
use hornbeamloom_kernel::resource::{Kind, ResourceMap};
use hornbeamloom_kernel::validate;
use hornbeamloom_wire::manifest::{self, Document};
use reqwest::Method;
use serde_json::{json, Value};

use crate::client::{Client, Error};
use crate::command::{self, Plugin};
use crate::review::{self, document_key, resource_path, to_record};

inventory::submit! {
    Plugin { name: "apply", help: "create or replace the resources in a file", run }
}

/// Create or replace the resources in a YAML or JSON file.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// file with one or more documents, or - for standard input
    #[argh(option, short = 'f')]
    file: String,
    /// validate and print the changes without applying them
    #[argh(switch)]
    dry_run: bool,
}

fn run(client: &Client, argv: &[&str]) -> Result<(), Error> {
    let Some(args) = command::parse_args::<Args>("apply", argv)? else {
        return Ok(());
    };
    let documents = read_documents(&args.file)?;
    command::block_on(async {
        match args.dry_run {
            true => dry_run(client, &documents).await,
            false => apply(client, &documents).await,
        }
    })
}

/// Reads a file, or standard input for `-`.
pub(crate) fn read_file(path: &str) -> Result<String, Error> {
    let text = match path {
        "-" => std::io::read_to_string(std::io::stdin()),
        path => std::fs::read_to_string(path),
    };
    text.map_err(|source| Error::File { path: path.to_owned(), source })
}

/// Reads the documents of a file, sorted by kind so that referenced resources come first.
fn read_documents(path: &str) -> Result<Vec<Document>, Error> {
    let text = read_file(path)?;
    let documents = manifest::parse_file(&text);
    let mut documents = documents.map_err(|error| Error::Usage(format!("{path}: {error}")))?;
    if let Some(ix) = documents.iter().position(|document| document.metadata.name.is_none()) {
        let number = ix + 1;
        let message = format!("{path}: document {number}: metadata.name: is missing");
        return Err(Error::Usage(message));
    }
    documents.sort_by_key(|document| Kind::ALL.iter().position(|kind| *kind == document.kind));
    Ok(documents)
}

async fn apply(client: &Client, documents: &[Document]) -> Result<(), Error> {
    for document in documents {
        let path = resource_path(&document_key(document));
        let outcome = apply_document(client, document, &path).await?;
        println!("{path} {outcome}");
    }
    Ok(())
}

async fn apply_document(
    client: &Client,
    document: &Document,
    path: &str,
) -> Result<&'static str, Error> {
    let current = match client.read(path).await {
        Ok(current) => current,
        Err(Error::Refused { status: 404, .. }) => {
            let collection = document.kind.plural();
            client.write(Method::POST, collection, Some(&request_body(document, None))).await?;
            return Ok("created");
        }
        Err(error) => return Err(error),
    };
    let document = &preserve_operational_state(document, &current);
    let file_version = document.metadata.resource_version;
    let version = match file_version {
        Some(file_version) => Some(file_version),
        None => current["metadata"]["resourceVersion"].as_u64().map(Revision),
    };
    if file_version.is_none() && is_unchanged(document, current) {
        return Ok("unchanged");
    }
    let body = request_body(document, version);
    client.write(Method::PUT, path, Some(&body)).await?;
    Ok("configured")
}

/// Carries over operational state that the file does not set, so that applying a file again does
/// not return a drained zone or a leaving target to service.
fn preserve_operational_state(document: &Document, current: &Value) -> Document {
    let current = manifest::from_value(current.clone(), Some(document.kind));
    let current = current.ok().map(|current| review::to_record(&current));
    review::with_operational_state(document, current.as_ref())
}

/// Whether the daemon already has this specification, with defaults filled in, and these labels.
fn is_unchanged(document: &Document, current: Value) -> bool {
    let current = manifest::from_value(current, Some(document.kind));
    current.is_ok_and(|current| {
        current.spec == document.spec && current.metadata.labels == document.metadata.labels
    })
}

fn request_body(document: &Document, version: Option<Revision>) -> Value {
    json!({
        "apiVersion": manifest::API_VERSION,
        "kind": document.kind,
        "metadata": {
            "name": document.metadata.name,
            "labels": document.metadata.labels,
            "resourceVersion": version,
        },
        "spec": manifest::spec_to_json(&document.spec),
    })
}

/// Validates each document against the daemon's resources and the preceding documents, and prints
/// what applying it would change.
async fn dry_run(client: &Client, documents: &[Document]) -> Result<(), Error> {
    let mut resources = read_resources(client).await?;
    for document in documents {
        let key = document_key(document);
        let record = to_record(document);
        let path = resource_path(&key);
        if let Some(error) = validate::record(&record, &resources).first() {
            return Err(Error::Usage(format!("{path}: {error}")));
        }
        let current = resources.insert(key, record.clone());
        let outcome = match current {
            None => "would be created",
            Some(current) if current.spec == record.spec && current.labels == record.labels => {
                "would be unchanged"
            }
            Some(_) => "would be configured",
        };
        println!("{path} {outcome}");
    }
    Ok(())
}

/// Reads all resources in force.
pub(crate) async fn read_resources(client: &Client) -> Result<ResourceMap, Error> {
    let mut resources = ResourceMap::default();
    for kind in Kind::ALL {
        let list = client.read(kind.plural()).await?;
        let items = list["items"].as_array().cloned().unwrap_or_default();
        for item in items {
            if let Ok(document) = manifest::from_value(item, Some(kind)) {
                resources.insert(document_key(&document), to_record(&document));
            }
        }
    }
    Ok(resources)
}
