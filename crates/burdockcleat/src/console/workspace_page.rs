//! Pagination of the workspaces in the configuration form.
//!
//! A form with all 7,100 workspaces would have 50,000 inputs, so a page shows 100 of them. A post
//! contains only these; the others keep the values of the version that the post is based on.

use super::FormFields;
use super::fields::{field_name, form_fields, split_name};
use burdockcleat_core::document::ConfigDocument;
use std::collections::{BTreeMap, BTreeSet};

/// Number of workspaces on a page.
pub const ROWS_PER_PAGE: usize = 100;
/// Name of the section that is shown in pages.
pub(super) const PAGED_SECTION: &str = "workspaces";

/// Workspaces that a page shows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkspacePage {
    /// Text that the workspace names contain; empty for all workspaces.
    pub search: String,
    /// Page number, starting at 1.
    pub number: usize,
    /// Number of pages for the workspaces whose names contain the text.
    pub page_count: usize,
    /// Number of workspaces in the document, shown or not. New rows are numbered after them.
    pub total_rows: usize,
    /// Indexes of the workspaces that the page shows.
    pub rows: BTreeSet<usize>,
}

impl WorkspacePage {
    /// Selects a page of the workspaces whose names contain a text, ignoring case.
    ///
    /// A page number out of range selects the nearest page.
    pub fn select(document: &ConfigDocument, search: &str, number: usize) -> Self {
        let search = search.trim();
        let pattern = search.to_lowercase();
        let workspaces = document.workspaces().iter().enumerate();
        let found: Vec<usize> = workspaces
            .filter(|(_, workspace)| workspace.name.to_lowercase().contains(&pattern))
            .map(|(index, _)| index)
            .collect();
        let page_count = found.len().div_ceil(ROWS_PER_PAGE).max(1);
        let number = number.clamp(1, page_count);
        let rows =
            found.into_iter().skip((number - 1) * ROWS_PER_PAGE).take(ROWS_PER_PAGE).collect();
        let total_rows = document.workspaces().len();
        Self { search: search.to_owned(), number, page_count, total_rows, rows }
    }

    /// Returns the form fields of a document without the workspaces that the page does not show.
    pub fn fields(&self, document: &ConfigDocument) -> FormFields {
        let is_shown =
            |name: &str| paged_row(name).is_none_or(|(index, _)| self.rows.contains(&index));
        form_fields(document).into_iter().filter(|(name, _)| is_shown(name)).collect()
    }
}

/// Adds the workspaces that a post does not contain, as they are in its base document.
pub fn with_hidden_rows(base: &ConfigDocument, posted: FormFields) -> FormFields {
    let posted_rows = paged_rows(&posted);
    let hidden = form_fields(base).into_iter().filter(|(name, _)| {
        paged_row(name).is_some_and(|(index, _)| !posted_rows.contains(&index))
    });
    posted.into_iter().chain(hidden).collect()
}

/// Renumbers the workspace rows of a post for another version, whose rows may have moved.
///
/// A row is matched to the workspace of the other version that has the name of the row's workspace
/// in the base. Rows without a match and new rows are placed after the rows of the other version.
/// Other fields stay as posted.
pub fn rebase_fields(
    base: &ConfigDocument,
    current: &ConfigDocument,
    posted: &[(String, String)],
) -> FormFields {
    let mut next = current.workspaces().len();
    let position = |index: usize| {
        let name = &base.workspaces().get(index)?.name;
        current.workspaces().iter().position(|workspace| workspace.name == *name)
    };
    let mut new_indexes = BTreeMap::new();
    for index in paged_rows(posted) {
        let new_index = position(index).unwrap_or_else(|| {
            next += 1;
            next - 1
        });
        new_indexes.insert(index, new_index);
    }
    let rename = |name: &str| match paged_row(name) {
        Some((index, key)) => field_name(PAGED_SECTION, new_indexes[&index], key),
        None => name.to_owned(),
    };
    posted.iter().map(|(name, value)| (rename(name), value.clone())).collect()
}

/// Returns the indexes of the workspace rows in a form.
fn paged_rows(fields: &[(String, String)]) -> BTreeSet<usize> {
    fields.iter().filter_map(|(name, _)| paged_row(name)).map(|(index, _)| index).collect()
}

/// Returns the row index and key of a workspace field, or `None` for another field.
fn paged_row(name: &str) -> Option<(usize, &str)> {
    split_name(name)
        .filter(|(section, ..)| *section == PAGED_SECTION)
        .map(|(_, index, key)| (index, key))
}
