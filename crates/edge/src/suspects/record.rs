//! Crashes under one suspect, and their exchange between nodes.

use super::SuspectKey;
use crate::placement::TargetKey;
use burdockcleat_core::clock::ClockTime;
use serde::{Deserialize, Serialize};

/// Maximum number of crashed targets that are remembered for a suspect.
const MAX_CRASHES: usize = 32;

/// How far targets ever got with the answer to a request that has a suspect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum AnswerProgress {
    /// No target began to answer.
    #[default]
    None,
    /// A target began to answer.
    Begun,
    /// A target answered completely.
    Complete,
}

/// What one node knows about a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectReport {
    /// Hash of the suspect.
    pub key: SuspectKey,
    /// How specific it is to a request.
    pub rank: u8,
    /// Number of times that a complete answer cleared the suspect. Crashes of earlier generations are
    /// void.
    pub generation: u32,
    /// How far the best answer to a request that has it got.
    pub progress: AnswerProgress,
    /// Targets that crashed since the last complete answer.
    pub crashes: Vec<TargetKey>,
    /// Age of the first of these crashes, in ms.
    pub first_age_ms: u64,
    /// Age of the last one, in ms.
    pub last_age_ms: u64,
}

/// Crashes under one suspect since its last complete answer.
#[derive(Clone, Debug)]
pub(super) struct SuspectRecord {
    pub(super) rank: u8,
    pub(super) generation: u32,
    pub(super) progress: AnswerProgress,
    pub(super) crashes: Vec<TargetKey>,
    pub(super) first: ClockTime,
    pub(super) last: ClockTime,
}

impl SuspectRecord {
    pub(super) const fn new(now: ClockTime) -> Self {
        Self {
            rank: 0,
            generation: 0,
            progress: AnswerProgress::None,
            crashes: Vec::new(),
            first: now,
            last: ClockTime::from_ms(0),
        }
    }

    /// Voids all crashes so far, because a request that has the suspect was answered completely.
    pub(super) fn clear(&mut self) {
        self.generation += 1;
        self.progress = AnswerProgress::Complete;
        self.crashes.clear();
    }

    /// Adds a report. Reports may arrive in any order and more than once.
    pub(super) fn merge(&mut self, report: &SuspectReport, now: ClockTime) {
        let at = |age_ms: u64| ClockTime::from_ms(now.as_ms().saturating_sub(age_ms));
        self.rank = self.rank.max(report.rank);
        self.progress = self.progress.max(report.progress);
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
            progress: self.progress,
            crashes: self.crashes.clone(),
            first_age_ms: now.since(self.first),
            last_age_ms: now.since(self.last),
        }
    }
}
