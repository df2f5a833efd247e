//! Polls the runners for their cache events and loaded models.

use super::NodeRouter;
use fl_kernel::services::Backend;
use fl_platform::EngineReportClient;
use futures::StreamExt;
use futures::stream;
use std::sync::Arc;
use std::time::Duration;

/// Time between two polls of all runners.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Runners that are polled at the same time.
const MAX_CONCURRENT_READS: usize = 16;

/// Spawns the task that polls the runners.
pub fn spawn(router: &Arc<NodeRouter>) {
    let router = router.clone();
    let shutdown = router.context.shutdown.clone();
    let tasks = router.context.tasks.clone();
    tasks.spawn(async move {
        tokio::select! {
            () = poll_runners(&router) => {}
            () = shutdown.cancelled() => {}
        }
    });
}

async fn poll_runners(router: &NodeRouter) {
    let reports = EngineReportClient::new(router.context.settings.platform.request_timeout);
    loop {
        let runners = router.runners();
        router.state.lock().remove_unlisted(&runners);
        let poll = |runner: Backend| poll_runner(router, &reports, runner);
        let healthy = runners.into_iter().filter(|runner| runner.healthy);
        stream::iter(healthy.map(poll))
            .buffer_unordered(MAX_CONCURRENT_READS)
            .collect::<()>()
            .await;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn poll_runner(router: &NodeRouter, reports: &EngineReportClient, runner: Backend) {
    let name = &runner.vm.name;
    if router.models_are_stale(name)
        && let Ok(state) = reports.read_state(&runner.vm.address).await
    {
        router.set_models(name, state.models);
    }
    if !router.serves_model_calls() {
        return;
    }
    let (after, resync) = {
        let mut state = router.state.lock();
        let estimate = state.cache_estimates.get_or_insert(name);
        (estimate.resume_after(), estimate.needs_resync())
    };
    if let Ok(read) = reports.read_cache_events(&runner.vm.address, after).await {
        let mut state = router.state.lock();
        let estimate = state.cache_estimates.get_or_insert(name);
        if resync {
            estimate.resync(read.events);
        } else {
            estimate.apply_events(read.events);
        }
    }
}

impl super::RouterState {
    fn remove_unlisted(&mut self, runners: &[Backend]) {
        let listed = |name: &str| {
            runners.binary_search_by(|runner| runner.vm.name.as_str().cmp(name)).is_ok()
        };
        self.cache_estimates.retain(listed);
        self.models.retain(|loaded| listed(&loaded.runner));
    }
}
