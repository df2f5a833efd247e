//! Splits a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
/// Size limit of one event. Model engines send no larger ones.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// One complete server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// The number in its `id` field, if it has one.
    pub id: Option<u64>,
    /// Its bytes, including the blank line at the end.
    pub bytes: Bytes,
}

/// Errors of splitting a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum SseError {
    /// an event is larger than 1 MiB; the server sends no event stream
    TooLarge,
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct SseSplitter {
    pending: BytesMut,
    /// Number of pending bytes that hold no end of an event, so that they are searched only once.
    searched: usize,
}

impl SseSplitter {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if more bytes are buffered than the largest event has.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), SseError> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > EVENT_BYTES_MAX { Err(SseError::TooLarge) } else { Ok(()) }
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let from = self.searched;
        let mut windows = self.pending[from..].windows(EVENT_END.len());
        let Some(end) = windows.position(|window| window == EVENT_END) else {
            // The last byte may begin the end of the event.
            self.searched = self.pending.len().saturating_sub(EVENT_END.len() - 1);
            return None;
        };
        let bytes = self.pending.split_to(from + end + EVENT_END.len()).freeze();
        self.searched = 0;
        Some(SseEvent { id: event_id(&bytes), bytes })
    }

    /// Returns the number of buffered bytes.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
