//! Wires forwarding to the users' platform.

use fl_adapter::{CloudClient, PlatformCodec, PlatformSettings, StoreClient};
use fl_forward::PlatformAdapters;
use fl_kernel::forward::PlatformDuties;
use std::sync::Arc;
use std::time::Duration;

/// Bounds each call to the platform; it answers within some milliseconds while it is well, and
/// within a quarter of a second while it is slow.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads the platform's settings and serves until told to stop.
pub fn run() -> Result<(), String> {
    let settings = PlatformSettings::load().map_err(|error| error.to_string())?;
    let cloud = settings.cloud;
    let platform = PlatformAdapters {
        codec: Arc::new(PlatformCodec),
        store: Arc::new(StoreClient::new(settings.store, PLATFORM_TIMEOUT)),
        duties: cloud.map(|address| {
            Arc::new(CloudClient::new(address, PLATFORM_TIMEOUT)) as Arc<dyn PlatformDuties>
        }),
    };
    // One thread: the machine's share is a fraction of one core, and more threads only cost it
    // wake-ups.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("cannot start the runtime: {error}"))?;
    let in_force = settings.clone();
    let reread = move || reread(&in_force);
    let served = runtime.block_on(fl_forward::run(settings.forward, platform, reread));
    served.map_err(|error| error.to_string())
}

/// Reads the settings again; what changed in them takes effect at the next start.
fn reread(in_force: &PlatformSettings) -> String {
    match PlatformSettings::load() {
        Err(error) => format!("kept the settings in force: {error}"),
        Ok(settings) if settings == *in_force => "unchanged".to_string(),
        Ok(_) => "changed; in force from the next start".to_string(),
    }
}
