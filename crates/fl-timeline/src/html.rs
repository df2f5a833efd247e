//! Renders a time line as a self-contained HTML page with an embedded SVG chart.

mod chart;
mod event_mark;
mod table;
mod time_axis;

use crate::event_kind::EVENT_GROUPS;
use crate::merge::TimeLine;
use crate::time::format_utc;

const STYLE: &str = include_str!("html/style.css");

/// Renders a time line as an HTML page; `title` and all event texts are escaped.
pub fn render_html(time_line: &TimeLine, title: &str) -> String {
    let title = escape(title);
    let summary = render_summary(time_line);
    let legend = render_legend();
    let chart = chart::render_chart(time_line);
    let table = table::render_table(&time_line.events);
    format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <title>{title}</title>\n<style>\n{STYLE}</style>\n</head>\n<body>\n\
         <h1>{title}</h1>\n{summary}{legend}<div class=\"drawing\">\n{chart}</div>\n\
         {table}</body>\n</html>\n"
    )
}

fn render_summary(time_line: &TimeLine) -> String {
    let events = time_line.events.len();
    let nodes = time_line.nodes.len();
    let start = format_utc(time_line.start_ms());
    let span_ms = time_line.end_ms().saturating_sub(time_line.start_ms());
    let dropped = match time_line.dropped_events {
        0 => String::new(),
        count => format!(" {count} older events had been dropped from the nodes' rings."),
    };
    format!("<p>{events} events of {nodes} nodes in {span_ms} ms from {start}.{dropped}</p>\n")
}

fn render_legend() -> String {
    let entries = EVENT_GROUPS.map(|group| {
        let name = group.name();
        format!("<span class=\"key {name}\">{name}</span>")
    });
    format!("<p class=\"legend\">{}</p>\n", entries.join(" "))
}

/// Escapes a text for HTML and SVG, both in elements and in double-quoted attributes.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            other => escaped.push(other),
        }
    }
    escaped
}
