//! Size statistics per rank: the value of a request relative to its rank, and which size bands are
//! underserved.
//!
//! The queue prefers requests with a high value per unit of work. Under sustained overload, the
//! largest requests of the lowest rank that is still served would starve. Requests of underserved
//! bands are therefore moved ahead within their rank.

use super::PlacementRequest;
use super::size_rule::SizeRule;
use burdockcleat_core::clock::ClockTime;
use std::collections::BTreeMap;

/// Time constant of the arrival and grant counts, in ms; an overload of several seconds shows
/// within it.
const TIME_CONSTANT_MS: f64 = 10_000.0;
/// Number of size classes.
const SIZE_CLASSES: usize = 48;
/// Number of size classes per doubling of the size.
const CLASSES_PER_DOUBLING: f64 = 2.0;
/// A band is underserved if its fraction of granted requests is below this part of that of its
/// rank.
const UNDERSERVED_FRACTION: f64 = 0.65;
/// Number of arrivals below which the statistics are not used.
const MIN_ARRIVALS: f64 = 5.0;

/// Size band of a request within its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeBand {
    /// The largest ones, by the fraction that the rule sets.
    Largest,
    /// The next largest ones.
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
    rule: SizeRule,
    ranks: BTreeMap<u32, RankSizes>,
}

impl SizeStatistics {
    /// Creates empty statistics.
    pub const fn new(rule: SizeRule) -> Self {
        Self { rule, ranks: BTreeMap::new() }
    }

    /// Adds a new request to the statistics and returns its size.
    pub fn count_arrival(&mut self, request: &PlacementRequest, now: ClockTime) -> RequestSize {
        let size = self.request_size(request);
        let rank = self.ranks.entry(request.rank).or_default();
        rank.decay(now);
        let band = rank.band(size, &self.rule);
        rank.classes[size_class(size)] += 1.0;
        rank.total += 1.0;
        rank.size_sum += size;
        rank.bands[band as usize].arrived += 1.0;
        RequestSize {
            band,
            value: rank.value(size, &self.rule),
            underserved: rank.underserved(band),
        }
    }

    /// Returns the size of a request without adding it to the statistics. The band is always
    /// [`SizeBand::Normal`].
    pub fn size(&self, request: &PlacementRequest) -> RequestSize {
        let size = self.request_size(request);
        let value = self.ranks.get(&request.rank).map_or(1.0, |rank| rank.value(size, &self.rule));
        RequestSize { band: SizeBand::Normal, value, underserved: false }
    }

    /// Counts a request that was granted a target.
    pub fn count_grant(&mut self, request: &PlacementRequest, band: SizeBand) {
        if let Some(rank) = self.ranks.get_mut(&request.rank) {
            rank.bands[band as usize].granted += 1.0;
        }
    }

    fn request_size(&self, request: &PlacementRequest) -> f64 {
        self.rule.size(request.prompt_tokens, f64::from(request.output_tokens))
    }
}

impl RankSizes {
    fn band(&self, size: f64, rule: &SizeRule) -> SizeBand {
        let class = size_class(size);
        let larger: f64 = self.classes[class + 1..].iter().sum();
        // Half of the requests in the same class are counted as larger.
        let larger_fraction = (larger + self.classes[class] / 2.0) / self.total.max(1.0);
        if self.total < MIN_ARRIVALS || larger_fraction >= rule.larger_fraction {
            SizeBand::Normal
        } else if larger_fraction >= rule.largest_fraction {
            SizeBand::Larger
        } else {
            SizeBand::Largest
        }
    }

    fn value(&self, size: f64, rule: &SizeRule) -> f64 {
        rule.value(size, self.size_sum / self.total)
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

fn size_class(size: f64) -> usize {
    ((size.max(1.0).log2() * CLASSES_PER_DOUBLING) as usize).min(SIZE_CLASSES - 1)
}
