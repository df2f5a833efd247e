//! Calls that may be repeated: retried on other servers within a retry budget.

use super::NodeLedger;
use super::dispatch::MAX_SERVERS_PER_CALL;
use fl_kernel::names;
use fl_kernel::services::Admission;
use fl_platform::ServiceError;
use fl_protocol::call::{ServiceCall, ServiceResponse};
use fl_protocol::{PlainService, Problem};
use std::time::Duration;

const RETRY_AFTER: Duration = Duration::from_secs(1);
const FIRST_SERVER_ERROR_STATUS: u16 = 500;

impl NodeLedger {
    /// Sends a call to one server after the other, within the retry budget of the pool.
    pub(super) async fn run_repeatable(
        &self,
        call: &ServiceCall,
        service: &PlainService,
    ) -> Result<ServiceResponse, Problem> {
        let admission = self.context.registry.find::<dyn Admission>(names::ADMISSION);
        let admission = admission.map_err(|error| Problem::Internal(error.to_string()))?;
        let timeout = Duration::from_millis(service.timeout_ms);
        let mut last = Err(Problem::NoBackend { retry_after: RETRY_AFTER });
        admission.count_first_attempt(&service.pool);
        for (index, vm) in
            self.candidate_servers(call, service).iter().take(MAX_SERVERS_PER_CALL).enumerate()
        {
            if index > 0 && !admission.take_retry(&service.pool) {
                break;
            }
            match self.pooled_client.call(&vm.address, call, timeout).await {
                Ok(response) if response.status < FIRST_SERVER_ERROR_STATUS => {
                    self.mark_contact(&vm.name, true);
                    return Ok(response);
                }
                Ok(response) => last = Ok(response),
                Err(ServiceError::NotSent(_)) => self.mark_contact(&vm.name, false),
                Err(ServiceError::OutcomeUnknown(_)) => {
                    self.mark_contact(&vm.name, false);
                    last = Err(Problem::GivenUp { retry_after: RETRY_AFTER });
                }
            }
        }
        last
    }
}
