//! Provisional services.

use crate::context::{ServiceContext, StartError};
use async_trait::async_trait;
use fl_kernel::names;
use fl_kernel::services::*;
use fl_protocol::*;
use parking_lot::RwLock;
use std::sync::Arc;
use tokio::sync::watch;

struct Interim {
    context: ServiceContext,
    configuration: RwLock<Arc<Configuration>>,
    config_tx: watch::Sender<Arc<Configuration>>,
}

/// Starts them.
pub fn start(context: &ServiceContext) -> Result<(), StartError> {
    let empty = Arc::new(Configuration::default());
    let interim = Arc::new(Interim {
        context: context.clone(),
        configuration: RwLock::new(empty.clone()),
        config_tx: watch::Sender::new(empty),
    });
    let registry = &context.registry;
    registry.register::<dyn ConfigurationSource>(names::CONFIGURATION, interim.clone())?;
    registry.register::<dyn Admission>(names::ADMISSION, interim.clone())?;
    registry.register::<dyn Quarantine>(names::QUARANTINE, interim.clone())?;
    context.spawn(poll(interim));
    Ok(())
}

async fn poll(interim: Arc<Interim>) {
    let http = fl_platform::HttpClient::new(fl_platform::Reuse::Pooled);
    let platform = &interim.context.settings.platform;
    let timeout = platform.request_timeout;
    let mut ticks = tokio::time::interval(std::time::Duration::from_millis(300));
    loop {
        tokio::select! {
            () = interim.context.cancel.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let uri = format!("http://{}/v1/objects/configuration-interim", platform.objects);
        if let Ok(configuration) = http.get_json::<Configuration>(&uri, timeout).await {
            interim.offer(configuration);
        }
    }
}

impl ConfigurationSource for Interim {
    fn current(&self) -> Arc<Configuration> {
        self.configuration.read().clone()
    }
    fn subscribe(&self) -> watch::Receiver<Arc<Configuration>> {
        self.config_tx.subscribe()
    }
    fn offer(&self, configuration: Configuration) -> bool {
        let mut current = self.configuration.write();
        if configuration.version <= current.version {
            return false;
        }
        *current = Arc::new(configuration);
        self.config_tx.send_replace(current.clone());
        true
    }
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
