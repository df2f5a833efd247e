//! Clock, ring buffer, merge, text and HTML page of the event time line.

use fl_protocol::event::{Event, EventKind, HlcTimestamp};
use fl_timeline::clock::MAX_CLOCK_OFFSET_MS;
use fl_timeline::html::render_html;
use fl_timeline::text::render_text;
use fl_timeline::time::format_utc;
use fl_timeline::{EventFilter, EventRing, HybridClock, TimeLine, TimeLinePage, merge_pages};
use proptest::prelude::*;
use rstest::rstest;

fn event(time_ms: u64, vm: &str, kind: EventKind, request: Option<&str>) -> Event {
    Event {
        stamp: HlcTimestamp { time_ms, counter: 0 },
        vm: vm.to_string(),
        data_center: format!("dc-{}", &vm[..1]),
        kind,
        request_id: request.map(String::from),
        detail: String::new(),
    }
}

fn page(vm: &str, events: Vec<Event>) -> TimeLinePage {
    TimeLinePage {
        vm: vm.to_string(),
        data_center: format!("dc-{}", &vm[..1]),
        clock: HlcTimestamp::default(),
        dropped_events: 1,
        events,
    }
}

fn two_nodes() -> TimeLine {
    let request = Some("00ab");
    let mut refused = event(1000, "b1", EventKind::Refused, None);
    refused.detail = "<script> & \"quotes\"".to_string();
    let a = vec![
        event(1000, "a1", EventKind::Accepted, request),
        event(1500, "a1", EventKind::HandedOver, request),
    ];
    let b = vec![refused, event(1600, "b1", EventKind::TakenOver, request)];
    merge_pages(vec![page("b1", b.clone()), page("a1", a), page("b1", b)])
}

proptest! {
    #[test]
    fn timestamps_increase(steps in prop::collection::vec((0u64..5, 0u64..9, any::<bool>()), 1..50)) {
        let mut clock = HybridClock::default();
        for (now_ms, other_ms, receives) in steps {
            let last = clock.last();
            let other = HlcTimestamp { time_ms: other_ms, counter: 3 };
            let timestamp = if receives { clock.observe(other, now_ms) } else { clock.tick(now_ms) };
            prop_assert!(timestamp > last && timestamp.time_ms >= now_ms);
            prop_assert!(!receives || timestamp > other);
        }
    }
}

#[rstest]
#[case::at_limit(MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS + 10)]
#[case::beyond_limit(MAX_CLOCK_OFFSET_MS + 1, 10)]
fn clock_offset_limit(#[case] ahead_ms: u64, #[case] expected_ms: u64) {
    let mut clock = HybridClock::default();
    let timestamp = clock.observe(HlcTimestamp { time_ms: 10 + ahead_ms, counter: 0 }, 10);
    assert_eq!(timestamp.time_ms, expected_ms);
}

#[test]
fn counter_overflow_advances_time() {
    let mut clock = HybridClock::default();
    clock.observe(HlcTimestamp { time_ms: 5, counter: u32::MAX - 1 }, 5);
    assert_eq!(clock.tick(5), HlcTimestamp { time_ms: 6, counter: 0 });
}

#[test]
fn full_ring_drops_oldest() {
    let mut ring = EventRing::new(2);
    for time_ms in 1..=3 {
        ring.push(event(time_ms, "a1", EventKind::Accepted, None));
    }
    let times: Vec<u64> =
        ring.select(&EventFilter::default()).iter().map(|event| event.stamp.time_ms).collect();
    assert_eq!((times, ring.dropped_events()), (vec![2, 3], 1));
}

#[rstest]
#[case::all(None, 0, 3)]
#[case::request(Some("00ab"), 0, 2)]
#[case::since(None, 1600, 1)]
#[case::both(Some("00ab"), 1200, 1)]
fn filter_selects_events(
    #[case] request: Option<&str>,
    #[case] since_ms: u64,
    #[case] expected: usize,
) {
    let mut ring = EventRing::new(9);
    ring.push(event(1000, "a1", EventKind::Accepted, Some("00ab")));
    ring.push(event(1500, "a1", EventKind::Whole, Some("00ab")));
    ring.push(event(1600, "a1", EventKind::Accepted, Some("00cd")));
    let filter = EventFilter { request_id: request.map(String::from), since_ms };
    assert_eq!(ring.select(&filter).len(), expected);
}

#[test]
fn merged_events_ordered() {
    let merged = two_nodes();
    let order: Vec<EventKind> = merged.events.iter().map(|event| event.kind).collect();
    let expected =
        [EventKind::Accepted, EventKind::Refused, EventKind::HandedOver, EventKind::TakenOver];
    assert_eq!(order, expected);
    assert_eq!((merged.nodes.len(), merged.dropped_events), (2, 2));
}

/// A peer may keep events of a node that is leaving, so the same event can be on both pages.
#[test]
fn event_kept_by_peer_listed_once() {
    let own = event(1000, "a1", EventKind::Accepted, Some("00ab"));
    let merged = merge_pages(vec![page("a1", vec![own.clone()]), page("b1", vec![own])]);
    assert_eq!(merged.events.len(), 1);
}

#[test]
fn text_columns() {
    let text = render_text(&two_nodes());
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "# 4 events of 2 nodes from 1970-01-01T00:00:01.000Z");
    assert_eq!(lines[2], "00:00:01.000+0   dc-a/a1  accepted     00ab");
    assert_eq!(lines.len(), 6);
}

#[test]
fn html_escaped_and_complete() {
    let page = render_html(&two_nodes(), "zones & VMs");
    assert!(page.contains("<h1>zones &amp; VMs</h1>"));
    assert!(page.contains("&lt;script&gt; &amp; &quot;quotes&quot;") && !page.contains("<script>"));
    assert_eq!(page.matches("class=\"mark\"").count(), 4);
    assert_eq!(page.matches("class=\"path\"").count(), 1);
    assert_eq!(page.matches("class=\"lane\"").count(), 2);
    assert_eq!(page.matches("class=\"label\"").count(), 4);
}

/// Events within one millisecond must not be drawn on top of each other.
#[test]
fn effects_right_of_causes() {
    let mut time_line = two_nodes();
    time_line.events.iter_mut().for_each(|event| event.stamp.time_ms = 1000);
    for time_line in [two_nodes(), time_line] {
        let page = render_html(&time_line, "order");
        let points = page.split("points=\"").nth(1).unwrap().split('"').next().unwrap();
        let positions: Vec<f64> = points
            .split(' ')
            .map(|point| point.split(',').next().unwrap().parse().unwrap())
            .collect();
        assert!(positions.is_sorted_by(|a, b| a < b) && positions.len() == 3, "{positions:?}");
    }
}

#[test]
fn empty_time_line() {
    assert!(render_html(&TimeLine::default(), "none").contains("0 events of 0 nodes"));
}

#[rstest]
#[case::epoch(0, "1970-01-01T00:00:00.000Z")]
#[case::leap_day(951_782_400_000, "2000-02-29T00:00:00.000Z")]
#[case::before_leap_day(1_709_164_799_999, "2024-02-28T23:59:59.999Z")]
#[case::new_year(1_767_225_600_000, "2026-01-01T00:00:00.000Z")]
fn utc_format(#[case] time_ms: u64, #[case] expected: &str) {
    assert_eq!(format_utc(time_ms), expected);
}
