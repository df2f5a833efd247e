//! Draws the mark of one event: a shape a group, a label, and the details when pointed at.

use super::escape;
use crate::event_kind::{EventGroup, event_group, kind_name};
use crate::time::format_time_of_day;
use fl_protocol::event::Event;

const SIZE_PX: f64 = 5.5;
const LABEL_DX_PX: f64 = 4.0;
const LABEL_DY_PX: f64 = -9.0;
const LABEL_ANGLE_DEGREES: f64 = -30.0;

/// Where a mark stands.
#[derive(Debug, Clone, Copy)]
pub(super) struct Place {
    pub(super) x_px: f64,
    pub(super) y_px: f64,
}

/// Draws a mark.
pub(super) fn render_mark(event: &Event, place: Place, labelled: bool) -> String {
    let group = event_group(event.kind);
    let class = group.name();
    let shape = render_shape(group, place);
    let label = if labelled { render_label(event, place) } else { String::new() };
    let title = escape(&title_text(event));
    format!("<g class=\"{class}\"><title>{title}</title>{shape}{label}</g>")
}

fn render_label(event: &Event, place: Place) -> String {
    let x_px = place.x_px + LABEL_DX_PX;
    let y_px = place.y_px + LABEL_DY_PX;
    let kind = kind_name(event.kind);
    format!(
        "<text class=\"label\" x=\"{x_px:.1}\" y=\"{y_px:.1}\" \
         transform=\"rotate({LABEL_ANGLE_DEGREES} {x_px:.1} {y_px:.1})\">{kind}</text>"
    )
}

fn title_text(event: &Event) -> String {
    let time = format_time_of_day(event.stamp.time_ms);
    let mut lines = vec![format!("{} at {time} on {}", kind_name(event.kind), event.vm)];
    lines.extend(event.request_id.as_ref().map(|id| format!("request {id}")));
    lines.push(event.detail.clone());
    lines.join("\n").trim_end().to_string()
}

/// A shape a group, so that groups differ without colour as well.
fn render_shape(group: EventGroup, place: Place) -> String {
    let Place { x_px, y_px } = place;
    match group {
        EventGroup::Request => {
            format!("<circle class=\"mark\" cx=\"{x_px:.1}\" cy=\"{y_px}\" r=\"{SIZE_PX}\"/>")
        }
        EventGroup::Move => polygon(place, &[(-1.0, -1.1), (1.3, 0.0), (-1.0, 1.1)]),
        EventGroup::Ledger => polygon(place, &[(-1.0, -1.0), (1.0, -1.0), (1.0, 1.0), (-1.0, 1.0)]),
        EventGroup::Failure => polygon(place, &[(0.0, -1.4), (1.3, 1.0), (-1.3, 1.0)]),
        EventGroup::Control => polygon(place, &[(0.0, -1.4), (1.4, 0.0), (0.0, 1.4), (-1.4, 0.0)]),
    }
}

/// A polygon around a place, with corners in units of the mark's size.
fn polygon(place: Place, corners: &[(f64, f64)]) -> String {
    let corner = |(dx, dy): &(f64, f64)| {
        format!("{:.1},{:.1}", place.x_px + dx * SIZE_PX, place.y_px + dy * SIZE_PX)
    };
    let points: Vec<String> = corners.iter().map(corner).collect();
    format!("<polygon class=\"mark\" points=\"{}\"/>", points.join(" "))
}
