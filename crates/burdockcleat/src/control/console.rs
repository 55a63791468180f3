//! Serves the web console on its own listener.
//!
//! The console is a client of the operator API. It finds the leader and retries writes as the
//! command line does, so it works on every instance.

use super::http::constant_time_eq;
use super::listen::{HttpCall, HttpReply, RequestClass};
use crate::console::{
    CONTENT_SECURITY_POLICY, ConsoleOutcome, ConsolePost, ConsoleView, CsrfToken, FormFields,
    LOGIN_TOKEN_FIELD, PAGE_FIELD, SEARCH_FIELD, VERSION_PARAMETER, WorkspacePage, check_origin,
    check_post, decode_form, read_form, rebase_fields, render_changes, render_history,
    render_login, render_notice, render_page, render_refusal, render_status, with_hidden_rows,
};
use crate::operator::{ApplyRequest, ClientError, ClientSettings, OperatorClient};
use burdockcleat_core::document::ConfigDocument;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tiny_http::Method;

/// Threads that serve console requests.
const WORKER_THREADS: usize = 4;
/// Name of the cookie that holds the session id.
const SESSION_COOKIE: &str = "burdockcleat-session";
/// Time after which an operator must log in again.
const SESSION_LIFETIME: Duration = Duration::from_secs(12 * 3_600);
/// Maximum number of sessions at a time. When it is reached, the oldest session is ended.
const MAX_SESSIONS: usize = 1_000;
/// Delay before a login with a wrong token is answered. Together with the number of threads it
/// limits the guesses per second.
const WRONG_TOKEN_DELAY: Duration = Duration::from_millis(300);

/// Web console of one control instance.
pub struct ConsoleServer {
    client: OperatorClient,
    operator_token: String,
    form_token: CsrfToken,
    /// Expiry time of each session, by session id.
    sessions: Mutex<BTreeMap<String, Instant>>,
}

/// HTTP status and HTML body of a page.
struct ConsolePage(u16, String);

impl ConsoleServer {
    /// Creates a console that calls the operator API of its own instance.
    ///
    /// # Errors
    /// Fails if the URL is malformed.
    pub fn open(operator_url: &str, operator_token: &str) -> Result<Self, ClientError> {
        let client = OperatorClient::open(&[operator_url.to_owned()], ClientSettings::default())?
            .with_token(Some(operator_token.to_owned()));
        Ok(Self {
            client,
            operator_token: operator_token.to_owned(),
            form_token: CsrfToken::from_random(rand::random()),
            sessions: Mutex::default(),
        })
    }

    /// Returns the request class that routes every request of a listener to this console.
    pub fn request_class(self) -> RequestClass {
        let console = Arc::new(self);
        let serve = Arc::new(move |call: HttpCall| console.serve(call));
        RequestClass { name: "console", threads: WORKER_THREADS, matches: |_| true, serve }
    }

    fn serve(&self, mut call: HttpCall) {
        let path = call.path().to_owned();
        let reply = match (call.method().clone(), path.as_str()) {
            (Method::Get, "/") => redirect(None),
            (Method::Post, "/login") => self.login(&mut call),
            (_, "/console" | "/console/status" | "/console/history") if !self.logged_in(&call) => {
                page_reply(ConsolePage(401, render_login(false)))
            }
            (Method::Get, "/console") => page_reply(self.render_read_only(&call, Self::show_form)),
            (Method::Get, "/console/status") => {
                page_reply(self.render_read_only(&call, Self::status))
            }
            (Method::Get, "/console/history") => {
                page_reply(self.render_read_only(&call, Self::history))
            }
            (Method::Post, "/console") => page_reply(self.post(&mut call)),
            _ => page_reply(ConsolePage(404, render_notice("Not found", "There is no such page."))),
        };
        call.respond(reply);
    }

    fn login(&self, call: &mut HttpCall) -> HttpReply {
        if let Err(refused) = check_origin(call.header("host"), call.header("origin")) {
            return page_reply(ConsolePage(403, render_refusal(refused)));
        }
        let fields = decode_form(&call.read_body().unwrap_or_default());
        let given = field(&fields, LOGIN_TOKEN_FIELD).unwrap_or_default();
        if !constant_time_eq(given, &self.operator_token) {
            log::warn!(event = "console_login_refused"; "console login with a wrong token");
            thread::sleep(WRONG_TOKEN_DELAY);
            return page_reply(ConsolePage(401, render_login(true)));
        }
        let session = format!("{:032x}", rand::random::<u128>());
        self.store_session(session.clone());
        let cookie = format!(
            "{SESSION_COOKIE}={session}; HttpOnly; SameSite=Strict; Path=/; Max-Age={}",
            SESSION_LIFETIME.as_secs()
        );
        redirect(Some(cookie))
    }

