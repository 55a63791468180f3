//! Deltas between two versions of a document, used to push changes to entries.

use super::ConfigDocument;
use super::item::{ItemHashes, LIMITS_PATH, NamedTable, RULE_ORDER_PATH, SALT_PATH, visit_items};
use super::tables::{DocumentTables, RouteRule};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Items that differ between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DocumentDelta {
    /// Digest of the document that the delta applies to.
    pub base: u64,
    /// Digest of the document after the delta.
    pub result: u64,
    /// Paths of removed items.
    pub removed: Vec<String>,
    /// Path and JSON text of each added or changed item.
    pub changed: Vec<(String, String)>,
}

/// Error returned when a delta cannot be applied. The receiver must request the whole document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum DeltaError {
    /// The delta was created for a different document.
    #[error("the delta is for the document {expected:016x}, not for {found:016x}")]
    BaseMismatch {
        /// Digest that the delta expects.
        expected: u64,
        /// Digest of the document.
        found: u64,
    },
    /// An item of the delta cannot be parsed.
    #[error("the delta has an unreadable item {path}")]
    InvalidItem {
        /// Path of the item.
        path: String,
    },
    /// The document after the delta differs from the document of the sender.
    #[error("the result is the document {found:016x}, not {expected:016x}")]
    ResultMismatch {
        /// Digest that the sender computed.
        expected: u64,
        /// Digest of the result.
        found: u64,
    },
}

impl DocumentDelta {
    /// Computes the delta from `old` to `new`.
    pub fn between(old: &ConfigDocument, new: &ConfigDocument) -> Self {
        Self::since(&old.item_hashes(), new)
    }

    /// Computes the delta to `new` from the document whose item hashes are `old`.
    pub fn since(old: &ItemHashes, new: &ConfigDocument) -> Self {
        let mut items = ItemHashes::default();
        let mut changed = Vec::new();
        visit_items(new.tables(), |path, text| {
            items.insert(path.clone(), &text);
            if old.get(&path) != items.get(&path) {
                changed.push((path, text));
            }
        });
        let missing = old.paths().filter(|path| items.get(path).is_none());
        let removed = missing.map(str::to_owned).collect();
        Self { base: old.digest(), result: items.digest(), removed, changed }
    }

    /// Applies the delta to the document that it was created for.
    ///
    /// The result is not validated again, because its digest shows that it equals the document of
    /// the sender.
    ///
    /// # Errors
    /// Returns an error if the document is a different one or the delta is damaged.
    pub fn apply(&self, document: &ConfigDocument) -> Result<ConfigDocument, DeltaError> {
        let found = document.item_hashes().digest();
        if found != self.base {
            return Err(DeltaError::BaseMismatch { expected: self.base, found });
        }
        let result = ConfigDocument::from_valid_tables(self.patch(document.tables())?);
        let found = result.item_hashes().digest();
        if found != self.result {
            return Err(DeltaError::ResultMismatch { expected: self.result, found });
        }
        Ok(result)
    }

    fn patch(&self, tables: &DocumentTables) -> Result<DocumentTables, DeltaError> {
        let changed: BTreeMap<&str, &str> =
            self.changed.iter().map(|(path, text)| (path.as_str(), text.as_str())).collect();
        Ok(DocumentTables {
            credential_salt: changed_or_current(&changed, SALT_PATH, &tables.credential_salt)?,
            tiers: self.patch_list(&tables.tiers, &changed)?,
            workspaces: self.patch_list(&tables.workspaces, &changed)?,
            pools: self.patch_list(&tables.pools, &changed)?,
            rules: order_rules(self.patch_list(&tables.rules, &changed)?, &tables.rules, &changed)?,
            limits: changed_or_current(&changed, LIMITS_PATH, &tables.limits)?,
        })
    }

    fn patch_list<T: NamedTable>(
        &self,
        list: &[T],
        changed: &BTreeMap<&str, &str>,
    ) -> Result<Vec<T>, DeltaError> {
        let removed: BTreeSet<&str> = self.removed.iter().map(String::as_str).collect();
        let replaced = |path: &str| removed.contains(path) || changed.contains_key(path);
        let mut items: Vec<T> =
            list.iter().filter(|item| !replaced(&item.path())).cloned().collect();
        for (path, text) in changed {
            let section = path.split_once('.').map(|(section, _)| section);
            if section == Some(T::SECTION) {
                items.push(parse_item(path, text)?);
            }
        }
        Ok(items)
    }
}

/// Sorts the rules into the order given in the delta, or into their previous order if the delta
/// does not change it.
fn order_rules(
    rules: Vec<RouteRule>,
    previous: &[RouteRule],
    changed: &BTreeMap<&str, &str>,
) -> Result<Vec<RouteRule>, DeltaError> {
    let previous = previous.iter().map(|rule| rule.name.clone()).collect();
    let order: Vec<String> = changed_or_current(changed, RULE_ORDER_PATH, &previous)?;
    let mut by_name: BTreeMap<String, RouteRule> =
        rules.into_iter().map(|rule| (rule.name.clone(), rule)).collect();
    order
        .iter()
        .map(|name| by_name.remove(name))
        .collect::<Option<_>>()
        .ok_or_else(|| DeltaError::InvalidItem { path: RULE_ORDER_PATH.to_owned() })
}

fn changed_or_current<T: DeserializeOwned + Clone>(
    changed: &BTreeMap<&str, &str>,
    path: &str,
    current: &T,
) -> Result<T, DeltaError> {
    changed.get(path).map_or_else(|| Ok(current.clone()), |text| parse_item(path, text))
}

fn parse_item<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, DeltaError> {
    serde_json::from_str(text).map_err(|_| DeltaError::InvalidItem { path: path.to_owned() })
}
