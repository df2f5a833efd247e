//! filbertctl, the operators' command line.

fn main() {}
