//! Maps events to places on the drawing, and chooses round ticks.
//!
//! The axis is elastic: it follows time, but each event also gets a little room of its own. So an
//! effect stands right of its cause even within one millisecond, and a wait still looks long.

use fl_protocol::UnixMs;
use fl_protocol::event::Event;

const WIDTH_MIN_PX: f64 = 1160.0;
/// Room for one event at most; enough that slanted labels do not touch.
const ROOM_MAX_PX: f64 = 24.0;
const ROOM_SHARE_MAX: f64 = 0.7;
const TICKS_WANTED: u64 = 12;
const TICK_GAP_MIN_PX: f64 = 64.0;

/// An axis for the events of one drawing.
#[derive(Debug, Clone)]
pub(super) struct Scale {
    anchors: Vec<Anchor>,
    px_per_ms: f64,
    left_px: f64,
    width_px: f64,
}

#[derive(Debug, Clone, Copy)]
struct Anchor {
    time_ms: UnixMs,
    x_px: f64,
}

/// A mark on the axis.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tick {
    pub(super) x_px: f64,
    pub(super) offset_ms: u64,
}

impl Scale {
    /// Makes the axis for events in the order of their stamps, from `left_px` on.
    pub(super) fn new(events: &[Event], left_px: f64) -> Self {
        let steps = events.len().saturating_sub(1).max(1) as f64;
        let span_ms = span_ms(events);
        let width_px = WIDTH_MIN_PX.max(steps * ROOM_MAX_PX / ROOM_SHARE_MAX);
        let room_px = ROOM_MAX_PX.min(width_px * ROOM_SHARE_MAX / steps);
        let px_per_ms = (width_px - room_px * steps) / span_ms.max(1) as f64;
        let mut scale = Scale { anchors: Vec::new(), px_per_ms, left_px, width_px };
        for event in events {
            scale.add_anchor(event.stamp.time_ms, room_px);
        }
        scale
    }

    /// The width of the axis.
    pub(super) fn width_px(&self) -> f64 {
        self.width_px
    }

    /// The place of an event by its index.
    pub(super) fn event_px(&self, index: usize) -> f64 {
        self.anchors.get(index).map_or(self.left_px, |anchor| anchor.x_px)
    }

    /// Round offsets from the first event, as many as have room.
    pub(super) fn ticks(&self) -> Vec<Tick> {
        let (Some(first), Some(last)) = (self.anchors.first(), self.anchors.last()) else {
            return Vec::new();
        };
        let span_ms = last.time_ms - first.time_ms;
        let step_ms = round_step_ms(span_ms / TICKS_WANTED);
        let mut ticks: Vec<Tick> = Vec::new();
        for offset_ms in (0..=span_ms / step_ms).map(|index| index * step_ms) {
            let x_px = self.time_px(first.time_ms + offset_ms);
            if ticks.last().is_none_or(|tick| x_px - tick.x_px >= TICK_GAP_MIN_PX) {
                ticks.push(Tick { x_px, offset_ms });
            }
        }
        ticks
    }

    fn add_anchor(&mut self, time_ms: UnixMs, room_px: f64) {
        let x_px = match self.anchors.last() {
            None => self.left_px,
            Some(last) => last.x_px + room_px + (time_ms - last.time_ms) as f64 * self.px_per_ms,
        };
        self.anchors.push(Anchor { time_ms, x_px });
    }

    /// The place of a time, never right of the next event.
    fn time_px(&self, time_ms: UnixMs) -> f64 {
        let next = self.anchors.partition_point(|anchor| anchor.time_ms < time_ms);
        let Some(last) = next.checked_sub(1).and_then(|index| self.anchors.get(index)) else {
            return self.left_px;
        };
        let x_px = last.x_px + (time_ms - last.time_ms) as f64 * self.px_per_ms;
        self.anchors.get(next).map_or(x_px, |anchor| x_px.min(anchor.x_px))
    }
}

fn span_ms(events: &[Event]) -> u64 {
    match (events.first(), events.last()) {
        (Some(first), Some(last)) => last.stamp.time_ms - first.stamp.time_ms,
        _ => 0,
    }
}

/// The next of 1, 2, 5, 10, 20, 50, ... that is not below `least_ms`.
fn round_step_ms(least_ms: u64) -> u64 {
    let mut decade_ms: u64 = 1;
    loop {
        let steps_ms = [1, 2, 5].map(|factor| decade_ms.saturating_mul(factor));
        if let Some(step_ms) = steps_ms.into_iter().find(|step_ms| *step_ms >= least_ms) {
            return step_ms;
        }
        decade_ms = decade_ms.saturating_mul(10);
    }
}

/// Prints an offset with the unit that suits it.
pub(super) fn offset_text(offset_ms: u64) -> String {
    if offset_ms < 1000 {
        return format!("{offset_ms} ms");
    }
    format!("{} s", offset_ms as f64 / 1000.0)
}
