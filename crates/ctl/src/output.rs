//! Output as tables or JSON.

use std::str::FromStr;

use hornbeamloom_kernel::resource::Kind;
use serde_json::Value;

use crate::client::Error;

/// The format of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// Aligned columns for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "table" => Ok(Format::Table),
            "json" => Ok(Format::Json),
            _ => Err("expected table or json".to_owned()),
        }
    }
}

/// Parses a kind from the command line: plural, singular, or `zone` for an availability zone.
///
/// ```
/// use hornbeamloom_ctl::output::parse_kind;
/// use hornbeamloom_kernel::resource::Kind;
///
/// assert_eq!(parse_kind("zone").unwrap(), Kind::AvailabilityZone);
/// assert!(parse_kind("pod").is_err());
/// ```
///
/// # Errors
///
/// [`Error::Usage`] with the known kinds.
pub fn parse_kind(text: &str) -> Result<Kind, Error> {
    let plural = match text {
        "zone" | "zones" => "availabilityzones".to_owned(),
        text => format!("{}s", text.trim_end_matches('s')),
    };
    Kind::from_plural(&plural).ok_or_else(|| {
        let known = Kind::ALL.map(Kind::plural).join(", ");
        Error::Usage(format!("unknown kind {text:?}: expected one of {known}"))
    })
}

/// Prints indented JSON.
pub(crate) fn print_json(value: &Value) {
    println!("{value:#}");
}

/// Formats rows under headings, with columns padded to their widest cell.
///
/// ```
/// use hornbeamloom_ctl::output::format_table;
///
/// let rows = [vec!["engine-1".to_owned(), "lodz-a".to_owned()]];
/// let text = format_table(&["NAME", "ZONE"], &rows);
/// assert_eq!(text, "NAME      ZONE\nengine-1  lodz-a\n");
/// ```
pub fn format_table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max();
        widest.unwrap_or(0).max(headings[column].len())
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let headings = headings.iter().map(|heading| (*heading).to_owned());
    let mut text = format_row(&headings.collect::<Vec<_>>(), &widths);
    for row in rows {
        text.push_str(&format_row(row, &widths));
    }
    text
}

fn format_row(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    let text = padded.collect::<Vec<_>>().join("  ");
    format!("{}\n", text.trim_end())
}

/// A JSON scalar as the text of a cell; empty for null.
pub(crate) fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Formats the table of resources of one kind from their documents with status.
///
/// ```
/// use hornbeamloom_ctl::output::format_resources;
/// use hornbeamloom_kernel::resource::Kind;
///
/// assert!(format_resources(Kind::Target, &[]).starts_with("NAME  VERSION"));
/// ```
pub fn format_resources(kind: Kind, documents: &[Value]) -> String {
    let columns = columns(kind);
    let common = ["NAME", "VERSION", "GENERATION", "IN FORCE"];
    let kind_specific = columns.iter().map(|(heading, _)| *heading);
    let headings: Vec<&str> = common.into_iter().chain(kind_specific).collect();
    let rows: Vec<Vec<String>> = documents
        .iter()
        .map(|document| {
            let metadata = &document["metadata"];
            let kind_specific = columns.iter().map(|(_, read)| read(&document["spec"]));
            [
                cell(&metadata["name"]),
                cell(&metadata["resourceVersion"]),
                cell(&metadata["generation"]),
                format_in_force(&document["status"]),
            ]
            .into_iter()
            .chain(kind_specific)
            .collect()
        })
        .collect();
    format_table(&headings, &rows)
}

fn format_in_force(status: &Value) -> String {
    let count = |field: &str| status[field].as_u64().unwrap_or(0);
    let in_force = count("inForceCount");
    format!("{in_force}/{}", in_force + count("pendingCount"))
}

/// A column: its heading, and a function that reads its cell from a specification.
type Column = (&'static str, fn(&Value) -> String);

/// The columns that only this kind has. Of caller keys, only the number is shown.
fn columns(kind: Kind) -> &'static [Column] {
    match kind {
        Kind::Organisation => &[
            ("WEIGHT", |spec| cell(&spec["weight"])),
            ("KEYS", |spec| spec["keys"].as_array().map_or(0, Vec::len).to_string()),
        ],
        Kind::Service => &[
            ("PROTOCOL", |spec| cell(&spec["protocol"])),
            ("CONFIGURATION", |spec| cell(&spec["configuration"])),
        ],
        Kind::AvailabilityZone => {
            &[("REGION", |spec| cell(&spec["region"])), ("STATE", |spec| cell(&spec["state"]))]
        }
        Kind::Target => &[
            ("SERVICE", |spec| cell(&spec["service"])),
            ("ZONE", |spec| cell(&spec["zone"])),
            ("ADDRESS", |spec| cell(&spec["address"])),
            ("LEAVING", |spec| cell(&spec["leaving"])),
        ],
        Kind::Route => &[
            ("HOST", |spec| cell(&spec["host"])),
            ("PREFIX", |spec| cell(&spec["pathPrefix"])),
            ("RERUN", |spec| cell(&spec["rerun"])),
        ],
        Kind::Configuration => &[
            ("ORDER", |spec| cell(&spec["policy"]["order"])),
            ("KV PERCENT", |spec| cell(&spec["kvPercent"])),
        ],
    }
}
