//! Differences between two documents, for people.

use super::ConfigDocument;
use super::item::{LIMITS, NamedTable, RULE_ORDER, SALT, fields, rule_order};
use super::tables::DocumentTables;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// One difference. Values are JSON texts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum DocumentChange {
    /// The item is new.
    Added {
        /// Path of the item, such as `workspaces.atelier`.
        path: String,
        /// All fields of the item.
        new: String,
    },
    /// The item is gone.
    Removed {
        /// Path of the item.
        path: String,
        /// All fields of the item.
        old: String,
    },
    /// A field of the item has another value.
    Changed {
        /// Path of the field, such as `workspaces.atelier.weight`.
        path: String,
        /// Value before.
        old: String,
        /// Value after.
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
    /// The changes that lead from this document to `newer`, by path.
    pub fn changes_to(&self, newer: &Self) -> Vec<DocumentChange> {
        let (old, new) = (self.tables(), newer.tables());
        let mut changes = Vec::new();
        compare_values(&mut changes, SALT, &salt(old), &salt(new));
        compare_lists(&mut changes, &old.tiers, &new.tiers);
        compare_lists(&mut changes, &old.workspaces, &new.workspaces);
        compare_lists(&mut changes, &old.pools, &new.pools);
        compare_lists(&mut changes, &old.rules, &new.rules);
        compare_values(&mut changes, RULE_ORDER, &order(old), &order(new));
        compare_fields(&mut changes, LIMITS, &fields(&old.limits), &fields(&new.limits));
        changes
    }
}

fn salt(tables: &DocumentTables) -> Value {
    Value::from(tables.credential_salt.as_str())
}

fn order(tables: &DocumentTables) -> Value {
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
            (None, Some(new)) => changes.push(DocumentChange::Added { path, new: text_of(*new) }),
            (Some(old), None) => changes.push(DocumentChange::Removed { path, old: text_of(*old) }),
            _ => {}
        }
    }
}

fn text_of<T: NamedTable>(item: &T) -> String {
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
