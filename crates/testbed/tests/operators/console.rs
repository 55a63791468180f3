//! Tests of the console as a browser uses it.

use super::{commands, stage};
use burdockcleat_testbed::cluster::TestCluster;
use burdockcleat_testbed::deployment::{Deployment, OPERATOR_TOKEN, ProcessSignal};
use std::time::Duration;
use ureq::Agent;
use ureq::http::Response;

struct Page {
    status: u16,
    headers: Vec<(String, String)>,
    body: String,
}

impl Page {
    fn read(mut response: Response<ureq::Body>) -> Self {
        let headers = response.headers().iter();
        let text = |value: &ureq::http::HeaderValue| value.to_str().unwrap_or_default().to_owned();
        let headers = headers.map(|(name, value)| (name.to_string(), text(value))).collect();
        let body = response.body_mut().read_to_string().unwrap();
        Self { status: response.status().as_u16(), headers, body }
    }

    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the value of the input with this name.
    fn value(&self, name: &str) -> String {
        let (_, rest) = self.body.split_once(&format!("name=\"{name}\" value=\"")).unwrap();
        rest.split_once('"').unwrap().0.to_owned()
    }
}

/// HTTP client that keeps the session cookie, as a browser does.
struct Browser {
    agent: Agent,
    url: String,
    cookie: String,
    origin: String,
}

impl Browser {
    fn open(url: String) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .timeout_global(Some(Duration::from_secs(60)))
            .build();
        Self { agent: config.new_agent(), origin: url.clone(), url, cookie: String::new() }
    }

    fn get(&self, path: &str) -> Page {
        let request = self.agent.get(format!("{}{path}", self.url));
        Page::read(request.header("cookie", &self.cookie).call().unwrap())
    }

    fn post(&self, path: &str, fields: &[(&str, &str)]) -> Page {
        let request = self.agent.post(format!("{}{path}", self.url));
        let request = request.header("cookie", &self.cookie).header("origin", &self.origin);
        Page::read(request.send_form(fields.iter().copied()).unwrap())
    }

    fn login(&mut self, token: &str) -> Page {
        let page = self.post("/login", &[("operator-token", token)]);
        self.cookie = page.header("set-cookie").split(';').next().unwrap_or_default().to_owned();
        page
    }

    /// Posts the form of the page with another weight of the first workspace.
    fn edit(&self, page: &Page, weight: &str) -> Page {
        let before = page.body.split_once("value=\"provincial-depots\"").unwrap().0;
        let row = before.rsplit_once("name=\"workspaces[").unwrap().1.split_once(']').unwrap().0;
        let name = format!("workspaces[{row}].weight");
        let carried =
            ["base-version", "operation-id", "form-token"].map(|key| (key, page.value(key)));
        let mut fields = form_fields(page);
        fields.retain(|(key, _)| *key != name && !carried.iter().any(|(other, _)| other == key));
        fields.extend(carried.map(|(key, value)| (key.to_owned(), value)));
        fields.push((name, weight.to_owned()));
        let pairs: Vec<_> =
            fields.iter().map(|(key, value)| (key.as_str(), value.as_str())).collect();
        self.post("/console", &pairs)
    }
}

/// Returns the names and values of the fields in the form of the document.
fn form_fields(page: &Page) -> Vec<(String, String)> {
    let form = page.body.split_once("<form method=\"post\"").unwrap().1;
    let mut fields = Vec::new();
    let between = |text: &str, start: &str, end: &str| {
        text.split_once(start).and_then(|(_, rest)| Some(rest.split_once(end)?.0.to_owned()))
    };
    for tag in ["<input ", "<textarea ", "<select "] {
        for part in form.split(tag).skip(1) {
            let Some(name) = between(part, "name=\"", "\"") else { continue };
            let head = part.split_once('>').map_or(part, |(head, _)| head);
            let value = match tag {
                "<input " if head.contains("checkbox") => continue,
                "<input " => between(head, "value=\"", "\""),
                "<textarea " => between(part, ">\n", "</textarea>"),
                _ => part
                    .split("<option ")
                    .find(|option| option.contains(" selected>"))
                    .and_then(|option| between(option, "value=\"", "\"")),
            };
            fields.push((name, value.unwrap_or_default()));
        }
    }
    fields
}

fn version(stage: &TestCluster) -> u64 {
    let status = commands(stage).run(&["status", "--json"]).unwrap().json();
    status["config_version"].as_u64().unwrap_or(0)
}

