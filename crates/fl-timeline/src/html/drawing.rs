//! Draws the events: a band a data centre, a lane a VM, a mark an event, a path a request.

use super::escape;
use super::scale::{Scale, offset_text};
use crate::kind::{KindGroup, group_of, kind_name};
use crate::merge::{NodeName, TimeLine};
use crate::time::time_of_day_text;
use fl_protocol::event::Event;
use std::hash::{DefaultHasher, Hash, Hasher};

const WIDTH_PX: f64 = 1400.0;
const LABEL_PX: f64 = 190.0;
const MARGIN_PX: f64 = 24.0;
const AXIS_PX: f64 = 30.0;
const LANE_PX: f64 = 36.0;
const MARK_PX: f64 = 5.5;
/// Marks of one millisecond are drawn side by side by this much, so that all can be seen.
const SAME_TIME_SHIFT_PX: f64 = 4.0;
/// No mark is moved further than this from its time.
const SHIFT_MAX_PX: f64 = 24.0;

/// Draws a time line.
pub(super) fn render_drawing(time_line: &TimeLine) -> String {
    let drawing = Drawing::of(time_line);
    let height_px = drawing.height_px();
    let mut parts = vec![format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH_PX}\" height=\"{height_px}\" \
         viewBox=\"0 0 {WIDTH_PX} {height_px}\" role=\"img\" aria-label=\"time line\">"
    )];
    parts.extend(drawing.bands());
    parts.extend(drawing.ticks());
    parts.extend(drawing.lanes());
    parts.extend(drawing.threads());
    parts.extend(drawing.marks());
    parts.push("</svg>".to_string());
    parts.join("\n") + "\n"
}

struct Drawing<'a> {
    time_line: &'a TimeLine,
    lanes: Vec<NodeName>,
    scale: Scale,
    places: Vec<Place>,
}

#[derive(Clone, Copy)]
struct Place {
    x_px: f64,
    y_px: f64,
}

impl<'a> Drawing<'a> {
    fn of(time_line: &'a TimeLine) -> Self {
        let scale = Scale {
            start_ms: time_line.start_ms(),
            span_ms: time_line.end_ms().saturating_sub(time_line.start_ms()),
            left_px: LABEL_PX,
            width_px: WIDTH_PX - LABEL_PX - 2.0 * MARGIN_PX,
        };
        let mut drawing =
            Drawing { time_line, lanes: lanes_of(time_line), scale, places: Vec::new() };
        drawing.places = drawing.place_events();
        drawing
    }

    fn height_px(&self) -> f64 {
        AXIS_PX + LANE_PX * self.lanes.len() as f64 + MARGIN_PX
    }

    fn lane_y_px(&self, index: usize) -> f64 {
        AXIS_PX + LANE_PX * (index as f64 + 0.5)
    }

    fn place_events(&self) -> Vec<Place> {
        let mut places: Vec<Place> = Vec::with_capacity(self.time_line.events.len());
        let mut last_x_px = vec![f64::MIN; self.lanes.len()];
        for event in &self.time_line.events {
            let node = node_of(event);
            let lane = self.lanes.binary_search(&node).unwrap_or_default();
            let wanted_px = self.scale.x_px(event.stamp.time_ms);
            let shifted_px = wanted_px.max(last_x_px[lane] + SAME_TIME_SHIFT_PX);
            let x_px = shifted_px.min(wanted_px + SHIFT_MAX_PX);
            last_x_px[lane] = x_px;
            places.push(Place { x_px, y_px: self.lane_y_px(lane) });
        }
        places
    }

    fn bands(&self) -> Vec<String> {
        let mut parts = Vec::new();
        let groups = self.lanes.chunk_by(|a, b| a.data_center == b.data_center);
        let mut first = 0;
        for (index, group) in groups.enumerate() {
            let y_px = AXIS_PX + LANE_PX * first as f64;
            let height_px = LANE_PX * group.len() as f64;
            if index % 2 == 0 {
                parts.push(format!(
                    "<rect class=\"band\" x=\"0\" y=\"{y_px}\" width=\"{WIDTH_PX}\" \
                     height=\"{height_px}\"/>"
                ));
            }
            first += group.len();
        }
        parts
    }

