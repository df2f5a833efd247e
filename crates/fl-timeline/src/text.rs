//! Prints a time line as text, one event a line.

use crate::event_kind::kind_name;
use crate::merge::TimeLine;
use crate::time::{format_time_of_day, format_utc};
use fl_protocol::event::Event;

const REQUEST_DIGITS_SHOWN: usize = 8;

/// Prints a time line; columns are as wide as their longest entry.
pub fn render_text(time_line: &TimeLine) -> String {
    let widths = Widths::of(&time_line.events);
    let mut text = render_head(time_line);
    for event in &time_line.events {
        text.push_str(render_line(event, &widths).trim_end());
        text.push('\n');
    }
    text
}

struct Widths {
    place: usize,
    kind: usize,
}

impl Widths {
    fn of(events: &[Event]) -> Self {
        let place = events.iter().map(|event| place_text(event).len()).max().unwrap_or(0);
        let kind = events.iter().map(|event| kind_name(event.kind).len()).max().unwrap_or(0);
        Widths { place, kind }
    }
}

fn render_head(time_line: &TimeLine) -> String {
    let events = time_line.events.len();
    let nodes = time_line.nodes.len();
    let start = format_utc(time_line.start_ms());
    let mut head = format!("# {events} events of {nodes} nodes from {start}\n");
    if time_line.dropped_events > 0 {
        let dropped = time_line.dropped_events;
        head.push_str(&format!("# {dropped} older events had left the nodes' rings\n"));
    }
    head
}

fn render_line(event: &Event, widths: &Widths) -> String {
    let time = format_time_of_day(event.stamp.time_ms);
    let counter = event.stamp.counter;
    let place = place_text(event);
    let kind = kind_name(event.kind);
    let request = request_text(event);
    let (place_width, kind_width) = (widths.place, widths.kind);
    format!(
        "{time}+{counter:<3} {place:place_width$}  {kind:kind_width$}  \
         {request:REQUEST_DIGITS_SHOWN$}  {}",
        event.detail
    )
}

fn place_text(event: &Event) -> String {
    format!("{}/{}", event.data_center, event.vm)
}

/// The first digits of the request id, which tell the requests of one page apart.
pub(crate) fn request_text(event: &Event) -> String {
    let id = event.request_id.as_deref().unwrap_or("-");
    id.chars().take(REQUEST_DIGITS_SHOWN).collect()
}
