//! Bytes whose memory was reserved before they were read.

use crate::connection_timer::{ConnectionTimer, HeldBytes};
use crate::limits::INCLUDED_BYTES;
use crate::resources::ClientResources;
use bytes::{Bytes, BytesMut};

/// Largest part of an answer that needs no memory of its own. The HTTP library keeps 16 parts for a
/// client that does not read, which are included with its connection.
const QUEUED_BYTES_MAX: usize = INCLUDED_BYTES / 16;
/// Size of a buffer when the first bytes are added.
const FIRST_BYTES: usize = 512;

/// the memory for clients is used up; try again when other requests have ended
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct NoMemory;

/// A buffer that reserves memory before it grows. It copies what is added, so that a small piece does
/// not keep the buffer alive that it was received in.
#[derive(Debug)]
pub struct ReservedBuffer {
    resources: ClientResources,
    /// The connection that a request is received on; `None` for an answer, whose call has run.
    connection: Option<ConnectionTimer>,
    bytes: BytesMut,
    /// The shared memory of the bytes; `None` while they are included with the connection.
    memory: Option<HeldBytes>,
    bytes_max: usize,
}

/// Bytes with the memory that is given back when the last reference to them is dropped.
struct OwnedBytes<B> {
    bytes: B,
    _memory: HeldBytes,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for OwnedBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Waits for the memory of bytes that a client may take long to read, and returns them so that it is
/// given back when the last reference to them is dropped. Few bytes need none.
///
/// # Errors
///
/// Returns an error if there is less memory than that in all.
pub async fn hold_bytes(resources: &ClientResources, bytes: Bytes) -> Result<Bytes, NoMemory> {
    if bytes.len() <= QUEUED_BYTES_MAX {
        return Ok(bytes);
    }
    let _memory = resources.reserve_for_answer(bytes.len()).await.map(HeldBytes::from)?;
    Ok(Bytes::from_owner(OwnedBytes { bytes, _memory }))
}

impl ReservedBuffer {
    /// Creates a buffer for the body of a request on a connection, of at most `bytes_max`.
    pub fn for_request(
        resources: &ClientResources,
        connection: &ConnectionTimer,
        bytes_max: usize,
    ) -> Self {
        Self::new(resources, Some(connection.clone()), bytes_max)
    }

    /// Creates a buffer for an answer of at most `bytes_max`.
    pub fn for_answer(resources: &ClientResources, bytes_max: usize) -> Self {
        Self::new(resources, None, bytes_max)
    }

    fn new(
        resources: &ClientResources,
        connection: Option<ConnectionTimer>,
        bytes_max: usize,
    ) -> Self {
        let resources = resources.clone();
        ReservedBuffer { resources, connection, bytes: BytesMut::new(), memory: None, bytes_max }
    }

    /// Makes sure that so many bytes fit without a further reservation.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory cannot be reserved.
    pub async fn reserve(&mut self, bytes: usize) -> Result<(), NoMemory> {
        if bytes <= self.bytes.capacity() {
            return Ok(());
        }
        let memory = match bytes <= INCLUDED_BYTES {
            true => None,
            false => Some(self.reserve_memory(bytes).await?),
        };
        let mut grown = BytesMut::with_capacity(bytes);
        grown.extend_from_slice(&self.bytes);
        // What was held before is given back only once its bytes are copied.
        self.bytes = grown;
        self.memory = memory;
        Ok(())
    }

    async fn reserve_memory(&self, bytes: usize) -> Result<HeldBytes, NoMemory> {
        match &self.connection {
            Some(connection) => Ok(connection.hold(self.resources.reserve(bytes).await?)),
            // One that holds memory already does not wait long for more, as others wait for its part.
            None if self.memory.is_some() => {
                self.resources.reserve(bytes).await.map(HeldBytes::from)
            }
            None => self.resources.reserve_for_answer(bytes).await.map(HeldBytes::from),
        }
    }

    /// Adds bytes; the buffer at least doubles when it grows.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory cannot be reserved.
    pub async fn push(&mut self, data: &[u8]) -> Result<(), NoMemory> {
        let needed_bytes = self.bytes.len() + data.len();
        if needed_bytes > self.bytes.capacity() {
            let doubled_bytes = (2 * self.bytes.capacity()).max(FIRST_BYTES).min(self.bytes_max);
            self.reserve(needed_bytes.max(doubled_bytes)).await?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the number of bytes that were added.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing was added.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes. Their memory is given back when the last reference to them is dropped.
    pub fn into_bytes(self) -> Bytes {
        match self.memory {
            None => self.bytes.freeze(),
            Some(_memory) => Bytes::from_owner(OwnedBytes { bytes: self.bytes, _memory }),
        }
    }
}
