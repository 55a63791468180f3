//! Deltas between documents and lists of their changes.

#[path = "support/documents.rs"]
mod documents;

use burdockcleat_core::document::{ConfigDocument, DeltaError, DocumentChange, DocumentDelta};
use documents::document;
use proptest::prelude::*;

const BUREAU: &str = include_str!("../../../examples/bureau.toml");

proptest! {
    // Guards against a delta that gives an entry a different configuration than the leader has.
    #[test]
    fn a_delta_produces_the_newer_document(old in document(), new in document()) {
        let delta = DocumentDelta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old), Ok(new.clone()));
        prop_assert_eq!(DocumentDelta::since(&old.item_hashes(), &new), delta);
        let none = DocumentDelta::between(&new, &new);
        prop_assert!(none.changed.is_empty() && none.removed.is_empty());
    }

    // Guards against a field that is missing from the TOML text, and against a change that is not
    // listed.
    #[test]
    fn text_and_changes_cover_every_field(old in document(), new in document()) {
        prop_assert_eq!(ConfigDocument::parse(&old.to_toml()), Ok(old.clone()));
        prop_assert_eq!(old.changes_to(&new).is_empty(), old == new);
        prop_assert!(old.changes_to(&old).is_empty());
    }

    // Guards against a credential lookup that returns the wrong workspace.
    #[test]
    fn every_digest_belongs_to_its_workspace(document in document()) {
        let unsalted = {
            let mut tables = document.tables().clone();
            tables.credential_salt = "a".to_owned();
            ConfigDocument::build(tables).expect("a valid document")
        };
        // The generator uses the name of the workspace as the salt of its digests.
        for credential in ["0", "1", "2", "3"] {
            let expected = unsalted.workspace("a").filter(|workspace| {
                credential.parse::<usize>().expect("a number") < workspace.credentials.len()
            });
            prop_assert_eq!(unsalted.workspace_by_credential(credential), expected);
        }
    }
}

/// Returns the example document with the first occurrence of `from` replaced by `to`.
fn bureau(from: &str, to: &str) -> ConfigDocument {
    ConfigDocument::parse(&BUREAU.replacen(from, to, 1)).expect("a valid document")
}

// Guards against a delta that is applied to the wrong version or was damaged in transit.
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

// Guards against a changed rule that moves to a different position. The first matching rule is
// used, so that would change the routing.
#[test]
fn a_changed_rule_keeps_its_position() {
    let (old, new) = (bureau("", ""), bureau("method = \"GET\"", "method = \"HEAD\""));
    let delta = DocumentDelta::between(&old, &new);
    assert_eq!(delta.changed.len(), 1);
    assert_eq!(delta.apply(&old), Ok(new));
}

// Guards against a change that is listed without the path of the field, the old or the new value.
#[test]
fn changes_contain_path_old_and_new_value() {
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
