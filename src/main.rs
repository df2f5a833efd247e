//! The serving node: one process on each entry VM.

fn main() {}
