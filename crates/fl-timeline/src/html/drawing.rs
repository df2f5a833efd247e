//! Draws the events: a band a data centre, a lane a VM, a mark an event, a path a request.

use super::escape;
use super::mark::{Place, render_mark};
use super::scale::{Scale, Tick, offset_text};
use crate::merge::{NodeName, TimeLine};
use fl_protocol::event::Event;
use std::hash::{DefaultHasher, Hash, Hasher};

const LABEL_PX: f64 = 200.0;
const ZONE_X_PX: f64 = 12.0;
const VM_X_PX: f64 = 96.0;
/// Room right of the last event for its label.
const RIGHT_PX: f64 = 130.0;
const MARGIN_PX: f64 = 16.0;
const AXIS_PX: f64 = 30.0;
const LANE_PX: f64 = 36.0;
const LABELLED_LANE_PX: f64 = 88.0;
/// How far below the middle of a labelled lane its line runs.
const LABELLED_LINE_DOWN_PX: f64 = 28.0;
/// More events than this are drawn without labels.
const LABELLED_EVENTS_MAX: usize = 120;

/// Draws a time line.
pub(super) fn render_drawing(time_line: &TimeLine) -> String {
    let drawing = Drawing::of(time_line);
    let (width_px, height_px) = (drawing.width_px(), drawing.height_px());
    let mut parts = vec![format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width_px:.0}\" \
         height=\"{height_px:.0}\" viewBox=\"0 0 {width_px:.0} {height_px:.0}\" role=\"img\" \
         aria-label=\"time line\">"
    )];
    parts.extend(drawing.bands());
    parts.extend(drawing.scale.ticks().into_iter().map(|tick| drawing.tick(tick)));
    parts.extend(drawing.lanes());
    parts.extend(drawing.threads());
    parts.extend(drawing.marks());
    parts.push("</svg>".to_string());
    parts.join("\n") + "\n"
}

struct Drawing<'a> {
    events: &'a [Event],
    lanes: Vec<NodeName>,
    scale: Scale,
    labelled: bool,
}

impl<'a> Drawing<'a> {
    fn of(time_line: &'a TimeLine) -> Self {
        Drawing {
            events: &time_line.events,
            lanes: lanes_of(&time_line.events),
            scale: Scale::new(&time_line.events, LABEL_PX),
            labelled: time_line.events.len() <= LABELLED_EVENTS_MAX,
        }
    }

    fn width_px(&self) -> f64 {
        LABEL_PX + self.scale.width_px() + RIGHT_PX
    }

    fn height_px(&self) -> f64 {
        AXIS_PX + self.lane_px() * self.lanes.len() as f64 + MARGIN_PX
    }

    fn lane_px(&self) -> f64 {
        if self.labelled { LABELLED_LANE_PX } else { LANE_PX }
    }

    fn lane_y_px(&self, index: usize) -> f64 {
        let down_px = if self.labelled { LABELLED_LINE_DOWN_PX } else { 0.0 };
        AXIS_PX + self.lane_px() * (index as f64 + 0.5) + down_px
    }

    fn place(&self, index: usize, event: &Event) -> Place {
        let lane = self.lanes.binary_search(&node_of(event)).unwrap_or_default();
        Place { x_px: self.scale.event_px(index), y_px: self.lane_y_px(lane) }
    }

    /// Bands of every second data centre, so that neighbours differ.
    fn bands(&self) -> Vec<String> {
        let mut parts = Vec::new();
        let mut first = 0;
        let groups = self.lanes.chunk_by(|a, b| a.data_center == b.data_center);
        for (index, group) in groups.enumerate() {
            if index % 2 == 0 {
                parts.push(self.band(first, group.len()));
            }
            first += group.len();
        }
        parts
    }

    fn band(&self, first_lane: usize, lanes: usize) -> String {
        let y_px = AXIS_PX + self.lane_px() * first_lane as f64;
        let height_px = self.lane_px() * lanes as f64;
        format!(
            "<rect class=\"band\" x=\"0\" y=\"{y_px}\" width=\"{:.0}\" height=\"{height_px}\"/>",
            self.width_px()
        )
    }

    fn tick(&self, tick: Tick) -> String {
        let x_px = tick.x_px;
        let bottom_px = self.height_px() - MARGIN_PX;
        let label = offset_text(tick.offset_ms);
        format!(
            "<line class=\"grid\" x1=\"{x_px:.1}\" x2=\"{x_px:.1}\" y1=\"{AXIS_PX}\" \
             y2=\"{bottom_px}\"/><text class=\"tick\" x=\"{x_px:.1}\" y=\"18\">+{label}</text>"
        )
    }

    fn lanes(&self) -> Vec<String> {
        (0..self.lanes.len()).map(|index| self.lane(index)).collect()
    }

    fn lane(&self, index: usize) -> String {
        let node = &self.lanes[index];
        let y_px = self.lane_y_px(index);
        let text_px = y_px + 4.0;
        let is_first = index == 0 || self.lanes[index - 1].data_center != node.data_center;
        let zone = if is_first { escape(&node.data_center) } else { String::new() };
        let vm = escape(&node.vm);
        format!(
            "<line class=\"lane\" x1=\"{LABEL_PX}\" x2=\"{:.0}\" y1=\"{y_px}\" y2=\"{y_px}\"/>\
             <text class=\"zone\" x=\"{ZONE_X_PX}\" y=\"{text_px}\">{zone}</text>\
             <text x=\"{VM_X_PX}\" y=\"{text_px}\">{vm}</text>",
            self.width_px()
        )
    }

    /// One path a request, so that its way over the nodes can be followed.
    fn threads(&self) -> Vec<String> {
        request_ids(self.events).into_iter().map(|id| self.thread(id)).collect()
    }

    fn thread(&self, id: &str) -> String {
        let own = |(_, event): &(usize, &Event)| event.request_id.as_deref() == Some(id);
        let point = |(index, event)| {
            let place = self.place(index, event);
            format!("{:.1},{:.1}", place.x_px, place.y_px)
        };
        let points: Vec<String> = self.events.iter().enumerate().filter(own).map(point).collect();
        let hue = hue_degrees(id);
        format!(
            "<g class=\"thread\"><title>request {}</title><polyline class=\"path\" \
             stroke=\"hsl({hue} 55% 50%)\" points=\"{}\"/></g>",
            escape(id),
            points.join(" "),
        )
    }

    fn marks(&self) -> Vec<String> {
        let mark = |(index, event)| render_mark(event, self.place(index, event), self.labelled);
        self.events.iter().enumerate().map(mark).collect()
    }
}

/// Only nodes with events get a lane, since there can be hundreds of others.
fn lanes_of(events: &[Event]) -> Vec<NodeName> {
    let mut lanes: Vec<NodeName> = events.iter().map(node_of).collect();
    lanes.sort();
    lanes.dedup();
    lanes
}

fn node_of(event: &Event) -> NodeName {
    NodeName { data_center: event.data_center.clone(), vm: event.vm.clone() }
}

fn request_ids(events: &[Event]) -> Vec<&str> {
    let mut ids: Vec<&str> = events.iter().filter_map(|e| e.request_id.as_deref()).collect();
    ids.sort_unstable();
    ids.dedup();
    ids
}

fn hue_degrees(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() % 360
}
