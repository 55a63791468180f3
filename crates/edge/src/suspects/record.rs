//! Crashes under one suspect, and their exchange between nodes.

use super::SuspectKey;
use crate::placement::TargetKey;
use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};

/// Maximum number of crashed targets that are remembered for a suspect.
const MAX_CRASHES: usize = 32;

/// What one node knows about a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectReport {
    /// Hash of the suspect.
    pub key: SuspectKey,
    /// How specific it is to a request.
    pub rank: u8,
    /// Number of times that an answer cleared the suspect. Crashes of earlier generations are void.
    pub generation: u32,
    /// Whether requests that have it were ever answered.
    pub answered: bool,
    /// Targets that crashed since the last answer.
    pub crashes: Vec<TargetKey>,
    /// Age of the first of these crashes, in ms.
    pub first_age_ms: u64,
    /// Age of the last one, in ms.
    pub last_age_ms: u64,
}

/// Crashes under one suspect since its last answer.
#[derive(Clone, Debug)]
pub(super) struct SuspectRecord {
    pub(super) rank: u8,
    pub(super) generation: u32,
    pub(super) answered: bool,
    pub(super) crashes: Vec<TargetKey>,
    pub(super) first: ClockTime,
    pub(super) last: ClockTime,
}

impl SuspectRecord {
    pub(super) const fn new(now: ClockTime) -> Self {
        Self {
            rank: 0,
            generation: 0,
            answered: false,
            crashes: Vec::new(),
            first: now,
            last: ClockTime::from_ms(0),
        }
    }

    /// Voids all crashes so far, because a request that has the suspect was answered.
    pub(super) fn clear(&mut self) {
        self.generation += 1;
        self.answered = true;
        self.crashes.clear();
    }

    /// Adds a report. Reports may arrive in any order and more than once.
    pub(super) fn merge(&mut self, report: &SuspectReport, now: ClockTime) {
        let at = |age_ms: u64| ClockTime::from_ms(now.as_ms().saturating_sub(age_ms));
        self.rank = self.rank.max(report.rank);
        self.answered |= report.answered || report.generation > 0;
        if report.generation > self.generation {
            self.generation = report.generation;
            self.crashes.clear();
        }
        if report.generation == self.generation {
            let first = at(report.first_age_ms);
            self.first = if self.crashes.is_empty() { first } else { self.first.min(first) };
            for target in &report.crashes {
                if self.crashes.len() < MAX_CRASHES && !self.crashes.contains(target) {
                    self.crashes.push(*target);
                }
            }
            self.last = self.last.max(at(report.last_age_ms));
        }
    }

    pub(super) fn report(&self, key: SuspectKey, now: ClockTime) -> SuspectReport {
        SuspectReport {
            key,
            rank: self.rank,
            generation: self.generation,
            answered: self.answered,
            crashes: self.crashes.clone(),
            first_age_ms: now.since(self.first),
            last_age_ms: now.since(self.last),
        }
    }
}
