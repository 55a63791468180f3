//! Renders the configuration form, the login form and message pages. `maud` escapes every value.

use super::fields::{
    CREDENTIAL_SALT, FieldKind, FormField, LIMIT_FIELDS, LIMITS_SECTION, PLACE_KEY, REMOVE_KEY,
    RULES_SECTION, SECTIONS, field_name, split_name,
};
use super::workspace_page::{PAGED_SECTION, WorkspacePage};
use super::{
    AUTHOR_FIELD, BASE_VERSION_FIELD, CSRF_TOKEN_FIELD, ConsoleOutcome, ConsoleView,
    LOGIN_TOKEN_FIELD, OPERATION_ID_FIELD, PAGE_FIELD, PostRefusal, SEARCH_FIELD,
};
use burdockcleat_core::document::{DocumentChange, DocumentFault};
use maud::{DOCTYPE, Markup, html};
use std::collections::{BTreeSet, HashMap};

/// Style sheet of every console page.
const STYLE: &str = "body{font:15px sans-serif;margin:2em auto;max-width:72em;padding:0 1em}\
     fieldset{margin:0 0 1em;display:flex;flex-wrap:wrap;gap:.6em 1em}\
     label{display:flex;flex-direction:column;font-size:.85em}\
     textarea{min-width:38em}.fault{color:#a00}.notice{border:1px solid;padding:.5em 1em}\
     input:not([type=checkbox]),textarea{font:inherit}code{white-space:pre-wrap}\
     nav{display:flex;gap:1.5em}table{border-collapse:collapse}\
     th,td{border:1px solid #aaa;padding:.2em .6em;text-align:left}";

/// Renders the configuration form, with the result of the last post and the faults beside their
/// fields.
pub fn render_page(view: &ConsoleView) -> String {
    let form = FormState::from_view(view);
    let sections: Vec<Markup> = SECTIONS
        .iter()
        .map(|section| {
            let rows = form.row_indexes(section.name);
            let next = form.next_row(section.name, view);
            html! {
                h2 id=(section.name) { (section.title) }
                @if section.name == RULES_SECTION {
                    p { "Rules are tried by place; the first that matches decides." }
                }
                @if section.name == PAGED_SECTION { (page_links(&view.workspace_page)) }
                @for index in rows { (form.render_row(section.name, index, &section.fields, true)) }
                p { "New:" }
                (form.render_row(section.name, next, &section.fields, false))
            }
        })
        .collect();
    let salt = FormField { key: CREDENTIAL_SALT, kind: FieldKind::Text };
    let body = html! {
        h1 { "Configuration" }
        (outcome_notice(view))
        (form.render_general_faults())
        (search_form(&view.workspace_page))
        form method="post" action="/console" autocomplete="off" {
            input type="hidden" name=(SEARCH_FIELD) value=(view.workspace_page.search);
            input type="hidden" name=(PAGE_FIELD) value=(view.workspace_page.number);
            input type="hidden" name=(BASE_VERSION_FIELD) value=(view.base_version);
            input type="hidden" name=(OPERATION_ID_FIELD) value=(view.operation_id);
            input type="hidden" name=(CSRF_TOKEN_FIELD) value=(view.token.as_str());
            p { "Based on version " strong { (view.base_version) } ". An empty number has its default." }
            label { "author" input name=(AUTHOR_FIELD) value=(view.author) maxlength="128"; }
            @for section in &sections { (section) }
            h2 id=(LIMITS_SECTION) { "Limits" }
            fieldset {
                @for field in LIMIT_FIELDS.iter() { (form.render_field(&format!("{LIMITS_SECTION}.{}", field.key), *field)) }
                (form.render_field(CREDENTIAL_SALT, salt))
            }
            button type="submit" { (submit_text(&view.outcome)) }
        }
    };
    page_with_links(&body)
}

/// Renders the page for a post that was refused before its document was read.
pub fn render_refusal(refusal: PostRefusal) -> String {
    page(&html! {
        h1 { "Refused" }
        p.notice { (refusal) "." }
        p { "Nothing has changed." }
    })
}

/// Renders a page with links to the pages that require a login.
pub(super) fn page_with_links(body: &Markup) -> String {
    page(&html! {
        nav {
            a href="/console" { "Configuration" }
            a href="/console/status" { "Status" }
            a href="/console/history" { "History" }
        }
        (body)
    })
}

/// Renders a complete HTML page.
fn page(body: &Markup) -> String {
    html! {
        (DOCTYPE)
        html lang="en" {
            head { meta charset="utf-8"; title { "burdockcleat" } style { (STYLE) } }
            body { (body) }
        }
    }
    .into_string()
}

