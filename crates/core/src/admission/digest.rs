//! Digest of the state, with which the specification search distinguishes states.

use super::AdmissionController;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

impl AdmissionController {
    /// Hashes all state that affects how requests proceed. Rate estimates are omitted.
    pub fn digest<H: Hasher>(&self, hasher: &mut H) {
        self.requests.iter().collect::<BTreeMap<_, _>>().hash(hasher);
        self.entries.hash(hasher);
        self.refusals.iter().collect::<BTreeMap<_, _>>().hash(hasher);
        self.regrants_due.hash(hasher);
        self.claims_full.hash(hasher);
        for pool in self.pools.values() {
            pool.digest(hasher);
        }
    }
}
