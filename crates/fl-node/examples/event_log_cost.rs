//! Measures the cost of the event log: the time of one record, the memory of a full ring buffer,
//! and how long a reader of all events blocks the recording of events.
//!
//! ```text
//! cargo run --release -p fl-node --example event_log_cost
//! ```

use fl_kernel::services::EventLog as _;
use fl_node::event_log::NodeEventLog;
use fl_protocol::event::EventKind;
use fl_timeline::EventFilter;
use std::time::Instant;

/// More than the ring buffer holds, so that it is full.
const RECORDS: u128 = 200_000;
const PAGE_BYTES: u64 = 4096;
const DETAIL: &str = "runner-12 after 3 tries";

fn main() {
    let log = NodeEventLog::new("entry-a1", "sofia-1");
    let before_bytes = resident_bytes();
    let start = Instant::now();
    for id in 0..RECORDS {
        log.record(EventKind::AttemptStarted, Some(id), DETAIL.to_string());
    }
    let record_ns = start.elapsed().as_nanos() / RECORDS;
    let ring_bytes = resident_bytes().saturating_sub(before_bytes);
    let start = Instant::now();
    let page = log.page(&EventFilter::default());
    let page_ms = start.elapsed().as_secs_f64() * 1000.0;
    println!("one record:      {record_ns} ns");
    println!("full ring:       {} events, {} KiB", page.events.len(), ring_bytes / 1024);
    println!("page of all:     {page_ms:.1} ms");
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
