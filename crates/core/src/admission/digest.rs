//! Digest of the state, by which the specification search tells states apart.

use super::AdmissionController;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

impl AdmissionController {
    /// Enters everything that decides how requests go on. Estimates of rates are left out.
    pub fn digest<H: Hasher>(&self, hasher: &mut H) {
        self.requests.iter().collect::<BTreeMap<_, _>>().hash(hasher);
        self.entries.hash(hasher);
        self.refusals.iter().collect::<BTreeMap<_, _>>().hash(hasher);
        self.rechecks.hash(hasher);
        self.claims_full.hash(hasher);
        for pool in self.pools.values() {
            pool.digest(hasher);
        }
    }
}
