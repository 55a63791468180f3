//! Sizes of the requests of each rank: what a request is worth, and which sizes go short.
//!
//! Answers an overload that lasts: the order of the queue prefers requests that are worth more for
//! their work, so the largest ones of the rank at the margin would never be served.

use super::PlacementRequest;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Size of a token of the output in tokens of the prompt, as agreed with the users.
const OUTPUT_SIZE: f64 = 10.0;
/// Part of the worth that does not depend on the size, as agreed with the users.
const FIXED_WORTH: f64 = 0.3;
/// Largest worth of a request, in means of its rank, as agreed with the users.
const MAX_WORTH: f64 = 4.0;
/// Time constant of arrivals and grants, in ms: an overload of some seconds shows within it.
const MEMORY_MS: f64 = 10_000.0;
/// Classes of size, two for each doubling.
const CLASSES: usize = 48;
/// Classes for each doubling of the size.
const CLASSES_PER_DOUBLING: f64 = 2.0;
/// Part of the requests of a rank that forms the largest band, as the users count them.
const LARGEST_PART: f64 = 0.1;
/// Part of the requests of a rank that forms the two larger bands together.
const LARGER_PART: f64 = 0.3;
/// A band goes short if it is granted less than this part of what its rank is: above the half that
/// the users ask for.
const SHORT_PART: f64 = 0.65;
/// Arrivals of a band below which nothing is said of it.
const MIN_ARRIVALS: f64 = 5.0;

/// Band of sizes within a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeBand {
    /// The largest tenth.
    Largest,
    /// The fifth below it.
    Larger,
    /// All others.
    Usual,
}

/// Size of a request among those of its rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestSize {
    /// Band of sizes.
    pub band: SizeBand,
    /// What serving the request is worth, in means of its rank.
    pub worth: f64,
    /// Whether requests of the band are served less often than others of the rank.
    pub goes_short: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct BandCount {
    arrived: f64,
    granted: f64,
}

#[derive(Debug)]
struct RankSizes {
    /// Arrivals by class of size.
    classes: [f64; CLASSES],
    total: f64,
    size_sum: f64,
    bands: [BandCount; 3],
    counted: ClockTime,
}

impl Default for RankSizes {
    fn default() -> Self {
        Self {
            classes: [0.0; CLASSES],
            total: 0.0,
            size_sum: 0.0,
            bands: [BandCount::default(); 3],
            counted: ClockTime::default(),
        }
    }
}

/// Sizes of all ranks of a service, lately.
#[derive(Debug, Default)]
pub struct SizeLedger {
    ranks: BTreeMap<u32, RankSizes>,
}

impl SizeLedger {
    /// Counts a request that arrives.
    pub fn count_arrival(&mut self, ticket: &PlacementRequest, now: ClockTime) -> RequestSize {
        let size = request_size(ticket);
        let rank = self.ranks.entry(ticket.rank).or_default();
        rank.decay(now);
        let band = rank.band(size);
        rank.classes[size_class(size)] += 1.0;
        rank.total += 1.0;
        rank.size_sum += size;
        rank.bands[band as usize].arrived += 1.0;
        RequestSize { band, worth: rank.worth(size), goes_short: rank.goes_short(band) }
    }

    /// Size of a request that is not counted here.
    pub fn size(&self, ticket: &PlacementRequest) -> RequestSize {
        let worth = self.ranks.get(&ticket.rank).map_or(1.0, |r| r.worth(request_size(ticket)));
        RequestSize { band: SizeBand::Usual, worth, goes_short: false }
    }

    /// Counts a request that is granted a target.
    pub fn count_grant(&mut self, ticket: &PlacementRequest, band: SizeBand) {
        if let Some(rank) = self.ranks.get_mut(&ticket.rank) {
            rank.bands[band as usize].granted += 1.0;
        }
    }
}

impl RankSizes {
    fn band(&self, size: f64) -> SizeBand {
        let class = size_class(size);
        let larger: f64 = self.classes[class + 1..].iter().sum();
        // Half of its own class counts as larger.
        let above = (larger + self.classes[class] / 2.0) / self.total.max(1.0);
        if self.total < MIN_ARRIVALS || above >= LARGER_PART {
            SizeBand::Usual
        } else if above >= LARGEST_PART {
            SizeBand::Larger
        } else {
            SizeBand::Largest
        }
    }

    fn worth(&self, size: f64) -> f64 {
        let mean = self.size_sum / self.total;
        if size <= 0.0 || mean.is_nan() || mean <= 0.0 {
            return 1.0;
        }
        (FIXED_WORTH + (1.0 - FIXED_WORTH) * size / mean).min(MAX_WORTH)
    }

    fn goes_short(&self, band: SizeBand) -> bool {
        let count = self.bands[band as usize];
        let arrived: f64 = self.bands.iter().map(|count| count.arrived).sum();
        let granted: f64 = self.bands.iter().map(|count| count.granted).sum();
        band != SizeBand::Usual
            && count.arrived >= MIN_ARRIVALS
            && count.granted * arrived < granted * count.arrived * SHORT_PART
    }

    fn decay(&mut self, now: ClockTime) {
        let part = (-(now.since(self.counted) as f64) / MEMORY_MS).exp();
        self.counted = now;
        self.classes.iter_mut().for_each(|count| *count *= part);
        self.total *= part;
        self.size_sum *= part;
        for count in &mut self.bands {
            count.arrived *= part;
            count.granted *= part;
        }
    }
}

/// Size of a request, in tokens of the prompt.
fn request_size(ticket: &PlacementRequest) -> f64 {
    f64::from(ticket.prompt_tokens) + OUTPUT_SIZE * f64::from(ticket.output_tokens)
}

fn size_class(size: f64) -> usize {
    ((size.max(1.0).log2() * CLASSES_PER_DOUBLING) as usize).min(CLASSES - 1)
}
