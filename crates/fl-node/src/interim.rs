//! Provisional services.

use crate::context::{ServiceContext, StartError};
use async_trait::async_trait;
use fl_kernel::names;
use fl_kernel::services::*;
use fl_protocol::*;
use std::sync::Arc;

struct Interim;

/// Starts them.
pub fn start(context: &ServiceContext) -> Result<(), StartError> {
    let interim = Arc::new(Interim);
    let registry = &context.registry;
    registry.register::<dyn Admission>(names::ADMISSION, interim.clone())?;
    registry.register::<dyn Quarantine>(names::QUARANTINE, interim)?;
    Ok(())
}

struct Free;
impl Permit for Free {
    fn charge(&self, _tokens: u64) {}
}

#[async_trait]
impl Admission for Interim {
    async fn admit(
        &self,
        _workspace: &WorkspaceName,
        _class: &CallClass,
        _prompt_tokens: u64,
        _max_tokens: u64,
    ) -> Result<Box<dyn Permit>, Problem> {
        Ok(Box::new(Free))
    }
    fn try_retry(&self, _back_end: &str) -> bool {
        true
    }
    fn count_first_try(&self, _back_end: &str) {}
}

impl Quarantine for Interim {
    fn verdict(&self, _fingerprint: Fingerprint) -> Verdict {
        Verdict::Clear
    }
    fn server_died(&self, _server: &VmName, _in_flight: &[Fingerprint]) {}
    fn ended_well(&self, _fingerprint: Fingerprint) {}
    fn learn(&self, _fingerprint: Fingerprint, _verdict: Verdict) {}
}
