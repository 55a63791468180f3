//! Items of a document: the units of comparison and of deltas.
//!
//! An item is one table of a list, the limits, the salt or the order of the rules. Its text is
//! JSON with all fields: without those that have their default, two releases with different
//! defaults would read the same text as different items.

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
pub(super) const RULE_ORDER: &str = "rules";
pub(super) const LIMITS: &str = "limits";
pub(super) const SALT: &str = "credential-salt";

/// A table of a list, identified by its name.
pub(super) trait NamedTable: Serialize + DeserializeOwned + Default + Clone {
    const SECTION: &'static str;
    fn name(&self) -> &str;

    fn path(&self) -> String {
        format!("{}.{}", Self::SECTION, self.name())
    }
}

macro_rules! named {
    ($type:ident, $section:literal) => {
        impl NamedTable for $type {
            const SECTION: &'static str = $section;
            fn name(&self) -> &str {
                &self.name
            }
        }
    };
}

named!(TierConfig, "tiers");
named!(WorkspaceConfig, "workspaces");
named!(PoolConfig, "pools");
named!(RouteRule, "rules");

/// Hash of the text of each item, by path.
///
/// It stands for a version of the document: a delta from that version can be made without the
/// version itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemHashes(BTreeMap<String, u64>);

impl ItemHashes {
    pub(super) fn insert(&mut self, path: String, text: &str) {
        self.0.insert(path, xxh3_64(text.as_bytes()));
    }

    /// Hash of the item's text.
    pub fn get(&self, path: &str) -> Option<u64> {
        self.0.get(path).copied()
    }

    /// Paths in order.
    pub fn paths(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// One hash over all items. Equal documents have equal digests.
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
    /// Hash of each item's text by path, such as `workspaces.atelier`.
    pub fn items(&self) -> ItemHashes {
        let mut items = ItemHashes::default();
        visit_items(self.tables(), |path, text| items.insert(path, &text));
        items
    }
}

/// Passes path and text of every item to `visit`.
pub(super) fn visit_items(tables: &DocumentTables, mut visit: impl FnMut(String, String)) {
    visit(SALT.to_owned(), text_of(&tables.credential_salt));
    visit_list(&tables.tiers, &mut visit);
    visit_list(&tables.workspaces, &mut visit);
    visit_list(&tables.pools, &mut visit);
    visit_list(&tables.rules, &mut visit);
    visit(RULE_ORDER.to_owned(), text_of(&rule_order(tables)));
    visit(LIMITS.to_owned(), text_of(&tables.limits));
}

fn visit_list<T: NamedTable>(list: &[T], visit: &mut impl FnMut(String, String)) {
    for item in list {
        visit(item.path(), text_of(item));
    }
}

/// JSON text of an item.
fn text_of<T: Serialize>(item: &T) -> String {
    // Serialisation to JSON fails only for maps with keys that are no strings; items have none.
    serde_json::to_string(item).unwrap_or_default()
}

/// Names of the rules in order.
pub(super) fn rule_order(tables: &DocumentTables) -> Vec<String> {
    tables.rules.iter().map(|rule| rule.name.clone()).collect()
}

/// All fields of a table.
pub(super) fn fields<T: Serialize>(item: &T) -> Map<String, Value> {
    match serde_json::to_value(item) {
        Ok(Value::Object(fields)) => fields,
        // The tables are structs with string keys, which always serialise to an object.
        _ => Map::new(),
    }
}

fn defaults_of<T: Serialize + Default>() -> Map<String, Value> {
    fields(&T::default())
}

/// The fields of a table that differ from their defaults.
fn compact<T: Serialize>(item: &T, defaults: &Map<String, Value>) -> Map<String, Value> {
    let mut fields = fields(item);
    retain_changed(&mut fields, defaults);
    fields
}

fn retain_changed(fields: &mut Map<String, Value>, defaults: &Map<String, Value>) {
    fields.retain(|key, value| defaults.get(key) != Some(value));
    for (key, value) in fields {
        if let (Value::Object(nested), Some(Value::Object(defaults))) = (value, defaults.get(key)) {
            retain_changed(nested, defaults);
        }
    }
}

/// The document as TOML without fields that have their default.
pub(super) fn document_text(tables: &DocumentTables) -> String {
    let mut text = String::new();
    if !tables.credential_salt.is_empty() {
        write_field(&mut text, SALT, &Value::from(tables.credential_salt.as_str()));
    }
    let limits = compact(&tables.limits, &defaults_of::<LimitSettings>());
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
        write_table(text, &format!("[[{}]]", T::SECTION), &compact(item, &defaults));
    }
}

fn write_table(text: &mut String, head: &str, fields: &Map<String, Value>) {
    if !text.is_empty() {
        text.push('\n');
    }
    text.push_str(head);
    text.push('\n');
    // The name leads, since readers look for it first.
    let name = fields.iter().filter(|(key, _)| *key == "name");
    let (tables, plain): (Vec<_>, Vec<_>) =
        fields.iter().filter(|(key, _)| *key != "name").partition(|(_, value)| value.is_object());
    for (key, value) in name.chain(plain) {
        write_field(text, key, value);
    }
    // In TOML, the keys after the head of a nested table belong to that table.
    for (key, value) in tables {
        if let Value::Object(fields) = value {
            write_table(text, &format!("[{}.{key}]", head.trim_matches(['[', ']'])), fields);
        }
    }
}

fn write_field(text: &mut String, key: &str, value: &Value) {
    if let Ok(value) = toml::Value::try_from(value) {
        // Writing into a String cannot fail.
        let _ = writeln!(text, "{key} = {value}");
    }
}
