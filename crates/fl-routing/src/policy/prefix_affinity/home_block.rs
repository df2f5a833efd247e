//! Which block of a prompt picks the runners that are its home.

use fl_protocol::BlockHash;

/// Calls after which all counts are halved, so that old traffic fades.
const HALVED_AFTER_CALLS: u32 = 2_048;
/// Calls before a share of the traffic says anything.
const FIRST_CALLS: u32 = 64;

/// Which block's hash picks the homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HomeBlockRule {
    /// Block number `n` (from 1), or the last one of a shorter prompt.
    Block(usize),
    /// The first block that less than one runner's share of the calls have in common.
    ///
    /// A block that more calls share, such as a system prompt, cannot have one home.
    FirstUncommon,
}

/// The block that picks the homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeBlock {
    /// Its place in the prompt.
    pub index: usize,
    /// Its hash.
    pub key: BlockHash,
}

/// Counts how often the leading blocks of prompts were seen, sorted by block.
#[derive(Debug, Clone, Default)]
pub struct Popularity {
    counts: Vec<(BlockHash, u32)>,
    calls: u32,
}

impl Popularity {
    /// Gives the block that picks the homes; `None` for a prompt without a full block.
    pub fn home(
        &mut self,
        rule: HomeBlockRule,
        blocks: &[BlockHash],
        runners: usize,
    ) -> Option<HomeBlock> {
        match rule {
            HomeBlockRule::Block(number) => {
                let index = number.max(1).min(blocks.len()).checked_sub(1)?;
                blocks.get(index).map(|key| HomeBlock { index, key: *key })
            }
            HomeBlockRule::FirstUncommon => self.first_uncommon(blocks, runners),
        }
    }

    fn first_uncommon(&mut self, blocks: &[BlockHash], runners: usize) -> Option<HomeBlock> {
        self.count_call();
        let heavy = (self.calls.max(FIRST_CALLS) as usize / runners.max(1)).max(2) as u32;
        let light = blocks.iter().position(|block| self.count(*block) < heavy);
        let index = light.or(blocks.len().checked_sub(1))?;
        Some(HomeBlock { index, key: blocks[index] })
    }

    fn count_call(&mut self) {
        self.calls += 1;
        if self.calls >= HALVED_AFTER_CALLS {
            self.calls /= 2;
            self.counts.iter_mut().for_each(|(_, count)| *count /= 2);
            self.counts.retain(|(_, count)| *count > 0);
        }
    }

    fn count(&mut self, block: BlockHash) -> u32 {
        match self.counts.binary_search_by_key(&block, |(hash, _)| *hash) {
            Ok(index) => {
                self.counts[index].1 += 1;
                self.counts[index].1
            }
            Err(index) => {
                self.counts.insert(index, (block, 1));
                1
            }
        }
    }
}
