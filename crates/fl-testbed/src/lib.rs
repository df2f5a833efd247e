//! A test bed on one machine: node processes, stand-ins and network partitions.
//!
//! Stand-ins run inside the test, so that it can read their counters and set their faults. Nodes
//! are processes, so that they can be killed and paused. All traffic between nodes, and from nodes
//! to the platform, passes relays that can be partitioned. Errors panic, since this package is for
//! tests.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod caller;
pub mod network;
pub mod node;
pub mod testbed;

pub use caller::{CallOutcome, CallerEvent, ChatStream, wait_until};
pub use network::{Network, PLATFORM};
pub use node::NodeProcess;
pub use testbed::{Testbed, TestbedOptions, WORKSPACE, WORKSPACE_KEY};
