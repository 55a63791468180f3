//! The fields of the form, by section of the document.

use super::FormFields;
use burdockcleat_core::document::ranges::{
    LIMIT_NUMBERS, NumberField, POOL_NUMBERS, SCHEDULING_NUMBERS, TIER_NUMBERS, WORKSPACE_NUMBERS,
};
use burdockcleat_core::document::{ConfigDocument, RoutingChoice};
use serde_json::Value;
use std::sync::LazyLock;

/// Key of the form field that removes a row. The document has no such key.
pub(super) const REMOVE: &str = "remove";
/// Key of the form field that orders the rules. The document has no such key.
pub(super) const PLACE: &str = "place";
/// Section of the fields that stand outside of the lists.
pub(super) const LIMITS: &str = "limits";
/// Section whose order has a meaning.
pub(super) const RULES: &str = "rules";
/// Path of the salt.
pub(super) const SALT: &str = "credential-salt";

/// How a field is shown and read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FieldKind {
    /// One line of text.
    Text,
    /// A whole number in a range.
    Number { min: u32, max: u32 },
    /// Several names, separated by commas or spaces.
    Names,
    /// Several texts, one in a line.
    Lines,
    /// One of these words, or nothing for the default.
    Choice(&'static [&'static str]),
    /// `true`, `false` or nothing.
    Decision,
}

/// A field of a section.
#[derive(Clone, Copy, Debug)]
pub(super) struct FormField {
    pub key: &'static str,
    pub kind: FieldKind,
}

/// A list of tables.
pub(super) struct FormSection {
    pub name: &'static str,
    pub title: &'static str,
    pub fields: Vec<FormField>,
}

const fn field(key: &'static str, kind: FieldKind) -> FormField {
    FormField { key, kind }
}

fn numbers<T>(fields: &'static [NumberField<T>]) -> impl Iterator<Item = FormField> {
    fields
        .iter()
        .map(|number| field(number.key, FieldKind::Number { min: number.min, max: number.max }))
}

/// Fields of the table of scheduling in a pool; their keys are paths within the pool.
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
        .chain(switches.map(|key| field(key, FieldKind::Decision)))
        .chain(numbers)
}

/// Fields of the limits.
pub(super) static LIMIT_FIELDS: LazyLock<Vec<FormField>> =
    LazyLock::new(|| numbers(LIMIT_NUMBERS).collect());

/// The lists in the order of the page.
pub(super) static SECTIONS: LazyLock<[FormSection; 4]> = LazyLock::new(sections);

fn sections() -> [FormSection; 4] {
    use FieldKind::{Choice, Decision, Lines, Names, Number, Text};
    let name = || std::iter::once(field("name", Text));
    let place = field(PLACE, Number { min: 1, max: u32::MAX });
    let matched = ["workspace", "path-prefix", "model", "method", "pool", "tier"];
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
                .chain([field("credentials", Lines)])
                .chain(numbers(WORKSPACE_NUMBERS))
                .chain([field("pools", Names), field("tiers", Names)])
                .collect(),
        },
        FormSection {
            name: "pools",
            title: "Pools",
            fields: name()
                .chain([field("kind", Choice(&["model", "service"])), field("models", Names)])
                .chain(numbers(POOL_NUMBERS))
                .chain(scheduling_fields())
                .collect(),
        },
        FormSection {
            name: RULES,
            title: "Rules",
            fields: [place]
                .into_iter()
                .chain(name())
                .chain(matched.map(|key| field(key, Text)))
                .chain([field("idempotent", Decision)])
                .collect(),
        },
    ]
}

/// The fields of a document, as a form without changes posts them.
pub fn form_fields(document: &ConfigDocument) -> FormFields {
    // Encoding fails only for maps with keys that are no strings; the document has none.
    let value = serde_json::to_value(document).unwrap_or_default();
    let mut fields = vec![(SALT.to_owned(), field_text(&value[SALT], FieldKind::Text))];
    for limit in LIMIT_FIELDS.iter() {
        let text = field_text(&value[LIMITS][limit.key], limit.kind);
        fields.push((format!("{LIMITS}.{}", limit.key), text));
    }
    for section in SECTIONS.iter() {
        let rows = value[section.name].as_array().map(Vec::as_slice).unwrap_or_default();
        for (index, row) in rows.iter().enumerate() {
            for field in &section.fields {
                let text = match field.key {
                    PLACE => (index + 1).to_string(),
                    key => field_text(value_at(row, key), field.kind),
                };
                fields.push((field_name(section.name, index, field.key), text));
            }
        }
    }
    fields
}

/// Value at a path of keys within a row.
fn value_at<'a>(row: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(row, |value, key| &value[key])
}

/// Name of a field in a row.
pub(super) fn field_name(section: &str, index: usize, key: &str) -> String {
    format!("{section}[{index}].{key}")
}

/// Splits the name of a field in a row into section, index and key.
pub(super) fn split_name(name: &str) -> Option<(&str, usize, &str)> {
    let (section, rest) = name.split_once('[')?;
    let (index, key) = rest.split_once("].")?;
    Some((section, index.parse().ok()?, key))
}

fn field_text(value: &Value, kind: FieldKind) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(items) => {
            let items: Vec<&str> = items.iter().filter_map(Value::as_str).collect();
            items.join(if kind == FieldKind::Lines { "\n" } else { ", " })
        }
        other => other.to_string(),
    }
}
