//! Reads the engines' counters, and works out what had to be computed at least.

use crate::http_client::HttpClient;
use fl_protocol::BlockHash;
use fl_protocol::chat::count_tokens;
use fl_protocol::engine::{BLOCK_TOKENS, hash_prompt_blocks};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The path of a stand-in's counters.
const COUNTERS_PATH: &str = "/counters";

/// Tokens over all engines within one run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineTotals {
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in caches.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
}

/// The last counters read of each engine; one that died keeps its last.
pub(crate) struct EngineCounterReader {
    engines: Vec<SocketAddr>,
    first: Vec<EngineTotals>,
    last: Vec<EngineTotals>,
}

impl EngineCounterReader {
    pub(crate) async fn start(caller: &HttpClient, engines: &[SocketAddr]) -> EngineCounterReader {
        let mut watch = EngineCounterReader {
            engines: engines.to_vec(),
            first: Vec::new(),
            last: vec![EngineTotals::default(); engines.len()],
        };
        watch.read(caller).await;
        watch.first = watch.last.clone();
        watch
    }

    /// Reads the counters of every engine that answers.
    pub(crate) async fn read(&mut self, caller: &HttpClient) {
        let pages = self.engines.iter().map(|engine| caller.get(*engine, COUNTERS_PATH));
        let pages = futures::future::join_all(pages).await;
        for (last, page) in self.last.iter_mut().zip(pages) {
            let read = page.and_then(|page| serde_json::from_slice(&page).ok());
            *last = read.unwrap_or(*last);
        }
    }

    /// What the engines did since the start.
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

/// The prompts of one run, as far as they decide what had to be computed.
#[derive(Default)]
pub(crate) struct PrefillEstimator {
    blocks: Vec<BlockHash>,
    tail_tokens: u64,
}

impl PrefillEstimator {
    pub(crate) fn add(&mut self, model: &str, prompt: &str) {
        let blocks = hash_prompt_blocks(model, prompt);
        let block_tokens = (blocks.len() * BLOCK_TOKENS) as u64;
        // The last token of a prompt is computed even when all its blocks are cached.
        self.tail_tokens += count_tokens(prompt).saturating_sub(block_tokens).max(1);
        self.blocks.extend(blocks);
    }

    pub(crate) fn least_prefill_tokens(mut self) -> u64 {
        self.blocks.sort_unstable();
        self.blocks.dedup();
        (self.blocks.len() * BLOCK_TOKENS) as u64 + self.tail_tokens
    }
}

/// Prompt tokens that one engine with unlimited memory would compute for these prompts.
pub fn least_prefill_tokens<'a>(prompts: impl IntoIterator<Item = (&'a str, &'a str)>) -> u64 {
    let mut log = PrefillEstimator::default();
    prompts.into_iter().for_each(|(model, prompt)| log.add(model, prompt));
    log.least_prefill_tokens()
}
