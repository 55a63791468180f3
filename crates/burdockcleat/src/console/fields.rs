//! Form fields for each section of the configuration document.

use super::FormFields;
use burdockcleat_core::document::ranges::{
    LIMIT_NUMBERS, NumberField, POOL_NUMBERS, SCHEDULING_NUMBERS, TIER_NUMBERS, WORKSPACE_NUMBERS,
};
use burdockcleat_core::document::{ConfigDocument, RoutingChoice};
use serde_json::Value;
use std::sync::LazyLock;

/// Key of the form field that marks a row for removal. The document has no such key.
pub(super) const REMOVE_KEY: &str = "remove";
/// Key of the form field that sets the order of the rules. The document has no such key.
pub(super) const PLACE_KEY: &str = "place";
/// Name of the section with the limits, which is a table and not a list.
pub(super) const LIMITS_SECTION: &str = "limits";
/// Name of the section with the rules, the only list whose order matters.
pub(super) const RULES_SECTION: &str = "rules";
/// Path of the credential salt.
pub(super) const CREDENTIAL_SALT: &str = "credential-salt";

/// Type of a form field, which decides how it is rendered and parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FieldKind {
    /// One line of text.
    Text,
    /// A whole number in a range.
    Number { min: u32, max: u32 },
    /// A list of words, separated by commas or white space.
    WordList,
    /// A list of words, shown one per line.
    LineList,
    /// One of these words, or empty for the default.
    Choice(&'static [&'static str]),
    /// `true`, `false` or empty for the default.
    OptionalBool,
}

/// Key and type of a form field.
#[derive(Clone, Copy, Debug)]
pub(super) struct FormField {
    pub key: &'static str,
    pub kind: FieldKind,
}

/// Section of the document that is a list of tables, shown as one form row per table.
pub(super) struct FormSection {
    pub name: &'static str,
    pub title: &'static str,
    pub fields: Vec<FormField>,
}

/// Creates a form field.
const fn field(key: &'static str, kind: FieldKind) -> FormField {
    FormField { key, kind }
}

/// Creates a form field for each number field of a document table, with the same range.
fn numbers<T>(fields: &'static [NumberField<T>]) -> impl Iterator<Item = FormField> {
    fields
        .iter()
        .map(|number| field(number.key, FieldKind::Number { min: number.min, max: number.max }))
}

/// Creates the form fields for the scheduling table of a pool, with paths within the pool as keys.
fn scheduling_fields() -> impl Iterator<Item = FormField> {
    let switches = [
        "scheduling.prefix-term",
        "scheduling.preemption",
        "scheduling.fair-share",
        "scheduling.deadline-order",
        "scheduling.straggler-avoidance",
        "scheduling.computing-wait",
        "scheduling.overtaking",
        "scheduling.tiered-shedding",
    ];
    let keys = [
        "scheduling.prefill-weight-percent",
        "scheduling.cache-wait-percent",
        "scheduling.slack-wait-percent",
        "scheduling.failure-limit",
    ];
    let numbers = keys.into_iter().filter_map(|key| {
        let number = SCHEDULING_NUMBERS.iter().find(|number| key.ends_with(number.key))?;
        Some(field(key, FieldKind::Number { min: number.min, max: number.max }))
    });
    std::iter::once(field("scheduling.routing", FieldKind::Choice(&RoutingChoice::NAMES)))
        .chain(switches.map(|key| field(key, FieldKind::OptionalBool)))
        .chain(numbers)
}

/// Form fields of the limits section.
pub(super) static LIMIT_FIELDS: LazyLock<Vec<FormField>> =
    LazyLock::new(|| numbers(LIMIT_NUMBERS).collect());

/// Sections that are lists, in the order of the page.
pub(super) static SECTIONS: LazyLock<[FormSection; 4]> = LazyLock::new(sections);

fn sections() -> [FormSection; 4] {
    use FieldKind::{Choice, LineList, Number, OptionalBool, Text, WordList};
    let name = || std::iter::once(field("name", Text));
    let place = field(PLACE_KEY, Number { min: 1, max: u32::MAX });
    let text_keys = ["workspace", "path-prefix", "model", "method", "pool", "tier"];
    [
        FormSection {
            name: "tiers",
            title: "Tiers",
            fields: name().chain(numbers(TIER_NUMBERS)).collect(),
        },
        FormSection {
            name: "workspaces",
            title: "Workspaces",
            fields: name()
                .chain([field("credentials", LineList)])
                .chain(numbers(WORKSPACE_NUMBERS))
                .chain([field("pools", WordList), field("tiers", WordList)])
                .collect(),
        },
        FormSection {
            name: "pools",
            title: "Pools",
            fields: name()
                .chain([field("kind", Choice(&["model", "service"])), field("models", WordList)])
                .chain(numbers(POOL_NUMBERS))
                .chain(scheduling_fields())
                .collect(),
        },
        FormSection {
            name: RULES_SECTION,
            title: "Rules",
            fields: [place]
                .into_iter()
                .chain(name())
                .chain(text_keys.map(|key| field(key, Text)))
                .chain([field("idempotent", OptionalBool)])
                .collect(),
        },
    ]
}

/// Returns the fields and values that an unchanged form of the document would post.
pub fn form_fields(document: &ConfigDocument) -> FormFields {
    // Serialization fails only for maps whose keys are not strings; the document has none.
    let value = serde_json::to_value(document).unwrap_or_default();
    let mut fields =
        vec![(CREDENTIAL_SALT.to_owned(), field_text(&value[CREDENTIAL_SALT], FieldKind::Text))];
    for limit in LIMIT_FIELDS.iter() {
        let text = field_text(&value[LIMITS_SECTION][limit.key], limit.kind);
        fields.push((format!("{LIMITS_SECTION}.{}", limit.key), text));
    }
    for section in SECTIONS.iter() {
        let rows = value[section.name].as_array().map(Vec::as_slice).unwrap_or_default();
        for (index, row) in rows.iter().enumerate() {
            for field in &section.fields {
                let text = match field.key {
                    PLACE_KEY => (index + 1).to_string(),
                    key => field_text(value_at(row, key), field.kind),
                };
                fields.push((field_name(section.name, index, field.key), text));
            }
        }
    }
    fields
}

/// Returns the value at a dotted path of keys within a row.
fn value_at<'a>(row: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(row, |value, key| &value[key])
}

/// Returns the name of a form field in a row, such as `workspaces[2].weight`.
pub(super) fn field_name(section: &str, index: usize, key: &str) -> String {
    format!("{section}[{index}].{key}")
}

/// Splits the name of a form field in a row into section, row index and key.
pub(super) fn split_name(name: &str) -> Option<(&str, usize, &str)> {
    let (section, rest) = name.split_once('[')?;
    let (index, key) = rest.split_once("].")?;
    Some((section, index.parse().ok()?, key))
}

/// Formats a document value as the text of a form field.
fn field_text(value: &Value, kind: FieldKind) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(items) => {
            let items: Vec<&str> = items.iter().filter_map(Value::as_str).collect();
            items.join(if kind == FieldKind::LineList { "\n" } else { ", " })
        }
        other => other.to_string(),
    }
}
