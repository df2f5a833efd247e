//! The configuration in force at this node: polled from the platform and spread by peers.
//!
//! Two nodes of each data centre poll the head row often and the others seldom. Heartbeats carry
//! the version, and a node that sees a higher one fetches the configuration from a peer. Only a
//! higher version is ever applied, and the last one stays in force while the platform is out. See
//! `docs/design/070-configuration.md`.

mod polling;

use crate::context::{ServiceContext, StartError};
use crate::membership::{MEMBERSHIP_SERVICE, MembershipService};
use fl_kernel::services::{ConfigurationSource, EventLog};
use fl_kernel::{Registry, names};
use fl_platform::ConfigurationStore;
use fl_protocol::Configuration;
use fl_protocol::event::EventKind;
use std::sync::Arc;
use tokio::sync::watch;

/// The service that keeps the configuration in force at this node.
pub struct ConfigurationService {
    current: watch::Sender<Arc<Configuration>>,
    registry: Arc<Registry>,
}

/// Starts the configuration service and registers it.
pub fn start(context: &ServiceContext) -> Result<Arc<ConfigurationService>, StartError> {
    let platform = &context.settings.platform;
    let store = ConfigurationStore::new(platform.table, platform.objects, platform.request_timeout);
    let service = Arc::new(ConfigurationService {
        current: watch::Sender::new(Arc::new(Configuration::default())),
        registry: context.registry.clone(),
    });
    context.registry.register::<dyn ConfigurationSource>(names::CONFIGURATION, service.clone())?;
    context.spawn(polling::poll_platform(context.clone(), service.clone(), store));
    context.spawn(polling::poll_peers(context.clone(), service.clone()));
    Ok(service)
}

impl ConfigurationService {
    /// Applies a configuration if its version is higher than the one in force.
    ///
    /// Returns whether it was applied; `source` names its origin in the event log.
    fn apply(&self, configuration: Configuration, source: &str) -> bool {
        let version = configuration.version;
        let applied = self.current.send_if_modified(|current| {
            if version <= current.version {
                return false;
            }
            *current = Arc::new(configuration);
            true
        });
        if applied {
            self.announce(version, source);
        }
        applied
    }

    fn announce(&self, version: u64, source: &str) {
        metrics::gauge!("configuration_version").set(version as f64);
        if let Ok(membership) = self.registry.find::<MembershipService>(MEMBERSHIP_SERVICE) {
            membership.set_configuration_version(version);
        }
        self.record(EventKind::ConfigurationInForce, format!("version {version} from {source}"));
    }

    fn record(&self, kind: EventKind, detail: String) {
        if let Ok(log) = self.registry.find::<dyn EventLog>(names::EVENT_LOG) {
            log.record(kind, None, detail);
        }
    }

    fn version(&self) -> u64 {
        self.current.borrow().version
    }
}

impl ConfigurationSource for ConfigurationService {
    fn current(&self) -> Arc<Configuration> {
        self.current.borrow().clone()
    }

    fn subscribe(&self) -> watch::Receiver<Arc<Configuration>> {
        self.current.subscribe()
    }

    fn apply_if_newer(&self, configuration: Configuration) -> bool {
        self.apply(configuration, "an offer")
    }
}
