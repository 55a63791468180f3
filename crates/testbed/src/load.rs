//! Load program: open-loop arrivals from a plan, checked answers and a report.

mod caller;
mod check;
mod plan;
mod report;
mod run;
mod waste;

pub use plan::{LoadPlan, LoadProfile, PlanSettings, PlannedCall, PlannedRequest};
pub use report::{EndedRequest, LoadReport, TierReport, TimingReport};
pub use run::{LoadSettings, run_load};
pub use waste::{PrefillReport, measure_prefill};
