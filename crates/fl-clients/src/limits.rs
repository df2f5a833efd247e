//! Shares of a VM's memory and file descriptors that clients may take.

use fl_protocol::VmLimits;

/// Memory that is counted for each connection: 16 KiB in each of the kernel's two buffers, 16 KiB in
/// the library's, twice [`INCLUDED_BYTES`], and 32 KiB that are received from a server for it.
pub const CONNECTION_BYTES: usize = 96 * 1024;
/// Bytes of a head, of a body and of an answer that need no memory beyond that of the connection,
/// so that small requests never wait for large ones.
pub const INCLUDED_BYTES: usize = 8 * 1024;
/// Size of each of the kernel's two buffers of a client's connection. It bounds what may be received
/// and not yet read.
pub(crate) const SOCKET_BUFFER_BYTES: usize = 16 * 1024;

/// Connections to addresses at which only the platform and operators call, such as readiness.
const MONITORING_CONNECTIONS_MAX: usize = 16;
/// Number of such addresses.
const MONITORING_LISTENERS: usize = 2;
/// File descriptors that the process needs for files.
const FILE_DESCRIPTORS: usize = 200;
/// One part in so many of the memory is for clients; the process itself needs the rest.
const MEMORY_PARTS: usize = 2;
/// One part in so many of the clients' memory is for callers' connections.
const CALLER_MEMORY_PARTS: usize = 2;
/// One part in so many of the clients' memory is for peers' connections.
const PEER_MEMORY_PARTS: usize = 8;
/// Eighths of the descriptors for callers' connections. A call needs another one to a server.
const CALLER_DESCRIPTOR_EIGHTHS: usize = 3;
/// Eighths of the descriptors for peers' connections.
const PEER_DESCRIPTOR_EIGHTHS: usize = 1;
/// Fewest connections of a kind, however small the VM is.
const CONNECTIONS_MIN: usize = 16;

/// What clients may take of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Connections of callers.
    pub caller_connections_max: usize,
    /// Connections of peers.
    pub peer_connections_max: usize,
    /// Connections to each address for monitoring.
    pub monitoring_connections_max: usize,
    /// Bytes of heads, bodies and answers beyond what is included with each connection.
    pub shared_bytes: usize,
}

impl ClientLimits {
    /// Divides a VM. Half of its memory is for clients: for the most connections that may be open,
    /// and what is left of it for larger requests and answers.
    pub fn of(vm: VmLimits) -> Self {
        let client_bytes = vm.memory_bytes / MEMORY_PARTS;
        let descriptors = vm.file_descriptors.saturating_sub(FILE_DESCRIPTORS);
        let connections = |memory_parts: usize, descriptor_eighths: usize| {
            let by_memory = client_bytes / memory_parts / CONNECTION_BYTES;
            let by_descriptors = descriptors * descriptor_eighths / 8;
            by_memory.min(by_descriptors).max(CONNECTIONS_MIN)
        };
        let caller_connections_max = connections(CALLER_MEMORY_PARTS, CALLER_DESCRIPTOR_EIGHTHS);
        let peer_connections_max = connections(PEER_MEMORY_PARTS, PEER_DESCRIPTOR_EIGHTHS);
        let monitoring_connections = MONITORING_LISTENERS * MONITORING_CONNECTIONS_MAX;
        let all_connections =
            caller_connections_max + peer_connections_max + monitoring_connections;
        ClientLimits {
            caller_connections_max,
            peer_connections_max,
            monitoring_connections_max: MONITORING_CONNECTIONS_MAX,
            shared_bytes: client_bytes.saturating_sub(all_connections * CONNECTION_BYTES),
        }
    }
}