    fn store_session(&self, session: String) {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        sessions.retain(|_, end| *end > now);
        if sessions.len() >= MAX_SESSIONS {
            let oldest = sessions.iter().min_by_key(|(_, end)| **end);
            let oldest = oldest.map(|(session, _)| session.clone()).unwrap_or_default();
            sessions.remove(&oldest);
        }
        sessions.insert(session, now + SESSION_LIFETIME);
    }

    fn logged_in(&self, call: &HttpCall) -> bool {
        let cookies = call.header("cookie").unwrap_or_default().split(';');
        let mut pairs = cookies.filter_map(|pair| pair.trim().split_once('='));
        let Some((_, session)) = pairs.find(|(name, _)| *name == SESSION_COOKIE) else {
            return false;
        };
        let sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.get(session).is_some_and(|end| *end > Instant::now())
    }

    /// Renders a read-only page with the fields of the query string.
    fn render_read_only(
        &self,
        call: &HttpCall,
        render: fn(&Self, &FormFields) -> Result<ConsolePage, ClientError>,
    ) -> ConsolePage {
        // The host check protects against DNS rebinding: a foreign host name that resolves to this
        // address must not be able to read the page.
        if let Err(refused) = check_origin(call.header("host"), None) {
            return ConsolePage(403, render_refusal(refused));
        }
        let fields = decode_form(call.query_string().as_bytes());
        render(self, &fields).unwrap_or_else(|error| error_page(&error))
    }

    /// Shows the form with the current version.
    fn show_form(&self, query: &FormFields) -> Result<ConsolePage, ClientError> {
        let search = field(query, SEARCH_FIELD).unwrap_or_default();
        let page = field(query, PAGE_FIELD).and_then(|text| text.parse().ok()).unwrap_or(1);
        self.form_page(200, search, page, "", ConsoleOutcome::Editing)
    }

    fn status(&self, _query: &FormFields) -> Result<ConsolePage, ClientError> {
        Ok(ConsolePage(200, render_status(&self.client.status()?)))
    }

    /// Lists the retained versions, or shows the changes of one of them.
    fn history(&self, query: &FormFields) -> Result<ConsolePage, ClientError> {
        let version = field(query, VERSION_PARAMETER).and_then(|text| text.parse().ok());
        let Some(version) = version.filter(|version| *version > 0) else {
            return Ok(ConsolePage(200, render_history(&self.client.history()?)));
        };
        let (_, document) = self.document(Some(version))?;
        let (_, before) = self.document(Some(version - 1))?;
        Ok(ConsolePage(200, render_changes(version, &before.changes_to(&document))))
    }

    /// Builds a form with the current version and a new operation id.
    fn form_page(
        &self,
        status: u16,
        search: &str,
        page: usize,
        author: &str,
        outcome: ConsoleOutcome,
    ) -> Result<ConsolePage, ClientError> {
        let (version, document) = self.document(None)?;
        let workspace_page = WorkspacePage::select(&document, search, page);
        let view = ConsoleView {
            base_version: version,
            operation_id: new_operation_id(),
            token: self.form_token.clone(),
            author: author.to_owned(),
            fields: workspace_page.fields(&document),
            workspace_page,
            faults: Vec::new(),
            outcome,
        };
        Ok(ConsolePage(status, render_page(&view)))
    }

    /// Fetches a version of the document, or the current one.
    fn document(&self, version: Option<u64>) -> Result<(u64, ConfigDocument), ClientError> {
        if version == Some(0) {
            return Ok((0, ConfigDocument::default()));
        }
        let reply = match version {
            Some(version) => self.client.config_at(version)?,
            None => self.client.config()?,
        };
        // Every stored version was validated before it was applied.
        Ok((reply.version, ConfigDocument::parse(&reply.document).unwrap_or_default()))
    }

