//! Renders a time line as text, one line per event.

use crate::event_kind::kind_name;
use crate::merge::TimeLine;
use crate::time::{format_time_of_day, format_utc};
use fl_protocol::event::Event;

const REQUEST_DIGITS_SHOWN: usize = 8;

/// Renders a time line; each column is as wide as its longest entry.
pub fn render_text(time_line: &TimeLine) -> String {
    let widths = ColumnWidths::of(&time_line.events);
    let mut text = render_header(time_line);
    for event in &time_line.events {
        text.push_str(render_line(event, &widths).trim_end());
        text.push('\n');
    }
    text
}

struct ColumnWidths {
    node: usize,
    kind: usize,
}

impl ColumnWidths {
    fn of(events: &[Event]) -> Self {
        let node = events.iter().map(|event| node_text(event).len()).max().unwrap_or(0);
        let kind = events.iter().map(|event| kind_name(event.kind).len()).max().unwrap_or(0);
        ColumnWidths { node, kind }
    }
}

fn render_header(time_line: &TimeLine) -> String {
    let events = time_line.events.len();
    let nodes = time_line.nodes.len();
    let start = format_utc(time_line.start_ms());
    let mut header = format!("# {events} events of {nodes} nodes from {start}\n");
    if time_line.dropped_events > 0 {
        let dropped = time_line.dropped_events;
        header.push_str(&format!(
            "# {dropped} older events had been dropped from the nodes' rings\n"
        ));
    }
    header
}

fn render_line(event: &Event, widths: &ColumnWidths) -> String {
    let time = format_time_of_day(event.stamp.time_ms);
    let counter = event.stamp.counter;
    let node = node_text(event);
    let kind = kind_name(event.kind);
    let request = request_text(event);
    let (node_width, kind_width) = (widths.node, widths.kind);
    format!(
        "{time}+{counter:<3} {node:node_width$}  {kind:kind_width$}  \
         {request:REQUEST_DIGITS_SHOWN$}  {}",
        event.detail
    )
}

fn node_text(event: &Event) -> String {
    format!("{}/{}", event.data_center, event.vm)
}

/// Returns the first digits of the request id, enough to distinguish the requests of a page.
pub(crate) fn request_text(event: &Event) -> String {
    let id = event.request_id.as_deref().unwrap_or("-");
    id.chars().take(REQUEST_DIGITS_SHOWN).collect()
}
