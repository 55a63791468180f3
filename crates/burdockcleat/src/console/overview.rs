//! Renders the read-only console pages: status, history and the changes of a version.

use super::VERSION_PARAMETER;
use super::page::page_with_links;
use crate::operator::{EntryStatus, HistoryEntry, HistoryReply, StatusReply};
use burdockcleat_core::document::DocumentChange;
use maud::{Markup, html};

/// Renders the page with the state of the deployment.
pub fn render_status(status: &StatusReply) -> String {
    let members = status
        .members
        .iter()
        .map(|member| row(&[&member.address, &member.node, &member.role, &member.stored_index]));
    let entries = status.entries.iter().map(entry_row);
    let pools = status
        .pools
        .iter()
        .map(|pool| row(&[&pool.name, &pool.targets, &pool.waiting, &pool.running]));
    let targets = status.targets.iter().map(|target| {
        let models = target.models.join(", ");
        let load = format!("{} of {}", target.running, target.slots);
        row(&[&target.name, &target.pool, &target.state, &load, &models])
    });
    let orders = status.orders.iter().map(|order| {
        let state = format!("{:?}", order.state).to_lowercase();
        row(&[&order.target, &order.model, &state, &order.operation_id, &order.message])
    });
    page_with_links(&html! {
        h1 { "Status" }
        p {
            "Version " strong { (status.config_version) } " of the configuration is in force. "
            (status.instance) " answers as the leader of term " (status.term) "."
        }
        (table("Control instances", &["address", "node", "role", "stored log index"], members))
        (table("Entries", &["name", "state", "version", "running", "silent ms"], entries))
        (table("Pools", &["name", "targets", "waiting", "running"], pools))
        (table("Targets", &["name", "pool", "state", "running", "models"], targets))
        (table("Orders", &["target", "model", "state", "operation id", "message"], orders))
    })
}

/// Renders the page with the kept versions, newest first.
pub fn render_history(history: &HistoryReply) -> String {
    let versions = history.versions.iter().map(version_row);
    page_with_links(&html! {
        h1 { "History" }
        (table("Kept versions", &["version", "time (UTC)", "changes", "author", "operation id"], versions))
    })
}

/// Renders the page with the changes of a version compared with the previous one.
pub fn render_changes(version: u64, changes: &[DocumentChange]) -> String {
    page_with_links(&html! {
        h1 { "Version " (version) }
        @if changes.is_empty() { p { "Nothing changed." } }
        ul { @for change in changes { li { code { (change) } } } }
        p { a href="/console/history" { "All kept versions" } }
    })
}

fn entry_row(entry: &EntryStatus) -> Markup {
    let state = if entry.draining { "draining" } else { "open" };
    row(&[&entry.name, &state, &entry.config_version, &entry.running, &entry.silent_ms])
}

fn version_row(entry: &HistoryEntry) -> Markup {
    let link = format!("/console/history?{VERSION_PARAMETER}={}", entry.version);
    html! {
        tr {
            td { a href=(link) { (entry.version) } }
            td { (entry.time_rfc3339()) }
            td { (entry.changes) }
            td { (entry.author) }
            td { code { (entry.operation_id) } }
        }
    }
}

/// Renders a table row.
fn row(cells: &[&dyn std::fmt::Display]) -> Markup {
    html! { tr { @for cell in cells { td { (cell.to_string()) } } } }
}

/// Renders a titled table, or a placeholder if it has no rows.
fn table(title: &str, columns: &[&str], rows: impl Iterator<Item = Markup>) -> Markup {
    let rows: Vec<Markup> = rows.collect();
    html! {
        h2 { (title) }
        @if rows.is_empty() {
            p { "None." }
        } @else {
            table {
                thead { tr { @for column in columns { th scope="col" { (column) } } } }
                tbody { @for row in &rows { (row) } }
            }
        }
    }
}
