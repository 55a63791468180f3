//! Load generator: sends planned requests at open-loop arrival times, checks the answers and
//! reports the results.

mod caller;
mod check;
mod plan;
mod prefill;
mod report;
mod run;

pub use plan::{LoadPlan, LoadProfile, PlanSettings, PlannedCall, PlannedRequest};
pub use prefill::{PrefillReport, measure_prefill};
pub use report::{AlreadyEndedRequest, LoadReport, TierReport, TimingReport};
pub use run::{LoadSettings, run_load};
