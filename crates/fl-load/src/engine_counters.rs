//! Reads the token counters of the engines and computes the minimum number of tokens to prefill.

use crate::http_client::HttpClient;
use fl_protocol::BlockHash;
use fl_protocol::chat::count_tokens;
use fl_protocol::engine::{BLOCK_TOKENS, hash_prompt_blocks};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path at which a stand-in engine serves its counters.
const COUNTERS_PATH: &str = "/counters";

/// Token counts of one run, summed over all engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineTotals {
    /// Prompt tokens that were computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Response tokens that were generated.
    pub generated_tokens: u64,
}

/// Reads the counters of each engine, and keeps the last ones of an engine that no longer responds.
pub(crate) struct EngineCounterReader {
    engines: Vec<SocketAddr>,
    first: Vec<EngineTotals>,
    last: Vec<EngineTotals>,
}

impl EngineCounterReader {
    pub(crate) async fn start(client: &HttpClient, engines: &[SocketAddr]) -> EngineCounterReader {
        let mut reader = EngineCounterReader {
            engines: engines.to_vec(),
            first: Vec::new(),
            last: vec![EngineTotals::default(); engines.len()],
        };
        reader.read(client).await;
        reader.first = reader.last.clone();
        reader
    }

    /// Reads the counters of every engine that responds.
    pub(crate) async fn read(&mut self, client: &HttpClient) {
        let pages = self.engines.iter().map(|engine| client.get(*engine, COUNTERS_PATH));
        let pages = futures::future::join_all(pages).await;
        for (last, page) in self.last.iter_mut().zip(pages) {
            let read = page.and_then(|page| serde_json::from_slice(&page).ok());
            *last = read.unwrap_or(*last);
        }
    }

    /// Returns the sums of what the engines have counted since `start`.
    pub(crate) fn totals(&self) -> EngineTotals {
        let mut totals = EngineTotals::default();
        for (first, last) in self.first.iter().zip(&self.last) {
            totals.prefilled_tokens += last.prefilled_tokens.saturating_sub(first.prefilled_tokens);
            totals.cached_tokens += last.cached_tokens.saturating_sub(first.cached_tokens);
            totals.generated_tokens += last.generated_tokens.saturating_sub(first.generated_tokens);
        }
        totals
    }
}

/// Accumulates the prompts of one run to compute the minimum number of tokens to prefill.
#[derive(Default)]
pub(crate) struct PrefillEstimator {
    blocks: Vec<BlockHash>,
    tail_tokens: u64,
}

impl PrefillEstimator {
    pub(crate) fn add(&mut self, model: &str, prompt: &str) {
        let blocks = hash_prompt_blocks(model, prompt);
        let block_tokens = (blocks.len() * BLOCK_TOKENS) as u64;
        // The last token of a prompt is computed even when all of its blocks are cached.
        self.tail_tokens += count_tokens(prompt).saturating_sub(block_tokens).max(1);
        self.blocks.extend(blocks);
    }

    pub(crate) fn least_prefill_tokens(mut self) -> u64 {
        self.blocks.sort_unstable();
        self.blocks.dedup();
        (self.blocks.len() * BLOCK_TOKENS) as u64 + self.tail_tokens
    }
}

/// Returns the number of prompt tokens that one engine with unlimited cache would compute.
///
/// Each prompt is given as the name of its model and its text.
pub fn least_prefill_tokens<'a>(prompts: impl IntoIterator<Item = (&'a str, &'a str)>) -> u64 {
    let mut estimator = PrefillEstimator::default();
    prompts.into_iter().for_each(|(model, prompt)| estimator.add(model, prompt));
    estimator.least_prefill_tokens()
}
