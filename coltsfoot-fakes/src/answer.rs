//! Deterministic answers, so that tests can check that an answer is complete and correct.

use std::hash;
use std::hash::Hasher as _;

use coltsfoot_platform::protocol;
use coltsfoot_types::adapter;

/// Output limit of requests without `max_tokens`, in tokens.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

/// Answer that every fake engine gives to the same request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExpectedAnswer {
    /// Tokens of the complete answer, each with a trailing space.
    pub tokens: Vec<String>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
}

impl ExpectedAnswer {
    /// Computes the complete answer, whose length is between half and all of `max_tokens`.
    pub fn new(
        adapter: &adapter::AdapterVersion,
        messages: &[protocol::ChatMessage],
        max_tokens: Option<u32>,
    ) -> Self {
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
        let seed = prompt_seed(adapter, messages);
        let length = max_tokens - (seed % u64::from(max_tokens.div_ceil(2))) as u32;
        let tokens = (0..length).map(|index| token(seed, index)).collect();
        Self { tokens, prompt_tokens: count_prompt_tokens(messages) }
    }

    /// Returns the concatenated tokens.
    pub fn text(&self) -> String {
        self.tokens.concat()
    }
}

/// Counts tokens as the fake engines do: words, at least one.
pub fn count_prompt_tokens(messages: &[protocol::ChatMessage]) -> u32 {
    let words = messages.iter().map(|message| message.content.split_whitespace().count());
    words.sum::<usize>().max(1) as u32
}

fn prompt_seed(adapter: &adapter::AdapterVersion, messages: &[protocol::ChatMessage]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    hash::Hash::hash(adapter, &mut hasher);
    for message in messages {
        hash::Hash::hash(&message.role, &mut hasher);
        hash::Hash::hash(&message.content, &mut hasher);
    }
    hasher.finish()
}

fn token(seed: u64, index: u32) -> String {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write_u64(seed);
    hasher.write_u32(index);
    format!("w{:04x} ", hasher.finish() >> 48)
}