    fn ticks(&self) -> Vec<String> {
        let bottom_px = self.height_px() - MARGIN_PX;
        let tick = |offset_ms: u64| {
            let x_px = self.scale.x_px(self.scale.start_ms + offset_ms);
            let label = offset_text(offset_ms);
            format!(
                "<line class=\"grid\" x1=\"{x_px:.1}\" x2=\"{x_px:.1}\" y1=\"{AXIS_PX}\" \
                 y2=\"{bottom_px}\"/><text class=\"tick\" x=\"{x_px:.1}\" y=\"18\">+{label}</text>"
            )
        };
        self.scale.tick_offsets_ms().into_iter().map(tick).collect()
    }

    fn lanes(&self) -> Vec<String> {
        let lane = |(index, node): (usize, &NodeName)| {
            let y_px = self.lane_y_px(index);
            let text_px = y_px + 4.0;
            let zone = escape(&node.data_center);
            let vm = escape(&node.vm);
            format!(
                "<line class=\"lane\" x1=\"{LABEL_PX}\" x2=\"{WIDTH_PX}\" y1=\"{y_px}\" \
                 y2=\"{y_px}\"/><text class=\"zone\" x=\"10\" y=\"{text_px}\">{zone}</text>\
                 <text x=\"100\" y=\"{text_px}\">{vm}</text>"
            )
        };
        self.lanes.iter().enumerate().map(lane).collect()
    }

    /// One path a request, so that its way over the nodes can be followed.
    fn threads(&self) -> Vec<String> {
        request_ids(&self.time_line.events).into_iter().map(|id| self.thread(id)).collect()
    }

    fn thread(&self, id: &str) -> String {
        let pairs = self.time_line.events.iter().zip(&self.places);
        let own = pairs.filter(|(event, _)| event.request_id.as_deref() == Some(id));
        let points: Vec<String> =
            own.map(|(_, place)| format!("{:.1},{:.1}", place.x_px, place.y_px)).collect();
        let hue = hue_degrees(id);
        format!(
            "<g class=\"thread\"><title>request {id}</title><polyline class=\"path\" \
             stroke=\"hsl({hue} 55% 50%)\" points=\"{}\"/></g>",
            points.join(" "),
            id = escape(id),
        )
    }

    fn marks(&self) -> Vec<String> {
        self.time_line.events.iter().zip(&self.places).map(render_mark).collect()
    }
}

fn lanes_of(time_line: &TimeLine) -> Vec<NodeName> {
    let mut lanes = time_line.nodes.clone();
    lanes.extend(time_line.events.iter().map(node_of));
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

fn render_mark((event, place): (&Event, &Place)) -> String {
    let group = group_of(event.kind);
    let class = group.name();
    let shape = render_shape(group, *place);
    let title = escape(&mark_title(event));
    format!("<g class=\"{class}\"><title>{title}</title>{shape}</g>")
}

fn mark_title(event: &Event) -> String {
    let time = time_of_day_text(event.stamp.time_ms);
    let kind = kind_name(event.kind);
    let request = event.request_id.as_deref().map(|id| format!("\nrequest {id}"));
    let detail =
        if event.detail.is_empty() { String::new() } else { format!("\n{}", event.detail) };
    format!("{kind} at {time} on {}{}{detail}", event.vm, request.unwrap_or_default())
}

/// A shape a group, so that groups differ without colour as well.
fn render_shape(group: KindGroup, place: Place) -> String {
    let Place { x_px, y_px } = place;
    let size_px = MARK_PX;
    let corners = |corners_px: &[(f64, f64)]| {
        let points: Vec<String> = corners_px
            .iter()
            .map(|(dx, dy)| format!("{:.1},{:.1}", x_px + dx * size_px, y_px + dy * size_px))
            .collect();
        format!("<polygon class=\"mark\" points=\"{}\"/>", points.join(" "))
    };
    match group {
        KindGroup::Request => {
            format!("<circle class=\"mark\" cx=\"{x_px:.1}\" cy=\"{y_px}\" r=\"{size_px}\"/>")
        }
        KindGroup::Move => corners(&[(-1.0, -1.1), (1.3, 0.0), (-1.0, 1.1)]),
        KindGroup::Ledger => corners(&[(-1.0, -1.0), (1.0, -1.0), (1.0, 1.0), (-1.0, 1.0)]),
        KindGroup::Failure => corners(&[(0.0, -1.4), (1.3, 1.0), (-1.3, 1.0)]),
        KindGroup::Control => corners(&[(0.0, -1.4), (1.4, 0.0), (0.0, 1.4), (-1.4, 0.0)]),
    }
}
