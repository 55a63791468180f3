//! Builds status replies, other replies to operators, and the state dump.

use super::event::CallReply;
use super::node::ControlNode;
use super::replies::{error_reply, unconfirmed_reply};
use crate::link::LinkTotals;
use crate::operator::{
    ApplyReply, ConfigReply, ConflictReply, DrainReply, EntryStatus, ErrorCode, HistoryEntry,
    HistoryReply, MemberStatus, OrderReply, OrderState, OrderStatus, PoolStatus, StatusReply,
    TargetStatus,
};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::replica::ReplicaStatus;
use burdockcleat_core::state::{
    CommandReply, ConfigView, DocumentReply, DrainSubject, OrderAction, OrderRecord, OrderResult,
    ReplicatedState, StateSummary,
};
use serde::Serialize;
use serde_json::json;

/// Body of the state dump of a control instance.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct ControlDump {
    name: String,
    failure_domain: String,
    replica: ReplicaStatus,
    state: StateSummary,
    status: StatusReply,
    leading: bool,
    requests: usize,
    pending_replies: usize,
    orders_in_flight: usize,
    log_bytes: u64,
    log_syncs: u64,
    links: LinkTotals,
}

/// Returns the reply to an operator's write.
pub(super) fn command_reply(reply: &CommandReply, state: &ReplicatedState) -> CallReply {
    match reply {
        CommandReply::Document(DocumentReply::Accepted { version }) => {
            CallReply::json(200, &ApplyReply { version: *version })
        }
        CommandReply::Document(DocumentReply::Conflict { current }) => {
            let (error, current_version) = (ErrorCode::Conflict, *current);
            CallReply::json(409, &ConflictReply { error, current_version })
        }
        CommandReply::OrderIssued(id) => {
            let record = state.orders().find(|record| record.id == *id);
            let state = record.map_or(OrderState::Done, |record| order_state(record, false).0);
            CallReply::json(200, &OrderReply { fencing: id.0, state })
        }
        CommandReply::Drained(subject) => {
            let running = match subject {
                DrainSubject::Entry { node, .. } => state.open_claims_of(*node).count(),
                DrainSubject::Target(identity) => state.open_claims_at(identity).count(),
            };
            CallReply::json(200, &DrainReply { running: saturating_u32(running) })
        }
        CommandReply::OperationReused => {
            let message = "the operation id was used before with another request";
            error_reply(409, ErrorCode::OperationReused, message)
        }
        _ => unconfirmed_reply(),
    }
}

/// Returns the reply with a retained version of the configuration.
pub(super) fn version_reply(state: &ReplicatedState, version: u64) -> CallReply {
    match state.document(version) {
        Some(document) => config_reply(&ConfigView { version, document }),
        None => error_reply(404, ErrorCode::NotFound, format!("version {version} is not kept")),
    }
}

/// Returns the state of an order, and the error message if it failed.
fn order_state(record: &OrderRecord, sent: bool) -> (OrderState, String) {
    match &record.result {
        None if sent => (OrderState::Sent, String::new()),
        None => (OrderState::Accepted, String::new()),
        Some(OrderResult::Succeeded) => (OrderState::Done, String::new()),
        Some(OrderResult::Failed { message }) => (OrderState::Failed, message.clone()),
        Some(OrderResult::Unknown) => (OrderState::Failed, "not confirmed".into()),
    }
}

/// Returns the reply with a version of the configuration.
pub(super) fn config_reply(config: &ConfigView) -> CallReply {
    let reply = ConfigReply { version: config.version, document: config.document.to_string() };
    CallReply::json(200, &reply)
}

/// Returns the reply that lists the retained versions, newest first.
pub(super) fn history_reply(state: &ReplicatedState) -> CallReply {
    let mut versions: Vec<HistoryEntry> = state
        .history()
        .into_iter()
        .map(|record| HistoryEntry {
            version: record.version,
            author: record.author,
            operation_id: record.operation_id,
            time_ms: record.at.as_ms(),
            changes: record.changes,
        })
        .collect();
    versions.sort_by_key(|entry| std::cmp::Reverse(entry.version));
    CallReply::json(200, &HistoryReply { versions })
}

/// Converts a count to the type used in replies.
fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

impl ControlNode {
    /// Returns the URL of the leader, if it is known. An instance that was elected but has not
    /// committed a record of its term does not count as leader.
    pub(super) fn leader_url(&self) -> Option<String> {
        let leader = self.replica.leader()?;
        if leader == self.replica.node() && self.admission.is_none() {
            return None;
        }
        self.members.operator_url(leader)
    }

    /// Returns whether this instance is an active member of the group: a voter that follows a
    /// leader, or a leader with a valid lease.
    pub(super) fn is_ready(&self) -> bool {
        let now = ClockTime::monotonic();
        self.replica.members().is_voter(self.replica.node())
            && match self.replica.is_leader() {
                true => self.admission.is_some() && self.replica.lease_valid(now),
                false => self.replica.leader().is_some(),
            }
    }

