//! What a request asks of a model engine.

use std::sync;

use smallvec::SmallVec;

use crate::rendezvous;

/// An adapter of a model, as a number that all instances compute alike.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AdapterKey(pub u32);

/// An adapter of a model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AdapterName {
    /// The base model.
    pub model: sync::Arc<str>,
    /// The adapter's name within its model.
    pub adapter: sync::Arc<str>,
}

impl AdapterName {
    /// Returns the number that stands for this adapter.
    pub fn key(&self) -> AdapterKey {
        AdapterKey(rendezvous::hash_of(&(&*self.model, &*self.adapter)) as u32)
    }
}

/// A part of a prompt, in order. Engines keep parts that were read and read them once only.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PromptPart {
    /// Id of the part's content.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// What a request asks of a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptDemand {
    /// The base model.
    pub model: sync::Arc<str>,
    /// The adapter, if the request names one.
    pub adapter: Option<AdapterName>,
    /// Prompt tokens in all.
    pub prompt_tokens: u32,
    /// Most output tokens.
    pub max_output_tokens: u32,
    /// Parts of the prompt; the last one is the request's own.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl PromptDemand {
    /// Returns the tokens of the parts that requests share.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }

    /// Returns a number for the last shared part, the subject of the request.
    pub fn prefix_key(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].last().map_or(0, |part| part.id)
    }

    /// Returns a number for the weights that the request runs on, for affinity.
    pub fn weights_key(&self) -> u64 {
        match &self.adapter {
            Some(adapter) => u64::from(adapter.key().0),
            None => rendezvous::hash_of(&&*self.model),
        }
    }

    /// Returns the tokens that the request counts for.
    pub fn total_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens)
    }
}
