//! Features of the placement that a deployment turns on.

/// Features of the scheduler of one service. Without any, it schedules by rank, size and speed alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementFeatures {
    /// Workspaces get shares of the slot time under pressure.
    pub workspace_shares: bool,
    /// The tokens that a target holds are bounded by its memory.
    pub target_memory: bool,
    /// Targets that have just started or recovered get requests at the pace of their answers.
    pub target_pace: bool,
    /// Refused requests have a place at the time that they were told to return at.
    pub return_bookings: bool,
    /// Requests that no target can end in time are refused at the start.
    pub feasibility: bool,
    /// Requests stay in the failure domain of their node while it has room.
    pub domain_affinity: bool,
}

impl PlacementFeatures {
    /// Returns the features of a deployment. `pressure` tells whether its settings state that callers
    /// and memory are under pressure.
    pub const fn for_settings(pressure: bool) -> Self {
        Self {
            workspace_shares: pressure,
            target_memory: pressure,
            target_pace: pressure,
            return_bookings: pressure,
            feasibility: pressure,
            domain_affinity: false,
        }
    }

    /// Adds the features of a service whose targets state how long work takes on them at the moment.
    #[must_use]
    pub const fn with_load_reports(self) -> Self {
        Self { target_pace: true, domain_affinity: true, ..self }
    }
}
