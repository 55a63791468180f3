//! Random walks over the worlds, beyond the depth of the search.

use crate::search::{Budget, SearchResult};
use crate::world::World;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Instant;

/// Walks at random far beyond the depth that the search reaches, and lets each walk settle.
pub fn walk(name: &str, world: &World, budget: &Budget, walks: u64, seed: u64) -> SearchResult {
    let started = Instant::now();
    let mut random = StdRng::seed_from_u64(seed);
    let mut result =
        SearchResult { states: 0, depth: 0, complete: false, violation: None, path: Vec::new() };
    for number in 0..walks {
        let (mut world, mut budget) = (world.clone(), budget.clone());
        // Without a death, nothing may be left of the requests at the end.
        budget.kills *= u8::from(number % 4 == 0);
        let mut path = Vec::new();
        let mut faults_skipped = 0;
        while world.violation.is_none() && path.len() < WALK_STEPS {
            let actions = world.actions(&budget);
            let action = &actions[random.random_range(0..actions.len())];
            if action.is_fault() && random.random_range(0..4) > 0 {
                // Faults take a quarter of their share, so that they also hit late steps.
                faults_skipped += 1;
                if faults_skipped < WALK_STEPS {
                    continue;
                }
            }
            let Some(left) = budget.after(action) else {
                // Nothing but faults without a budget is left.
                if actions.iter().all(|action| budget.after(action).is_none()) {
                    break;
                }
                continue;
            };
            (world, budget) = (world.after(action), left);
            path.push(action.clone());
        }
        result.states += path.len();
        result.depth = result.depth.max(path.len());
        result.violation = world.violation.or_else(|| world.settles().err());
        if result.violation.is_some() {
            result.path = path;
            break;
        }
    }
    let elapsed = started.elapsed().as_millis();
    println!("{name}: {} steps in walks, {elapsed} ms, {:?}", result.states, result.violation);
    result
}

/// Longest walk. Most walks end earlier, when their budget is used up.
const WALK_STEPS: usize = 80;
