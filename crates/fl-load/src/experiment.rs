//! Puts the results of many runs side by side.
