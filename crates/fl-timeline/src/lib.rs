//! Event time line: hybrid logical clock, ring buffer of events, merge, text and HTML output.
//!
//! Each node timestamps its events and keeps the newest in memory; `filbertctl timeline` merges the
//! rings of all nodes. This crate does no I/O: it neither reads a clock nor opens a socket. See
//! `docs/design/020-time-line.md`.

pub mod clock;
pub mod event_kind;
pub mod event_ring;
pub mod html;
pub mod merge;
pub mod text;
pub mod time;

pub use clock::HybridClock;
pub use event_ring::{EventFilter, EventRing, TimeLinePage};
pub use merge::{TimeLine, merge_pages};
