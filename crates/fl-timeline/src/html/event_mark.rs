//! Draws the mark of one event: a shape for its group, a label, and the details as a tooltip.

use super::escape;
use crate::event_kind::{EventGroup, event_group, kind_name};
use crate::time::format_time_of_day;
use fl_protocol::event::Event;

const MARK_RADIUS_PX: f64 = 5.5;
const LABEL_DX_PX: f64 = 4.0;
const LABEL_DY_PX: f64 = -9.0;
const LABEL_ANGLE_DEGREES: f64 = -30.0;

/// Position of a mark in the chart.
#[derive(Debug, Clone, Copy)]
pub(super) struct Point {
    pub(super) x_px: f64,
    pub(super) y_px: f64,
}

/// Renders the mark of an event at a position.
pub(super) fn render_mark(event: &Event, position: Point, labelled: bool) -> String {
    let group = event_group(event.kind);
    let class = group.name();
    let shape = render_shape(group, position);
    let label = if labelled { render_label(event, position) } else { String::new() };
    let tooltip = escape(&tooltip_text(event));
    format!("<g class=\"{class}\"><title>{tooltip}</title>{shape}{label}</g>")
}

fn render_label(event: &Event, position: Point) -> String {
    let x_px = position.x_px + LABEL_DX_PX;
    let y_px = position.y_px + LABEL_DY_PX;
    let kind = kind_name(event.kind);
    format!(
        "<text class=\"label\" x=\"{x_px:.1}\" y=\"{y_px:.1}\" \
         transform=\"rotate({LABEL_ANGLE_DEGREES} {x_px:.1} {y_px:.1})\">{kind}</text>"
    )
}

fn tooltip_text(event: &Event) -> String {
    let time = format_time_of_day(event.stamp.time_ms);
    let mut lines = vec![format!("{} at {time} on {}", kind_name(event.kind), event.vm)];
    lines.extend(event.request_id.as_ref().map(|id| format!("request {id}")));
    lines.push(event.detail.clone());
    lines.join("\n").trim_end().to_string()
}

/// Renders the shape of a group; the shapes differ so that groups can be told apart without colour.
fn render_shape(group: EventGroup, position: Point) -> String {
    let Point { x_px, y_px } = position;
    match group {
        EventGroup::Request => {
            format!(
                "<circle class=\"mark\" cx=\"{x_px:.1}\" cy=\"{y_px}\" r=\"{MARK_RADIUS_PX}\"/>"
            )
        }
        EventGroup::Move => render_polygon(position, &[(-1.0, -1.1), (1.3, 0.0), (-1.0, 1.1)]),
        EventGroup::Ledger => {
            render_polygon(position, &[(-1.0, -1.0), (1.0, -1.0), (1.0, 1.0), (-1.0, 1.0)])
        }
        EventGroup::Failure => render_polygon(position, &[(0.0, -1.4), (1.3, 1.0), (-1.3, 1.0)]),
        EventGroup::Control => {
            render_polygon(position, &[(0.0, -1.4), (1.4, 0.0), (0.0, 1.4), (-1.4, 0.0)])
        }
    }
}

/// Renders a polygon around a position, with corners in units of [`MARK_RADIUS_PX`].
fn render_polygon(position: Point, corners: &[(f64, f64)]) -> String {
    let corner = |(dx, dy): &(f64, f64)| {
        format!(
            "{:.1},{:.1}",
            position.x_px + dx * MARK_RADIUS_PX,
            position.y_px + dy * MARK_RADIUS_PX
        )
    };
    let points: Vec<String> = corners.iter().map(corner).collect();
    format!("<polygon class=\"mark\" points=\"{}\"/>", points.join(" "))
}
