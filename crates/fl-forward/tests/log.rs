//! Log lines are limited by kind of event, and writing never blocks.

use fl_forward::log::Log;
use fl_forward::log::event::{NodeReady, NodeStopped};
use spdlog::sink::{Sink, SinkProp, SinkPropAccess};
use spdlog::{ErrorHandler, LevelFilter, Record, formatter::Formatter};
use std::sync::{Arc, Mutex};

/// A sink that collects lines and blocks while its gate is locked.
#[derive(Default)]
struct Collector {
    lines: Mutex<Vec<String>>,
    gate: Mutex<()>,
    prop: SinkProp,
}

impl SinkPropAccess for Collector {
    fn level_filter(&self) -> LevelFilter {
        self.prop.level_filter()
    }

    fn set_level_filter(&self, filter: LevelFilter) {
        self.prop.set_level_filter(filter);
    }

    fn set_formatter(&self, formatter: Box<dyn Formatter>) {
        drop(formatter);
    }

    fn set_error_handler(&self, handler: ErrorHandler) {
        self.prop.set_error_handler(handler);
    }
}

impl Sink for Collector {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let _gate = self.gate.lock();
        if let Ok(mut lines) = self.lines.lock() {
            lines.push(record.payload().to_string());
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

fn new_log() -> (Log, Arc<Collector>) {
    let collector = Arc::new(Collector::default());
    let log = Log::to_sink("node-1", "zone-1", collector.clone());
    (log.unwrap_or_else(|error| unreachable!("{error}")), collector)
}

/// Waits until the writing thread has written the queued lines, and returns them.
fn lines(log: Log, collector: &Collector) -> Vec<String> {
    drop(log);
    collector.lines.lock().map(|lines| lines.clone()).unwrap_or_default()
}

#[test]
fn one_object_per_line() {
    let (log, collector) = new_log();
    log.write(&NodeReady { table_version: 7, servers: 3 });
    let lines = lines(log, &collector);
    let line: serde_json::Value = serde_json::from_str(&lines[0]).unwrap_or_default();
    for (key, expected) in [("vm", "node-1"), ("zone", "zone-1"), ("event", "node_ready")] {
        assert_eq!(line[key], expected);
    }
    assert_eq!((&line["table_version"], &line["servers"]), (&7.into(), &3.into()));
}

/// Lines of a kind beyond its limit are dropped. Other kinds are not affected.
#[test]
fn rate_limited_by_kind() {
    let (log, collector) = new_log();
    for _ in 0..5_000 {
        log.write(&NodeReady { table_version: 7, servers: 3 });
    }
    log.write(&NodeStopped { calls: 0 });
    let lines = lines(log, &collector);
    let of_kind = |kind: &str| lines.iter().filter(|line| line.contains(kind)).count();
    // The writes may cross the end of a second, which allows 100 more.
    assert!((100..=200).contains(&of_kind("\"node_ready\"")), "{}", lines.len());
    assert_eq!(of_kind("\"node_stopped\""), 1);
}

/// A blocked reader of standard output must not block the threads that log.
#[test]
fn blocked_reader_tolerated() {
    let (log, collector) = new_log();
    let gate = collector.gate.lock();
    for _ in 0..50 {
        log.write(&NodeReady { table_version: 7, servers: 3 });
        log.write(&NodeStopped { calls: 0 });
    }
    // All writes returned although the sink wrote no line.
    assert!(collector.lines.lock().is_ok_and(|lines| lines.is_empty()));
    drop(gate);
    assert!(!lines(log, &collector).is_empty());
}
