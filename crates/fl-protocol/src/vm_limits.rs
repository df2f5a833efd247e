//! What a process may take of its VM.

/// Memory and file descriptors of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmLimits {
    /// Memory of the VM, in bytes.
    pub memory_bytes: usize,
    /// File descriptors that the process may have open.
    pub file_descriptors: usize,
}

impl Default for VmLimits {
    /// Limits where the settings name none: those of a small VM, and the usual limit of a process.
    fn default() -> Self {
        VmLimits { memory_bytes: 256_000_000, file_descriptors: 1024 }
    }
}
