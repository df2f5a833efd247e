//! Draws the events as an SVG chart: one band per data centre, one lane per VM, one mark per event
//! and one path per request.

use super::escape;
use super::event_mark::{Point, render_mark};
use super::time_axis::{Tick, TimeAxis, format_offset};
use crate::merge::{NodeName, TimeLine};
use fl_protocol::event::Event;
use std::hash::{DefaultHasher, Hash, Hasher};

const LABEL_WIDTH_PX: f64 = 200.0;
const DATA_CENTER_X_PX: f64 = 12.0;
const VM_X_PX: f64 = 96.0;
/// Space right of the last event, for its label.
const RIGHT_MARGIN_PX: f64 = 130.0;
const BOTTOM_MARGIN_PX: f64 = 16.0;
const AXIS_HEIGHT_PX: f64 = 30.0;
const LANE_HEIGHT_PX: f64 = 36.0;
const LABELLED_LANE_HEIGHT_PX: f64 = 88.0;
/// Distance of a labelled lane's line below the middle of the lane, to leave space for labels.
const LABELLED_LINE_OFFSET_PX: f64 = 28.0;
/// Marks get labels up to this number of events.
const MAX_LABELLED_EVENTS: usize = 120;

/// Renders the chart of a time line.
pub(super) fn render_chart(time_line: &TimeLine) -> String {
    let chart = Chart::of(time_line);
    let (width_px, height_px) = (chart.width_px(), chart.height_px());
    let mut parts = vec![format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width_px:.0}\" \
         height=\"{height_px:.0}\" viewBox=\"0 0 {width_px:.0} {height_px:.0}\" role=\"img\" \
         aria-label=\"time line\">"
    )];
    parts.extend(chart.bands());
    parts.extend(chart.axis.ticks().into_iter().map(|tick| chart.tick(tick)));
    parts.extend(chart.lanes());
    parts.extend(chart.request_paths());
    parts.extend(chart.marks());
    parts.push("</svg>".to_string());
    parts.join("\n") + "\n"
}

struct Chart<'a> {
    events: &'a [Event],
    lanes: Vec<NodeName>,
    axis: TimeAxis,
    labelled: bool,
}

impl<'a> Chart<'a> {
    fn of(time_line: &'a TimeLine) -> Self {
        Chart {
            events: &time_line.events,
            lanes: nodes_with_events(&time_line.events),
            axis: TimeAxis::new(&time_line.events, LABEL_WIDTH_PX),
            labelled: time_line.events.len() <= MAX_LABELLED_EVENTS,
        }
    }

    fn width_px(&self) -> f64 {
        LABEL_WIDTH_PX + self.axis.width_px() + RIGHT_MARGIN_PX
    }

    fn height_px(&self) -> f64 {
        AXIS_HEIGHT_PX + self.lane_px() * self.lanes.len() as f64 + BOTTOM_MARGIN_PX
    }

    fn lane_px(&self) -> f64 {
        if self.labelled { LABELLED_LANE_HEIGHT_PX } else { LANE_HEIGHT_PX }
    }

    fn lane_y_px(&self, index: usize) -> f64 {
        let offset_px = if self.labelled { LABELLED_LINE_OFFSET_PX } else { 0.0 };
        AXIS_HEIGHT_PX + self.lane_px() * (index as f64 + 0.5) + offset_px
    }

    fn position(&self, index: usize, event: &Event) -> Point {
        let lane = self.lanes.binary_search(&node_of(event)).unwrap_or_default();
        Point { x_px: self.axis.event_px(index), y_px: self.lane_y_px(lane) }
    }

    /// Shades every second data centre, so that adjacent ones differ.
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
        let y_px = AXIS_HEIGHT_PX + self.lane_px() * first_lane as f64;
        let height_px = self.lane_px() * lanes as f64;
        format!(
            "<rect class=\"band\" x=\"0\" y=\"{y_px}\" width=\"{:.0}\" height=\"{height_px}\"/>",
            self.width_px()
        )
    }

    fn tick(&self, tick: Tick) -> String {
        let x_px = tick.x_px;
        let bottom_px = self.height_px() - BOTTOM_MARGIN_PX;
        let label = format_offset(tick.offset_ms);
        format!(
            "<line class=\"grid\" x1=\"{x_px:.1}\" x2=\"{x_px:.1}\" y1=\"{AXIS_HEIGHT_PX}\" \
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
        let data_center = if is_first { escape(&node.data_center) } else { String::new() };
        let vm = escape(&node.vm);
        format!(
            "<line class=\"lane\" x1=\"{LABEL_WIDTH_PX}\" x2=\"{:.0}\" y1=\"{y_px}\" y2=\"{y_px}\"/>\
             <text class=\"zone\" x=\"{DATA_CENTER_X_PX}\" y=\"{text_px}\">{data_center}</text>\
             <text x=\"{VM_X_PX}\" y=\"{text_px}\">{vm}</text>",
            self.width_px()
        )
    }

    /// Draws one path per request through its events on all nodes.
    fn request_paths(&self) -> Vec<String> {
        request_ids(self.events).into_iter().map(|id| self.request_path(id)).collect()
    }

    fn request_path(&self, id: &str) -> String {
        let is_of_request = |(_, event): &(usize, &Event)| event.request_id.as_deref() == Some(id);
        let point = |(index, event)| {
            let position = self.position(index, event);
            format!("{:.1},{:.1}", position.x_px, position.y_px)
        };
        let points: Vec<String> =
            self.events.iter().enumerate().filter(is_of_request).map(point).collect();
        let hue = hue_degrees(id);
        format!(
            "<g class=\"thread\"><title>request {}</title><polyline class=\"path\" \
             stroke=\"hsl({hue} 55% 50%)\" points=\"{}\"/></g>",
            escape(id),
            points.join(" "),
        )
    }

    fn marks(&self) -> Vec<String> {
        let mark = |(index, event)| render_mark(event, self.position(index, event), self.labelled);
        self.events.iter().enumerate().map(mark).collect()
    }
}

/// Returns the nodes with events; the others get no lane, since there can be hundreds of them.
fn nodes_with_events(events: &[Event]) -> Vec<NodeName> {
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
