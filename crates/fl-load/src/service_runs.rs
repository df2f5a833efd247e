//! Reads how often the plain services ran each call.

use crate::http_client::HttpClient;
use serde::Deserialize;
use std::net::SocketAddr;

/// The path where a stand-in service tells how often it ran each call.
const RUNS_PATH: &str = "/runs";

/// How often a service ran a call.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct CountedRun {
    pub(crate) key: String,
    pub(crate) count: u64,
}

/// The last page read of each service; one that was taken back keeps its last.
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

    /// Reads the page of every service that answers.
    pub(crate) async fn read(&mut self, caller: &HttpClient) {
        let pages = self.services.iter().map(|service| caller.get(*service, RUNS_PATH));
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

    /// Whether the last reading reached every service, so that a call that is missing did not run.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }
}
