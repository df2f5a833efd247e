//! The state machine of calls that may not be repeated.
