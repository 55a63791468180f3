//! Generates load plans: which requests are sent at which times, from a random seed.

use crate::error::TestbedError;
use crate::flags::flag_error;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::str::FromStr;
use thiserror::Error;

/// Maximum expected number of requests of one plan.
pub const REQUEST_LIMIT: f64 = 20_000.0;
/// Maximum duration of one plan, in seconds.
pub const SECONDS_LIMIT: f64 = 600.0;
/// Mean length of a short prompt, in characters.
const SHORT_PROMPT_CHARS: usize = 400;
/// Maximum length of a long prompt, as a multiple of `SHORT_PROMPT_CHARS`.
const LONG_PROMPT_FACTOR: usize = 100;
/// Interval between the starts of bursts, in seconds.
const BURST_PERIOD_SECONDS: f64 = 10.0;
/// Duration of a burst, in seconds.
const BURST_SECONDS: f64 = 2.0;
/// Arrival rate within a burst, relative to the rate outside.
const BURST_FACTOR: f64 = 3.0;

/// Mix of requests, modelled on one kind of deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadProfile {
    /// Spare parts bureau: short requests, most of them in the highest tier, and orders to a depot.
    Bureau,
    /// Image retouching: long shared prefixes, and orders of kits.
    Kerlouan,
}

/// Error for a name that is not a profile.
#[derive(Debug)]
#[derive(Error)]
#[error("the profile must be `bureau` or `kerlouan`")]
pub struct ProfileError;

impl FromStr for LoadProfile {
    type Err = ProfileError;

    fn from_str(name: &str) -> Result<Self, ProfileError> {
        match name {
            "bureau" => Ok(Self::Bureau),
            "kerlouan" => Ok(Self::Kerlouan),
            _ => Err(ProfileError),
        }
    }
}

/// Parameters of a profile. Arrays have one element per tier, from the highest.
struct ProfileParameters {
    /// Share of each tier. The shares add up to 1.
    tier_shares: [f64; 3],
    deadlines_ms: [u32; 3],
    output_tokens: [u32; 3],
    /// Share of prompts that are long.
    long_share: f64,
    /// Share of prompts that start with a shared prefix.
    prefix_share: f64,
    prefixes: usize,
    prefix_chars: usize,
    /// Share of requests that are calls of the plain service.
    service_share: f64,
    service_pool: &'static str,
}

impl LoadProfile {
    fn parameters(self) -> ProfileParameters {
        match self {
            Self::Bureau => ProfileParameters {
                tier_shares: [0.4, 0.35, 0.25],
                deadlines_ms: [5_000, 10_000, 30_000],
                output_tokens: [24, 48, 96],
                long_share: 0.03,
                prefix_share: 0.3,
                prefixes: 8,
                prefix_chars: 1_024,
                service_share: 0.05,
                service_pool: "depot",
            },
            Self::Kerlouan => ProfileParameters {
                tier_shares: [0.2, 0.5, 0.3],
                deadlines_ms: [6_000, 15_000, 40_000],
                output_tokens: [24, 64, 96],
                long_share: 0.08,
                prefix_share: 0.85,
                prefixes: 24,
                prefix_chars: 8_192,
                service_share: 0.03,
                service_pool: "kits",
            },
        }
    }
}

/// Settings from which a plan is generated.
#[derive(Clone, Debug)]
pub struct PlanSettings {
    /// Mix of requests.
    pub profile: LoadProfile,
    /// Mean arrivals per second, bursts included.
    pub rate: f64,
    /// Duration of the arrivals, in seconds.
    pub seconds: f64,
    /// Seed of the random generator.
    pub seed: u64,
    /// Model of the completions.
    pub model: String,
    /// Whether the plan contains calls of plain services.
    pub services: bool,
    /// Whether the path of a completion contains the tier as `?tier=N`.
    pub tier_in_path: bool,
}

/// Kind and content of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlannedCall {
    /// Streamed completion.
    Completion {
        /// Prompt. It ends with the request id, so that no two prompts are equal.
        prompt: String,
        /// Number of tokens of the answer.
        max_tokens: u32,
    },
    /// Non-idempotent call of a plain service.
    Service {
        /// Body. It contains the request id.
        body: String,
    },
}

/// Request of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Time of arrival since the start of the run, in microseconds.
    pub at_us: u64,
    /// Value of `x-request-id`, the same for resends.
    pub id: String,
    /// Rank of the tier; 0 is the highest.
    pub tier: u8,
    /// Path at the entry.
    pub path: String,
    /// Time until the answer must be complete, in milliseconds.
    pub deadline_ms: u32,
    /// Content of the request.
    pub call: PlannedCall,
}

