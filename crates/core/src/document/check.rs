//! Validation of the document tables: ranges, names, uniqueness and references.

use super::fault::{DocumentFault, FaultKind};
use super::ranges::{
    LIMIT_NUMBERS, NumberField, POOL_NUMBERS, SCHEDULING_NUMBERS, TIER_NUMBERS, TIERS_MAX,
    WORKSPACE_NUMBERS,
};
use super::tables::{DocumentTables, PoolConfig, PoolKind, RouteRule, WorkspaceConfig};
use std::collections::{HashMap, HashSet};
use std::hash::Hash;

/// Characters allowed in names in addition to ASCII letters and digits.
const NAME_PUNCTUATION: &str = "-_.";
/// Characters allowed in model names in addition to ASCII letters and digits.
const MODEL_PUNCTUATION: &str = "-_./:@+";
const NAME_BYTES_MAX: usize = 64;
const MODEL_BYTES_MAX: usize = 128;
const PATH_PREFIX_BYTES_MAX: usize = 256;
const SALT_BYTES_MAX: usize = 128;
const CREDENTIALS_MAX: usize = 8;
const POOLS_MAX: usize = 256;
const WORKSPACES_MAX: usize = 50_000;
const RULES_MAX: usize = 10_000;
const MODELS_MAX: usize = 256;

/// Returns all faults of the tables.
pub(super) fn check_tables(tables: &DocumentTables) -> Vec<DocumentFault> {
    let mut checker = TableChecker { faults: Vec::new() };
    checker.check_sizes(tables);
    checker.check_tiers(tables);
    let items = ItemsByName::collect(tables);
    checker.check_workspaces(tables, &items);
    checker.check_pools(tables);
    checker.check_rules(tables, &items);
    checker.check_numbers("limits", &tables.limits, LIMIT_NUMBERS);
    checker.faults
}

/// Items by name, used to check references.
struct ItemsByName<'a> {
    tiers: HashSet<&'a str>,
    workspaces: HashMap<&'a str, &'a WorkspaceConfig>,
    pools: HashMap<&'a str, &'a PoolConfig>,
}

impl<'a> ItemsByName<'a> {
    fn collect(tables: &'a DocumentTables) -> Self {
        Self {
            tiers: tables.tiers.iter().map(|tier| tier.name.as_str()).collect(),
            workspaces: tables.workspaces.iter().map(|w| (w.name.as_str(), w)).collect(),
            pools: tables.pools.iter().map(|pool| (pool.name.as_str(), pool)).collect(),
        }
    }
}

struct TableChecker {
    faults: Vec<DocumentFault>,
}

impl TableChecker {
    fn add(&mut self, path: impl Into<String>, kind: FaultKind) {
        self.faults.push(DocumentFault::new(path, kind));
    }

    fn check_sizes(&mut self, tables: &DocumentTables) {
        self.check_length("tiers", tables.tiers.len(), "tables", 1, TIERS_MAX);
        self.check_length("workspaces", tables.workspaces.len(), "tables", 0, WORKSPACES_MAX);
        self.check_length("pools", tables.pools.len(), "tables", 1, POOLS_MAX);
        self.check_length("rules", tables.rules.len(), "tables", 0, RULES_MAX);
        self.check_length(
            "credential-salt",
            tables.credential_salt.len(),
            "bytes",
            0,
            SALT_BYTES_MAX,
        );
        if !tables.credential_salt.bytes().all(|byte| byte.is_ascii_graphic()) {
            let kind =
                invalid_characters(&tables.credential_salt, "printable ASCII without spaces");
            self.add("credential-salt", kind);
        }
    }

    fn check_tiers(&mut self, tables: &DocumentTables) {
        let mut names = HashMap::new();
        let mut ranks = HashMap::new();
        for (index, tier) in tables.tiers.iter().enumerate() {
            let path = format!("tiers[{index}]");
            self.check_name(&path, &tier.name, &mut names);
            self.check_numbers(&path, tier, TIER_NUMBERS);
            self.check_unique(format!("{path}.rank"), tier.rank, &mut ranks);
        }
        let count = u8::try_from(tables.tiers.len()).unwrap_or(u8::MAX);
        if let Some(missing) = (0..count).find(|rank| !ranks.contains_key(rank)) {
            self.add("tiers", FaultKind::RankGap { missing: u32::from(missing) });
        }
    }

