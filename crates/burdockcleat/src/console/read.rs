//! Parses a posted form into a configuration document.

use super::fields::{
    CREDENTIAL_SALT, FieldKind, FormField, LIMIT_FIELDS, LIMITS_SECTION, PLACE_KEY, REMOVE_KEY,
    RULES_SECTION, SECTIONS, field_name, split_name,
};
use super::{
    AUTHOR_FIELD, BASE_VERSION_FIELD, CSRF_TOKEN_FIELD, OPERATION_ID_FIELD, PAGE_FIELD,
    SEARCH_FIELD,
};
use burdockcleat_core::document::{ConfigDocument, DocumentFault, FaultKind};
use std::collections::{BTreeMap, HashMap};
use toml::{Table, Value};

/// Names of the form fields that are not part of the document.
const NON_DOCUMENT_FIELDS: [&str; 6] = [
    BASE_VERSION_FIELD,
    OPERATION_ID_FIELD,
    CSRF_TOKEN_FIELD,
    AUTHOR_FIELD,
    SEARCH_FIELD,
    PAGE_FIELD,
];

/// Parses the fields of a form and validates them like a document text.
///
/// Rows that are empty or marked for removal are left out. An empty field gets its default. The
/// paths of the faults are names of form fields.
///
/// # Errors
/// Returns every fault.
pub fn read_form(fields: &[(String, String)]) -> Result<ConfigDocument, Vec<DocumentFault>> {
    let mut reader = FormReader::default();
    for (name, value) in fields {
        reader.read_field(name, value.trim());
    }
    let document = reader.build_document();
    if reader.faults.is_empty() && document.is_ok() {
        return document;
    }
    let mut faults = reader.faults;
    let found = document.err().unwrap_or_default();
    faults.extend(found.into_iter().map(|fault| reader.row_indexes.with_form_paths(fault)));
    Err(faults)
}

/// Collects the fields of a form by section.
#[derive(Default)]
struct FormReader {
    salt: String,
    limits: Table,
    lists: HashMap<&'static str, BTreeMap<usize, FormRow>>,
    /// Set once the document is built.
    row_indexes: RowIndexes,
    faults: Vec<DocumentFault>,
}

/// Fields of a form row.
#[derive(Default)]
struct FormRow {
    table: Table,
    removed: bool,
    place: Option<u32>,
}

impl FormReader {
    /// Adds a form field to its section, or a fault if the form has no such field.
    fn read_field(&mut self, name: &str, text: &str) {
        if NON_DOCUMENT_FIELDS.contains(&name) {
            return;
        }
        if name == CREDENTIAL_SALT {
            text.clone_into(&mut self.salt);
            return;
        }
        let limit = name.strip_prefix(LIMITS_SECTION).and_then(|rest| rest.strip_prefix('.'));
        let read = match (limit, split_name(name)) {
            (Some(key), _) => find_field(&LIMIT_FIELDS, key).map(|field| {
                insert_field(&mut self.limits, field, text);
            }),
            (None, Some((section, index, key))) => self.read_row_field(section, index, key, text),
            (None, None) => None,
        };
        if read.is_none() {
            self.add_fault(name, "the form has no such field");
        }
    }

    /// Adds a field to a row; returns `None` if the form has no such field.
    fn read_row_field(&mut self, section: &str, index: usize, key: &str, text: &str) -> Option<()> {
        let section = SECTIONS.iter().find(|known| known.name == section)?;
        let row = self.lists.entry(section.name).or_default().entry(index).or_default();
        if key == REMOVE_KEY {
            row.removed = !text.is_empty();
            return Some(());
        }
        let field = find_field(&section.fields, key)?;
        if key != PLACE_KEY {
            insert_field(&mut row.table, field, text);
            return Some(());
        }
        match text.parse() {
            Ok(place) => row.place = Some(place),
            Err(_) if text.is_empty() => {}
            Err(_) => {
                self.add_fault(&field_name(section.name, index, key), "must be a whole number");
            }
        }
        Some(())
    }