    pub(super) fn ready_reply(&self) -> CallReply {
        let ready = self.is_ready();
        CallReply::json(if ready { 200 } else { 503 }, &json!({ "ready": ready }))
    }

    pub(super) fn dump_reply(&self) -> CallReply {
        let now = ClockTime::monotonic();
        let dump = ControlDump {
            name: self.settings.name.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            replica: self.replica.status(now),
            state: self.state.summary(),
            status: self.status(),
            leading: self.admission.is_some(),
            requests: self.admission.as_ref().map_or(0, |admission| admission.request_count()),
            pending_replies: self.replies.len(),
            orders_in_flight: self.orders.in_flight(),
            log_bytes: self.storage.log_bytes(),
            log_syncs: self.storage.sync_count(),
            links: self.link.totals(),
        };
        CallReply::json(200, &dump)
    }

    pub(super) fn status(&self) -> StatusReply {
        let now = ClockTime::monotonic();
        let leading = self.admission.is_some() && self.replica.lease_valid(now);
        StatusReply {
            instance: self.settings.name.clone(),
            leading,
            leader: self.leader_url(),
            term: self.replica.term(),
            config_version: self.state.config().version,
            members: self.member_status(now),
            entries: self.entry_status(now),
            pools: self.pool_status(),
            targets: self.target_status(),
            orders: self.order_status(),
        }
    }

    fn member_status(&self, now: ClockTime) -> Vec<MemberStatus> {
        let status = self.replica.status(now);
        let members = self.replica.members();
        let records = members.voters.iter().chain(&members.learners);
        records
            .map(|record| {
                let peer = status.peers.iter().find(|peer| peer.node == record.node);
                let is_self = record.node == self.replica.node();
                MemberStatus {
                    node: record.node.to_string(),
                    address: record.address.to_string(),
                    role: match self.replica.leader() {
                        Some(leader) if leader == record.node => "leader",
                        _ if members.is_voter(record.node) => "follower",
                        _ => "learner",
                    }
                    .into(),
                    stored_index: match (is_self, peer) {
                        (true, _) => status.last_index,
                        (false, Some(peer)) => peer.match_index,
                        (false, None) => 0,
                    },
                }
            })
            .collect()
    }

    fn entry_status(&self, now: ClockTime) -> Vec<EntryStatus> {
        let entries = self.config.entries();
        entries
            .map(|(node, entry)| EntryStatus {
                name: entry.name.clone(),
                config_version: entry.config_version,
                draining: self.state.entry_drained(*node),
                running: saturating_u32(self.state.open_claims_of(*node).count()),
                silent_ms: now.since(entry.last_heard),
            })
            .collect()
    }

    fn pool_status(&self) -> Vec<PoolStatus> {
        let Some(admission) = &self.admission else { return Vec::new() };
        let registry = admission.registry();
        let eligible = |name: &str| {
            let targets = registry.iter();
            targets
                .filter(|(key, record)| {
                    record.announcement.pool == name && registry.is_eligible(*key)
                })
                .count()
        };
        let pools = admission.pools().iter();
        pools
            .map(|(name, pool)| {
                let counts = pool.counts();
                PoolStatus {
                    name: name.clone(),
                    targets: saturating_u32(eligible(name)),
                    waiting: saturating_u32(counts.waiting),
                    running: saturating_u32(counts.running),
                }
            })
            .collect()
    }

    fn target_status(&self) -> Vec<TargetStatus> {
        let Some(admission) = &self.admission else { return Vec::new() };
        let targets = admission.registry().iter();
        targets
            .map(|(key, record)| {
                let target = &record.announcement;
                let straggler =
                    admission.pools().get(&target.pool).is_some_and(|pool| pool.is_straggler(key));
                let running = self.state.open_claims_at(&target.identity()).count();
                TargetStatus {
                    name: target.name.clone(),
                    pool: target.pool.clone(),
                    incarnation: target.incarnation,
                    state: match (record.draining, record.silent, straggler) {
                        (true, ..) => "draining",
                        (_, true, _) => "silent",
                        (_, _, true) => "straggler",
                        _ => "ready",
                    }
                    .into(),
                    models: target.models.clone(),
                    running: saturating_u32(running),
                    slots: target.slots,
                }
            })
            .collect()
    }

    fn order_status(&self) -> Vec<OrderStatus> {
        let orders = self.state.orders();
        orders
            .map(|record| {
                let (state, message) = order_state(record, self.orders.has_been_sent(record.id));
                let model = match &record.order.action {
                    OrderAction::LoadModel { model, .. } => model.clone(),
                    _ => String::new(),
                };
                let target = record.order.target.clone();
                let operation_id = record.operation_id.clone();
                OrderStatus { operation_id, target, model, state, message }
            })
            .collect()
    }
}