    fn check_workspaces(&mut self, tables: &DocumentTables, items: &ItemsByName<'_>) {
        let mut seen = HashMap::new();
        let mut digests = HashMap::new();
        for (index, workspace) in tables.workspaces.iter().enumerate() {
            let path = format!("workspaces[{index}]");
            self.check_name(&path, &workspace.name, &mut seen);
            self.check_numbers(&path, workspace, WORKSPACE_NUMBERS);
            let field = format!("{path}.credentials");
            let length = workspace.credentials.len();
            self.check_length(&field, length, "digests", 1, CREDENTIALS_MAX);
            for (position, digest) in workspace.credentials.iter().enumerate() {
                self.check_unique(format!("{field}[{position}]"), *digest, &mut digests);
            }
            let exists = |name: &str| items.pools.contains_key(name);
            self.check_references(&format!("{path}.pools"), &workspace.pools, "pool", exists);
            let exists = |name: &str| items.tiers.contains(name);
            self.check_references(&format!("{path}.tiers"), &workspace.tiers, "tier", exists);
        }
    }

    fn check_pools(&mut self, tables: &DocumentTables) {
        let mut seen = HashMap::new();
        for (index, pool) in tables.pools.iter().enumerate() {
            let path = format!("pools[{index}]");
            self.check_name(&path, &pool.name, &mut seen);
            self.check_numbers(&path, pool, POOL_NUMBERS);
            let scheduling = format!("{path}.scheduling");
            self.check_numbers(&scheduling, &pool.scheduling, SCHEDULING_NUMBERS);
            self.check_models(&format!("{path}.models"), pool);
        }
    }

    fn check_models(&mut self, path: &str, pool: &PoolConfig) {
        match (pool.kind, pool.models.is_empty()) {
            (PoolKind::Service, false) => self.add(path, FaultKind::NotForService),
            (PoolKind::Model, true) => self.add(path, FaultKind::Missing),
            _ => self.check_length(path, pool.models.len(), "models", 0, MODELS_MAX),
        }
        let mut seen = HashMap::new();
        for (position, model) in pool.models.iter().enumerate() {
            let field = format!("{path}[{position}]");
            self.check_characters(&field, model, MODEL_PUNCTUATION, MODEL_BYTES_MAX);
            self.check_unique(field, model.as_str(), &mut seen);
        }
    }

    fn check_rules(&mut self, tables: &DocumentTables, items: &ItemsByName<'_>) {
        let mut seen = HashMap::new();
        for (index, rule) in tables.rules.iter().enumerate() {
            let path = format!("rules[{index}]");
            self.check_name(&path, &rule.name, &mut seen);
            self.check_conditions(&path, rule, items);
            let exists = |name: &str| items.pools.contains_key(name);
            self.check_reference(format!("{path}.pool"), &rule.pool, "pool", exists);
            let exists = |name: &str| items.tiers.contains(name);
            self.check_reference(format!("{path}.tier"), &rule.tier, "tier", exists);
        }
    }

