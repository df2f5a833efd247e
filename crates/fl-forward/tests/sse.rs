//! Events are complete, however their bytes are split between reads.

use fl_forward::sse::{SseError, SseSplitter};
use proptest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: one\n\nversion: 3\nid: 2\ndata: two\n\ndata: none\n\n";

fn split(splitter: &mut SseSplitter) -> Vec<(Option<u64>, Vec<u8>)> {
    let mut events = Vec::new();
    while let Some(event) = splitter.next_event() {
        events.push((event.id, event.bytes.to_vec()));
    }
    events
}

#[test]
fn ids_and_bytes_kept() {
    let mut splitter = SseSplitter::default();
    splitter.push(STREAM).unwrap();
    let events = split(&mut splitter);
    let ids: Vec<Option<u64>> = events.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, [Some(1), Some(2), None]);
    assert_eq!(events.concat_bytes(), STREAM);
    assert!(!splitter.has_partial());
}

#[test]
fn partial_event_withheld() {
    let mut splitter = SseSplitter::default();
    splitter.push(b"id: 1\ndata: one\n\nid: 2\nda").unwrap();
    assert_eq!(split(&mut splitter).len(), 1);
    assert!(splitter.has_partial());
    splitter.push(b"ta: two\n\n").unwrap();
    assert_eq!(split(&mut splitter), [(Some(2), b"id: 2\ndata: two\n\n".to_vec())]);
    assert!(!splitter.has_partial());
}

#[test]
fn oversized_event_rejected() {
    let mut splitter = SseSplitter::default();
    let many = vec![b'x'; 2 * 1024 * 1024];
    assert_eq!(splitter.push(&many), Err(SseError::TooLarge));
}

trait ConcatBytes {
    fn concat_bytes(&self) -> Vec<u8>;
}

impl ConcatBytes for Vec<(Option<u64>, Vec<u8>)> {
    fn concat_bytes(&self) -> Vec<u8> {
        self.iter().flat_map(|(_, bytes)| bytes.clone()).collect()
    }
}

proptest! {
    #[test]
    fn any_split_points(split_points in proptest::collection::vec(0usize..STREAM.len(), 0..8)) {
        let mut split_points = split_points;
        split_points.sort_unstable();
        let mut splitter = SseSplitter::default();
        let mut events = Vec::new();
        let mut from = 0;
        for to in split_points.into_iter().chain([STREAM.len()]) {
            splitter.push(&STREAM[from..to]).unwrap();
            events.extend(split(&mut splitter));
            from = to;
        }
        prop_assert_eq!(events.concat_bytes(), STREAM);
    }
}