    fn post(&self, call: &mut HttpCall) -> ConsolePage {
        let body = call.read_body();
        let fields = decode_form(&body.unwrap_or_default());
        let (host, origin) = (call.header("host"), call.header("origin"));
        match check_post(&self.form_token, host, origin, &fields) {
            Ok(post) => self.apply_edit(&post, fields).unwrap_or_else(|error| error_page(&error)),
            Err(refused) => ConsolePage(403, render_refusal(refused)),
        }
    }

    fn apply_edit(
        &self,
        post: &ConsolePost,
        posted: FormFields,
    ) -> Result<ConsolePage, ClientError> {
        let (_, base) = self.document(Some(post.base_version))?;
        let (search, page) = (
            field(&posted, SEARCH_FIELD).unwrap_or_default().to_owned(),
            field(&posted, PAGE_FIELD).and_then(|text| text.parse().ok()).unwrap_or(1),
        );
        let mut view = ConsoleView {
            base_version: post.base_version,
            operation_id: post.operation_id.clone(),
            token: self.form_token.clone(),
            author: post.author.clone(),
            workspace_page: WorkspacePage::select(&base, &search, page),
            fields: posted,
            faults: Vec::new(),
            outcome: ConsoleOutcome::Editing,
        };
        let document = match read_form(&with_hidden_rows(&base, view.fields.clone())) {
            Ok(document) => document,
            Err(faults) => {
                view.faults = faults;
                // Nothing was sent with this id, but the same form may have been submitted twice.
                view.operation_id = new_operation_id();
                return Ok(ConsolePage(422, render_page(&view)));
            }
        };
        let request = ApplyRequest {
            base_version: post.base_version,
            operation_id: post.operation_id.clone(),
            author: post.author.clone(),
            document: document.to_toml(),
        };
        match self.client.apply(&request) {
            Ok(reply) => {
                let outcome = ConsoleOutcome::Applied { version: reply.version };
                self.form_page(200, &search, page, &post.author, outcome)
            }
            Err(ClientError::Conflict { .. }) => self.conflict(view, &base),
            Err(ClientError::OutcomeUnknown { .. } | ClientError::Unreachable(_)) => {
                view.outcome = ConsoleOutcome::Unknown;
                Ok(ConsolePage(503, render_page(&view)))
            }
            Err(error) => Err(error),
        }
    }

    /// Shows the posted edit rebased onto the current version.
    fn conflict(
        &self,
        mut view: ConsoleView,
        base: &ConfigDocument,
    ) -> Result<ConsolePage, ClientError> {
        let (version, current) = self.document(None)?;
        view.fields = rebase_fields(base, &current, &view.fields);
        view.base_version = version;
        view.operation_id = new_operation_id();
        view.workspace_page = WorkspacePage::select(
            &current,
            &view.workspace_page.search,
            view.workspace_page.number,
        );
        match read_form(&with_hidden_rows(&current, view.fields.clone())) {
            Ok(edited) => {
                view.outcome = ConsoleOutcome::conflict(Some(base), version, &current, &edited);
            }
            // The other edit removed something that this one refers to.
            Err(faults) => {
                view.outcome = ConsoleOutcome::conflict(Some(base), version, &current, &current);
                view.faults = faults;
            }
        }
        Ok(ConsolePage(409, render_page(&view)))
    }
}

fn field<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

fn new_operation_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Builds the page for an error after which no form can be shown.
fn error_page(error: &ClientError) -> ConsolePage {
    let (status, title) = match error {
        ClientError::Refused { .. } | ClientError::OperationReused => (409, "Refused"),
        _ => (503, "No answer"),
    };
    ConsolePage(status, render_notice(title, &format!("{error}.")))
}

fn page_reply(ConsolePage(status, body): ConsolePage) -> HttpReply {
    let headers = vec![
        ("content-type", "text/html; charset=utf-8".to_owned()),
        ("content-security-policy", CONTENT_SECURITY_POLICY.to_owned()),
        ("x-content-type-options", "nosniff".to_owned()),
        // Browsers must still send the origin with posts to the console itself, for `check_origin`.
        ("referrer-policy", "same-origin".to_owned()),
        ("cache-control", "no-store".to_owned()),
    ];
    HttpReply { status, body, headers }
}

fn redirect(cookie: Option<String>) -> HttpReply {
    let mut reply = page_reply(ConsolePage(303, String::new()));
    reply.headers.push(("location", "/console".to_owned()));
    reply.headers.extend(cookie.map(|cookie| ("set-cookie", cookie)));
    reply
}
