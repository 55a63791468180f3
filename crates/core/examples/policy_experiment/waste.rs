//! Where the wasted prompt tokens of a run come from.

/// Why an engine computed a block that had been computed before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockOrigin {
    /// Another stream of the engine computed it between admission and first token.
    AtOnce,
    /// The engine held it earlier and removed it for lack of space.
    Evicted,
    /// The engine held it before its crash.
    Crashed,
    /// The engine never held it.
    Absent,
}

/// What was known when a request was placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementNote {
    /// Blocks that the prediction expected at the target.
    pub predicted: usize,
    /// Largest number of the request's blocks in the cache of any running engine.
    pub best: usize,
    /// The same for the engines that had a free slot.
    pub best_free: usize,
}

/// Wasted prompt tokens by cause. The first group adds up to the total.
#[derive(Clone, Copy, Debug, Default)]
pub struct WasteCauses {
    /// Computed for a request that was cancelled, preempted or cut.
    pub discarded: f64,
    pub at_once: f64,
    pub evicted: f64,
    pub crashed: f64,
    /// Absent here, and an engine with a free slot held it.
    pub holder_free: f64,
    /// Absent here, and only engines without a free slot held it.
    pub holder_busy: f64,
    /// Absent here, and no engine held it at the placement.
    pub no_holder: f64,
    /// Part of all the above but `discarded`: the prediction expected the block at the target.
    pub predicted: f64,
    /// Part of `evicted`: an engine held it at the placement.
    pub evicted_elsewhere: f64,
}

impl WasteCauses {
    /// Enters a block, given its position in the prompt.
    pub fn add(&mut self, origin: BlockOrigin, position: usize, note: &PlacementNote, tokens: f64) {
        let cause = match origin {
            BlockOrigin::AtOnce => &mut self.at_once,
            BlockOrigin::Evicted => &mut self.evicted,
            BlockOrigin::Crashed => &mut self.crashed,
            BlockOrigin::Absent if position < note.best_free => &mut self.holder_free,
            BlockOrigin::Absent if position < note.best => &mut self.holder_busy,
            BlockOrigin::Absent => &mut self.no_holder,
        };
        *cause += tokens;
        if position < note.predicted {
            self.predicted += tokens;
        }
        if origin == BlockOrigin::Evicted && position < note.best {
            self.evicted_elsewhere += tokens;
        }
    }

    /// Name and tokens of each cause.
    pub fn rows(&self) -> [(&'static str, f64); 9] {
        [
            ("discarded", self.discarded),
            ("at once", self.at_once),
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
