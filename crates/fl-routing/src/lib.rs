//! Routing decisions as pure functions: policies, prefix homes, load estimates.
