//! Hybrid logical clock and the bounded ring of typed events.
