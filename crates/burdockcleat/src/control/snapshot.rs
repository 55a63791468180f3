//! Compacts the log: takes snapshots of the state and replaces log records with them.

use super::event::ControlEvent;
use super::node::ControlNode;
use crate::storage::StagedSnapshot;
use burdockcleat_core::replica::SnapshotImage;
use std::sync::Arc;
use std::thread;

/// Minimum number of log records per claim in the table before a snapshot is taken. A claim has two
/// records, and a snapshot of 1,000,000 claims takes 164 ms to encode.
const RECORDS_PER_CLAIM: u64 = 2;

impl ControlNode {
    /// Starts a snapshot once the log is long enough.
    ///
    /// The snapshot is encoded, written and synced on a separate thread, since with a million
    /// claims this takes a large part of the lease time.
    pub(super) fn start_compaction(&mut self) {
        if self.snapshot_in_progress
            || self.replica.log_length() < self.settings.compact_after.get()
        {
            return;
        }
        if self.replica.log_length() < RECORDS_PER_CLAIM * self.state.summary().claims as u64 {
            return;
        }
        // The log holds the last applied entry, unless nothing has been applied since a snapshot
        // from the leader was installed.
        let Some(image) = self.replica.snapshot_at(self.state.applied(), Arc::default()) else {
            return;
        };
        let (state, events) = (self.state.clone(), self.events.clone());
        let stager = self.storage.stager();
        let spawned = thread::Builder::new().name("snapshot".into()).spawn(move || {
            let image = SnapshotImage { data: state.snapshot().into(), ..image };
            drop(state);
            let staged = stager.write(&image).map(|staged| (image, staged));
            // Sending fails if the control thread has stopped. The snapshot is then not needed.
            let _ = events.send(ControlEvent::SnapshotStaged(staged));
        });
        match spawned {
            Ok(_) => self.snapshot_in_progress = true,
            Err(error) => log::error!(event = "thread_failed"; "starting a snapshot: {error}"),
        }
    }

    /// Compacts the log with a staged snapshot. The storage switches to the staged file when it
    /// persists the next output of the log.
    pub(super) fn activate_snapshot(&mut self, image: SnapshotImage, staged: StagedSnapshot) {
        self.snapshot_in_progress = false;
        let index = image.index;
        match self.replica.compact(index, image.data) {
            Ok(()) => {
                self.storage.keep_staged(staged);
                log::info!(event = "log_compacted", index = index; "replaced log records with a snapshot");
            }
            Err(error) => log::warn!(event = "compact_refused"; "{error}"),
        }
    }
}
