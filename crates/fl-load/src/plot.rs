//! Draws results.
