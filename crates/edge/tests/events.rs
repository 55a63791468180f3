//! Event streams that break off or arrive in arbitrary chunks.

use burdockcleat_edge::events::EventSplitter;
use proptest::prelude::*;

/// Guards against forwarding an incomplete event, after which a resumed stream would repeat or miss
/// a part.
#[test]
fn an_unfinished_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n").unwrap(), None);
    let events = splitter.push(b"\nid: 2\ndata: b").unwrap().unwrap();
    assert_eq!(events.as_ref(), b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    assert!(splitter.has_partial_event());
}

/// Guards against missing an event's id that follows another line.
#[test]
fn ids_are_found_after_other_lines() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"x-weight-versions: 3\nid:12\ndata: id: 99 is no id\n\n").unwrap();
    assert_eq!(splitter.last_id(), Some(12));
}

proptest! {
    /// Guards against bytes that are lost, duplicated or reordered at a chunk boundary.
    #[test]
    fn chunk_boundaries_change_no_event(cuts in proptest::collection::vec(0_usize..60, 0..8)) {
        let stream = b"id: 1\ndata: aa\n\nid: 2\ndata: bb\n\nid: 3\ndata: cc\n\ntorn";
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut.min(stream.len())).collect();
        cuts.extend([0, stream.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut events_read = Vec::new();
        for pair in cuts.windows(2) {
            if let Some(events) = splitter.push(&stream[pair[0]..pair[1]]).unwrap() {
                prop_assert!(events.ends_with(b"\n\n"));
                events_read.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(events_read.as_slice(), &stream[..stream.len() - 4]);
        prop_assert_eq!(splitter.last_id(), Some(3));
        prop_assert!(splitter.has_partial_event());
    }
}

/// Guards against output lengths that count comments, or an event twice that arrives in parts.
#[test]
fn events_with_data_are_counted_once() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\ndata: b\n\n: ping\n\nid: 2\nda").unwrap();
    assert_eq!(splitter.event_count(), 1);
    splitter.push(b"ta: c\n\nid: 3\r\ndata: d\r\n\r\n").unwrap();
    assert_eq!(splitter.event_count(), 3);
}
