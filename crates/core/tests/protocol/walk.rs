//! Random walks over the states of the model, beyond the depth of the search.

use crate::model::Model;
use crate::search::{Budget, SearchResult};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Instant;

/// Takes random walks far beyond the depth of the search, and checks the liveness at the end of
/// each.
pub fn random_walks(
    name: &str,
    model: &Model,
    budget: &Budget,
    walks: u64,
    seed: u64,
) -> SearchResult {
    let started = Instant::now();
    let mut random = StdRng::seed_from_u64(seed);
    let mut result =
        SearchResult { states: 0, depth: 0, complete: false, violation: None, path: Vec::new() };
    for number in 0..walks {
        let (mut model, mut budget) = (model.clone(), budget.clone());
        // Only every fourth walk may kill an entry. After the others, the liveness check requires
        // that no request is left.
        budget.kills *= u8::from(number % 4 == 0);
        let mut path = Vec::new();
        let mut faults_skipped = 0;
        while model.violation.is_none() && path.len() < MAX_WALK_STEPS {
            let actions = model.actions(&budget);
            let action = &actions[random.random_range(0..actions.len())];
            if action.is_fault() && random.random_range(0..4) > 0 {
                // Takes only a quarter of the faults, so that some budget is left for late steps.
                faults_skipped += 1;
                if faults_skipped < MAX_WALK_STEPS {
                    continue;
                }
            }
            let Some(left) = budget.after(action) else {
                // Ends the walk if there is no budget left for any action.
                if actions.iter().all(|action| budget.after(action).is_none()) {
                    break;
                }
                continue;
            };
            (model, budget) = (model.after(action), left);
            path.push(action.clone());
        }
        result.states += path.len();
        result.depth = result.depth.max(path.len());
        result.violation = model.violation.or_else(|| model.check_liveness().err());
        if result.violation.is_some() {
            result.path = path;
            break;
        }
    }
    let elapsed = started.elapsed().as_millis();
    println!("{name}: {} steps in walks, {elapsed} ms, {:?}", result.states, result.violation);
    result
}

/// Maximum number of steps in a walk. Most walks end earlier, when their budget is used up.
const MAX_WALK_STEPS: usize = 80;
