//! The KV cache of one engine: blocks shared by running requests and kept parts of prompts.
//!
//! A part stays after its last user has gone, until its blocks are wanted: the least recently used give way.

use std::collections::HashMap;

use super::types::Part;

/// Not enough memory even after every part that may give way has given way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

/// One part that the memory holds.
#[derive(Clone, Copy, Debug)]
struct KeptPart {
    blocks: u64,
    /// Requests and handles that use it; such a part doesn't give way.
    users: u32,
    /// Whether its tokens have been read; until then it saves nobody the reading.
    read: bool,
    last_use: u64,
}

/// Memory by blocks.
#[derive(Clone, Debug)]
pub struct KvMemory {
    block_tokens: u64,
    total_blocks: u64,
    /// Blocks of tokens that belong to one running request alone.
    private_blocks: u64,
    parts: HashMap<u64, KeptPart>,
    uses: u64,
}

impl KvMemory {
    /// A memory of `cache_tokens` tokens in blocks of `block_tokens`.
    pub fn new(cache_tokens: u64, block_tokens: u64) -> KvMemory {
        KvMemory {
            block_tokens,
            total_blocks: cache_tokens / block_tokens,
            private_blocks: 0,
            parts: HashMap::new(),
            uses: 0,
        }
    }

    /// Blocks that `tokens` tokens take.
    pub fn blocks_of(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.block_tokens)
    }

    /// Whether a request of this size could ever be held.
    pub fn could_hold(&self, prompt: &[Part], private_tokens: u64) -> bool {
        let prompt_blocks: u64 = prompt.iter().map(|part| self.blocks_of(part.tokens)).sum();
        prompt_blocks + self.blocks_of(private_tokens) <= self.total_blocks
    }

    /// Tokens of the prompt that needn't be read: those of the leading parts that were read and kept.
    pub fn kept_tokens(&self, prompt: &[Part]) -> u64 {
        let kept = prompt
            .iter()
            .take_while(|part| self.parts.get(&part.id).is_some_and(|kept| kept.read));
        kept.map(|part| part.tokens).sum()
    }

    /// Takes the prompt's parts into use; parts not yet held get blocks. All of them or none.
    pub fn take(&mut self, prompt: &[Part]) -> Result<(), OutOfMemory> {
        for (taken, part) in prompt.iter().enumerate() {
            if self.take_part(part).is_err() {
                self.release(&prompt[..taken]);
                return Err(OutOfMemory);
            }
        }
        Ok(())
    }

    /// Ends one use of each part. A part that was never read is dropped with its last user.
    pub fn release(&mut self, prompt: &[Part]) {
        for part in prompt {
            let Some(kept) = self.parts.get_mut(&part.id) else {
                continue;
            };
            kept.users = kept.users.saturating_sub(1);
            if kept.users == 0 && !kept.read {
                self.parts.remove(&part.id);
            }
        }
    }

    /// The parts have been read: others may now build on them.
    pub fn mark_read(&mut self, prompt: &[Part]) {
        for part in prompt {
            if let Some(kept) = self.parts.get_mut(&part.id) {
                kept.read = true;
            }
        }
    }

    /// Gives `blocks` private blocks to a running request.
    pub fn take_private(&mut self, blocks: u64) -> Result<(), OutOfMemory> {
        self.make_room(blocks)?;
        self.private_blocks += blocks;
        Ok(())
    }

    /// Returns private blocks.
    pub fn release_private(&mut self, blocks: u64) {
        self.private_blocks -= blocks;
    }

    /// Tokens of memory that cannot give way.
    pub fn used_tokens(&self) -> u64 {
        let in_use: u64 = self
            .parts
            .values()
            .filter(|kept| kept.users > 0)
            .map(|kept| kept.blocks)
            .sum();
        (in_use + self.private_blocks) * self.block_tokens
    }

    /// Tokens of memory in all.
    pub fn total_tokens(&self) -> u64 {
        self.total_blocks * self.block_tokens
    }

    /// Whether a part is held and was read.
    pub fn holds(&self, id: u64) -> bool {
        self.parts.get(&id).is_some_and(|kept| kept.read)
    }

    fn take_part(&mut self, part: &Part) -> Result<(), OutOfMemory> {
        self.uses += 1;
        if let Some(kept) = self.parts.get_mut(&part.id) {
            kept.users += 1;
            kept.last_use = self.uses;
            return Ok(());
        }
        let blocks = self.blocks_of(part.tokens);
        self.make_room(blocks)?;
        self.parts.insert(
            part.id,
            KeptPart {
                blocks,
                users: 1,
                read: false,
                last_use: self.uses,
            },
        );
        Ok(())
    }

    fn free_blocks(&self) -> u64 {
        let held: u64 = self.parts.values().map(|kept| kept.blocks).sum();
        self.total_blocks - held - self.private_blocks
    }

    /// Lets the least recently used parts give way until `blocks` are free.
    fn make_room(&mut self, blocks: u64) -> Result<(), OutOfMemory> {
        let may_give_way: u64 = self
            .parts
            .values()
            .filter(|kept| kept.users == 0)
            .map(|kept| kept.blocks)
            .sum();
        if self.free_blocks() + may_give_way < blocks {
            return Err(OutOfMemory);
        }
        while self.free_blocks() < blocks {
            let unused = self.parts.iter().filter(|(_, kept)| kept.users == 0);
            let oldest = unused
                .min_by_key(|(_, kept)| kept.last_use)
                .map(|(id, _)| *id);
            self.parts.remove(&oldest.ok_or(OutOfMemory)?);
        }
        Ok(())
    }
}
