//! Cuts a stream of server-sent events at the ends of events.

use bytes::{Bytes, BytesMut};

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
/// An event larger than this is no event of a model engine.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its bytes with the blank line at the end.
    pub bytes: Bytes,
}

/// An event grew beyond what is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum SseError {
    /// an event is larger than 1 MiB; the server sends no event stream
    TooLarge,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct SseSplitter {
    pending: BytesMut,
}

impl SseSplitter {
    /// Takes bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), SseError> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > EVENT_BYTES_MAX { Err(SseError::TooLarge) } else { Ok(()) }
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let end = self.pending.windows(EVENT_END.len()).position(|window| window == EVENT_END)?;
        let bytes = self.pending.split_to(end + EVENT_END.len()).freeze();
        Some(SseEvent { id: event_id(&bytes), bytes })
    }

    /// Says whether the beginning of an event is left.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Forgets the beginning of an event that will not go on.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
