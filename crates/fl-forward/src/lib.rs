//! Forwards callers' requests to backend servers and returns the responses.
//!
//! A call is received over HTTP, admitted, placed at a backend server and sent; its response is
//! relayed to the caller. The interfaces in `fl_kernel::forward` hide the wire formats and the
//! platform. Placement, limits and scaling are decided in `fl-routing`, `fl-limits` and `fl-fleet`.
//! See `docs/design/100-on-the-platform.md`.

pub mod admission;
pub mod attempt;
pub mod backend_response;
pub mod clock;
pub mod connection_pool;
pub mod crash_suspects;
pub mod duties;
pub mod forwarding;
pub mod http_server;
pub mod lifecycle;
pub mod links;
pub mod log;
pub mod metrics_endpoint;
pub mod node;
pub mod peer_proxy;
pub mod peers;
pub mod retry_budget;
pub mod rollouts;
pub mod route_table;
pub mod servers;
pub mod shared_reads;
pub mod sse;
pub mod store_calls;
pub mod stream_origins;
pub mod usage;

pub use lifecycle::run;
pub use node::{Node, PlatformAdapters};
