//! Deltas and changes between documents.

#[path = "support/documents.rs"]
mod documents;

use burdockcleat_core::document::{ConfigDocument, DeltaError, DocumentChange, DocumentDelta};
use documents::document;
use proptest::prelude::*;

const BUREAU: &str = include_str!("../../../examples/bureau.toml");

proptest! {
    // Guards against entries whose configuration differs from the leader's after a delta.
    #[test]
    fn a_delta_leads_to_the_newer_document(old in document(), new in document()) {
        let delta = DocumentDelta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old), Ok(new.clone()));
        prop_assert_eq!(DocumentDelta::since(&old.items(), &new), delta);
        let none = DocumentDelta::between(&new, &new);
        prop_assert!(none.changed.is_empty() && none.removed.is_empty());
    }

    // Guards against text that loses a field, and against a difference that is not shown.
    #[test]
    fn text_and_changes_cover_every_field(old in document(), new in document()) {
        prop_assert_eq!(ConfigDocument::parse(&old.to_toml()), Ok(old.clone()));
        prop_assert_eq!(old.changes_to(&new).is_empty(), old == new);
        prop_assert!(old.changes_to(&old).is_empty());
    }

    // Guards against a credential lookup that finds another workspace.
    #[test]
    fn every_digest_belongs_to_its_workspace(document in document()) {
        let unsalted = {
            let mut tables = document.tables().clone();
            tables.credential_salt = "a".to_owned();
            ConfigDocument::build(tables).expect("a valid document")
        };
        // The generator salts each digest with the name of its workspace.
        for credential in ["0", "1", "2", "3"] {
            let expected = unsalted.workspace("a").filter(|workspace| {
                credential.parse::<usize>().expect("a number") < workspace.credentials.len()
            });
            prop_assert_eq!(unsalted.workspace_by_credential(credential), expected);
        }
    }
}

fn bureau(from: &str, to: &str) -> ConfigDocument {
    ConfigDocument::parse(&BUREAU.replacen(from, to, 1)).expect("a valid document")
}

// Guards against a delta that is applied to another version or was damaged on the way.
#[test]
fn a_delta_for_another_document_is_refused() {
    let (old, new) = (bureau("", ""), bureau("weight = 8", "weight = 9"));
    let delta = DocumentDelta::between(&old, &new);
    assert_eq!(delta.changed.len(), 1);
    assert!(matches!(delta.apply(&new), Err(DeltaError::BaseMismatch { .. })));
    let mut damaged = delta.clone();
    damaged.changed[0].1 = damaged.changed[0].1.replace("\"weight\":9", "\"weight\":7");
    assert!(matches!(damaged.apply(&old), Err(DeltaError::ResultMismatch { .. })));
    damaged.changed[0].1.pop();
    assert!(matches!(damaged.apply(&old), Err(DeltaError::InvalidItem { .. })));
}

// Guards against a changed rule that loses its place: the first match decides.
#[test]
fn a_changed_rule_keeps_its_place() {
    let (old, new) = (bureau("", ""), bureau("method = \"GET\"", "method = \"HEAD\""));
    let delta = DocumentDelta::between(&old, &new);
    assert_eq!(delta.changed.len(), 1);
    assert_eq!(delta.apply(&old), Ok(new));
}

// Guards against a difference that does not name the field or hides a value.
#[test]
fn changes_name_field_old_and_new_value() {
    let changes = bureau("", "").changes_to(&bureau("weight = 8", "weight = 9"));
    let path = "workspaces.provincial-depots.weight".to_owned();
    let expected = DocumentChange::Changed { path, old: "8".to_owned(), new: "9".to_owned() };
    assert_eq!(changes, [expected]);
    assert_eq!(changes[0].to_string(), "~ workspaces.provincial-depots.weight: 8 -> 9");
    let moved = bureau("name = \"enquiries\"", "name = \"questions\"");
    let shown: Vec<String> =
        bureau("", "").changes_to(&moved).iter().map(ToString::to_string).collect();
    assert_eq!(shown.len(), 3, "{shown:?}");
    assert!(shown[0].starts_with("- rules.enquiries = {"));
    assert!(shown[1].starts_with("+ rules.questions = {"));
    assert!(shown[2].starts_with("~ rules: ["));
}
