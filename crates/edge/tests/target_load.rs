//! Load that targets state: parsing, its effect on the placement, and that a disturbance never
//! becomes the lasting speed of a target.

#[path = "support/placement.rs"]
mod support;

use burdockcleat_edge::placement::{
    AttemptOutcome, PlacementFeatures, PlacementKey, PlacementScheduler, ProcessKey, SpeedModel,
    TargetKey,
};
use burdockcleat_edge::target_load::{LoadReport, TargetLoad};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{SERVICE, SLOTS, at, granted, listed, request};

/// Lasting speed of all simulated targets.
const SPEED: SpeedModel = SpeedModel { fixed_ms: 10.0, read_ms: 0.0235, token_ms: 4.6 };
/// Duration of a disturbance, and of the time between two, in ms.
const TURN_MS: u64 = 600;
const SLOWED: TargetKey = TargetKey(0);
const TWIN: TargetKey = TargetKey(1);

fn scheduler(targets: u64) -> PlacementScheduler {
    support::scheduler(targets, PlacementFeatures::default())
}

fn report(text: &str, age_ms: u64) -> LoadReport {
    LoadReport::new(TargetLoad::parse(text).expect("a load"), age_ms).expect("young enough")
}

/// Guards against figures that cannot be read but change the placement.
#[test]
fn only_positive_numbers_are_loads() {
    let load = |work_percent| TargetLoad { running: 3, waiting: 1, slots: 7, work_percent };
    assert_eq!(TargetLoad::parse("3,1,7"), Some(load(None)));
    assert_eq!(TargetLoad::parse(" 3, 1,7 ,249.6"), Some(load(Some(250))));
    let invalid = [
        "",
        "3,1",
        "3,1,x",
        "3,-1,7",
        "3,1,7,",
        "3,1,7,NaN",
        "3,1,7,0",
        "3,1,7,1e9",
        "3,1,7,100,1",
    ];
    for text in invalid {
        assert_eq!(TargetLoad::parse(text), None, "{text}");
    }
}

/// Guards against features that start without the percentage, or end when the settings are applied
/// again.
#[test]
fn a_percentage_turns_on_the_features_of_its_service() {
    let mut scheduler = scheduler(1);
    let off = PlacementFeatures::for_settings(false);
    scheduler.observe_load(SLOWED, report("1,0,7", 0), at(10));
    scheduler.observe_load(TargetKey(9), report("1,0,7,100", 0), at(10));
    assert_eq!(scheduler.features_of(SERVICE), off);
    assert_eq!(scheduler.load_counts(at(10)), None);
    assert_eq!(scheduler.observe_load(SLOWED, report("1,0,7,100", 0), at(20)), Some(SERVICE));
    assert_eq!(scheduler.observe_load(SLOWED, report("1,0,7,100", 0), at(60)), None);
    scheduler.set_features(off);
    assert_eq!(scheduler.features_of(SERVICE), off.with_load_reports());
}

/// Guards against sending to a target whose slots are taken by nodes that placed alone, and against
/// leaving them unused once the report is old or the requests are listed by their node.
#[test]
fn requests_of_other_nodes_take_slots_while_the_report_is_young() {
    let full = || {
        let mut scheduler = scheduler(1);
        scheduler.observe_load(SLOWED, report("6,1,7,100", 0), at(100));
        scheduler.submit(request(1, 500, 20), at(120));
        assert_eq!(granted(&mut scheduler), []);
        assert_eq!(scheduler.load_counts(at(120)), Some((0, 7)));
        scheduler
    };
    let mut scheduler = full();
    scheduler.advance(at(450));
    assert_eq!(granted(&mut scheduler), [(1, SLOWED)], "the report is old");

    let mut scheduler = full();
    scheduler.reconcile(ProcessKey(2), &listed(50..56), at(140));
    assert_eq!(granted(&mut scheduler), [], "six are listed, and the seventh is not");
    assert_eq!(scheduler.load_counts(at(140)), Some((0, 1)));
    scheduler.finished(SLOWED, PlacementKey(50), AttemptOutcome::Answered, at(160));
    assert_eq!(granted(&mut scheduler), [(1, SLOWED)]);
}

/// Guards against a report that avoids its target after the disturbance is over, and against a late
/// datagram that replaces a newer report.
#[test]
fn a_target_with_stale_reports_is_placed_on_as_without() {
    let first_choice = |reports: &[(LoadReport, u64)], now| {
        let mut scheduler = scheduler(2);
        for (report, at_ms) in reports {
            scheduler.observe_load(SLOWED, *report, at(*at_ms));
        }
        scheduler.submit(request(1, 4_000, 20), at(now));
        granted(&mut scheduler)[0].1
    };
    assert_eq!(first_choice(&[], 1_000), SLOWED);
    assert_eq!(first_choice(&[(report("0,0,7,250", 0), 1_000)], 1_010), TWIN);
    assert_eq!(first_choice(&[(report("0,0,7,250", 0), 1_000)], 5_000), SLOWED);
    let late = [(report("0,0,7,100", 0), 1_000), (report("0,0,7,250", 300), 1_005)];
    assert_eq!(first_choice(&late, 1_010), SLOWED);
    let faster = [(report("0,0,7,60", 0), 1_000)];
    assert_eq!(first_choice(&faster, 1_010), SLOWED);
}

/// Request at a simulated target.
struct SimulatedRequest {
    key: u64,
    prefill_left_ms: f64,
    /// Time between prefill and first event that does not depend on the prompt.
    fixed_left_ms: f64,
    decode_left_ms: f64,
}

/// Result of a simulation.
struct LoadedRun {
    speeds: Vec<SpeedModel>,
    /// Requests that target [`SLOWED`] got between and during its disturbances.
    grants: [usize; 2],
}