/// Guards against a console that works without a login or from another site, and against edits that
/// are applied twice, are lost, or overwrite others.
#[test]
fn the_console_edits_after_a_login_only() {
    let stage = stage(1, 1);
    let leader = stage.deployment.wait_leader().unwrap();
    // The console of a follower must reach the leader.
    let mut browser = Browser::open(stage.deployment.console_url((leader + 1) % 3));
    assert_eq!((browser.get("/").status, browser.get("/console").status), (303, 401));
    let refused = browser.login("wrong");
    assert_eq!((refused.status, refused.header("set-cookie")), (401, ""));
    assert_eq!(browser.post("/console", &[("base-version", "1")]).status, 401);
    let page = browser.login(OPERATOR_TOKEN);
    assert_eq!((page.status, page.header("location")), (303, "/console"));
    let cookie = page.header("set-cookie");
    assert!(cookie.contains("; HttpOnly; SameSite=Strict"), "{cookie}");

    let page = browser.get("/console");
    assert_eq!((page.status, page.header("content-type")), (200, "text/html; charset=utf-8"));
    assert!(page.header("content-security-policy").starts_with("default-src 'none'"));
    let applied = browser.edit(&page, "11");
    assert_eq!(applied.status, 200, "{}", applied.body);
    let again = browser.edit(&page, "11");
    assert!(again.body.contains("Version 2 is in force"), "{}", again.body);
    assert_eq!(version(&stage), 2);

    let (mine, theirs) = (browser.get("/console"), browser.get("/console"));
    assert_eq!(browser.edit(&theirs, "12").status, 200);
    let conflict = browser.edit(&mine, "13");
    assert_eq!(conflict.status, 409, "{}", conflict.body);
    assert!(
        conflict.body.contains("weight: 11 -&gt; 12")
            && conflict.body.contains("weight: 12 -&gt; 13")
    );
    assert_eq!(browser.edit(&conflict, "13").status, 200);
    assert_eq!(version(&stage), 4);
    let faulty = browser.edit(&browser.get("/console"), "0\"><script>");
    assert_eq!(faulty.status, 422);
    assert!(!faulty.body.contains("<script") && faulty.body.contains("role=\"alert\""));

    let page = browser.get("/console");
    browser.origin = "http://evil.example".into();
    assert_eq!(browser.edit(&page, "14").status, 403);
    assert_eq!(browser.login(OPERATOR_TOKEN).status, 403);
    assert_eq!(version(&stage), 4);
    let elsewhere = Browser::open(stage.deployment.console_url(leader));
    assert_eq!(elsewhere.edit(&page, "14").status, 401);
}

/// Guards against pages that show the status or the history without a login, or without a version,
/// an author or a change.
#[test]
fn status_and_history_are_shown_after_a_login_only() {
    let stage = stage(1, 1);
    let leader = stage.deployment.wait_leader().unwrap();
    let mut browser = Browser::open(stage.deployment.console_url((leader + 1) % 3));
    for path in ["/console/status", "/console/history", "/console/history?version=1"] {
        let page = browser.get(path);
        assert_eq!(page.status, 401, "{path}");
        assert!(!page.body.contains("<table"), "{path}");
    }
    browser.login(OPERATOR_TOKEN);
    assert_eq!(browser.edit(&browser.get("/console"), "11").status, 200);

    let status = browser.get("/console/status");
    assert_eq!(status.status, 200);
    for part in ["Version <strong>2</strong>", "entry-0", "leader</td>", "hinge-model</td>"] {
        assert!(status.body.contains(part), "{part}: {}", status.body);
    }
    let history = browser.get("/console/history");
    let newest = history.body.find("version=2").unwrap();
    assert!(newest < history.body.find("version=1").unwrap(), "{}", history.body);
    assert!(history.body.contains("<td>console</td>"), "{}", history.body);
    let changes = browser.get("/console/history?version=2");
    assert!(changes.body.contains("weight: 8 -&gt; 11"), "{}", changes.body);
    assert!(browser.get("/console/history?version=1").body.contains("+ "), "first version");
    let missing = browser.get("/console/history?version=900");
    assert!(missing.status >= 400 && missing.body.contains("900"), "{}", missing.body);
}

/// Guards against an edit without a majority that is shown as applied or refused.
#[test]
fn an_undecided_edit_can_be_resent_with_its_id() {
    let mut stage = stage(1, 1);
    let leader = stage.deployment.wait_leader().unwrap();
    let mut browser = Browser::open(stage.deployment.console_url(leader));
    browser.login(OPERATOR_TOKEN);
    let page = browser.get("/console");
    let followers = (0..3).filter(|index| *index != leader).map(Deployment::control_name);
    let followers: Vec<String> = followers.collect();
    for name in &followers {
        stage.deployment.signal(name, ProcessSignal::Stop).unwrap();
    }
    let unread = browser.edit(&page, "11");
    assert_eq!(unread.status, 503, "{}", unread.body);
    for name in &followers {
        stage.deployment.signal(name, ProcessSignal::Continue).unwrap();
    }
    stage.deployment.wait_leader().unwrap();
    // The page and its operation id are still valid after the failed attempt.
    let applied = browser.edit(&page, "11");
    assert!(applied.body.contains("Version 2 is in force"), "{}", applied.body);
    assert_eq!(version(&stage), 2);
}
