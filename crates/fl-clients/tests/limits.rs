//! What clients may take fits into each VM.

use fl_clients::{CONNECTION_BYTES, ClientLimits};
use fl_protocol::VmLimits;
use rstest::rstest;

#[rstest]
#[case::small(120, 3075)]
#[case::usual(260, 4100)]
#[case::many_descriptors(400, 10_250)]
#[case::large(512, 8192)]
#[case::few_descriptors(512, 1000)]
fn fits_vm(#[case] memory_mb: usize, #[case] file_descriptors: usize) {
    let memory_bytes = memory_mb * 1_000_000;
    let limits = ClientLimits::of(VmLimits { memory_bytes, file_descriptors });
    let connections = limits.caller_connections_max
        + limits.peer_connections_max
        + 2 * limits.monitoring_connections_max;
    assert!(connections * CONNECTION_BYTES + limits.shared_bytes <= memory_bytes / 2);
    assert!(limits.shared_bytes >= memory_bytes / 8);
    // As many connections to servers must remain possible.
    assert!(connections * 2 <= file_descriptors - 100);
}
