//! Runs a node on the users' platform: connects forwarding to the platform's adapter.

use fl_adapter::{CloudClient, PlatformCodec, PlatformSettings, StoreClient};
use fl_forward::PlatformAdapters;
use fl_kernel::forward::PlatformDuties;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of each call to the platform, which responds within a few milliseconds normally and
/// within 250 ms while it is slow.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads the platform's settings file and serves calls until the process is told to stop.
pub fn run() -> Result<(), String> {
    let settings = PlatformSettings::load().map_err(|error| error.to_string())?;
    let cloud = settings.cloud;
    let fencing_enforced = settings.forward.bounds.fencing_enforced;
    let platform = PlatformAdapters {
        codec: Arc::new(PlatformCodec),
        store: Arc::new(StoreClient::new(
            settings.store,
            PLATFORM_TIMEOUT,
            settings.forward.has_rollouts,
        )),
        duties: cloud.map(|address| {
            let client = CloudClient::new(address, PLATFORM_TIMEOUT, fencing_enforced);
            Arc::new(client) as Arc<dyn PlatformDuties>
        }),
    };
    // A single thread, since the process gets only a fraction of one core and more threads would
    // only add wake-ups.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("cannot start the runtime: {error}"))?;
    let active = settings.clone();
    let reread = move || reread_settings(&active);
    let served = runtime.block_on(fl_forward::run(settings.forward, platform, reread));
    served.map_err(|error| error.to_string())
}

/// Reads the settings file again and returns the outcome for the log; changes take effect only at
/// the next start.
fn reread_settings(active: &PlatformSettings) -> String {
    match PlatformSettings::load() {
        Err(error) => format!("kept the settings in force: {error}"),
        Ok(settings) if settings == *active => "unchanged".to_string(),
        Ok(_) => "changed; in force from the next start".to_string(),
    }
}
