//! Sizes of the requests of each rank: what a request is worth, and which sizes go short.
//!
//! Answers an overload that lasts: the order of the queue prefers requests that are worth more for
//! their work, so the largest ones of the rank at the margin would never be served.

use super::PlacementRequest;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Size of a token of the output in tokens of the prompt, as agreed with the users.
const OUTPUT_TOKEN_SIZE: f64 = 10.0;
/// Part of the worth that does not depend on the size, as agreed with the users.
const FIXED_VALUE: f64 = 0.3;
/// Largest worth of a request, in means of its rank, as agreed with the users.
const MAX_VALUE: f64 = 4.0;
/// Time constant of arrivals and grants, in ms: an overload of some seconds shows within it.
const TIME_CONSTANT_MS: f64 = 10_000.0;
/// Classes of size, two for each doubling.
const SIZE_CLASSES: usize = 48;
/// Classes for each doubling of the size.
const CLASSES_PER_DOUBLING: f64 = 2.0;
/// Part of the requests of a rank that forms the largest band, as the users count them.
const LARGEST_FRACTION: f64 = 0.1;
/// Part of the requests of a rank that forms the two larger bands together.
const LARGER_FRACTION: f64 = 0.3;
/// A band goes short if it is granted less than this part of what its rank is: above the half that
/// the users ask for.
const UNDERSERVED_FRACTION: f64 = 0.65;
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
    Normal,
}

/// Size of a request among those of its rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestSize {
    /// Band of sizes.
    pub band: SizeBand,
    /// What serving the request is worth, in means of its rank.
    pub value: f64,
    /// Whether requests of the band are served less often than others of the rank.
    pub underserved: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct BandCount {
    arrived: f64,
    granted: f64,
}

#[derive(Debug)]
struct RankSizes {
    /// Arrivals by class of size.
    classes: [f64; SIZE_CLASSES],
    total: f64,
    size_sum: f64,
    bands: [BandCount; 3],
    decayed_at: ClockTime,
}

impl Default for RankSizes {
    fn default() -> Self {
        Self {
            classes: [0.0; SIZE_CLASSES],
            total: 0.0,
            size_sum: 0.0,
            bands: [BandCount::default(); 3],
            decayed_at: ClockTime::default(),
        }
    }
}

/// Sizes of all ranks of a service, lately.
#[derive(Debug, Default)]
pub struct SizeStatistics {
    ranks: BTreeMap<u32, RankSizes>,
}

impl SizeStatistics {
    /// Counts a request that arrives.
    pub fn count_arrival(&mut self, request: &PlacementRequest, now: ClockTime) -> RequestSize {
        let size = request_size(request);
        let rank = self.ranks.entry(request.rank).or_default();
        rank.decay(now);
        let band = rank.band(size);
        rank.classes[size_class(size)] += 1.0;
        rank.total += 1.0;
        rank.size_sum += size;
        rank.bands[band as usize].arrived += 1.0;
        RequestSize { band, value: rank.value(size), underserved: rank.underserved(band) }
    }

    /// Size of a request that is not counted here.
    pub fn size(&self, request: &PlacementRequest) -> RequestSize {
        let value = self.ranks.get(&request.rank).map_or(1.0, |r| r.value(request_size(request)));
        RequestSize { band: SizeBand::Normal, value, underserved: false }
    }

    /// Counts a request that is granted a target.
    pub fn count_grant(&mut self, request: &PlacementRequest, band: SizeBand) {
        if let Some(rank) = self.ranks.get_mut(&request.rank) {
            rank.bands[band as usize].granted += 1.0;
        }
    }
}

impl RankSizes {
    fn band(&self, size: f64) -> SizeBand {
        let class = size_class(size);
        let larger: f64 = self.classes[class + 1..].iter().sum();
        // Half of its own class counts as larger.
        let larger_fraction = (larger + self.classes[class] / 2.0) / self.total.max(1.0);
        if self.total < MIN_ARRIVALS || larger_fraction >= LARGER_FRACTION {
            SizeBand::Normal
        } else if larger_fraction >= LARGEST_FRACTION {
            SizeBand::Larger
        } else {
            SizeBand::Largest
        }
    }

    fn value(&self, size: f64) -> f64 {
        let mean = self.size_sum / self.total;
        if size <= 0.0 || mean.is_nan() || mean <= 0.0 {
            return 1.0;
        }
        (FIXED_VALUE + (1.0 - FIXED_VALUE) * size / mean).min(MAX_VALUE)
    }

    fn underserved(&self, band: SizeBand) -> bool {
        let count = self.bands[band as usize];
        let arrived: f64 = self.bands.iter().map(|count| count.arrived).sum();
        let granted: f64 = self.bands.iter().map(|count| count.granted).sum();
        band != SizeBand::Normal
            && count.arrived >= MIN_ARRIVALS
            && count.granted * arrived < granted * count.arrived * UNDERSERVED_FRACTION
    }

    fn decay(&mut self, now: ClockTime) {
        let factor = (-(now.since(self.decayed_at) as f64) / TIME_CONSTANT_MS).exp();
        self.decayed_at = now;
        self.classes.iter_mut().for_each(|count| *count *= factor);
        self.total *= factor;
        self.size_sum *= factor;
        for count in &mut self.bands {
            count.arrived *= factor;
            count.granted *= factor;
        }
    }
}

/// Size of a request, in tokens of the prompt.
fn request_size(request: &PlacementRequest) -> f64 {
    f64::from(request.prompt_tokens) + OUTPUT_TOKEN_SIZE * f64::from(request.output_tokens)
}

fn size_class(size: f64) -> usize {
    ((size.max(1.0).log2() * CLASSES_PER_DOUBLING) as usize).min(SIZE_CLASSES - 1)
}
