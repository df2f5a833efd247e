//! What a node holds for its clients, under one budget of memory and file descriptors.
//!
//! Clients that the node does not control may open many connections, stop in the middle of a request
//! or never read an answer. Whatever is kept for them is bounded by [`ClientResources`], and what
//! does not go on makes room for others. See `docs/design/160-memory-for-clients.md`.

mod answered_body;
mod body;
mod budget;
mod connection_table;
mod connection_timer;
mod limits;
mod read_some;
mod reserved_buffer;
mod resources;
mod serve;
mod timed_connection;

pub use answered_body::AnsweredBody;
pub use body::{BodyError, BodyReader};
pub use budget::{MemoryBudget, Reservation};
pub use connection_table::{ConnectionSlot, ConnectionTable, limit_buffers};
pub use connection_timer::{ActiveRequest, ConnectionTimer, HeldBytes};
pub use limits::{CONNECTION_BYTES, ClientLimits, INCLUDED_BYTES};
pub use reserved_buffer::{NoMemory, ReservedBuffer, hold_bytes};
pub use resources::ClientResources;
pub use serve::serve_until_closed;
pub use timed_connection::TimedConnection;
