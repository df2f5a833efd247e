//! Selects the home block of a prompt: the block whose hash is the key by which rendezvous hashing
//! ranks the runners. The runners with the highest ranks are the homes of the prompt.

use fl_protocol::BlockHash;

/// Number of calls after which all counts are halved, so that old traffic loses weight.
const CALLS_UNTIL_HALVING: u32 = 2_048;
/// Number of calls that is assumed at least, since a share of fewer calls says little.
const MIN_CALLS: u32 = 64;

/// Rule that selects the home block of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HomeBlockRule {
    /// The block with this number, counted from 1, or the last block of a shorter prompt.
    Block(usize),
    /// The first block that is common to fewer calls than one runner's share of them.
    ///
    /// A block that more calls have in common, such as one of a system prompt, would send too many
    /// calls to its homes.
    FirstUncommon,
}

/// The block of a prompt whose hash determines its homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeBlock {
    /// Index of the block in the prompt.
    pub index: usize,
    /// Hash of the block, the key for rendezvous hashing.
    pub key: BlockHash,
}

/// Counts how often the leading blocks of prompts occur, to tell which blocks many calls share.
#[derive(Debug, Clone, Default)]
pub struct BlockFrequency {
    /// Sorted by block.
    counts: Vec<(BlockHash, u32)>,
    calls: u32,
}

impl BlockFrequency {
    /// Returns the home block of a prompt, or `None` if the prompt has no full block.
    pub fn home_block(
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
        let common_count = (self.calls.max(MIN_CALLS) as usize / runners.max(1)).max(2) as u32;
        let uncommon = blocks.iter().position(|block| self.count_block(*block) < common_count);
        let index = uncommon.or(blocks.len().checked_sub(1))?;
        Some(HomeBlock { index, key: blocks[index] })
    }

    fn count_call(&mut self) {
        self.calls += 1;
        if self.calls >= CALLS_UNTIL_HALVING {
            self.calls /= 2;
            self.counts.iter_mut().for_each(|(_, count)| *count /= 2);
            self.counts.retain(|(_, count)| *count > 0);
        }
    }

    fn count_block(&mut self, block: BlockHash) -> u32 {
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
