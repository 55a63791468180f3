//! Console of forms: renders the configuration document as HTML and reads the posted form.
//!
//! All functions are pure; the control daemon serves them. A field of the form is named by its
//! path in the document, such as `workspaces[2].weight`, so a fault finds its field by path.

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
/// Name of the hidden field with the form token.
pub const CSRF_TOKEN_FIELD: &str = "form-token";
/// Name of the hidden field and of the search field with the text that workspaces are searched by.
pub const SEARCH_FIELD: &str = "search";
/// Name of the hidden field with the number of the page.
pub const PAGE_FIELD: &str = "page";
/// Name of the field with the operators' token in the login form.
pub const LOGIN_TOKEN_FIELD: &str = "operator-token";
/// Name of the query parameter with the version whose changes are shown.
pub const VERSION_PARAMETER: &str = "version";
/// Name of the field with the author.
pub const AUTHOR_FIELD: &str = "author";

/// Value of the header `content-security-policy` for every page of the console.
pub const CONTENT_SECURITY_POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'; \
     form-action 'self'; frame-ancestors 'none'; base-uri 'none'";

/// Names and values of a form, in order.
pub type FormFields = Vec<(String, String)>;

/// What a page shows.
#[derive(Clone, Debug)]
pub struct ConsoleView {
    /// Version that the next post is based on.
    pub base_version: u64,
    /// Operation id of the next post. Every rendered page has a new one, except after
    /// [`ConsoleOutcome::Unknown`], where the post must be resent with the same id.
    pub operation_id: String,
    /// Token of the process that serves the form.
    pub token: CsrfToken,
    /// Who makes the edit.
    pub author: String,
    /// Fields that the page shows: from [`WorkspacePage::fields`] or as they were posted.
    pub fields: FormFields,
    /// Part of the workspaces that the page shows.
    pub workspace_page: WorkspacePage,
    /// Faults of the posted document.
    pub faults: Vec<DocumentFault>,
    /// What became of the last post.
    pub outcome: ConsoleOutcome,
}

/// What became of a post.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleOutcome {
    /// There was no post, or the document has faults.
    Editing,
    /// The document is in force. A double click gets this twice, with one version.
    Applied {
        /// Version that the edit created.
        version: u64,
    },
    /// Another edit came first.
    Conflict {
        /// Version in force.
        current_version: u64,
        /// Changes of the other edits since the base version, if that version is still kept.
        theirs: Option<Vec<DocumentChange>>,
        /// Changes that the posted document makes to the version in force.
        yours: Vec<DocumentChange>,
    },
    /// The post may have taken effect; it must be resent with the same operation id.
    Unknown,
}

impl ConsoleOutcome {
    /// The conflict of a posted document with the version in force.
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

/// Decodes a body of the type `application/x-www-form-urlencoded`.
pub fn decode_form(body: &[u8]) -> FormFields {
    form_urlencoded::parse(body).into_owned().collect()
}
