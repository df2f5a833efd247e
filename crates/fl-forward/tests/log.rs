//! Logs are bounded by kind and never hold anybody up.

use fl_forward::log::Log;
use fl_forward::log::event::{NodeReady, NodeStopped};
use spdlog::sink::{Sink, SinkProp, SinkPropAccess};
use spdlog::{ErrorHandler, LevelFilter, Record, formatter::Formatter};
use std::sync::{Arc, Mutex};

/// Keeps lines, and writes none while its gate is held.
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

fn log() -> (Log, Arc<Collector>) {
    let collector = Arc::new(Collector::default());
    let log = Log::to_sink("node-1", "zone-1", collector.clone());
    (log.unwrap_or_else(|error| unreachable!("{error}")), collector)
}

/// Waits until the writing thread has written what was queued before.
fn lines(log: Log, collector: &Collector) -> Vec<String> {
    drop(log);
    collector.lines.lock().map(|lines| lines.clone()).unwrap_or_default()
}

#[test]
fn one_object_a_line() {
    let (log, collector) = log();
    log.write(&NodeReady { table_version: 7, servers: 3 });
    let lines = lines(log, &collector);
    let line: serde_json::Value = serde_json::from_str(&lines[0]).unwrap_or_default();
    for (key, expected) in [("vm", "node-1"), ("zone", "zone-1"), ("event", "node_ready")] {
        assert_eq!(line[key], expected);
    }
    assert_eq!((&line["table_version"], &line["servers"]), (&7.into(), &3.into()));
}

/// A kind beyond its rate is left out and counted; other kinds are not touched.
#[test]
fn bounded_by_kind() {
    let (log, collector) = log();
    for _ in 0..5_000 {
        log.write(&NodeReady { table_version: 7, servers: 3 });
    }
    log.write(&NodeStopped { calls: 0 });
    let lines = lines(log, &collector);
    let of_kind = |kind: &str| lines.iter().filter(|line| line.contains(kind)).count();
    // The writes may reach over the end of a second.
    assert!((100..=200).contains(&of_kind("\"node_ready\"")), "{}", lines.len());
    assert_eq!(of_kind("\"node_stopped\""), 1);
}

/// A reader that does not read loses lines and stops nobody.
#[test]
fn blocked_reader() {
    let (log, collector) = log();
    let gate = collector.gate.lock();
    for _ in 0..50 {
        log.write(&NodeReady { table_version: 7, servers: 3 });
        log.write(&NodeStopped { calls: 0 });
    }
    // Every write returned although not one line was written.
    assert!(collector.lines.lock().is_ok_and(|lines| lines.is_empty()));
    drop(gate);
    assert!(!lines(log, &collector).is_empty());
}
