//! Items of a document, which are the units of comparison and of deltas.
//!
//! An item is a table of a list, the limits, the salt or the order of the rules. It is encoded as
//! JSON with all fields. If fields with default values were left out, two releases with different
//! defaults would decode the same text to different items.

use super::ConfigDocument;
use super::tables::{
    DocumentTables, LimitSettings, PoolConfig, RouteRule, TierConfig, WorkspaceConfig,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::fmt::Write;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Path of the item that holds the order of the rules.
pub(super) const RULE_ORDER_PATH: &str = "rules";
/// Path of the item that holds the limits.
pub(super) const LIMITS_PATH: &str = "limits";
/// Path of the item that holds the credential salt.
pub(super) const SALT_PATH: &str = "credential-salt";

/// Table in a list of tables, identified by its name.
pub(super) trait NamedTable: Serialize + DeserializeOwned + Default + Clone {
    const SECTION: &'static str;
    fn name(&self) -> &str;

    fn path(&self) -> String {
        format!("{}.{}", Self::SECTION, self.name())
    }
}

macro_rules! impl_named_table {
    ($type:ident, $section:literal) => {
        impl NamedTable for $type {
            const SECTION: &'static str = $section;
            fn name(&self) -> &str {
                &self.name
            }
        }
    };
}

impl_named_table!(TierConfig, "tiers");
impl_named_table!(WorkspaceConfig, "workspaces");
impl_named_table!(PoolConfig, "pools");
impl_named_table!(RouteRule, "rules");

/// Hash of the JSON text of each item, by path.
///
/// The hashes of an old version are enough to compute a delta from it; the document of that
/// version is not needed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemHashes(BTreeMap<String, u64>);

impl ItemHashes {
    pub(super) fn insert(&mut self, path: String, text: &str) {
        self.0.insert(path, xxh3_64(text.as_bytes()));
    }

    /// Returns the hash of the item at a path.
    pub fn get(&self, path: &str) -> Option<u64> {
        self.0.get(path).copied()
    }

    /// Returns the paths in ascending order.
    pub fn paths(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// Computes a hash over all items. Equal documents have equal digests.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for (path, hash) in &self.0 {
            hasher.update(path.as_bytes());
            hasher.update(&[0]);
            hasher.update(&hash.to_le_bytes());
        }
        hasher.digest()
    }
}

impl ConfigDocument {
    /// Returns the hash of each item by path, such as `workspaces.atelier`.
    pub fn item_hashes(&self) -> ItemHashes {
        let mut items = ItemHashes::default();
        visit_items(self.tables(), |path, text| items.insert(path, &text));
        items
    }
}

/// Calls `visit` with the path and the JSON text of each item.
pub(super) fn visit_items(tables: &DocumentTables, mut visit: impl FnMut(String, String)) {
    visit(SALT_PATH.to_owned(), item_json(&tables.credential_salt));
    visit_list(&tables.tiers, &mut visit);
    visit_list(&tables.workspaces, &mut visit);
    visit_list(&tables.pools, &mut visit);
    visit_list(&tables.rules, &mut visit);
    visit(RULE_ORDER_PATH.to_owned(), item_json(&rule_order(tables)));
    visit(LIMITS_PATH.to_owned(), item_json(&tables.limits));
}

fn visit_list<T: NamedTable>(list: &[T], visit: &mut impl FnMut(String, String)) {
    for item in list {
        visit(item.path(), item_json(item));
    }
}

/// Encodes an item as JSON.
fn item_json<T: Serialize>(item: &T) -> String {
    // JSON encoding fails only for maps whose keys are not strings. Items have no such maps.
    serde_json::to_string(item).unwrap_or_default()
}

/// Returns the names of the rules in order.
pub(super) fn rule_order(tables: &DocumentTables) -> Vec<String> {
    tables.rules.iter().map(|rule| rule.name.clone()).collect()
}

/// Returns all fields of a table.
pub(super) fn fields<T: Serialize>(item: &T) -> Map<String, Value> {
    match serde_json::to_value(item) {
        Ok(Value::Object(fields)) => fields,
        // The tables are structs, which always serialise to an object.
        _ => Map::new(),
    }
}

fn defaults_of<T: Serialize + Default>() -> Map<String, Value> {
    fields(&T::default())
}

/// Returns the fields of a table that differ from their default values.
fn non_default_fields<T: Serialize>(item: &T, defaults: &Map<String, Value>) -> Map<String, Value> {
    let mut fields = fields(item);
    remove_defaults(&mut fields, defaults);
    fields
}

fn remove_defaults(fields: &mut Map<String, Value>, defaults: &Map<String, Value>) {
    fields.retain(|key, value| defaults.get(key) != Some(value));
    for (key, value) in fields {
        if let (Value::Object(nested), Some(Value::Object(defaults))) = (value, defaults.get(key)) {
            remove_defaults(nested, defaults);
        }
    }
}

/// Formats the document as TOML, without fields that have their default value.
pub(super) fn document_toml(tables: &DocumentTables) -> String {
    let mut text = String::new();
    if !tables.credential_salt.is_empty() {
        write_field(&mut text, SALT_PATH, &Value::from(tables.credential_salt.as_str()));
    }
    let limits = non_default_fields(&tables.limits, &defaults_of::<LimitSettings>());
    if !limits.is_empty() {
        write_table(&mut text, "[limits]", &limits);
    }
    write_list(&mut text, &tables.tiers);
    write_list(&mut text, &tables.pools);
    write_list(&mut text, &tables.workspaces);
    write_list(&mut text, &tables.rules);
    text
}

fn write_list<T: NamedTable>(text: &mut String, list: &[T]) {
    let defaults = defaults_of::<T>();
    for item in list {
        write_table(text, &format!("[[{}]]", T::SECTION), &non_default_fields(item, &defaults));
    }
}

fn write_table(text: &mut String, header: &str, fields: &Map<String, Value>) {
    if !text.is_empty() {
        text.push('\n');
    }
    text.push_str(header);
    text.push('\n');
    // The name is written first, because readers look for it first.
    let name = fields.iter().filter(|(key, _)| *key == "name");
    let (tables, plain): (Vec<_>, Vec<_>) =
        fields.iter().filter(|(key, _)| *key != "name").partition(|(_, value)| value.is_object());
    for (key, value) in name.chain(plain) {
        write_field(text, key, value);
    }
    // Nested tables come last: in TOML, keys after the header of a nested table belong to it.
    for (key, value) in tables {
        if let Value::Object(fields) = value {
            write_table(text, &format!("[{}.{key}]", header.trim_matches(['[', ']'])), fields);
        }
    }
}

fn write_field(text: &mut String, key: &str, value: &Value) {
    if let Ok(value) = toml::Value::try_from(value) {
        // Writing into a String cannot fail.
        let _ = writeln!(text, "{key} = {value}");
    }
}
