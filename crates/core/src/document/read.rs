//! Deserialises TOML into tables and collects all syntax and type errors.
//!
//! A document without such errors is deserialised in one pass. Otherwise each key of each table is
//! deserialised separately, so that one error does not hide the others.

use super::fault::{DocumentFault, FaultKind};
use super::ranges::{
    LIMIT_NUMBERS, NumberField, POOL_NUMBERS, SCHEDULING_NUMBERS, TIER_NUMBERS, WORKSPACE_NUMBERS,
};
use super::tables::{DocumentTables, PoolConfig};
use serde::Serialize;
use serde::de::DeserializeOwned;
use toml::{Table, Value};

/// Reads TOML text. The tables contain the fields that could be read, and the faults describe the
/// rest.
pub(super) fn read_text(text: &str) -> (DocumentTables, Vec<DocumentFault>) {
    if let Ok(tables) = toml::from_str(text) {
        return (tables, Vec::new());
    }
    match text.parse::<Table>() {
        Ok(table) => read_table(table),
        Err(error) => (DocumentTables::default(), vec![syntax_fault(text, &error)]),
    }
}

fn syntax_fault(text: &str, error: &toml::de::Error) -> DocumentFault {
    let offset = error.span().map_or(0, |span| span.start.min(text.len()));
    let before = text.get(..offset).unwrap_or_default();
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|character| *character != '\n').count() + 1;
    // `Display` of the parser error quotes the line, which may contain a credential.
    let message = error.message().to_owned();
    DocumentFault::new("", FaultKind::Syntax { line, column, message })
}

/// Reads a parsed TOML table.
pub(super) fn read_table(mut table: Table) -> (DocumentTables, Vec<DocumentFault>) {
    let mut reader = TableReader { faults: Vec::new() };
    let tables = DocumentTables {
        tiers: reader.read_list(&mut table, "tiers", &ranges(TIER_NUMBERS)),
        workspaces: reader.read_list(&mut table, "workspaces", &ranges(WORKSPACE_NUMBERS)),
        pools: reader.read_pools(&mut table),
        rules: reader.read_list(&mut table, "rules", &[]),
        limits: table.remove("limits").map_or_else(Default::default, |value| {
            reader.read_item(value, "limits", &ranges(LIMIT_NUMBERS))
        }),
        ..reader.read_item(Value::Table(table), "", &[])
    };
    (tables, reader.faults)
}

/// Key, minimum and maximum of a numeric field.
type KeyRange = (&'static str, i64, i64);

fn ranges<T>(fields: &[NumberField<T>]) -> Vec<KeyRange> {
    fields.iter().map(|field| (field.key, i64::from(field.min), i64::from(field.max))).collect()
}

struct TableReader {
    faults: Vec<DocumentFault>,
}

impl TableReader {
    fn read_list<T>(&mut self, table: &mut Table, key: &str, ranges: &[KeyRange]) -> Vec<T>
    where
        T: DeserializeOwned + Serialize + Default,
    {
        match table.remove(key) {
            None => Vec::new(),
            Some(Value::Array(values)) => values
                .into_iter()
                .enumerate()
                .map(|(index, value)| self.read_item(value, &format!("{key}[{index}]"), ranges))
                .collect(),
            Some(_) => {
                self.add_shape_fault(
                    key.to_owned(),
                    format!("expected a list of tables `[[{key}]]`"),
                );
                Vec::new()
            }
        }
    }

    /// Reads the pools. The scheduling table of each pool is read separately, so that its faults
    /// have the path of the field.
    fn read_pools(&mut self, table: &mut Table) -> Vec<PoolConfig> {
        let mut tables = Vec::new();
        if let Some(Value::Array(pools)) = table.get_mut("pools") {
            tables = pools
                .iter_mut()
                .map(|pool| pool.as_table_mut().and_then(|pool| pool.remove("scheduling")))
                .collect();
        }
        let mut pools: Vec<PoolConfig> = self.read_list(table, "pools", &ranges(POOL_NUMBERS));
        for (index, (pool, value)) in pools.iter_mut().zip(tables).enumerate() {
            if let Some(value) = value {
                let path = format!("pools[{index}].scheduling");
                pool.scheduling = self.read_item(value, &path, &ranges(SCHEDULING_NUMBERS));
            }
        }
        pools
    }

    fn read_item<T>(&mut self, value: Value, path: &str, ranges: &[KeyRange]) -> T
    where
        T: DeserializeOwned + Serialize + Default,
    {
        let Value::Table(table) = value else {
            self.add_shape_fault(path.to_owned(), "expected a table".to_owned());
            return T::default();
        };
        if let Ok(item) = table.clone().try_into() {
            return item;
        }
        let readable: Table = table
            .into_iter()
            .filter(|(key, value)| self.check_key::<T>(path, key, value, ranges))
            .collect();
        readable.try_into().unwrap_or_default()
    }

    /// Returns whether the key can be deserialised; if not, adds a fault.
    fn check_key<T>(&mut self, path: &str, key: &str, value: &Value, ranges: &[KeyRange]) -> bool
    where
        T: DeserializeOwned,
    {
        let single = Table::from_iter([(key.to_owned(), value.clone())]);
        let Err(error) = single.try_into::<T>() else {
            return true;
        };
        let field_path = if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
        let range = ranges.iter().find(|(name, ..)| *name == key);
        match (value, range) {
            (Value::Integer(number), Some(&(_, min, max))) => self.faults.push(DocumentFault::new(
                field_path,
                FaultKind::OutOfRange { value: *number, min, max },
            )),
            (_, Some((_, min, max))) => {
                let found = value.type_str();
                self.add_shape_fault(field_path, format!("is a {found}; expected an integer from {min} to {max}"));
            }
            // The message of serde would quote a plaintext credential.
            _ if key == "credentials" => self.add_shape_fault(
                field_path,
                "expected a list of `sha256:` digests with 64 hex digits, never a credential itself"
                    .to_owned(),
            ),
            _ => self.add_shape_fault(field_path, error.message().to_owned()),
        }
        false
    }

    fn add_shape_fault(&mut self, path: String, message: String) {
        self.faults.push(DocumentFault::new(path, FaultKind::Shape { message }));
    }
}
