//! Renders the table of events below the chart.

use super::escape;
use crate::event_kind::{event_group, kind_name};
use crate::text::request_text;
use crate::time::format_time_of_day;
use fl_protocol::event::Event;

/// Renders the events as an HTML table, one row per event.
pub(super) fn render_table(events: &[Event]) -> String {
    let rows: Vec<String> = events.iter().map(render_row).collect();
    format!(
        "<table>\n<tr><th>time</th><th>data centre</th><th>VM</th><th>event</th>\
         <th>request</th><th>detail</th></tr>\n{}</table>\n",
        rows.concat()
    )
}

fn render_row(event: &Event) -> String {
    format!(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td class=\"{}\">{}</td><td class=\"id\">{}</td>\
         <td>{}</td></tr>\n",
        format_time_of_day(event.stamp.time_ms),
        escape(&event.data_center),
        escape(&event.vm),
        event_group(event.kind).name(),
        kind_name(event.kind),
        escape(&request_text(event)),
        escape(&event.detail),
    )
}
