//! `hornbeamctl diff`: checks a resource file, and shows what applying it would change.

use argh::FromArgs;

use crate::apply;
use crate::client::{Client, Error};
use crate::command::{self, Plugin};
use crate::output::{self, Format};
use crate::review::{self, Change, Message, Review};

inventory::submit! {
    Plugin { name: "diff", help: "check a file and compare it with the resources in force", run }
}

/// Check a YAML or JSON file and compare it with the resources in force. Nothing is changed. Exit
/// status: 0 no difference, 1 differences, 2 errors in the file.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// file with one or more documents, or - for standard input
    #[argh(option, short = 'f')]
    file: String,
    /// output: table or json
    #[argh(option, short = 'o', default = "Format::Table")]
    output: Format,
}

fn run(client: &Client, argv: &[&str]) -> Result<(), Error> {
    let Some(args) = command::parse_args::<Args>("diff", argv)? else {
        return Ok(());
    };
    let text = apply::read_file(&args.file)?;
    let in_force = command::block_on(apply::read_resources(client))?;
    let review = review::file(&text, &in_force);
    match args.output {
        Format::Json => {
            let value = serde_json::to_value(&review);
            output::print_json(&value.map_err(|error| Error::Usage(error.to_string()))?);
        }
        Format::Table => print!("{}", format_review(&args.file, &review)),
    }
    match (review.errors.len(), review.changes.len()) {
        (0, 0) => Ok(()),
        (0, changes) => Err(Error::Differs(changes)),
        (errors, _) => Err(Error::Usage(format!("{}: {errors} errors", args.file))),
    }
}

fn format_review(path: &str, review: &Review) -> String {
    let errors = review.errors.iter().map(|message| format_message(path, "error", message));
    let warnings = review.warnings.iter().map(|message| format_message(path, "warning", message));
    errors.chain(warnings).chain(review.changes.iter().map(format_change)).collect()
}

fn format_message(path: &str, severity: &str, message: &Message) -> String {
    let place = match message.line {
        Some(line) => format!("{path}:{line}"),
        None => path.to_owned(),
    };
    let Message { resource, field, problem, .. } = message;
    match &**field {
        "" => format!("{place}: {severity}: {resource}: {problem}\n"),
        field => format!("{place}: {severity}: {resource}: {field}: {problem}\n"),
    }
}

fn format_change(change: &Change) -> String {
    let resource = &change.resource;
    if change.is_new {
        return format!("+ {resource}\n");
    }
    let fields = change.fields.iter();
    let fields: String = fields
        .map(|field| format!("    {}: {} -> {}\n", field.field, field.from, field.to))
        .collect();
    format!("~ {resource}\n{fields}")
}
