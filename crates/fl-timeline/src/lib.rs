//! Hybrid logical clock and the bounded ring of typed events.
//!
//! Each node stamps its events and keeps the newest of them in memory; `filbertctl timeline`
//! merges the rings of all nodes. Everything here is a function of its arguments: no clock is read
//! and no socket opened. See `docs/design/020-time-line.md`.

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
