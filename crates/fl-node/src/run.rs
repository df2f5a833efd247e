//! Starts a node's services in order, runs them, and shuts them down without cutting off requests.

use crate::caller_api;
use crate::context::{ServiceContext, StartError};
use crate::model_requests::{self, ModelRequests};
use crate::options::NodeOptions;
use crate::readiness::{READINESS, Readiness};
use crate::{
    admin, admission, configuration, directory, event_log, lease, ledger, logging, membership,
    placement, quarantine, routing,
};
use fl_config::Settings;
use fl_kernel::clock::unix_ms;
use fl_kernel::names;
use fl_kernel::services::{Directory, EventLog, Membership};
use fl_kernel::{Node, Running, Starting};
use fl_protocol::event::EventKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

/// How long before the VM goes away the ownership of requests is handed over, so that callers can
/// still be told to reconnect.
const HANDOVER_MARGIN: Duration = Duration::from_millis(1500);
/// How long a stopping node waits for callers to read that they have to reconnect.
const RECONNECT_GRACE: Duration = Duration::from_millis(300);

/// The reason for a shutdown and the time by which requests must be finished or handed over.
struct ShutdownRequest {
    reason: String,
    deadline: Instant,
}

/// Reads the settings and runs a node until it stops.
pub fn start(options: &NodeOptions) -> Result<(), StartError> {
    let path = options.settings.as_ref().ok_or_else(|| {
        StartError::Settings("no settings file was given; use --settings FILE".to_string())
    })?;
    let settings =
        Settings::load(path).map_err(|errors| StartError::Settings(errors.to_string()))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| StartError::Runtime(error.to_string()))?;
    runtime.block_on(run(settings))
}

/// Runs a node until a signal stops it or its VM is reclaimed.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    let node = Node::new();
    let context = build_context(settings, &node);
    let readiness = Arc::new(Readiness::new(&context));
    context.registry.register::<Readiness>(READINESS, readiness.clone())?;
    let requests = start_services(&context, readiness.clone()).await?;
    let events = context.registry.find::<dyn EventLog>(names::EVENT_LOG)?;
    events.record(EventKind::NodeStarted, None, String::new());
    let node = node.run();
    let shutdown = wait_for_shutdown(&context).await?;
    events.record(EventKind::NodeLeaving, None, shutdown.reason.clone());
    stop(node, &context, &readiness, &requests, shutdown).await;
    Ok(())
}

fn build_context(settings: Settings, node: &Node<Starting>) -> ServiceContext {
    ServiceContext {
        settings: Arc::new(settings),
        registry: node.registry(),
        draining: node.draining_token(),
        shutdown: node.shutdown_token(),
        tasks: node.tasks(),
        runtime: Handle::current(),
    }
}

async fn start_services(
    context: &ServiceContext,
    readiness: Arc<Readiness>,
) -> Result<Arc<ModelRequests>, StartError> {
    logging::start(context)?;
    admin::install_metrics(context)?;
    event_log::start(context)?;
    admission::start(context)?;
    membership::start(context).await?;
    configuration::start(context)?;
    directory::start(context)?;
    lease::start(context)?;
    placement::start(context)?;
    routing::start(context)?;
    ledger::start(context)?;
    quarantine::start(context)?;
    let requests = model_requests::start(context)?;
    model_requests::start_peers(context, requests.clone())?;
    requests.start_watchers()?;
    caller_api::start(context, requests.clone(), readiness).await?;
    admin::start(context)?;
    context.spawn(event_log::record_node_ready(context.clone()));
    Ok(requests)
}

/// Waits for a signal or for the notice that the VM is reclaimed.
async fn wait_for_shutdown(context: &ServiceContext) -> Result<ShutdownRequest, StartError> {
    let signal_error = |error: std::io::Error| StartError::Signal(error.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let directory = context.registry.find::<dyn Directory>(names::DIRECTORY)?;
    let mut changes = directory.subscribe();
    let drain = context.settings.limits.drain_timeout;
    let own_vm = &context.settings.node.vm;
    loop {
        if let Some(leaving_at_ms) = directory.leaving_at_ms(own_vm) {
            let remaining = Duration::from_millis(leaving_at_ms.saturating_sub(unix_ms()));
            let usable = remaining.saturating_sub(HANDOVER_MARGIN).min(drain);
            let reason = "the VM is being reclaimed".to_string();
            return Ok(ShutdownRequest { reason, deadline: Instant::now() + usable });
        }
        let reason = tokio::select! {
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
            _ = changes.changed() => continue,
        };
        return Ok(ShutdownRequest {
            reason: reason.to_string(),
            deadline: Instant::now() + drain,
        });
    }
}

/// Finishes the requests in flight or hands them over, then ends all tasks.
async fn stop(
    node: Node<Running>,
    context: &ServiceContext,
    readiness: &Readiness,
    requests: &Arc<ModelRequests>,
    shutdown: ShutdownRequest,
) {
    readiness.set_leaving();
    let node = node.stop();
    if let Ok(membership) = context.registry.find::<dyn Membership>(names::MEMBERSHIP) {
        membership.leave();
    }
    requests.drain(shutdown.deadline).await;
    ledger::drain(context, shutdown.deadline).await;
    if let Ok(events) = context.registry.find::<dyn EventLog>(names::EVENT_LOG) {
        events.record(EventKind::NodeStopped, None, shutdown.reason);
    }
    let handover = tokio::time::timeout(RECONNECT_GRACE, event_log::hand_over_events(context));
    let _ = tokio::join!(handover, tokio::time::sleep(RECONNECT_GRACE));
    node.finish().await;
}
