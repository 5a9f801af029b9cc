//! Demand of a request on a model engine: model, adapter and prompt.

use std::sync;

use coltsfoot_wire::fleet;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::rendezvous;

/// Hash of an adapter name, the same at all instances.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AdapterKey(pub fleet::AdapterId);

impl AdapterKey {
    /// Returns what a map holds of the adapter, under its key or under that of a message without digests.
    pub fn find<T>(self, map: &FxHashMap<Self, T>) -> Option<&T> {
        map.get(&self).or_else(|| map.get(&Self(self.0.without_digest())))
    }
}

/// Name of an adapter, which is unique within its base model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AdapterName {
    /// The base model.
    pub model: sync::Arc<str>,
    /// Name of the adapter within the model.
    pub adapter: sync::Arc<str>,
}

impl AdapterName {
    /// Returns the hash of this name.
    pub fn key(&self) -> AdapterKey {
        let (model, adapter) = (&*self.model, &*self.adapter);
        let number = rendezvous::hash_of(&(model, adapter)) as u32;
        // The length tells where the model's name ends.
        let mut bytes: SmallVec<[u8; 96]> = SmallVec::new();
        bytes.extend_from_slice(&(model.len() as u64).to_le_bytes());
        bytes.extend_from_slice(model.as_bytes());
        bytes.extend_from_slice(adapter.as_bytes());
        let hash = blake3::hash(&bytes);
        let word = |index: usize| {
            let bytes = hash.as_bytes()[index * 8..].first_chunk().copied();
            bytes.map_or(0, u64::from_le_bytes)
        };
        AdapterKey(fleet::AdapterId { number, digest: [word(0), word(1)] })
    }
}

/// A part of a prompt. Engines cache the parts that they have prefilled and reuse them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PromptPart {
    /// Hash that identifies the content of the part.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// Demand of one request on a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptDemand {
    /// The base model.
    pub model: sync::Arc<str>,
    /// The adapter, if the request names one.
    pub adapter: Option<AdapterName>,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
    /// Parts of the prompt, in order; all but the last are shared with other requests.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl PromptDemand {
    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the length of the parts shared with other requests, in tokens.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Returns the id of the last shared part, which identifies the shared prefix; 0 if there is none.
    pub fn prefix_key(&self) -> u64 {
        self.shared_parts().last().map_or(0, |part| part.id)
    }

    /// Returns a hash of the adapter, or of the model without one, for rendezvous hashing, which ranks engines
    /// the same way in all builds; two adapters may share it.
    pub fn weights_key(&self) -> u64 {
        match &self.adapter {
            Some(adapter) => u64::from(adapter.key().0.number),
            None => rendezvous::hash_of(&&*self.model),
        }
    }

    /// Returns a hash of the adapter, or of the model without one, that no two of them share.
    pub fn cache_key(&self) -> u64 {
        match &self.adapter {
            Some(adapter) => adapter.key().0.digest[0],
            None => rendezvous::hash_of(&&*self.model),
        }
    }

    /// Returns the prompt tokens plus the maximum output tokens, which count against the quota.
    pub fn total_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens)
    }
}
