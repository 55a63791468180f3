//! Times of the stages of a shutdown.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::shutdown::ShutdownPlan;

/// Guards against stages that coincide in a short grace period, and against ending requests before
/// its last sixth.
#[test]
fn the_stages_of_a_shutdown_follow_each_other() {
    let start = ClockTime::from_ms(50);
    for grace_ms in [100, 1_000, 2_000, 3_000, 3_500, 5_000, 6_000, 8_000, 60_000] {
        let plan = ShutdownPlan::new(start, grace_ms);
        let times = [plan.close_at, plan.answer_at, plan.exit_at, start.plus(grace_ms)];
        assert!(start < times[0] && times.is_sorted_by(|a, b| a < b), "{grace_ms}: {plan:?}");
        assert!(plan.answer_at.since(start) * 6 >= grace_ms * 5, "{grace_ms}: {plan:?}");
    }
}
