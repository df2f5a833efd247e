//! Parses server-sent events from a stream of bytes.

/// A server-sent event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The `id` field, if present.
    pub id: Option<String>,
    /// The `event` field; empty for the default type.
    pub name: String,
    /// The `data` fields, joined by line feeds.
    pub data: String,
}

/// Buffers bytes and returns events as they become complete.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: Vec<u8>,
}

impl SseParser {
    /// Adds bytes to the buffer and returns the events that are now complete.
    pub fn parse(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = find_terminator(&self.buffer[start..]) {
            events.push(parse_event(&self.buffer[start..start + length]));
            start += length + EVENT_TERMINATOR.len();
        }
        self.buffer.drain(..start);
        events
    }
}

/// The empty line that terminates an event.
const EVENT_TERMINATOR: &[u8] = b"\n\n";

fn find_terminator(bytes: &[u8]) -> Option<usize> {
    bytes.windows(EVENT_TERMINATOR.len()).position(|window| window == EVENT_TERMINATOR)
}

fn parse_event(bytes: &[u8]) -> SseEvent {
    let text = String::from_utf8_lossy(bytes);
    let mut event = SseEvent::default();
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => event.id = Some(value.to_string()),
            "event" => event.name = value.to_string(),
            "data" if event.data.is_empty() => event.data = value.to_string(),
            "data" => {
                event.data.push('\n');
                event.data.push_str(value);
            }
            // Comments only keep the connection alive.
            _ => {}
        }
    }
    event
}
