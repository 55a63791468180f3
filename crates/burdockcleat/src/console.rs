//! Web console: renders the configuration document as an HTML form and parses the posted form.
//!
//! All functions are pure; the control daemon serves the pages. Each form field is named by its
//! path in the document, such as `workspaces[2].weight`, which matches a fault to its field.

mod csrf;
mod fields;
mod overview;
mod page;
mod read;
mod workspace_page;

pub use csrf::{ConsolePost, CsrfToken, PostRefusal, check_origin, check_post};
pub use fields::form_fields;
pub use overview::{render_changes, render_history, render_status};
pub use page::{render_login, render_notice, render_page, render_refusal};
pub use read::read_form;
pub use workspace_page::{ROWS_PER_PAGE, WorkspacePage, rebase_fields, with_hidden_rows};

use burdockcleat_core::document::{ConfigDocument, DocumentChange, DocumentFault};

/// Name of the hidden field with the version that the edit started from.
pub const BASE_VERSION_FIELD: &str = "base-version";
/// Name of the hidden field with the operation id.
pub const OPERATION_ID_FIELD: &str = "operation-id";
/// Name of the hidden field with the CSRF token.
pub const CSRF_TOKEN_FIELD: &str = "form-token";
/// Name of the hidden field and of the search field with the text to search workspace names for.
pub const SEARCH_FIELD: &str = "search";
/// Name of the hidden field with the page number.
pub const PAGE_FIELD: &str = "page";
/// Name of the login form's field with the operator token.
pub const LOGIN_TOKEN_FIELD: &str = "operator-token";
/// Name of the query parameter with the version whose changes are shown.
pub const VERSION_PARAMETER: &str = "version";
/// Name of the field with the author.
pub const AUTHOR_FIELD: &str = "author";

/// Value of the `content-security-policy` header of every console page.
pub const CONTENT_SECURITY_POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'; \
     form-action 'self'; frame-ancestors 'none'; base-uri 'none'";

/// Names and values of form fields, in order.
pub type FormFields = Vec<(String, String)>;

/// Contents of the configuration page.
#[derive(Clone, Debug)]
pub struct ConsoleView {
    /// Version that the next post will be based on.
    pub base_version: u64,
    /// Operation id of the next post. Every rendered page has a new one, except after
    /// [`ConsoleOutcome::Unknown`], when the post must be resent with the same id.
    pub operation_id: String,
    /// CSRF token of the process that serves the form.
    pub token: CsrfToken,
    /// Who makes the edit.
    pub author: String,
    /// Fields that the page shows, either from [`WorkspacePage::fields`] or as posted.
    pub fields: FormFields,
    /// Workspaces that the page shows.
    pub workspace_page: WorkspacePage,
    /// Faults of the posted document.
    pub faults: Vec<DocumentFault>,
    /// Result of the last post.
    pub outcome: ConsoleOutcome,
}

/// Result of a post.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleOutcome {
    /// There was no post, or the posted document has faults.
    Editing,
    /// The document is in force. A form that is posted twice gets this result twice, with the same
    /// version.
    Applied {
        /// Version that the edit created.
        version: u64,
    },
    /// Another edit was applied after the base version.
    Conflict {
        /// Version in force.
        current_version: u64,
        /// Changes of the other edits since the base version, if that version is still kept.
        theirs: Option<Vec<DocumentChange>>,
        /// Changes that the posted document makes to the version in force.
        yours: Vec<DocumentChange>,
    },
    /// The post may have taken effect and must be resent with the same operation id.
    Unknown,
}

impl ConsoleOutcome {
    /// Creates the conflict between a posted document and the version in force.
    pub fn conflict(
        base: Option<&ConfigDocument>,
        current_version: u64,
        current: &ConfigDocument,
        posted: &ConfigDocument,
    ) -> Self {
        let theirs = base.map(|base| base.changes_to(current));
        Self::Conflict { current_version, theirs, yours: current.changes_to(posted) }
    }
}

/// Decodes a body of content type `application/x-www-form-urlencoded`.
pub fn decode_form(body: &[u8]) -> FormFields {
    form_urlencoded::parse(body).into_owned().collect()
}
