//! Human-readable list of the differences between two documents.

use super::ConfigDocument;
use super::item::{LIMITS_PATH, NamedTable, RULE_ORDER_PATH, SALT_PATH, fields, rule_order};
use super::tables::DocumentTables;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Difference between two documents. Values are formatted as JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum DocumentChange {
    /// An item was added.
    Added {
        /// Path of the item, such as `workspaces.atelier`.
        path: String,
        /// All fields of the item.
        new: String,
    },
    /// An item was removed.
    Removed {
        /// Path of the item.
        path: String,
        /// All fields of the item.
        old: String,
    },
    /// A field has a different value.
    Changed {
        /// Path of the field, such as `workspaces.atelier.weight`.
        path: String,
        /// Old value.
        old: String,
        /// New value.
        new: String,
    },
}

impl fmt::Display for DocumentChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { path, new } => write!(formatter, "+ {path} = {new}"),
            Self::Removed { path, old } => write!(formatter, "- {path} = {old}"),
            Self::Changed { path, old, new } => write!(formatter, "~ {path}: {old} -> {new}"),
        }
    }
}

impl ConfigDocument {
    /// Returns the changes from this document to `newer`.
    ///
    /// Changes are grouped by section and sorted by name within a section.
    pub fn changes_to(&self, newer: &Self) -> Vec<DocumentChange> {
        let (old, new) = (self.tables(), newer.tables());
        let mut changes = Vec::new();
        compare_values(&mut changes, SALT_PATH, &salt_value(old), &salt_value(new));
        compare_lists(&mut changes, &old.tiers, &new.tiers);
        compare_lists(&mut changes, &old.workspaces, &new.workspaces);
        compare_lists(&mut changes, &old.pools, &new.pools);
        compare_lists(&mut changes, &old.rules, &new.rules);
        compare_values(
            &mut changes,
            RULE_ORDER_PATH,
            &rule_order_value(old),
            &rule_order_value(new),
        );
        compare_fields(&mut changes, LIMITS_PATH, &fields(&old.limits), &fields(&new.limits));
        changes
    }
}

fn salt_value(tables: &DocumentTables) -> Value {
    Value::from(tables.credential_salt.as_str())
}

fn rule_order_value(tables: &DocumentTables) -> Value {
    Value::from(rule_order(tables))
}

fn compare_lists<T: NamedTable + PartialEq>(
    changes: &mut Vec<DocumentChange>,
    old: &[T],
    new: &[T],
) {
    let old: BTreeMap<&str, &T> = old.iter().map(|item| (item.name(), item)).collect();
    let new: BTreeMap<&str, &T> = new.iter().map(|item| (item.name(), item)).collect();
    let names: BTreeSet<&str> = old.keys().chain(new.keys()).copied().collect();
    for name in names {
        let path = format!("{}.{name}", T::SECTION);
        match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) if old != new => {
                compare_fields(changes, &path, &fields(old), &fields(new));
            }
            (None, Some(new)) => changes.push(DocumentChange::Added { path, new: json_of(*new) }),
            (Some(old), None) => changes.push(DocumentChange::Removed { path, old: json_of(*old) }),
            _ => {}
        }
    }
}

fn json_of<T: NamedTable>(item: &T) -> String {
    let mut fields = fields(item);
    fields.retain(|_, value| !value.is_null());
    Value::Object(fields).to_string()
}

fn compare_fields(
    changes: &mut Vec<DocumentChange>,
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
) {
    // Both maps come from the same type, so they have the same keys.
    for (key, value) in old {
        let newer = new.get(key).unwrap_or(&Value::Null);
        compare_values(changes, &format!("{path}.{key}"), value, newer);
    }
}

fn compare_values(changes: &mut Vec<DocumentChange>, path: &str, old: &Value, new: &Value) {
    if let (Value::Object(old), Value::Object(new)) = (old, new) {
        return compare_fields(changes, path, old, new);
    }
    if old != new {
        let (path, old, new) = (path.to_owned(), old.to_string(), new.to_string());
        changes.push(DocumentChange::Changed { path, old, new });
    }
}
