//! Rule by which the operators of a deployment value requests of different sizes.

/// How the size of a request follows from its tokens, and its value from its size.
///
/// By default, the value is proportional to the size, so that neither small nor large requests of a
/// rank go first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SizeRule {
    /// Size of an output token, in prompt tokens.
    pub output_token_size: f64,
    /// Part of the value that does not depend on the size, 0 to 1.
    pub fixed_value: f64,
    /// Maximum value of a request, relative to the mean of its rank; at least 1.
    pub max_value: f64,
    /// Fraction of the requests of a rank in the largest band, above 0.
    pub largest_fraction: f64,
    /// Fraction of the requests of a rank in the two larger bands together, up to 1.
    pub larger_fraction: f64,
}

impl Default for SizeRule {
    fn default() -> Self {
        Self {
            output_token_size: 1.0,
            fixed_value: 0.0,
            max_value: 1_000.0,
            largest_fraction: 0.1,
            larger_fraction: 0.3,
        }
    }
}

impl SizeRule {
    /// Returns a message for each value that is out of its range.
    pub fn errors(&self) -> Vec<String> {
        let ranges = [
            ("output-token-size", self.output_token_size, 0.0, 1_000.0),
            ("fixed-value", self.fixed_value, 0.0, 1.0),
            ("max-value", self.max_value, 1.0, 1_000.0),
            ("largest-fraction", self.largest_fraction, 0.001, self.larger_fraction),
            ("larger-fraction", self.larger_fraction, 0.001, 1.0),
        ];
        ranges
            .iter()
            .filter(|(_, value, least, most)| !(*least..=*most).contains(value))
            .map(|(name, value, least, most)| {
                format!("{name}: {value} is not in {least} to {most}")
            })
            .collect()
    }

    /// Returns the size of a request, in prompt tokens.
    pub fn size(&self, prompt_tokens: u32, output_tokens: f64) -> f64 {
        f64::from(prompt_tokens) + self.output_token_size * output_tokens
    }

    /// Returns the value of a request relative to the mean of its rank, in which requests have the
    /// size `mean` on average.
    pub fn value(&self, size: f64, mean: f64) -> f64 {
        if size <= 0.0 || mean.is_nan() || mean <= 0.0 {
            return 1.0;
        }
        (self.fixed_value + (1.0 - self.fixed_value) * size / mean).min(self.max_value)
    }
}