/// Renders the login form, which asks for the operator token.
pub fn render_login(wrong: bool) -> String {
    page(&html! {
        h1 { "Log in" }
        @if wrong { p.fault role="alert" { "The token is wrong." } }
        form method="post" action="/login" {
            label { "operator token" input type="password" name=(LOGIN_TOKEN_FIELD) autocomplete="current-password" autofocus; }
            p { button type="submit" { "Log in" } }
        }
    })
}

/// Renders a page with a message instead of a form.
pub fn render_notice(title: &str, text: &str) -> String {
    page_with_links(&html! {
        h1 { (title) }
        p.notice { (text) }
        p { a href="/console" { "Open the console again" } }
    })
}

/// Renders the search form. It is separate from the configuration form, so that a search does not
/// post the document.
fn search_form(workspace_page: &WorkspacePage) -> Markup {
    html! {
        form method="get" action="/console" {
            label { "workspaces whose name contains"
                input name=(SEARCH_FIELD) value=(workspace_page.search) maxlength="128"; }
            p { button type="submit" { "Search" } }
        }
    }
}

/// Renders the links to the previous and next page of workspaces.
fn page_links(workspace_page: &WorkspacePage) -> Markup {
    let link = |page: usize| {
        let query = form_urlencoded::Serializer::new(String::new())
            .append_pair(SEARCH_FIELD, &workspace_page.search)
            .append_pair(PAGE_FIELD, &page.to_string())
            .finish();
        format!("/console?{query}#{PAGED_SECTION}")
    };
    html! {
        p {
            (workspace_page.rows.len()) " of " (workspace_page.total_rows) " workspaces, page " (workspace_page.number) " of " (workspace_page.page_count) ". "
            @if workspace_page.number > 1 { a href=(link(workspace_page.number - 1)) { "Previous" } " " }
            @if workspace_page.number < workspace_page.page_count { a href=(link(workspace_page.number + 1)) { "Next" } " " }
            @if workspace_page.page_count > 1 || !workspace_page.search.is_empty() {
                "Workspaces that are not shown stay as they are. Apply before you turn the page or search."
            }
        }
    }
}

/// Returns the label of the submit button.
fn submit_text(outcome: &ConsoleOutcome) -> String {
    match outcome {
        ConsoleOutcome::Conflict { current_version, .. } => {
            format!("Apply this document over version {current_version}")
        }
        ConsoleOutcome::Unknown => "Send the same edit again".to_owned(),
        ConsoleOutcome::Editing | ConsoleOutcome::Applied { .. } => "Apply".to_owned(),
    }
}

/// Renders the message about the result of the last post.
fn outcome_notice(view: &ConsoleView) -> Markup {
    match &view.outcome {
        ConsoleOutcome::Editing => html! {},
        ConsoleOutcome::Applied { version } => html! {
            p.notice { "Version " (version) " is in force." }
        },
        ConsoleOutcome::Unknown => html! {
            p.notice {
                "The reply was lost: the edit may be in force. Send it again without changes; "
                "an edit with the same operation id is applied once."
            }
        },
        ConsoleOutcome::Conflict { current_version, theirs, yours } => html! {
            section.notice {
                h2 { "Conflict" }
                p {
                    "Another edit came first: version " (current_version) " is in force. "
                    "Nothing of this edit was applied."
                }
                @if let Some(theirs) = theirs {
                    h3 { "What the other edits changed" }
                    (change_list(theirs))
                }
                h3 { "What this document would change now" }
                (change_list(yours))
                p { "The form below holds your document, now based on version " (current_version) "." }
            }
        },
    }
}

fn change_list(changes: &[DocumentChange]) -> Markup {
    html! {
        @if changes.is_empty() { p { "Nothing." } }
        ul { @for change in changes { li { code { (change) } } } }
    }
}

/// Values and faults of the form, by field name.
struct FormState<'a> {
    values: HashMap<&'a str, &'a str>,
    rows: HashMap<&'a str, BTreeSet<usize>>,
    faults: HashMap<String, Vec<&'a DocumentFault>>,
    /// Faults that belong to no form field: of a whole list, of the document text, or of an unknown
    /// field.
    general_faults: Vec<&'a DocumentFault>,
}