/// Simulates four targets, of which one is slowed 2.5 times in turns. Prompts are processed one after
/// another, outputs at the same time. With `reports`, each response states the load.
fn simulate(seed: u64, reports: bool) -> LoadedRun {
    const TARGETS: u64 = 4;
    const DURATION_MS: u64 = 30_000;
    let mut random = StdRng::seed_from_u64(seed);
    let mut scheduler = scheduler(TARGETS);
    let mut held: Vec<Vec<SimulatedRequest>> = (0..TARGETS).map(|_| Vec::new()).collect();
    let mut sizes = Vec::new();
    let mut grants = [0, 0];
    for now in 0..DURATION_MS {
        let slow = now / TURN_MS % 2 == 1;
        if random.random_bool(0.06) {
            let (prompt, output) = (random.random_range(200..2_500), random.random_range(10..80));
            scheduler.submit(request(sizes.len() as u64, prompt, output), at(now));
            sizes.push((prompt, output));
        }
        for (key, target) in granted(&mut scheduler) {
            grants[usize::from(slow)] += usize::from(target == SLOWED);
            let (prompt, output) = sizes[key as usize];
            held[target.0 as usize].push(SimulatedRequest {
                key,
                prefill_left_ms: SPEED.prefill_ms(f64::from(prompt)),
                fixed_left_ms: SPEED.fixed_ms,
                decode_left_ms: SPEED.token_ms * f64::from(output),
            });
        }
        for (target, requests) in (0..).zip(&mut held) {
            let target = TargetKey(target);
            let factor = if slow && target == SLOWED { 2.5 } else { 1.0 };
            let running = requests.len();
            let mut ended = Vec::new();
            let mut prefills = true;
            for request in requests.iter_mut() {
                if request.prefill_left_ms > 0.0 {
                    if std::mem::replace(&mut prefills, false) {
                        request.prefill_left_ms -= 1.0 / factor;
                    }
                } else if request.fixed_left_ms > 0.0 {
                    request.fixed_left_ms -= 1.0 / factor;
                    if request.fixed_left_ms <= 0.0 {
                        if reports {
                            let text = format!("{running},0,{SLOTS},{:.0}", factor * 100.0);
                            scheduler.observe_load(target, report(&text, 0), at(now));
                        }
                        scheduler.started(target, PlacementKey(request.key), at(now));
                    }
                } else {
                    request.decode_left_ms -= 1.0 / factor;
                    if request.decode_left_ms <= 0.0 {
                        ended.push(request.key);
                    }
                }
            }
            requests.retain(|request| !ended.contains(&request.key));
            for key in ended {
                scheduler.finished(target, PlacementKey(key), AttemptOutcome::Answered, at(now));
            }
        }
    }
    let speeds = scheduler.speeds().into_iter().map(|(_, speed)| speed).collect();
    LoadedRun { speeds, grants }
}

/// Returns the larger relative difference of prefill and decode speed between the slowed target and
/// its twin.
fn speed_difference(run: &LoadedRun) -> f64 {
    let [slowed, twin] = [&run.speeds[0], &run.speeds[1]];
    let first = slowed.first_event_ms(1_500.0) / twin.first_event_ms(1_500.0) - 1.0;
    let token = slowed.token_ms / twin.token_ms - 1.0;
    if first.abs() > token.abs() { first } else { token }
}

/// Guards against a disturbance that becomes the lasting speed of a target, after which the target
/// gets too little work for seconds, and against sending as much as usual to a target that is slowed.
#[test]
fn a_disturbance_changes_the_load_of_a_target_but_not_its_speed() {
    for seed in 0..8 {
        let run = simulate(seed, true);
        let difference = speed_difference(&run);
        assert!(difference.abs() < 0.15, "seed {seed}: {difference:.3}, {:?}", run.speeds);
        let [usual, slowed] = run.grants;
        assert!(slowed * 10 < usual * 7, "seed {seed}: {slowed} and {usual}");
        let without = simulate(seed, false);
        assert!(speed_difference(&without) > 0.15, "seed {seed}: the simulation disturbs nothing");
    }
}

/// Guards against taking the lasting pace of a machine, which its percentage contains, for a
/// disturbance.
#[test]
fn a_percentage_counts_relative_to_the_usual_one_of_its_target() {
    let mut scheduler = scheduler(1);
    for step in 0..12 {
        scheduler.observe_load(SLOWED, report("1,0,7,170", 0), at(100 * step));
    }
    assert_eq!(scheduler.load_counts(at(1_100)), Some((0, 1)));
    scheduler.observe_load(SLOWED, report("1,0,7,425", 0), at(1_200));
    assert_eq!(scheduler.load_counts(at(1_200)), Some((1, 1)));
}

/// Guards against a slot that stays unused because a report still counts a request that has just ended.
#[test]
fn requests_that_have_just_ended_do_not_count_as_those_of_other_nodes() {
    let mut scheduler = scheduler(1);
    scheduler.observe_load(SLOWED, report("0,0,7,100", 0), at(10));
    scheduler.submit(request(1, 500, 20), at(20));
    assert_eq!(granted(&mut scheduler), [(1, SLOWED)]);
    scheduler.finished(SLOWED, PlacementKey(1), AttemptOutcome::Answered, at(200));
    scheduler.observe_load(SLOWED, report("1,0,7,100", 5), at(210));
    assert_eq!(scheduler.load_counts(at(210)), Some((0, 0)));
    scheduler.observe_load(SLOWED, report("2,0,7,100", 5), at(400));
    assert_eq!(scheduler.load_counts(at(400)), Some((0, 2)), "nobody has listed these");
}
