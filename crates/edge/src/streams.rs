//! Records of the software versions at which event streams began, as nodes exchange and store them.
//!
//! A caller may take up a stream that broke off with a new attempt at any node, and only targets of
//! the version at which the stream began can go on with it. A record never changes, so records may
//! be merged in any order and more than once.

mod lookup;
mod table;

pub use lookup::{DueLookups, PendingLookups};
pub use table::StreamTable;

use crate::placement::VersionKey;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of streams in a datagram. Its size stays under 16 KiB, also if each of the streams
/// began at another version.
pub const MAX_DATAGRAM_STREAMS: usize = 512;

/// Key of an event stream: hash of the id of the attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StreamKey(#[serde(with = "postcard::fixint::le")] pub u64);

impl StreamKey {
    /// Returns the key of the stream that the attempt began.
    pub fn new(attempt: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(attempt.as_bytes()))
    }
}

/// Key of a service: hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServiceKey(pub u32);

impl ServiceKey {
    /// Returns the key of the service with the given name.
    pub fn new(service: &str) -> Self {
        Self((xxhash_rust::xxh3::xxh3_64(service.as_bytes()) >> 32) as u32)
    }
}

/// Service and software version at which a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StreamRecord {
    /// Stream that began.
    pub stream: StreamKey,
    /// Service of the target.
    pub service: ServiceKey,
    /// Software version of the target.
    pub version: VersionKey,
}

/// Records of streams that began at the same version, which is encoded once for all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamGroup {
    /// Service of the targets.
    pub service: ServiceKey,
    /// Software version of the targets.
    pub version: VersionKey,
    /// Streams that began there.
    pub streams: Vec<StreamKey>,
}

impl StreamGroup {
    /// Groups records by version.
    pub fn collect(records: &[StreamRecord]) -> Vec<Self> {
        let mut groups: BTreeMap<_, Vec<StreamKey>> = BTreeMap::new();
        for record in records {
            groups.entry((record.service, record.version)).or_default().push(record.stream);
        }
        let groups = groups.into_iter();
        groups.map(|((service, version), streams)| Self { service, version, streams }).collect()
    }

    /// Returns the records of the group.
    pub fn records(&self) -> impl Iterator<Item = StreamRecord> {
        let (service, version) = (self.service, self.version);
        self.streams.iter().map(move |stream| StreamRecord { stream: *stream, service, version })
    }
}