    fn check_conditions(&mut self, path: &str, rule: &RouteRule, items: &ItemsByName<'_>) {
        if let Some(prefix) = &rule.path_prefix {
            self.check_prefix(&format!("{path}.path-prefix"), prefix);
        }
        if let Some(method) = &rule.method
            && (method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()))
        {
            self.add(format!("{path}.method"), invalid_characters(method, "upper-case letters"));
        }
        if let (Some(model), Some(pool)) = (&rule.model, items.pools.get(rule.pool.as_str()))
            && !pool.models.contains(model)
        {
            let kind = unknown_reference(&format!("model of pool {:?}", pool.name), model);
            self.add(format!("{path}.model"), kind);
        }
        let Some(name) = &rule.workspace else { return };
        let Some(workspace) = items.workspaces.get(name.as_str()) else {
            self.add(format!("{path}.workspace"), unknown_reference("workspace", name));
            return;
        };
        let pool_exists = items.pools.contains_key(rule.pool.as_str());
        if pool_exists && !workspace.pools.contains(&rule.pool) {
            self.add(format!("{path}.pool"), not_allowed("pool", &rule.pool, name));
        }
        if items.tiers.contains(rule.tier.as_str()) && !workspace.tiers.contains(&rule.tier) {
            self.add(format!("{path}.tier"), not_allowed("tier", &rule.tier, name));
        }
    }

    fn check_prefix(&mut self, path: &str, prefix: &str) {
        self.check_length(path, prefix.len(), "bytes", 1, PATH_PREFIX_BYTES_MAX);
        let printable = prefix.bytes().all(|byte| byte.is_ascii_graphic());
        let forbidden = ["?", "#", "//", ".."].iter().any(|part| prefix.contains(part));
        if !printable || forbidden || !prefix.starts_with('/') {
            self.add(path, FaultKind::PathPrefix { value: prefix.to_owned() });
        }
    }

    fn check_name<'a>(&mut self, path: &str, name: &'a str, seen: &mut HashMap<&'a str, String>) {
        let field = format!("{path}.name");
        if self.check_characters(&field, name, NAME_PUNCTUATION, NAME_BYTES_MAX) {
            self.check_unique(field, name, seen);
        }
    }

    /// Checks the length and the characters of a name. Returns false if the name is empty.
    fn check_characters(&mut self, path: &str, name: &str, punctuation: &str, max: usize) -> bool {
        if name.is_empty() {
            self.add(path, FaultKind::Missing);
            return false;
        }
        self.check_length(path, name.len(), "bytes", 1, max);
        if !name
            .chars()
            .all(|character| character.is_ascii_alphanumeric() || punctuation.contains(character))
        {
            self.add(
                path,
                invalid_characters(name, &format!("letters, digits and `{punctuation}`")),
            );
        }
        true
    }

    fn check_unique<K: Eq + Hash>(&mut self, path: String, key: K, seen: &mut HashMap<K, String>) {
        if let Some(first) = seen.get(&key) {
            let first = first.clone();
            self.add(path, FaultKind::Duplicate { first });
        } else {
            seen.insert(key, path);
        }
    }

    fn check_references(
        &mut self,
        path: &str,
        references: &[String],
        item: &str,
        exists: impl Fn(&str) -> bool,
    ) {
        if references.is_empty() {
            self.add(path, FaultKind::Missing);
        }
        let mut seen = HashMap::new();
        for (position, name) in references.iter().enumerate() {
            let field = format!("{path}[{position}]");
            self.check_reference(field.clone(), name, item, &exists);
            self.check_unique(field, name.as_str(), &mut seen);
        }
    }

    fn check_reference(
        &mut self,
        path: String,
        name: &str,
        item: &str,
        exists: impl Fn(&str) -> bool,
    ) {
        if name.is_empty() {
            self.add(path, FaultKind::Missing);
        } else if !exists(name) {
            self.add(path, unknown_reference(item, name));
        }
    }

    fn check_length(&mut self, path: &str, length: usize, unit: &str, min: usize, max: usize) {
        if !(min..=max).contains(&length) {
            self.add(path, FaultKind::Length { length, unit: unit.to_owned(), min, max });
        }
    }

    fn check_numbers<T>(&mut self, path: &str, item: &T, fields: &[NumberField<T>]) {
        for field in fields {
            let value = (field.get)(item);
            if !(field.min..=field.max).contains(&value) {
                let (value, min, max) = (value.into(), field.min.into(), field.max.into());
                let kind = FaultKind::OutOfRange { value, min, max };
                self.add(format!("{path}.{}", field.key), kind);
            }
        }
    }
}

fn invalid_characters(value: &str, allowed: &str) -> FaultKind {
    FaultKind::Characters { value: value.to_owned(), allowed: allowed.to_owned() }
}

fn unknown_reference(item: &str, name: &str) -> FaultKind {
    FaultKind::UnknownReference { item: item.to_owned(), name: name.to_owned() }
}

fn not_allowed(item: &str, name: &str, workspace: &str) -> FaultKind {
    let (item, name, workspace) = (item.to_owned(), name.to_owned(), workspace.to_owned());
    FaultKind::NotAllowed { item, name, workspace }
}
