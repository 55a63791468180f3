//! Review of a configuration document before operators apply it: violations, entries without effect,
//! limits that contradict each other, and changes against the document in force.

mod changes;

pub use changes::list_changes;

use crate::config::{RequestKind, RouteConfig, RouteRule, WorkspaceRule};
use std::collections::BTreeSet;

/// Smallest request head that a request of a caller fits into, in bytes.
const MIN_HEAD_BYTES: usize = 512;

/// What is wrong with a part of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingKind {
    /// The document is rejected.
    Error,
    /// The entry can never match a request or has no effect.
    NoEffect,
    /// Two limits contradict each other.
    Contradiction,
}

impl FindingKind {
    /// Returns the name that is printed before a finding.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::NoEffect => "no effect",
            Self::Contradiction => "contradiction",
        }
    }
}

/// A finding of the review.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFinding {
    /// What is wrong.
    pub kind: FindingKind,
    /// Entry and cause.
    pub text: String,
}

/// Reviews a document and returns its findings, errors first.
pub fn review_config(config: &RouteConfig) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    let mut add = |kind, text| findings.push(ConfigFinding { kind, text });
    for error in config.errors() {
        add(FindingKind::Error, error.to_string());
    }
    for route in &config.routes {
        review_route(route, &mut add);
    }
    let used: BTreeSet<_> =
        config.routes.iter().flat_map(|route| route.split.iter().map(|(name, _)| name)).collect();
    for name in config.services.keys().filter(|name| !used.contains(name)) {
        add(FindingKind::NoEffect, format!("service {name}: no route refers to it"));
    }
    let exempt = config.routes.iter().all(|route| route.auth_exempt);
    for workspace in config.workspaces.iter().flatten() {
        if exempt {
            let text = format!("workspace {}: no route needs a credential", workspace.name);
            add(FindingKind::NoEffect, text);
        }
        review_workspace(workspace, &mut add);
    }
    let no_credential = config.workspaces.iter().flatten().all(|w| w.credentials.is_empty());
    if config.workspaces.is_some() && no_credential && !exempt {
        let text = "workspaces: no request can pass, since there is no credential".to_owned();
        add(FindingKind::Contradiction, text);
    }
    let limits = config.limits;
    if limits.head_bytes < MIN_HEAD_BYTES {
        let text = format!("limits: no request fits into a head of {} bytes", limits.head_bytes);
        add(FindingKind::Contradiction, text);
    }
    if limits.idle_ms == 0 {
        let text = "limits: connections are closed at once, since the idle timeout is 0".to_owned();
        add(FindingKind::Contradiction, text);
    }
    findings.sort_by_key(|finding| finding.kind);
    findings
}

fn review_route(route: &RouteRule, add: &mut impl FnMut(FindingKind, String)) {
    let name = &route.name;
    // A host is compared without its port, and a path ends before its query.
    if route.host.is_empty() || route.host.contains([':', '/', ' ']) {
        add(
            FindingKind::NoEffect,
            format!("route {name}: no request has the host {:?}", route.host),
        );
    }
    if route.prefix.contains(['?', '#', ' ']) {
        let text = format!("route {name}: no path begins with {:?}", route.prefix);
        add(FindingKind::NoEffect, text);
    }
    for (service, _) in route.split.iter().filter(|(_, weight)| *weight == 0) {
        let text = format!("route {name}: service {service} has the weight 0");
        add(FindingKind::NoEffect, text);
    }
    let (objective, timeout) = (route.objective_ms, route.timeout_ms);
    if objective > timeout {
        let text =
            format!("route {name}: objective of {objective} ms beyond timeout of {timeout} ms");
        add(FindingKind::Contradiction, text);
    }
    if let Some(pause) = route.pause_ms.filter(|pause| *pause > timeout) {
        let text = format!("route {name}: pauses of {pause} ms beyond timeout of {timeout} ms");
        add(FindingKind::Contradiction, text);
    }
    if route.kind != RequestKind::Stream && (route.pause_ms.is_some() || route.resumable) {
        let text = format!("route {name}: limits of streams on a route without streams");
        add(FindingKind::NoEffect, text);
    }
    if route.max_attempts == 0 {
        let text = format!("route {name}: 0 attempts are taken as 1");
        add(FindingKind::Contradiction, text);
    }
}

fn review_workspace(workspace: &WorkspaceRule, add: &mut impl FnMut(FindingKind, String)) {
    let name = &workspace.name;
    if workspace.credentials.is_empty() {
        add(FindingKind::NoEffect, format!("workspace {name}: it has no credential"));
    }
    if workspace.credentials.iter().any(|held| held.is_empty() || held.trim() != held) {
        let text = format!("workspace {name}: a credential is empty or has spaces around it");
        add(FindingKind::NoEffect, text);
    }
    let (rate, burst) = (workspace.rate_per_s, workspace.burst);
    if rate < 0.0 || burst < 0.0 {
        let text = format!("workspace {name}: the allowance is negative");
        add(FindingKind::Contradiction, text);
    }
    if rate <= 0.0 && burst > 0.0 {
        let text = format!("workspace {name}: a burst of {burst} without a rate limits nothing");
        add(FindingKind::NoEffect, text);
    }
    let default_tokens = workspace.default_tokens as f64;
    if workspace.counts_tokens && rate > 0.0 && default_tokens > rate + burst {
        let text = format!(
            "workspace {name}: a request of {default_tokens} tokens exceeds the allowance of {rate} per second and {burst} at once"
        );
        add(FindingKind::Contradiction, text);
    }
}
