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
    registry.register::<dyn Admission>(names::ADMISSION, interim)?;
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
