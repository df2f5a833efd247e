//! Maps times and events to horizontal positions, and chooses the ticks of the axis.
//!
//! The axis is not linear: besides the elapsed time, each event adds a fixed gap. An effect is thus
//! drawn to the right of its cause even within one millisecond, and long waits still look long.

use fl_protocol::UnixMs;
use fl_protocol::event::Event;

const MIN_WIDTH_PX: f64 = 1160.0;
/// Largest gap between two events; at this gap slanted labels do not overlap.
const MAX_EVENT_GAP_PX: f64 = 24.0;
/// Largest share of the width that the gaps of all events take; the rest follows time.
const MAX_GAP_SHARE: f64 = 0.7;
const TARGET_TICKS: u64 = 12;
const MIN_TICK_GAP_PX: f64 = 64.0;

/// Time axis of one chart.
#[derive(Debug, Clone)]
pub(super) struct TimeAxis {
    events: Vec<EventPosition>,
    px_per_ms: f64,
    left_px: f64,
    width_px: f64,
}

#[derive(Debug, Clone, Copy)]
struct EventPosition {
    time_ms: UnixMs,
    x_px: f64,
}

/// A tick of the axis, labelled with its offset from the first event.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tick {
    pub(super) x_px: f64,
    pub(super) offset_ms: u64,
}

impl TimeAxis {
    /// Creates the axis for events in the order of their timestamps, starting at `left_px`.
    pub(super) fn new(events: &[Event], left_px: f64) -> Self {
        let gaps = events.len().saturating_sub(1).max(1) as f64;
        let span_ms = span_ms(events);
        let width_px = MIN_WIDTH_PX.max(gaps * MAX_EVENT_GAP_PX / MAX_GAP_SHARE);
        let gap_px = MAX_EVENT_GAP_PX.min(width_px * MAX_GAP_SHARE / gaps);
        let px_per_ms = (width_px - gap_px * gaps) / span_ms.max(1) as f64;
        let mut axis = TimeAxis { events: Vec::new(), px_per_ms, left_px, width_px };
        for event in events {
            axis.add_event(event.stamp.time_ms, gap_px);
        }
        axis
    }

    /// Returns the width of the axis in pixels.
    pub(super) fn width_px(&self) -> f64 {
        self.width_px
    }

    /// Returns the horizontal position of the event with this index.
    pub(super) fn event_px(&self, index: usize) -> f64 {
        self.events.get(index).map_or(self.left_px, |event| event.x_px)
    }

    /// Returns ticks at round offsets from the first event, at least [`MIN_TICK_GAP_PX`] apart.
    pub(super) fn ticks(&self) -> Vec<Tick> {
        let (Some(first), Some(last)) = (self.events.first(), self.events.last()) else {
            return Vec::new();
        };
        let span_ms = last.time_ms - first.time_ms;
        let step_ms = round_step_ms(span_ms / TARGET_TICKS);
        let mut ticks: Vec<Tick> = Vec::new();
        for offset_ms in (0..=span_ms / step_ms).map(|index| index * step_ms) {
            let x_px = self.time_px(first.time_ms + offset_ms);
            if ticks.last().is_none_or(|tick| x_px - tick.x_px >= MIN_TICK_GAP_PX) {
                ticks.push(Tick { x_px, offset_ms });
            }
        }
        ticks
    }

    fn add_event(&mut self, time_ms: UnixMs, gap_px: f64) {
        let x_px = match self.events.last() {
            None => self.left_px,
            Some(last) => last.x_px + gap_px + (time_ms - last.time_ms) as f64 * self.px_per_ms,
        };
        self.events.push(EventPosition { time_ms, x_px });
    }

    /// Returns the horizontal position of a time, at most that of the next event.
    fn time_px(&self, time_ms: UnixMs) -> f64 {
        let next = self.events.partition_point(|event| event.time_ms < time_ms);
        let Some(last) = next.checked_sub(1).and_then(|index| self.events.get(index)) else {
            return self.left_px;
        };
        let x_px = last.x_px + (time_ms - last.time_ms) as f64 * self.px_per_ms;
        self.events.get(next).map_or(x_px, |event| x_px.min(event.x_px))
    }
}

fn span_ms(events: &[Event]) -> u64 {
    match (events.first(), events.last()) {
        (Some(first), Some(last)) => last.stamp.time_ms - first.stamp.time_ms,
        _ => 0,
    }
}

/// Returns the smallest of 1, 2, 5, 10, 20, 50, ... that is at least `min_ms`.
fn round_step_ms(min_ms: u64) -> u64 {
    let mut decade_ms: u64 = 1;
    loop {
        let steps_ms = [1, 2, 5].map(|factor| decade_ms.saturating_mul(factor));
        if let Some(step_ms) = steps_ms.into_iter().find(|step_ms| *step_ms >= min_ms) {
            return step_ms;
        }
        decade_ms = decade_ms.saturating_mul(10);
    }
}

/// Formats an offset in milliseconds below one second, else in seconds.
pub(super) fn format_offset(offset_ms: u64) -> String {
    if offset_ms < 1000 {
        return format!("{offset_ms} ms");
    }
    format!("{} s", offset_ms as f64 / 1000.0)
}
