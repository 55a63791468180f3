//! Reports the shares of workspaces to operators.

use super::NodeState;
use crate::dispatch::workspace_key;
use std::collections::BTreeMap;

impl NodeState {
    /// Logs and counts the workspaces that ask for more than their share while their requests wait.
    /// Called once a second at the placement coordinator, so the counter is in seconds.
    pub(super) fn report_shares(&self) {
        let excesses = self.scheduler.borrow().share_excesses();
        if excesses.is_empty() {
            return;
        }
        let config = self.config();
        let workspaces = config.iter().flat_map(|config| config.workspaces.iter().flatten());
        let names: BTreeMap<_, _> = workspaces
            .map(|workspace| (workspace_key(&workspace.name), &*workspace.name))
            .collect();
        for excess in excesses {
            let name = names.get(&excess.workspace).copied().unwrap_or("removed");
            log::info!(
                target: "burdockcleat",
                "event=placement.share service={} workspace={name} asked={:.2} granted={:.2} share={:.2}",
                excess.service, excess.asked, excess.granted, excess.share
            );
            self.metrics.borrow_mut().count("share_excess_seconds", name, 1);
        }
    }
}
