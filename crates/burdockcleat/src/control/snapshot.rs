//! Snapshots of the state: when one is taken, and the switch to it.

use super::event::ControlEvent;
use super::node::ControlNode;
use crate::storage::StagedSnapshot;
use burdockcleat_core::replica::SnapshotImage;
use std::sync::Arc;
use std::thread;

/// Log records per claim in the table before a snapshot is worth its cost: a snapshot of 1,000,000
/// claims takes 164 ms to encode, and a claim has two records.
const RECORDS_PER_CLAIM: u64 = 2;

impl ControlNode {
    /// Starts a snapshot once the log is long. It is encoded, written and synced on a thread of its
    /// own, since that takes a large part of the lease at a million claims.
    pub(super) fn compact(&mut self) {
        if self.encoding || self.replica.log_length() < self.settings.compact_after.get() {
            return;
        }
        if self.replica.log_length() < RECORDS_PER_CLAIM * self.state.summary().claims as u64 {
            return;
        }
        // The log holds the last applied entry unless nothing was applied since an installed
        // snapshot.
        let Some(image) = self.replica.snapshot_at(self.state.applied(), Arc::default()) else {
            return;
        };
        let (state, events) = (self.state.clone(), self.events.clone());
        let stager = self.storage.stager();
        let spawned = thread::Builder::new().name("snapshot".into()).spawn(move || {
            let image = SnapshotImage { data: state.snapshot().into(), ..image };
            drop(state);
            let staged = stager.write(&image).map(|staged| (image, staged));
            // The control thread may have stopped; then nobody needs the snapshot.
            let _ = events.send(ControlEvent::SnapshotStaged(staged));
        });
        match spawned {
            Ok(_) => self.encoding = true,
            Err(error) => log::error!(event = "thread_failed"; "starting a snapshot: {error}"),
        }
    }

    /// Puts a staged snapshot in effect with the next output of the log.
    pub(super) fn switch_snapshot(&mut self, image: SnapshotImage, staged: StagedSnapshot) {
        self.encoding = false;
        let index = image.index;
        match self.replica.compact(index, image.data) {
            Ok(()) => {
                self.storage.keep_staged(staged);
                log::info!(event = "log_compacted", index = index; "snapshot taken");
            }
            Err(error) => log::warn!(event = "compact_refused"; "{error}"),
        }
    }
}
