//! Event streams that are torn or arrive in odd parts.

use burdockcleat_edge::events::EventSplitter;
use proptest::prelude::*;

/// Half an event is passed on, and the stream continues with a part twice or missing.
#[test]
fn an_unfinished_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n").unwrap(), None);
    let events = splitter.push(b"\nid: 2\ndata: b").unwrap().unwrap();
    assert_eq!(events.as_ref(), b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    assert!(splitter.has_partial_event());
}

/// A header line within an event hides its id.
#[test]
fn ids_are_found_after_other_lines() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"x-weight-versions: 3\nid:12\ndata: id: 99 is no id\n\n").unwrap();
    assert_eq!(splitter.last_id(), Some(12));
}

proptest! {
    /// Bytes are lost, doubled or reordered at some division into parts.
    #[test]
    fn chunk_boundaries_change_no_event(cuts in proptest::collection::vec(0_usize..60, 0..8)) {
        let stream = b"id: 1\ndata: aa\n\nid: 2\ndata: bb\n\nid: 3\ndata: cc\n\ntorn";
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut.min(stream.len())).collect();
        cuts.extend([0, stream.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut whole = Vec::new();
        for pair in cuts.windows(2) {
            if let Some(events) = splitter.push(&stream[pair[0]..pair[1]]).unwrap() {
                prop_assert!(events.ends_with(b"\n\n"));
                whole.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(whole.as_slice(), &stream[..stream.len() - 4]);
        prop_assert_eq!(splitter.last_id(), Some(3));
        prop_assert!(splitter.has_partial_event());
    }
}
