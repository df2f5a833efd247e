//! Reads how often each call ran at the plain services.

use crate::http_client::HttpClient;
use serde::Deserialize;
use std::net::SocketAddr;

/// Path at which a stand-in service reports how often it ran each call.
const RUNS_PATH: &str = "/runs";

/// How often a service ran the call with an idempotency key.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct CountedRun {
    pub(crate) key: String,
    pub(crate) count: u64,
}

/// Reads the run counts of each service, and keeps the last ones of a service that was reclaimed.
pub(crate) struct ServiceRunReader {
    services: Vec<SocketAddr>,
    pages: Vec<Vec<CountedRun>>,
    is_complete: bool,
}

impl ServiceRunReader {
    pub(crate) fn new(services: &[SocketAddr]) -> ServiceRunReader {
        let pages = vec![Vec::new(); services.len()];
        ServiceRunReader { services: services.to_vec(), pages, is_complete: false }
    }

    /// Reads the run counts of every service that responds.
    pub(crate) async fn read(&mut self, client: &HttpClient) {
        let pages = self.services.iter().map(|service| client.get(*service, RUNS_PATH));
        let pages = futures::future::join_all(pages).await;
        self.is_complete = !pages.is_empty();
        for (last, page) in self.pages.iter_mut().zip(pages) {
            match page.and_then(|page| serde_json::from_slice(&page).ok()) {
                Some(read) => *last = read,
                None => self.is_complete = false,
            }
        }
    }

    pub(crate) fn runs(&self) -> Vec<CountedRun> {
        self.pages.iter().flatten().cloned().collect()
    }

    /// Returns whether the last read reached every service, so that a call without a count did not
    /// run.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }
}
