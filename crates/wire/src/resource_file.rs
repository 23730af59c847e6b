//! Resource files with the line of each document and field, for messages to their authors.

use saphyr::{LoadableYamlNode, MarkedYaml, YamlData};
use serde::Deserialize;
use serde_json::Value;

use crate::manifest::{self, Document, Error};

/// One document of a file.
#[derive(Debug)]
pub struct Entry<'a> {
    /// The document, or why it is rejected.
    pub document: Result<Document, Error>,
    node: Option<MarkedYaml<'a>>,
}

impl Entry<'_> {
    /// The line of a field, counted from 1; that of the innermost parent which the document has if it
    /// lacks the field itself, and 0 if no line is known.
    pub fn line(&self, field: &str) -> usize {
        let Some(node) = &self.node else {
            return 0;
        };
        let (mut node, mut line) = (node, node.span.start.line());
        for step in field.split(['.', '[']) {
            let next = match step.strip_suffix(']') {
                Some(ix) => item(node, ix).map(|item| (item, item.span.start.line())),
                None => member(node, step),
            };
            let Some((child, child_line)) = next else {
                break;
            };
            (node, line) = (child, child_line);
        }
        line
    }
}

fn item<'a, 'b>(node: &'a MarkedYaml<'b>, ix: &str) -> Option<&'a MarkedYaml<'b>> {
    match &node.data {
        YamlData::Sequence(items) => items.get(ix.parse::<usize>().ok()?),
        _ => None,
    }
}

/// A member of a mapping, and the line of its name.
fn member<'a, 'b>(node: &'a MarkedYaml<'b>, name: &str) -> Option<(&'a MarkedYaml<'b>, usize)> {
    match &node.data {
        YamlData::Mapping(members) => {
            let mut members = members.iter();
            let (name, value) = members.find(|(key, _)| key.data.as_str() == Some(name))?;
            Some((value, name.span.start.line()))
        }
        _ => None,
    }
}

/// Parses all documents of a file in YAML or JSON; unlike [`manifest::parse_file`], it goes on after
/// a document that is rejected.
///
/// # Errors
///
/// [`Error::Malformed`] if the file is not YAML.
///
/// ```
/// use hornbeamloom_wire::resource_file;
///
/// let text = "kind: Service\nmetadata: {name: menu-model}\nspec:\n  queueMs: 100\n";
/// let entries = resource_file::parse(text).unwrap();
/// assert!(entries[0].document.is_ok());
/// assert_eq!(entries[0].line("spec.queueMs"), 4);
/// ```
pub fn parse(text: &str) -> Result<Vec<Entry<'_>>, Error> {
    let mut documents = Vec::new();
    for part in serde_yaml_ng::Deserializer::from_str(text) {
        let value = Value::deserialize(part).map_err(manifest::malformed)?;
        if !value.is_null() {
            documents.push(manifest::from_sized_value(value));
        }
    }
    let nodes = MarkedYaml::load_from_str(text).unwrap_or_default();
    let mut nodes = nodes.into_iter().filter(|node| !node.data.is_null());
    let entries = documents.into_iter();
    Ok(entries.map(|document| Entry { document, node: nodes.next() }).collect())
}
