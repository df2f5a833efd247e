//! Reads the body of a request into memory that was reserved for it.

use crate::connection_table::ConnectionSlot;
use crate::connection_timer::ConnectionTimer;
use crate::reserved_buffer::ReservedBuffer;
use crate::resources::ClientResources;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio_util::sync::CancellationToken;

/// Reason why the body of a request is not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum BodyError {
    /// the body is larger than allowed
    TooLarge,
    /// the body broke off
    Broken,
    /// no memory is free for the body
    NoMemory,
    /// the body did not go on, and its memory was needed
    Stopped,
}

/// Where the bodies of a connection's requests are read to.
#[derive(Debug, Clone)]
pub struct BodyReader {
    resources: ClientResources,
    timer: ConnectionTimer,
    closing: CancellationToken,
}

impl BodyReader {
    /// Creates the reader of a connection.
    pub fn new(resources: &ClientResources, slot: &ConnectionSlot) -> Self {
        BodyReader {
            resources: resources.clone(),
            timer: slot.timer().clone(),
            closing: slot.closing().clone(),
        }
    }

    /// Reads a body of at most `bytes_max`. An announced length is reserved at once, the memory for
    /// any other body before it grows.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is larger, breaks off, or has to make room for others. Nothing of
    /// it is kept then.
    pub async fn read(&self, body: Incoming, bytes_max: usize) -> Result<Bytes, BodyError> {
        let reading = self.read_frames(body, bytes_max);
        let read = self.closing.run_until_cancelled(reading).await;
        let bytes = read.unwrap_or(Err(BodyError::Stopped))?;
        self.timer.on_body_read();
        Ok(bytes)
    }

    async fn read_frames(&self, mut body: Incoming, bytes_max: usize) -> Result<Bytes, BodyError> {
        let mut buffer = ReservedBuffer::for_request(&self.resources, &self.timer, bytes_max);
        if let Some(announced) = body.size_hint().exact() {
            let announced = usize::try_from(announced).unwrap_or(usize::MAX);
            if announced > bytes_max {
                return Err(BodyError::TooLarge);
            }
            buffer.reserve(announced).await.map_err(|_| BodyError::NoMemory)?;
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Broken)?;
            let Some(data) = frame.data_ref() else { continue };
            if buffer.len() + data.len() > bytes_max {
                return Err(BodyError::TooLarge);
            }
            buffer.push(data).await.map_err(|_| BodyError::NoMemory)?;
        }
        Ok(buffer.into_bytes())
    }
}
