//! Reads a posted form into a document.

use super::fields::{
    FieldKind, FormField, LIMIT_FIELDS, LIMITS, PLACE, REMOVE, RULES, SALT, SECTIONS, field_name,
    split_name,
};
use super::{
    AUTHOR_FIELD, BASE_VERSION_FIELD, CSRF_TOKEN_FIELD, OPERATION_ID_FIELD, PAGE_FIELD,
    SEARCH_FIELD,
};
use burdockcleat_core::document::{ConfigDocument, DocumentFault, FaultKind};
use std::collections::{BTreeMap, HashMap};
use toml::{Table, Value};

/// Fields of the form that are not part of the document.
const OUTSIDE: [&str; 6] = [
    BASE_VERSION_FIELD,
    OPERATION_ID_FIELD,
    CSRF_TOKEN_FIELD,
    AUTHOR_FIELD,
    SEARCH_FIELD,
    PAGE_FIELD,
];

/// Reads the fields of a form and validates them like a document text.
///
/// A row whose fields are all empty, and a row that is marked for removal, is left out. An empty
/// field has its default. The paths of the faults are names of form fields.
///
/// # Errors
/// Returns every fault.
pub fn read_form(fields: &[(String, String)]) -> Result<ConfigDocument, Vec<DocumentFault>> {
    let mut reader = FormReader::default();
    for (name, value) in fields {
        reader.read_field(name, value.trim());
    }
    let document = reader.document();
    if reader.faults.is_empty() && document.is_ok() {
        return document;
    }
    let mut faults = reader.faults;
    let found = document.err().unwrap_or_default();
    faults.extend(found.into_iter().map(|fault| reader.rows.relabel(fault)));
    Err(faults)
}

#[derive(Default)]
struct FormReader {
    salt: String,
    limits: Table,
    lists: HashMap<&'static str, BTreeMap<usize, FormRow>>,
    rows: RowIndex,
    faults: Vec<DocumentFault>,
}

/// The fields of one row.
#[derive(Default)]
struct FormRow {
    table: Table,
    removed: bool,
    place: Option<u32>,
}

impl FormReader {
    fn read_field(&mut self, name: &str, text: &str) {
        if OUTSIDE.contains(&name) {
            return;
        }
        if name == SALT {
            text.clone_into(&mut self.salt);
            return;
        }
        let limit = name.strip_prefix(LIMITS).and_then(|rest| rest.strip_prefix('.'));
        let read = match (limit, split_name(name)) {
            (Some(key), _) => find(&LIMIT_FIELDS, key).map(|field| {
                insert(&mut self.limits, field, text);
            }),
            (None, Some((section, index, key))) => self.read_row_field(section, index, key, text),
            (None, None) => None,
        };
        if read.is_none() {
            self.add(name, "the form has no such field");
        }
    }

    fn read_row_field(&mut self, section: &str, index: usize, key: &str, text: &str) -> Option<()> {
        let section = SECTIONS.iter().find(|known| known.name == section)?;
        let row = self.lists.entry(section.name).or_default().entry(index).or_default();
        if key == REMOVE {
            row.removed = !text.is_empty();
            return Some(());
        }
        let field = find(&section.fields, key)?;
        if key != PLACE {
            insert(&mut row.table, field, text);
            return Some(());
        }
        match text.parse() {
            Ok(place) => row.place = Some(place),
            Err(_) if text.is_empty() => {}
            Err(_) => self.add(&field_name(section.name, index, key), "must be a whole number"),
        }
        Some(())
    }

    fn document(&mut self) -> Result<ConfigDocument, Vec<DocumentFault>> {
        let mut table = Table::new();
        table.insert(SALT.to_owned(), Value::String(std::mem::take(&mut self.salt)));
        table.insert(LIMITS.to_owned(), Value::Table(std::mem::take(&mut self.limits)));
        for (section, rows) in std::mem::take(&mut self.lists) {
            let mut kept: Vec<(usize, FormRow)> =
                rows.into_iter().filter(|(_, row)| !row.removed && !row.table.is_empty()).collect();
            if section == RULES {
                // The sort is stable, so rules with the same place keep their order on the page.
                kept.sort_by_key(|(_, row)| row.place.unwrap_or(u32::MAX));
            }
            let indexes = kept.iter().map(|(index, _)| *index).collect();
            self.rows.0.insert(section, indexes);
            let tables = kept.into_iter().map(|(_, row)| Value::Table(row.table)).collect();
            table.insert(section.to_owned(), Value::Array(tables));
        }
        ConfigDocument::from_table(table)
    }

    fn add(&mut self, path: &str, message: &str) {
        let kind = FaultKind::Shape { message: message.to_owned() };
        self.faults.push(DocumentFault { path: path.to_owned(), kind });
    }
}

/// Index of the form row by position in the document, for each section.
#[derive(Default)]
struct RowIndex(HashMap<&'static str, Vec<usize>>);

impl RowIndex {
    fn relabel(&self, mut fault: DocumentFault) -> DocumentFault {
        fault.path = self.relabel_path(&fault.path);
        if let FaultKind::Duplicate { first } = &mut fault.kind {
            *first = self.relabel_path(first);
        }
        fault
    }

    fn relabel_path(&self, path: &str) -> String {
        let Some((section, rest)) = path.split_once('[') else { return path.to_owned() };
        let Some((position, key)) = rest.split_once(']') else { return path.to_owned() };
        let position = position.parse::<usize>().ok();
        let row = self.0.get(section).zip(position).and_then(|(rows, position)| rows.get(position));
        row.map_or_else(|| path.to_owned(), |row| format!("{section}[{row}]{key}"))
    }
}

fn find(fields: &[FormField], key: &str) -> Option<FormField> {
    fields.iter().find(|field| field.key == key).copied()
}

/// Adds a field to a table, with the type that the document has for it.
///
/// A text that is no number or decision stays a text: the validation then reports it with the
/// allowed values, as it does for a document text.
fn insert(table: &mut Table, field: FormField, text: &str) {
    if text.is_empty() {
        return;
    }
    let words = |text: &str| {
        let words = text.split(|sign: char| sign == ',' || sign.is_whitespace());
        words.filter(|word| !word.is_empty()).map(|word| Value::String(word.to_owned())).collect()
    };
    let value = match field.kind {
        FieldKind::Number { .. } => text.parse().map(Value::Integer).ok(),
        FieldKind::Decision => text.parse().map(Value::Boolean).ok(),
        FieldKind::Names | FieldKind::Lines => Some(Value::Array(words(text))),
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
