//! Causes of the wasted prompt tokens of a run.

/// Why an engine computed a block that had been computed before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecomputeCause {
    /// Another stream on the engine computed it between the start and the first token of this one.
    ComputedConcurrently,
    /// The engine had cached it and evicted it for lack of space.
    Evicted,
    /// The engine had cached it before a crash.
    Crashed,
    /// The engine never cached it.
    NeverCached,
}

/// State of the caches and the prediction when a request was placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementRecord {
    /// Number of the request's blocks that were predicted to be cached at the target.
    pub predicted: usize,
    /// Largest number of the request's blocks that any announced engine had cached.
    pub most_cached: usize,
    /// The same, for engines with a free slot only.
    pub most_cached_with_free_slot: usize,
}

/// Wasted prompt tokens by cause. All fields but the last two add up to the total.
#[derive(Clone, Copy, Debug, Default)]
pub struct WasteCauses {
    /// Computed for a request that was cancelled, preempted or interrupted by a crash.
    pub discarded: f64,
    pub computed_concurrently: f64,
    pub evicted: f64,
    pub crashed: f64,
    /// Never cached at the target, although an engine with a free slot had it at the placement.
    pub holder_free: f64,
    /// Never cached at the target, and only engines without a free slot had it at the placement.
    pub holder_busy: f64,
    /// Never cached at the target, and no engine had it at the placement.
    pub no_holder: f64,
    /// Part of all of the above except `discarded`: the block was predicted to be cached at the
    /// target.
    pub predicted: f64,
    /// Part of `evicted`: an engine had the block cached at the placement.
    pub evicted_elsewhere: f64,
}

impl WasteCauses {
    /// Adds the tokens of a block at a position of the prompt.
    pub fn add(
        &mut self,
        cause: RecomputeCause,
        position: usize,
        placement: &PlacementRecord,
        tokens: f64,
    ) {
        let total = match cause {
            RecomputeCause::ComputedConcurrently => &mut self.computed_concurrently,
            RecomputeCause::Evicted => &mut self.evicted,
            RecomputeCause::Crashed => &mut self.crashed,
            RecomputeCause::NeverCached if position < placement.most_cached_with_free_slot => {
                &mut self.holder_free
            }
            RecomputeCause::NeverCached if position < placement.most_cached => {
                &mut self.holder_busy
            }
            RecomputeCause::NeverCached => &mut self.no_holder,
        };
        *total += tokens;
        if position < placement.predicted {
            self.predicted += tokens;
        }
        if cause == RecomputeCause::Evicted && position < placement.most_cached {
            self.evicted_elsewhere += tokens;
        }
    }

    /// Returns the printed name and the tokens of each cause.
    pub fn rows(&self) -> [(&'static str, f64); 9] {
        [
            ("discarded", self.discarded),
            ("at once", self.computed_concurrently),
            ("evicted", self.evicted),
            ("crashed", self.crashed),
            ("holder free", self.holder_free),
            ("holder busy", self.holder_busy),
            ("no holder", self.no_holder),
            ("(predicted)", self.predicted),
            ("(evicted, held)", self.evicted_elsewhere),
        ]
    }
}
