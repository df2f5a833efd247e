//! Provisional services.

use crate::context::{ServiceContext, StartError};
use fl_kernel::names;
use fl_kernel::services::*;
use fl_protocol::*;
use std::sync::Arc;

struct Interim;

/// Starts them.
pub fn start(context: &ServiceContext) -> Result<(), StartError> {
    let interim = Arc::new(Interim);
    let registry = &context.registry;
    registry.register::<dyn Quarantine>(names::QUARANTINE, interim)?;
    Ok(())
}

impl Quarantine for Interim {
    fn verdict(&self, _fingerprint: Fingerprint) -> Verdict {
        Verdict::Clear
    }
    fn server_died(&self, _server: &VmName, _in_flight: &[Fingerprint]) {}
    fn ended_well(&self, _fingerprint: Fingerprint) {}
    fn learn(&self, _fingerprint: Fingerprint, _verdict: Verdict) {}
}
