//! Answers to operators and the state dump.

use super::event::CallReply;
use super::node::ControlNode;
use super::replies::unconfirmed;
use crate::link::LinkTotals;
use crate::operator::{
    ApplyReply, ConfigReply, ConflictReply, DrainKind, DrainReply, DrainRequest, EntryStatus,
    ErrorCode, ErrorReply, HistoryEntry, HistoryReply, MemberStatus, OrderReply, OrderRequest,
    OrderState, OrderStatus, PoolStatus, StatusReply, TargetStatus,
};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::registry::TargetAnnouncement;
use burdockcleat_core::replica::ReplicaStatus;
use burdockcleat_core::state::{
    CommandReply, ConfigView, DocumentReply, EngineOrder, OrderAction, OrderResult,
    ReplicatedState, StateCommand, StateSummary,
};
use serde::Serialize;

/// Dump of a control instance.
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

/// Answer to an apply.
pub(super) fn apply_reply(reply: &CommandReply) -> CallReply {
    match reply {
        CommandReply::Document(DocumentReply::Accepted { version }) => {
            CallReply::json(200, &ApplyReply { version: *version })
        }
        CommandReply::Document(DocumentReply::Conflict { current }) => CallReply::json(
            409,
            &ConflictReply { error: ErrorCode::Conflict, current_version: *current },
        ),
        _ => unconfirmed(),
    }
}

/// Answer to an order.
pub(super) fn order_reply(reply: &CommandReply) -> CallReply {
    match reply {
        CommandReply::OrderIssued(id) => {
            CallReply::json(200, &OrderReply { fencing: id.0, state: OrderState::Accepted })
        }
        _ => unconfirmed(),
    }
}

/// Answer with the configuration in force.
pub(super) fn config_reply(config: &ConfigView) -> CallReply {
    let reply = ConfigReply { version: config.version, document: config.document.to_string() };
    CallReply::json(200, &reply)
}

/// Answer with the kept versions.
pub(super) fn history_reply(state: &ReplicatedState) -> CallReply {
    let mut versions: Vec<HistoryEntry> = state
        .history()
        .into_iter()
        .map(|record| HistoryEntry {
            version: record.version,
            author: record.author,
            operation_id: record.operation_id,
            time_ms: record.at.as_ms(),
            changes: 0,
        })
        .collect();
    versions.sort_by_key(|entry| std::cmp::Reverse(entry.version));
    CallReply::json(200, &HistoryReply { versions })
}

fn not_found(message: &str) -> CallReply {
    CallReply::json(404, &ErrorReply { error: ErrorCode::NotFound, message: message.into() })
}

/// A count as it is reported.
fn saturate(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

impl ControlNode {
    pub(super) fn leader_url(&self) -> Option<String> {
        let leader = self.replica.leader()?;
        if leader == self.replica.node() && self.admission.is_none() {
            return None;
        }
        self.members.operator_url(leader)
    }

    /// The command for an order, after a check that the target takes orders from us.
    pub(super) fn order_command(&self, request: &OrderRequest) -> Result<StateCommand, CallReply> {
        let Some(admission) = &self.admission else { return Err(unconfirmed()) };
        let mut known = admission.registry().iter().map(|(_, record)| &record.announcement);
        if !known.any(|target| target.name == request.target) {
            return Err(not_found("no such target is announced"));
        }
        let action =
            OrderAction::LoadModel { model: request.model.clone(), version: String::new() };
        let order = EngineOrder { target: request.target.clone(), action };
        Ok(StateCommand::IssueOrder { order, operation_id: request.operation_id.clone() })
    }

    pub(super) fn drain(&mut self, request: &DrainRequest) -> CallReply {
        let Some(admission) = &self.admission else { return unconfirmed() };
        match request.kind {
            DrainKind::Target => {
                let identity = admission
                    .registry()
                    .iter()
                    .map(|(_, record)| &record.announcement)
                    .find(|target| target.name == request.name)
                    .map(TargetAnnouncement::identity);
                let Some(identity) = identity else {
                    return not_found("no such target is announced");
                };
                self.leave(&identity);
                let running = self.state.open_claims_at(&identity).count();
                let running = saturate(running);
                CallReply::json(200, &DrainReply { running })
            }
            DrainKind::Entry => {
                let node = self
                    .config
                    .entries()
                    .find(|(_, entry)| entry.name == request.name)
                    .map(|(node, _)| *node);
                let Some(node) = node else { return not_found("no such entry is linked") };
                self.send_entry(node, &burdockcleat_core::message::ControlMessage::Drain);
                let running = self.state.open_claims_of(node).count();
                let running = saturate(running);
                CallReply::json(200, &DrainReply { running })
            }
        }
    }

    pub(super) fn status_reply(&self) -> CallReply {
        CallReply::json(200, &self.status())
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

    fn status(&self) -> StatusReply {
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
                let own = record.node == self.replica.node();
                MemberStatus {
                    node: record.node.to_string(),
                    address: record.address.to_string(),
                    role: match self.replica.leader() {
                        Some(leader) if leader == record.node => "leader",
                        _ if members.is_voter(record.node) => "follower",
                        _ => "learner",
                    }
                    .into(),
                    stored_index: match (own, peer) {
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
                draining: false,
                running: saturate(self.state.open_claims_of(*node).count()),
                silent_ms: now.since(entry.heard),
            })
            .collect()
    }

    fn pool_status(&self) -> Vec<PoolStatus> {
        let Some(admission) = &self.admission else { return Vec::new() };
        let eligible = |name: &str| {
            let targets = admission.registry().iter();
            targets.filter(|(_, record)| record.announcement.pool == name && !record.silent).count()
        };
        let pools = admission.pools().iter();
        pools
            .map(|(name, pool)| {
                let counts = pool.counts();
                PoolStatus {
                    name: name.clone(),
                    targets: saturate(eligible(name)),
                    waiting: saturate(counts.waiting),
                    running: saturate(counts.running),
                }
            })
            .collect()
    }

    fn target_status(&self) -> Vec<TargetStatus> {
        let Some(admission) = &self.admission else { return Vec::new() };
        let targets = admission.registry().iter();
        targets
            .map(|(_, record)| {
                let target = &record.announcement;
                let running = self.state.open_claims_at(&target.identity()).count();
                TargetStatus {
                    name: target.name.clone(),
                    pool: target.pool.clone(),
                    incarnation: target.incarnation,
                    state: if record.silent { "silent" } else { "ready" }.into(),
                    models: target.models.clone(),
                    running: saturate(running),
                    slots: target.slots,
                }
            })
            .collect()
    }

    fn order_status(&self) -> Vec<OrderStatus> {
        let orders = self.state.orders();
        orders
            .map(|record| {
                let (state, message) = match &record.result {
                    None => (OrderState::Accepted, String::new()),
                    Some(OrderResult::Succeeded) => (OrderState::Done, String::new()),
                    Some(OrderResult::Failed { message }) => (OrderState::Failed, message.clone()),
                    Some(OrderResult::Unknown) => (OrderState::Failed, "not confirmed".into()),
                };
                let model = match &record.order.action {
                    OrderAction::LoadModel { model, .. } => model.clone(),
                    _ => String::new(),
                };
                let target = record.order.target.clone();
                OrderStatus { operation_id: record.id.0.to_string(), target, model, state, message }
            })
            .collect()
    }
}