impl<'a> FormState<'a> {
    /// Groups the fields and faults of a page.
    fn from_view(view: &'a ConsoleView) -> Self {
        let mut state = Self {
            values: HashMap::new(),
            rows: HashMap::new(),
            faults: HashMap::new(),
            general_faults: Vec::new(),
        };
        for (name, value) in &view.fields {
            state.values.insert(name, value);
            if let Some((section, index, key)) = split_name(name)
                && SECTIONS.iter().any(|known| known.name == section)
                // A new row that was left empty is posted with its place at most.
                && (!value.trim().is_empty() && key != PLACE_KEY)
            {
                state.rows.entry(section).or_default().insert(index);
            }
        }
        for fault in &view.faults {
            match state.field_for_fault(&fault.path) {
                Some(name) => state.faults.entry(name).or_default().push(fault),
                None => state.general_faults.push(fault),
            }
        }
        state
    }

    /// Returns the name of the shown field that a fault belongs to.
    fn field_for_fault(&self, path: &str) -> Option<String> {
        if path == CREDENTIAL_SALT {
            return Some(path.to_owned());
        }
        if let Some(key) = path.strip_prefix(LIMITS_SECTION).and_then(|rest| rest.strip_prefix('.'))
        {
            return LIMIT_FIELDS.iter().any(|field| field.key == key).then(|| path.to_owned());
        }
        let (section, index, rest) = split_name(path)?;
        // A fault of a list element belongs to the field of the list.
        let key = rest.split_once('[').map_or(rest, |(key, _)| key);
        let known = SECTIONS.iter().find(|known| known.name == section)?;
        let shown = self.rows.get(section).is_some_and(|rows| rows.contains(&index))
            && known.fields.iter().any(|field| field.key == key);
        shown.then(|| field_name(section, index, key))
    }

    /// Returns the row index for a new item, which follows all rows of the document, shown or not.
    fn next_row(&self, section: &str, view: &ConsoleView) -> usize {
        let shown = self.rows.get(section).and_then(BTreeSet::last);
        let after = shown.map_or(0, |index| index.saturating_add(1));
        if section == PAGED_SECTION { after.max(view.workspace_page.total_rows) } else { after }
    }

    /// Returns the indexes of the rows that a section shows.
    fn row_indexes(&self, section: &str) -> Vec<usize> {
        self.rows.get(section).map(|rows| rows.iter().copied().collect()).unwrap_or_default()
    }

    /// Renders the faults that belong to no form field.
    fn render_general_faults(&self) -> Markup {
        html! {
            @if !self.general_faults.is_empty() || !self.faults.is_empty() {
                p.fault { "The document has faults. Nothing has changed." }
            }
            ul.fault { @for fault in &self.general_faults { li { (fault) } } }
        }
    }

    /// Renders the fields of a row; an existing row can be marked for removal.
    fn render_row(
        &self,
        section: &str,
        index: usize,
        fields: &[FormField],
        exists: bool,
    ) -> Markup {
        html! {
            fieldset {
                @for field in fields { (self.render_field(&field_name(section, index, field.key), *field)) }
                @if exists {
                    label { "remove" input type="checkbox" name=(field_name(section, index, REMOVE_KEY))
                        checked[self.values.contains_key(field_name(section, index, REMOVE_KEY).as_str())]; }
                }
            }
        }
    }

    /// Renders a field with its value and its faults.
    fn render_field(&self, name: &str, field: FormField) -> Markup {
        let value = self.values.get(name).copied().unwrap_or_default();
        html! {
            label {
                (field.key)
                @match field.kind {
                    FieldKind::Text | FieldKind::WordList => { input name=(name) value=(value); }
                    // A rejected text is shown again and may not be a number, so the type of the
                    // input is text.
                    FieldKind::Number { min, max } => {
                        input name=(name) value=(value) inputmode="numeric"
                            title=(format!("{min} to {max}"));
                    }
                    FieldKind::LineList => { textarea name=(name) rows="2" { "\n" (value) } }
                    FieldKind::Choice(words) => { (render_select(name, value, words)) }
                    FieldKind::OptionalBool => { (render_select(name, value, &["true", "false"])) }
                }
                @for fault in self.faults.get(name).into_iter().flatten() {
                    span.fault role="alert" { (fault.kind) }
                }
            }
        }
    }
}

/// Renders a selection that also offers the current value if it is none of the words.
fn render_select(name: &str, value: &str, words: &[&str]) -> Markup {
    let unknown = !value.is_empty() && !words.contains(&value);
    html! {
        select name=(name) {
            option value="" selected[value.is_empty()] { "default" }
            @for word in words { option value=(word) selected[*word == value] { (word) } }
            @if unknown { option value=(value) selected { (value) } }
        }
    }
}
