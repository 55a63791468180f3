//! Size statistics per rank: the value of a request relative to its rank, and which size bands are
//! underserved.
//!
//! The queue prefers requests with a high value per unit of work. Under sustained overload, the
//! largest requests of the lowest rank that is still served would starve. Requests of underserved
//! bands are therefore moved ahead within their rank.

use super::PlacementRequest;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Size of an output token, in prompt tokens, as agreed with the users.
const OUTPUT_TOKEN_SIZE: f64 = 10.0;
/// Part of the value that does not depend on the size, as agreed with the users.
const FIXED_VALUE: f64 = 0.3;
/// Maximum value of a request, relative to the mean of its rank, as agreed with the users.
const MAX_VALUE: f64 = 4.0;
/// Time constant of the arrival and grant counts, in ms; an overload of several seconds shows
/// within it.
const TIME_CONSTANT_MS: f64 = 10_000.0;
/// Number of size classes.
const SIZE_CLASSES: usize = 48;
/// Number of size classes per doubling of the size.
const CLASSES_PER_DOUBLING: f64 = 2.0;
/// Fraction of the requests of a rank in the largest band, by the definition of the users.
const LARGEST_FRACTION: f64 = 0.1;
/// Fraction of the requests of a rank in the two larger bands together.
const LARGER_FRACTION: f64 = 0.3;
/// A band is underserved if its fraction of granted requests is below this part of that of its
/// rank. Lies above the one half that the users ask for.
const UNDERSERVED_FRACTION: f64 = 0.65;
/// Number of arrivals below which the statistics are not used.
const MIN_ARRIVALS: f64 = 5.0;

/// Size band of a request within its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeBand {
    /// The largest 10 %.
    Largest,
    /// The next 20 %.
    Larger,
    /// All other requests.
    Normal,
}

/// Size of a request relative to its rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestSize {
    /// Size band of the request.
    pub band: SizeBand,
    /// Value of serving the request, relative to the mean of its rank.
    pub value: f64,
    /// Whether requests of this band are granted less often than others of the rank.
    pub underserved: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct BandCount {
    arrived: f64,
    granted: f64,
}

#[derive(Debug)]
struct RankSizes {
    /// Decayed number of arrivals per size class.
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

/// Recent request sizes and grants of one service, by rank.
#[derive(Debug, Default)]
pub struct SizeStatistics {
    ranks: BTreeMap<u32, RankSizes>,
}

impl SizeStatistics {
    /// Adds a new request to the statistics and returns its size.
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

    /// Returns the size of a request without adding it to the statistics. The band is always
    /// [`SizeBand::Normal`].
    pub fn size(&self, request: &PlacementRequest) -> RequestSize {
        let value = self.ranks.get(&request.rank).map_or(1.0, |r| r.value(request_size(request)));
        RequestSize { band: SizeBand::Normal, value, underserved: false }
    }

    /// Counts a request that was granted a target.
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
        // Half of the requests in the same class are counted as larger.
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

/// Returns the size of a request, in prompt tokens.
fn request_size(request: &PlacementRequest) -> f64 {
    f64::from(request.prompt_tokens) + OUTPUT_TOKEN_SIZE * f64::from(request.output_tokens)
}

fn size_class(size: f64) -> usize {
    ((size.max(1.0).log2() * CLASSES_PER_DOUBLING) as usize).min(SIZE_CLASSES - 1)
}
