//! Part of the workspaces that a page shows, and what a post means for the others.
//!
//! A page of all 7,100 workspaces would have 50,000 inputs. A page shows 100 of them; a post
//! carries these only, and the others keep the values of the version that the post is based on.

use super::FormFields;
use super::fields::{field_name, form_fields, split_name};
use burdockcleat_core::document::ConfigDocument;
use std::collections::{BTreeMap, BTreeSet};

/// Workspaces on one page.
pub const ROWS_PER_PAGE: usize = 100;
/// Section whose rows are shown in pages.
pub(super) const PAGED_SECTION: &str = "workspaces";

/// The workspaces that a page shows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkspacePage {
    /// Text that the names contain; empty for all.
    pub search: String,
    /// Number of the page, from 1.
    pub number: usize,
    /// Pages of workspaces whose names contain the text.
    pub page_count: usize,
    /// Rows of the document, shown or not. New rows come after them.
    pub total_rows: usize,
    /// Rows that the page shows.
    pub rows: BTreeSet<usize>,
}

impl WorkspacePage {
    /// Selects a page of the workspaces whose names contain a text, regardless of case.
    pub fn select(document: &ConfigDocument, search: &str, number: usize) -> Self {
        let search = search.trim();
        let wanted = search.to_lowercase();
        let workspaces = document.workspaces().iter().enumerate();
        let found: Vec<usize> = workspaces
            .filter(|(_, workspace)| workspace.name.to_lowercase().contains(&wanted))
            .map(|(index, _)| index)
            .collect();
        let page_count = found.len().div_ceil(ROWS_PER_PAGE).max(1);
        let number = number.clamp(1, page_count);
        let rows =
            found.into_iter().skip((number - 1) * ROWS_PER_PAGE).take(ROWS_PER_PAGE).collect();
        let total_rows = document.workspaces().len();
        Self { search: search.to_owned(), number, page_count, total_rows, rows }
    }

    /// The fields of a document without the workspaces that the page does not show.
    pub fn fields(&self, document: &ConfigDocument) -> FormFields {
        let shown =
            |name: &str| paged_row(name).is_none_or(|(index, _)| self.rows.contains(&index));
        form_fields(document).into_iter().filter(|(name, _)| shown(name)).collect()
    }
}

/// Adds the workspaces that a post does not carry, as they are in the document it is based on.
pub fn with_hidden_rows(base: &ConfigDocument, posted: FormFields) -> FormFields {
    let carried = paged_rows(&posted);
    let unshown = form_fields(base)
        .into_iter()
        .filter(|(name, _)| paged_row(name).is_some_and(|(index, _)| !carried.contains(&index)));
    posted.into_iter().chain(unshown).collect()
}

/// Carries the workspaces of a post over to another version, whose rows may have moved.
///
/// A row of the base stands for the workspace that had its name there. Rows whose workspace is
/// gone, and new rows, come after the rows of the other version. Other fields stay as posted.
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
    let mut places = BTreeMap::new();
    for index in paged_rows(posted) {
        let place = position(index).unwrap_or_else(|| {
            next += 1;
            next - 1
        });
        places.insert(index, place);
    }
    let rename = |name: &str| match paged_row(name) {
        Some((index, key)) => field_name(PAGED_SECTION, places[&index], key),
        None => name.to_owned(),
    };
    posted.iter().map(|(name, value)| (rename(name), value.clone())).collect()
}

/// Rows of the paged section that a form carries.
fn paged_rows(fields: &[(String, String)]) -> BTreeSet<usize> {
    fields.iter().filter_map(|(name, _)| paged_row(name)).map(|(index, _)| index).collect()
}

fn paged_row(name: &str) -> Option<(usize, &str)> {
    split_name(name)
        .filter(|(section, ..)| *section == PAGED_SECTION)
        .map(|(_, index, key)| (index, key))
}
