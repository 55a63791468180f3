//! The thread that owns the replica's files: a slow or stalled disk holds up nothing else.

use crate::datagram::ValueMark;
use crate::register::{AcceptedValue, BallotNumber, PhaseReply, RegisterValue, ReplicaState};
use crate::slots::{SlotError, SlotStore};
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::oneshot;

/// A call to the replica.
pub(crate) enum StoreCall {
    Prepare(BallotNumber),
    Accept(BallotNumber, RegisterValue),
}

struct StoreJob {
    call: StoreCall,
    reply: oneshot::Sender<Result<PhaseReply, SlotError>>,
}

/// Running replica.
pub(crate) struct StoreHandle {
    jobs: Sender<StoreJob>,
    accepted: Arc<Mutex<Option<AcceptedValue>>>,
    disk: u64,
}

impl StoreHandle {
    /// Opens the files in a folder and starts the thread.
    pub(crate) fn spawn(folder: &Path, new_disk: u64) -> Result<Self, SlotError> {
        let (store, state) = SlotStore::open(folder, new_disk)?;
        let disk = store.disk();
        let accepted = Arc::new(Mutex::new(state.accepted.clone()));
        let (jobs, receiver) = channel();
        let shared = accepted.clone();
        std::thread::Builder::new()
            .name("store".into())
            .spawn(move || serve(store, state, &receiver, &shared))
            .map_err(|source| SlotError::File {
                action: "starting the thread for",
                path: folder.to_owned(),
                source,
            })?;
        Ok(Self { jobs, accepted, disk })
    }

    pub(crate) const fn disk(&self) -> u64 {
        self.disk
    }

    pub(crate) fn accepted(&self) -> Option<AcceptedValue> {
        self.accepted.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn accepted_mark(&self) -> Option<ValueMark> {
        let accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
        accepted.as_ref().map(|a| ValueMark { ballot: a.ballot, version: a.value.version })
    }

    /// Has the replica answer once its state is durable. None if it could not be made so.
    pub(crate) async fn call(&self, call: StoreCall) -> Option<PhaseReply> {
        let (reply, receiver) = oneshot::channel();
        self.jobs.send(StoreJob { call, reply }).ok()?;
        match receiver.await.ok()? {
            Ok(reply) => Some(reply),
            Err(error) => {
                use std::error::Error;
                let cause = error.source().map(ToString::to_string).unwrap_or_default();
                log::warn!(target: "burdockcleat", "event=replica.save_failed cause=\"{error}: {cause}\"");
                None
            }
        }
    }
}

fn serve(
    mut store: SlotStore,
    mut state: ReplicaState,
    jobs: &Receiver<StoreJob>,
    accepted: &Mutex<Option<AcceptedValue>>,
) {
    while let Ok(job) = jobs.recv() {
        let mut next = state.clone();
        let reply = match job.call {
            StoreCall::Prepare(ballot) => next.prepare(ballot),
            StoreCall::Accept(ballot, value) => next.accept(ballot, &value),
        };
        let saved = if next == state { Ok(()) } else { store.save(&next) };
        let reply = saved.map(|()| {
            state = next;
            accepted.lock().unwrap_or_else(PoisonError::into_inner).clone_from(&state.accepted);
            reply
        });
        // The caller may have given up waiting.
        let _ = job.reply.send(reply);
    }
}