/// Load plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadPlan {
    /// Requests in order of arrival.
    pub requests: Vec<PlannedRequest>,
}

impl LoadPlan {
    /// Generates a plan. Equal settings give equal plans.
    ///
    /// # Errors
    /// Fails if the rate or the duration is out of range.
    pub fn generate(settings: &PlanSettings) -> Result<Self, TestbedError> {
        if !(settings.seconds > 0.0 && settings.seconds <= SECONDS_LIMIT) {
            return Err(flag_error(
                "seconds",
                &format!("must be above 0 and at most {SECONDS_LIMIT}"),
            ));
        }
        let expected = settings.rate * settings.seconds;
        if !(expected > 0.0 && expected <= REQUEST_LIMIT) {
            let problem = format!("rate times seconds must be above 0 and at most {REQUEST_LIMIT}");
            return Err(flag_error("rate", &problem));
        }
        let mut generator = PlanGenerator {
            settings,
            parameters: settings.profile.parameters(),
            random: StdRng::seed_from_u64(settings.seed),
        };
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            at += generator.interarrival_seconds(at);
            if at >= settings.seconds {
                return Ok(Self { requests });
            }
            let number = requests.len();
            requests.push(generator.request(number, at));
        }
    }
}

struct PlanGenerator<'a> {
    settings: &'a PlanSettings,
    parameters: ProfileParameters,
    random: StdRng,
}

impl PlanGenerator<'_> {
    /// Draws the time to the next arrival in seconds, exponentially distributed at the current
    /// rate.
    fn interarrival_seconds(&mut self, at: f64) -> f64 {
        let burst_share = BURST_SECONDS / BURST_PERIOD_SECONDS;
        let base = self.settings.rate / (1.0 + burst_share * (BURST_FACTOR - 1.0));
        let in_burst = at % BURST_PERIOD_SECONDS < BURST_SECONDS;
        let rate = if in_burst { base * BURST_FACTOR } else { base };
        -(1.0 - self.random.random::<f64>()).ln() / rate
    }

    fn request(&mut self, number: usize, at: f64) -> PlannedRequest {
        let id = format!("load-{}-{number}", self.settings.seed);
        let at_us = (at * 1e6) as u64;
        if self.settings.services && self.random.random_bool(self.parameters.service_share) {
            let path = format!("/svc/{}/orders", self.parameters.service_pool);
            let call = PlannedCall::Service { body: format!("{{\"order\":\"{id}\"}}") };
            return PlannedRequest { at_us, id, tier: 0, path, deadline_ms: 5_000, call };
        }
        let tier = self.tier();
        let path = if self.settings.tier_in_path {
            format!("/v1/completions?tier={tier}")
        } else {
            "/v1/completions".to_owned()
        };
        let (prompt, long) = self.prompt(&id);
        let tokens = self.parameters.output_tokens[tier];
        let max_tokens = self.random.random_range(tokens / 2..=tokens + tokens / 2);
        // A long prompt has the deadline of the lowest tier, because its prefill alone takes
        // seconds.
        let deadline_ms = self.parameters.deadlines_ms[if long { 2 } else { tier }];
        let call = PlannedCall::Completion { prompt, max_tokens };
        PlannedRequest { at_us, id, tier: tier as u8, path, deadline_ms, call }
    }

    fn tier(&mut self) -> usize {
        let draw: f64 = self.random.random();
        let [top, middle, _] = self.parameters.tier_shares;
        if draw < top {
            0
        } else if draw < top + middle {
            1
        } else {
            2
        }
    }

    fn prompt(&mut self, id: &str) -> (String, bool) {
        let long = self.random.random_bool(self.parameters.long_share);
        let mut prompt = String::new();
        if self.random.random_bool(self.parameters.prefix_share) {
            let prefix = self.random.random_range(0..self.parameters.prefixes);
            repeat_to_length(
                &mut prompt,
                &format!("prefix {prefix} "),
                self.parameters.prefix_chars,
            );
        }
        let chars = if long {
            SHORT_PROMPT_CHARS
                * self.random.random_range(LONG_PROMPT_FACTOR / 5..=LONG_PROMPT_FACTOR)
        } else {
            self.random.random_range(SHORT_PROMPT_CHARS / 2..=SHORT_PROMPT_CHARS * 3 / 2)
        };
        let end = prompt.len() + chars;
        repeat_to_length(&mut prompt, &format!("{id} "), end);
        prompt.push_str(id);
        (prompt, long)
    }
}

/// Appends repetitions of a text until the prompt has this length in bytes.
fn repeat_to_length(prompt: &mut String, text: &str, length: usize) {
    while prompt.len() < length {
        let rest = length - prompt.len();
        prompt.push_str(&text[..text.len().min(rest)]);
    }
}
