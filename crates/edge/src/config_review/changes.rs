//! Changes between two configuration documents.

use crate::config::{RouteConfig, RouteRule, ServiceRule, WorkspaceRule};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Returns a line for each difference of `next` from the document in force. Credentials are counted
/// and never printed.
pub fn list_changes(in_force: &RouteConfig, next: &RouteConfig) -> Vec<String> {
    let mut lines = Vec::new();
    match next.version.cmp(&in_force.version) {
        std::cmp::Ordering::Greater => {
            lines.push(format!("version: {} -> {}", in_force.version, next.version));
        }
        _ => lines.push(format!(
            "version: {} is not above {}, so the document would change nothing",
            next.version, in_force.version
        )),
    }
    let routes = |config: &RouteConfig| named(&config.routes, |route| route.name.clone());
    compare("route", &routes(in_force), &routes(next), route_fields, &mut lines);
    let services = |config: &RouteConfig| config.services.clone();
    compare("service", &services(in_force), &services(next), service_fields, &mut lines);
    let workspaces = |config: &RouteConfig| {
        named(config.workspaces.as_deref().unwrap_or_default(), |workspace| workspace.name.clone())
    };
    compare("workspace", &workspaces(in_force), &workspaces(next), workspace_fields, &mut lines);
    if in_force.workspaces.is_some() != next.workspaces.is_some() {
        let needed = if next.workspaces.is_some() { "needed" } else { "not needed any more" };
        lines.push(format!("workspaces: credentials are {needed}"));
    }
    if in_force.limits != next.limits {
        lines.push(format!("limits: {:?} -> {:?}", in_force.limits, next.limits));
    }
    lines
}

/// Fields of an entry as texts, by name.
type EntryFields = Vec<(&'static str, String)>;

fn named<T: Clone>(entries: &[T], name: fn(&T) -> String) -> BTreeMap<String, T> {
    entries.iter().map(|entry| (name(entry), entry.clone())).collect()
}

fn compare<T: PartialEq>(
    kind: &str,
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
    fields: fn(&T, &T) -> EntryFields,
    lines: &mut Vec<String>,
) {
    for name in before.keys().filter(|name| !after.contains_key(*name)) {
        lines.push(format!("{kind} {name}: removed"));
    }
    for (name, entry) in after {
        match before.get(name) {
            None => lines.push(format!("{kind} {name}: added")),
            Some(known) if known == entry => {}
            Some(known) => {
                for (field, change) in fields(known, entry) {
                    lines.push(format!("{kind} {name}: {field} {change}"));
                }
            }
        }
    }
}

fn changed<T: PartialEq + Debug>(
    fields: &mut EntryFields,
    name: &'static str,
    before: &T,
    after: &T,
) {
    if before != after {
        fields.push((name, format!("{before:?} -> {after:?}")));
    }
}

fn route_fields(before: &RouteRule, after: &RouteRule) -> EntryFields {
    let mut fields = EntryFields::new();
    changed(&mut fields, "host", &before.host, &after.host);
    changed(&mut fields, "prefix", &before.prefix, &after.prefix);
    changed(&mut fields, "kind", &before.kind, &after.kind);
    changed(&mut fields, "timeout_ms", &before.timeout_ms, &after.timeout_ms);
    changed(&mut fields, "objective_ms", &before.objective_ms, &after.objective_ms);
    changed(&mut fields, "priority", &before.priority, &after.priority);
    changed(&mut fields, "services", &before.split, &after.split);
    changed(&mut fields, "max_attempts", &before.max_attempts, &after.max_attempts);
    changed(&mut fields, "auth_exempt", &before.auth_exempt, &after.auth_exempt);
    changed(&mut fields, "resumable", &before.resumable, &after.resumable);
    changed(&mut fields, "pause_ms", &before.pause_ms, &after.pause_ms);
    fields
}

fn service_fields(before: &ServiceRule, after: &ServiceRule) -> EntryFields {
    let mut fields = EntryFields::new();
    let connections = (before.connection_limit, after.connection_limit);
    changed(&mut fields, "connection_limit", &connections.0, &connections.1);
    changed(&mut fields, "memory_tokens", &before.memory_tokens, &after.memory_tokens);
    changed(&mut fields, "event_tokens", &before.event_tokens, &after.event_tokens);
    fields
}

fn workspace_fields(before: &WorkspaceRule, after: &WorkspaceRule) -> EntryFields {
    let mut fields = EntryFields::new();
    let held = |workspace: &WorkspaceRule, other: &WorkspaceRule| {
        workspace.credentials.iter().filter(|held| !other.credentials.contains(held)).count()
    };
    let (added, removed) = (held(after, before), held(before, after));
    if added + removed > 0 {
        fields.push(("credentials", format!("{added} added, {removed} removed")));
    }
    changed(&mut fields, "priority", &before.priority, &after.priority);
    changed(&mut fields, "counts_tokens", &before.counts_tokens, &after.counts_tokens);
    changed(&mut fields, "default_tokens", &before.default_tokens, &after.default_tokens);
    changed(&mut fields, "rate_per_s", &before.rate_per_s, &after.rate_per_s);
    changed(&mut fields, "burst", &before.burst, &after.burst);
    fields
}
