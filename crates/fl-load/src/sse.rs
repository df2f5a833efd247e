//! Reads server-sent events out of bytes as they arrive.

/// One event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Its id, if it has one.
    pub id: Option<String>,
    /// Its name; empty for the usual kind.
    pub name: String,
    /// Its data.
    pub data: String,
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct SseParser {
    bytes: Vec<u8>,
}

impl SseParser {
    /// Takes bytes and gives the events that they complete.
    pub fn parse(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        self.bytes.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = find_end(&self.bytes[start..]) {
            events.push(read_event(&self.bytes[start..start + length]));
            start += length + END.len();
        }
        self.bytes.drain(..start);
        events
    }
}

/// What ends an event.
const END: &[u8] = b"\n\n";

fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(END.len()).position(|window| window == END)
}

fn read_event(bytes: &[u8]) -> SseEvent {
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
            // Comments keep a connection alive and say nothing.
            _ => {}
        }
    }
    event
}
