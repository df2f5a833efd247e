//! Orders the engines of this data centre to load the models that the desired placement gives them.
//!
//! Only the holder of the data centre's lease gives orders. Each reconciliation reads the engines'
//! states first, so that the effect of a late order of a former holder is undone. See
//! `docs/design/090-fleet.md`.

use crate::context::{ServiceContext, StartError};
use crate::lease::{LEASE, LeaseService, ORDER_TIMEOUT};
use fl_fleet::engine_orders::{DesiredState, compute_order};
use fl_fleet::placement::{RunnerState, compute_needs, place_models};
use fl_kernel::names;
use fl_kernel::services::{Backend, ConfigurationSource, Directory, EventLog};
use fl_platform::EngineReportClient;
use fl_platform::orders::OrderClient;
use fl_protocol::engine::EngineState;
use fl_protocol::event::EventKind;
use fl_protocol::platform::VmKind;
use futures::future::join_all;
use std::sync::Arc;
use std::time::Duration;

/// Time between two reconciliations; the effect of a late order of a former holder lasts no longer.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(2);
/// Bytes per second that the weight store serves to one data centre.
const WEIGHT_STORE_BYTES_PER_S: u64 = 1_000_000_000;

struct PlacementController {
    context: ServiceContext,
    lease: Arc<LeaseService>,
    directory: Arc<dyn Directory>,
    configuration: Arc<dyn ConfigurationSource>,
    reports: EngineReportClient,
    orders: OrderClient,
}

/// Starts the placement controller, which gives orders while this node holds the lease.
pub fn start(context: &ServiceContext) -> Result<(), StartError> {
    let platform = &context.settings.platform;
    let service = PlacementController {
        context: context.clone(),
        lease: context.registry.find::<LeaseService>(LEASE)?,
        directory: context.registry.find::<dyn Directory>(names::DIRECTORY)?,
        configuration: context.registry.find::<dyn ConfigurationSource>(names::CONFIGURATION)?,
        reports: EngineReportClient::new(ORDER_TIMEOUT),
        orders: OrderClient::new(platform.cloud, ORDER_TIMEOUT),
    };
    context.spawn(reconcile_periodically(service));
    Ok(())
}

async fn reconcile_periodically(service: PlacementController) {
    let draining = service.context.draining.clone();
    loop {
        tokio::select! {
            () = draining.cancelled() => return,
            () = tokio::time::sleep(RECONCILE_INTERVAL) => {}
        }
        if service.lease.fencing_token().is_some() {
            service.reconcile().await;
        }
    }
}

impl PlacementController {
    async fn reconcile(&self) {
        let configuration = self.configuration.current();
        if configuration.version == 0 {
            return;
        }
        let runners = self.local_runners();
        let results =
            join_all(runners.iter().map(|runner| self.reports.read_state(&runner.vm.address)))
                .await;
        let mut answered: Vec<(&Backend, EngineState)> = Vec::new();
        for (runner, state) in runners.iter().zip(results) {
            if let Ok(state) = state {
                answered.push((runner, state));
            }
        }
        let states: Vec<RunnerState> = answered.iter().map(to_runner_state).collect();
        let load_budget_bytes = WEIGHT_STORE_BYTES_PER_S * RECONCILE_INTERVAL.as_secs();
        let desired = place_models(&compute_needs(&configuration, &[]), &states, load_budget_bytes);
        let orders = answered.iter().zip(&desired);
        join_all(orders.map(|((runner, state), desired)| self.send_order(runner, state, desired)))
            .await;
    }

    fn local_runners(&self) -> Vec<Backend> {
        let own_data_center = &self.context.settings.node.data_center;
        let mut runners = self.directory.backends(VmKind::Runner);
        runners.retain(|runner| {
            let leaving = runner.vm.leaving || runner.leaving_at_ms.is_some();
            runner.vm.data_center == *own_data_center && !leaving
        });
        runners
    }

    /// Sends a runner the order that it needs, if any, provided that the lease is still held.
    async fn send_order(&self, runner: &Backend, state: &EngineState, desired: &DesiredState) {
        if state.models.is_empty() {
            return;
        }
        let Some(fencing_token) = self.lease.fencing_token() else { return };
        let Some(order) = compute_order(desired, state, fencing_token) else { return };
        let result = self.orders.send_order(&runner.vm.address, &order).await;
        let outcome = result.map_or_else(|error| error.to_string(), |_| "obeyed".to_string());
        let models = order.models.join(" ");
        let detail =
            format!("{}: fencing {fencing_token}, models {models}: {outcome}", runner.vm.name);
        if let Ok(log) = self.context.registry.find::<dyn EventLog>(names::EVENT_LOG) {
            log.record(EventKind::OrderGiven, None, detail);
        }
    }
}

fn to_runner_state((runner, state): &(&Backend, EngineState)) -> RunnerState {
    RunnerState { runner: runner.vm.name.clone(), models: state.models.clone() }
}
