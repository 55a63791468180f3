//! Orders of version roll-outs, and the verdict on versions of known kinds.

use burdockcleat_edge::placement::TargetKey;
use burdockcleat_edge::rollout::{
    AnswerQuality, RolloutHistory, RolloutRecord, RolloutState, RouteEvidence, TrialAnswer,
    TrialSide, TrialTiming, TrialVerdict, judge_trial,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn order(to: &str, started: u64, duration_ms: u64) -> RolloutRecord {
    RolloutRecord { to: to.into(), started, duration_ms, state: RolloutState::InProgress }
}

/// Guards against an accepted order that another one replaces, or that a late or foreign verdict
/// ends.
#[test]
fn a_running_order_ends_only_by_its_own_verdict() {
    let mut history = RolloutHistory::default();
    history.start(&order("v2", 10, 12_000));
    let running = history.clone();
    history.start(&order("v3", 20, 12_000));
    history.start(&order("v2", 30, 12_000));
    history.finish("v2", 20, RolloutState::Reverted);
    history.finish("v3", 10, RolloutState::Reverted);
    assert_eq!(history, running);
    history.finish("v2", 10, RolloutState::Completed);
    history.finish("v2", 10, RolloutState::Reverted);
    assert_eq!(history.newest().unwrap().state, RolloutState::Completed);
    history.start(&order("v2", 40, 12_000));
    assert!(history.running().is_none(), "a repeated order starts nothing anew");
    assert!(history.has_accepted("v2", 12_000) && !history.has_accepted("v3", 12_000));
}

/// Guards against requests to a version that was reverted or replaced, also after later orders.
#[test]
fn ended_orders_decide_which_versions_serve() {
    let mut history = RolloutHistory::default();
    let serves = |history: &RolloutHistory| {
        let policy = history.policy();
        ["v1", "v2", "v3"].map(|version| policy.allows(version))
    };
    assert_eq!(serves(&history), [true; 3], "before any order all versions serve");
    let steps = [
        ("v2", RolloutState::Reverted, [true; 3], [true, false, true]),
        ("v3", RolloutState::Completed, [true, false, true], [false, false, true]),
        ("v1", RolloutState::Reverted, [true, false, true], [false, false, true]),
        ("v3", RolloutState::Reverted, [false, false, true], [false, false, true]),
    ];
    for (number, (to, end, during, after)) in (0..).zip(steps) {
        history.start(&order(to, number, number));
        assert_eq!(serves(&history), during, "during order {number}");
        history.finish(to, number, end);
        assert_eq!(serves(&history), after, "after order {number}");
    }
    for number in 10..200 {
        history.start(&order("v2", number, number));
        history.finish("v2", number, RolloutState::Reverted);
    }
    assert_eq!(serves(&history), [false, false, true], "old orders were dropped");
}

/// Kind of a version on trial.
struct TrialKind {
    failing: f64,
    slow: f64,
    /// Only route with these faults; all if `None`.
    route: Option<usize>,
    /// Rate of failures of all versions.
    overload: f64,
    /// Part of the duration after which the faults show.
    from: f64,
    /// Whether the answers of the version between 3 and 4 s break off at one target.
    crash: bool,
}

const SOUND: TrialKind =
    TrialKind { failing: 0.0, slow: 0.0, route: None, overload: 0.01, from: 0.0, crash: false };

/// Plays a trial of 12 s with 7 answers a second of the version on trial and 90 of the others. Returns
/// the verdict, the time and the bad answers until then.
fn play(kind: &TrialKind, seed: u64) -> (TrialVerdict, u64, u32) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut routes = vec![RouteEvidence::default(); 4];
    let mut bad_answers = 0;
    for age_ms in (0..12_000).step_by(10) {
        let side = match random.random_range(0..1_000) {
            0..70 => TrialSide::Trial,
            70..970 => TrialSide::Other,
            _ => continue,
        };
        let route = random.random_range(0..routes.len());
        let faulty = side == TrialSide::Trial
            && kind.route.is_none_or(|only| only == route)
            && age_ms as f64 >= kind.from * 12_000.0;
        let failed =
            random.random_bool(kind.overload) || (faulty && random.random_bool(kind.failing));
        let slow = faulty && random.random_bool(kind.slow);
        let crashed = kind.crash && side == TrialSide::Trial && age_ms / 1_000 == 3;
        let quality = match (crashed, failed) {
            (true, _) => AnswerQuality::broke_off(TargetKey(1), age_ms),
            (_, true) => AnswerQuality::Failed,
            _ => AnswerQuality::Sound,
        };
        bad_answers += u32::from(side == TrialSide::Trial && (failed || slow));
        let prompt_tokens = [500, 1_800, 3_000][random.random_range(0..3)];
        // A third of the targets of each version takes three times as long.
        let speed = if random.random_bool(1.0 / 3.0) { 3.0 } else { 1.0 };
        let first = f64::from(prompt_tokens) * 0.05 * speed * random.random_range(0.8..1.4);
        let first_ms = Some((first * if slow { 5.0 } else { 1.0 }) as u64);
        let answer = TrialAnswer { side, quality, prompt_tokens, first_ms, total_ms: first_ms };
        routes[route].count(&answer);
        if age_ms % 200 != 0 {
            continue;
        }
        let verdict = judge_trial(routes.iter(), TrialTiming { age_ms, duration_ms: 12_000 });
        if verdict != TrialVerdict::Open {
            return (verdict, age_ms, bad_answers);
        }
    }
    (TrialVerdict::Open, 12_000, bad_answers)
}

/// Plays 50 seeds and returns how many ended well, and checks that all end before the deadline.
fn count_good(kind: &TrialKind) -> usize {
    let ends = (0..50).map(|seed| play(kind, seed));
    let good = ends.inspect(|(_, age_ms, bad)| assert!(*age_ms <= 10_400 && *bad < 50));
    good.filter(|(verdict, ..)| *verdict == TrialVerdict::Good).count()
}

/// Guards against bad versions that are completed, and against sound ones that are reverted, also
/// while all versions fail alike. Figures are the limits for 50 seeds.
#[test]
fn bad_versions_are_found_and_sound_ones_completed() {
    assert!(count_good(&SOUND) >= 47);
    assert!(count_good(&TrialKind { overload: 0.25, ..SOUND }) >= 45);
    assert!(count_good(&TrialKind { crash: true, ..SOUND }) >= 45);
    assert!(count_good(&TrialKind { failing: 0.4, ..SOUND }) == 0);
    assert!(count_good(&TrialKind { failing: 0.4, from: 0.3, ..SOUND }) <= 3);
    assert!(count_good(&TrialKind { slow: 0.6, ..SOUND }) <= 3);
    assert!(count_good(&TrialKind { failing: 0.7, route: Some(2), ..SOUND }) <= 3);
    let few = judge_trial([].iter(), TrialTiming { age_ms: 10_000, duration_ms: 12_000 });
    assert!(matches!(few, TrialVerdict::Bad { .. }), "without answers nothing is known");
}
