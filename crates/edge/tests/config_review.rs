//! Review of configuration documents before they are applied.

use burdockcleat_edge::config::{
    RequestKind, RequestLimits, RouteConfig, RouteRule, ServiceRule, WorkspaceRule,
};
use burdockcleat_edge::config_review::{FindingKind, list_changes, review_config};
use std::collections::BTreeMap;

fn route(name: &str) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: format!("/{name}/"),
        kind: RequestKind::Stream,
        timeout_ms: 3_000,
        objective_ms: 400,
        priority: 0,
        split: vec![("pool".to_owned(), 1)],
        max_attempts: 2,
        auth_exempt: false,
        resumable: true,
        pause_ms: Some(300),
    }
}

fn config(version: u64) -> RouteConfig {
    RouteConfig {
        version,
        routes: vec![route("a"), route("b")],
        services: BTreeMap::from([("pool".to_owned(), ServiceRule::default())]),
        workspaces: Some(vec![WorkspaceRule {
            name: "desk".to_owned(),
            credentials: vec!["secret-1".to_owned()],
            rate_per_s: 100.0,
            burst: 100.0,
            ..WorkspaceRule::default()
        }]),
        limits: RequestLimits::default(),
    }
}

fn kinds(config: &RouteConfig) -> Vec<(FindingKind, String)> {
    review_config(config).into_iter().map(|finding| (finding.kind, finding.text)).collect()
}

/// Guards against findings for a document that operators use.
#[test]
fn a_sound_document_has_no_findings() {
    assert_eq!(kinds(&config(1)), []);
}

/// Guards against a review that stops at the first error.
#[test]
fn all_errors_are_listed() {
    let mut config = config(1);
    config.routes[0].timeout_ms = 0;
    config.routes[0].pause_ms = None;
    config.routes[0].objective_ms = 0;
    config.routes[1].split = vec![("gone".to_owned(), 1)];
    let errors = kinds(&config).iter().filter(|(kind, _)| *kind == FindingKind::Error).count();
    assert_eq!(errors, 2);
}

/// Guards against entries without effect that nobody notices.
#[test]
fn entries_that_cannot_match_are_listed() {
    let mut config = config(1);
    config.routes[0].host = "shop.example:8080".to_owned();
    config.routes[1].prefix = "/b?x/".to_owned();
    config.routes[1].split.push(("pool".to_owned(), 0));
    config.services.insert("spare".to_owned(), ServiceRule::default());
    let found = kinds(&config);
    assert_eq!(found.len(), 4, "{found:?}");
    assert!(found.iter().all(|(kind, _)| *kind == FindingKind::NoEffect), "{found:?}");
}

/// Guards against limits that contradict each other, such as an objective beyond the timeout.
#[test]
fn contradicting_limits_are_listed() {
    let mut config = config(1);
    config.routes[0].objective_ms = 4_000;
    config.routes[1].pause_ms = Some(5_000);
    config.limits.idle_ms = 0;
    for workspace in config.workspaces.iter_mut().flatten() {
        (workspace.counts_tokens, workspace.default_tokens) = (true, 500);
    }
    let found = kinds(&config);
    assert_eq!(found.len(), 4, "{found:?}");
    assert!(found.iter().all(|(kind, _)| *kind == FindingKind::Contradiction), "{found:?}");
}

/// Guards against a comparison that misses a change or prints a credential.
#[test]
fn changes_are_listed_without_credentials() {
    let (before, mut after) = (config(4), config(9));
    after.routes.remove(0);
    after.routes[0].timeout_ms = 5_000;
    after.routes.push(route("c"));
    for workspace in after.workspaces.iter_mut().flatten() {
        workspace.credentials = vec!["secret-2".to_owned()];
    }
    let lines = list_changes(&before, &after);
    assert_eq!(
        lines,
        [
            "version: 4 -> 9",
            "route a: removed",
            "route b: timeout_ms 3000 -> 5000",
            "route c: added",
            "workspace desk: credentials 1 added, 1 removed",
        ]
    );
    let older = list_changes(&after, &before);
    assert!(older[0].contains("would change nothing"), "{older:?}");
}
