//! The KV cache of one engine: blocks of running requests and of cached prompt parts.
//!
//! A part stays cached after its last reference is released. When blocks are needed, the least recently used
//! unreferenced parts are evicted.

use std::collections::HashMap;

use super::types::Part;

/// Not enough blocks even if every unreferenced part were evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

/// A prompt part in the cache.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    blocks: u64,
    /// Requests and handles that use it; a referenced part is never evicted.
    reference_count: u32,
    /// Whether its prefill is complete; only then can other requests skip it.
    prefilled: bool,
    last_use: u64,
}

/// KV cache memory, allocated in blocks.
#[derive(Clone, Debug)]
pub struct KvMemory {
    block_tokens: u64,
    total_blocks: u64,
    /// Blocks that are private to a running request.
    private_blocks: u64,
    parts: HashMap<u64, CachedPart>,
    use_counter: u64,
}

impl KvMemory {
    /// Creates a memory for `cache_tokens` tokens in blocks of `block_tokens`.
    pub fn new(cache_tokens: u64, block_tokens: u64) -> KvMemory {
        KvMemory {
            block_tokens,
            total_blocks: cache_tokens / block_tokens,
            private_blocks: 0,
            parts: HashMap::new(),
            use_counter: 0,
        }
    }

    /// Number of blocks that `tokens` tokens occupy.
    pub fn blocks_for(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.block_tokens)
    }

    /// Whether a request of this size fits into an empty cache.
    pub fn can_fit(&self, prompt: &[Part], private_tokens: u64) -> bool {
        let prompt_blocks: u64 = prompt.iter().map(|part| self.blocks_for(part.tokens)).sum();
        prompt_blocks + self.blocks_for(private_tokens) <= self.total_blocks
    }

    /// Tokens of the prompt that need no prefill: those of its longest prefix of cached, prefilled parts.
    pub fn cached_prefix_tokens(&self, prompt: &[Part]) -> u64 {
        let cached = prompt
            .iter()
            .take_while(|part| self.parts.get(&part.id).is_some_and(|hit| hit.prefilled));
        cached.map(|part| part.tokens).sum()
    }

    /// References all parts of the prompt and allocates blocks for those not cached; all or nothing.
    pub fn acquire(&mut self, prompt: &[Part]) -> Result<(), OutOfMemory> {
        for (acquired, part) in prompt.iter().enumerate() {
            if self.acquire_part(part).is_err() {
                self.release(&prompt[..acquired]);
                return Err(OutOfMemory);
            }
        }
        Ok(())
    }

    /// Releases one reference to each part. A part whose prefill is incomplete is dropped with its last reference.
    pub fn release(&mut self, prompt: &[Part]) {
        for part in prompt {
            let Some(cached) = self.parts.get_mut(&part.id) else {
                continue;
            };
            cached.reference_count = cached.reference_count.saturating_sub(1);
            if cached.reference_count == 0 && !cached.prefilled {
                self.parts.remove(&part.id);
            }
        }
    }

    /// Marks the parts as prefilled, so that other requests can skip them.
    pub fn mark_prefilled(&mut self, prompt: &[Part]) {
        for part in prompt {
            if let Some(cached) = self.parts.get_mut(&part.id) {
                cached.prefilled = true;
            }
        }
    }

    /// Allocates `blocks` private blocks for a running request.
    pub fn allocate_private(&mut self, blocks: u64) -> Result<(), OutOfMemory> {
        self.evict_until_free(blocks)?;
        self.private_blocks += blocks;
        Ok(())
    }

    /// Frees private blocks.
    pub fn release_private(&mut self, blocks: u64) {
        self.private_blocks -= blocks;
    }

    /// Size in tokens of all blocks that can't be evicted.
    pub fn used_tokens(&self) -> u64 {
        let in_use: u64 = self
            .parts
            .values()
            .filter(|cached| cached.reference_count > 0)
            .map(|cached| cached.blocks)
            .sum();
        (in_use + self.private_blocks) * self.block_tokens
    }

    /// Total size in tokens.
    pub fn total_tokens(&self) -> u64 {
        self.total_blocks * self.block_tokens
    }

    /// Whether a part is cached and prefilled.
    pub fn contains(&self, id: u64) -> bool {
        self.parts.get(&id).is_some_and(|hit| hit.prefilled)
    }

    fn acquire_part(&mut self, part: &Part) -> Result<(), OutOfMemory> {
        self.use_counter += 1;
        if let Some(cached) = self.parts.get_mut(&part.id) {
            cached.reference_count += 1;
            cached.last_use = self.use_counter;
            return Ok(());
        }
        let blocks = self.blocks_for(part.tokens);
        self.evict_until_free(blocks)?;
        self.parts.insert(
            part.id,
            CachedPart {
                blocks,
                reference_count: 1,
                prefilled: false,
                last_use: self.use_counter,
            },
        );
        Ok(())
    }

    fn free_blocks(&self) -> u64 {
        let cached_blocks: u64 = self.parts.values().map(|cached| cached.blocks).sum();
        self.total_blocks - cached_blocks - self.private_blocks
    }

    /// Evicts the least recently used unreferenced parts until `blocks` are free.
    fn evict_until_free(&mut self, blocks: u64) -> Result<(), OutOfMemory> {
        let evictable: u64 = self
            .parts
            .values()
            .filter(|cached| cached.reference_count == 0)
            .map(|cached| cached.blocks)
            .sum();
        if self.free_blocks() + evictable < blocks {
            return Err(OutOfMemory);
        }
        while self.free_blocks() < blocks {
            let unreferenced = self
                .parts
                .iter()
                .filter(|(_, cached)| cached.reference_count == 0);
            let least_recent = unreferenced
                .min_by_key(|(_, cached)| cached.last_use)
                .map(|(id, _)| *id);
            self.parts.remove(&least_recent.ok_or(OutOfMemory)?);
        }
        Ok(())
    }
}