    /// Builds and validates the document from the collected fields.
    fn build_document(&mut self) -> Result<ConfigDocument, Vec<DocumentFault>> {
        let mut table = Table::new();
        table.insert(CREDENTIAL_SALT.to_owned(), Value::String(std::mem::take(&mut self.salt)));
        table.insert(LIMITS_SECTION.to_owned(), Value::Table(std::mem::take(&mut self.limits)));
        for (section, rows) in std::mem::take(&mut self.lists) {
            let mut kept: Vec<(usize, FormRow)> =
                rows.into_iter().filter(|(_, row)| !row.removed && !row.table.is_empty()).collect();
            if section == RULES_SECTION {
                // The sort is stable, so rules with the same place keep their order on the page.
                kept.sort_by_key(|(_, row)| row.place.unwrap_or(u32::MAX));
            }
            let indexes = kept.iter().map(|(index, _)| *index).collect();
            self.row_indexes.0.insert(section, indexes);
            let tables = kept.into_iter().map(|(_, row)| Value::Table(row.table)).collect();
            table.insert(section.to_owned(), Value::Array(tables));
        }
        ConfigDocument::from_table(table)
    }

    /// Records a fault of a form field.
    fn add_fault(&mut self, path: &str, message: &str) {
        let kind = FaultKind::Shape { message: message.to_owned() };
        self.faults.push(DocumentFault { path: path.to_owned(), kind });
    }
}

/// For each section, the form row index of each row of the document.
#[derive(Default)]
struct RowIndexes(HashMap<&'static str, Vec<usize>>);

impl RowIndexes {
    /// Replaces the document paths in a fault by names of form fields.
    fn with_form_paths(&self, mut fault: DocumentFault) -> DocumentFault {
        fault.path = self.form_path(&fault.path);
        if let FaultKind::Duplicate { first } = &mut fault.kind {
            *first = self.form_path(first);
        }
        fault
    }

    /// Converts a document path to the name of the form field.
    fn form_path(&self, path: &str) -> String {
        let Some((section, rest)) = path.split_once('[') else { return path.to_owned() };
        let Some((position, key)) = rest.split_once(']') else { return path.to_owned() };
        let position = position.parse::<usize>().ok();
        let row = self.0.get(section).zip(position).and_then(|(rows, position)| rows.get(position));
        row.map_or_else(|| path.to_owned(), |row| format!("{section}[{row}]{key}"))
    }
}

/// Finds a form field by key.
fn find_field(fields: &[FormField], key: &str) -> Option<FormField> {
    fields.iter().find(|field| field.key == key).copied()
}

/// Inserts a field into a table, converted to its type in the document.
///
/// A text that cannot be converted is inserted as a string. Validation then reports it with the
/// allowed values, as it does for a document text.
fn insert_field(table: &mut Table, field: FormField, text: &str) {
    if text.is_empty() {
        return;
    }
    let words = |text: &str| {
        let words = text.split(|character: char| character == ',' || character.is_whitespace());
        words.filter(|word| !word.is_empty()).map(|word| Value::String(word.to_owned())).collect()
    };
    let value = match field.kind {
        FieldKind::Number { .. } => text.parse().map(Value::Integer).ok(),
        FieldKind::OptionalBool => text.parse().map(Value::Boolean).ok(),
        FieldKind::WordList | FieldKind::LineList => Some(Value::Array(words(text))),
        FieldKind::Text | FieldKind::Choice(_) => None,
    };
    let value = value.unwrap_or_else(|| Value::String(text.to_owned()));
    match field.key.split_once('.') {
        Some((outer, key)) => {
            let nested = table.entry(outer).or_insert_with(|| Value::Table(Table::new()));
            if let Value::Table(nested) = nested {
                nested.insert(key.to_owned(), value);
            }
        }
        None => {
            table.insert(field.key.to_owned(), value);
        }
    }
}
