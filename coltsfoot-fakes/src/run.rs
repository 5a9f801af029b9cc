//! Run of a request in an engine, whose output so far is a function of time.

use std::sync;
use std::sync::atomic;
use std::time;

use coltsfoot_platform::protocol;
use coltsfoot_types::adapter;

use crate::gate;

/// Queued, running, completed or aborted run of a request.
pub(crate) struct EngineRun {
    /// Attempt id that responses and the stream endpoints name; the caller's unless `wrong_attempt` is set.
    pub(crate) attempt: String,
    /// Adapter version that responses name.
    pub(crate) named_adapter: adapter::AdapterVersion,
    /// Adapter version that runs.
    pub(crate) adapter: adapter::AdapterVersion,
    /// Output of this attempt.
    pub(crate) tokens: Vec<String>,
    /// Tokens of the prompt, including the text to continue from.
    pub(crate) prompt_tokens: u32,
    /// Time between two tokens.
    pub(crate) token_time: time::Duration,
    /// Opens when prefill starts, or the run is aborted.
    pub(crate) started: gate::WaitGate,
    /// Opens when the run has completed or is aborted.
    pub(crate) ended: gate::WaitGate,
    first_token_at: sync::OnceLock<time::Instant>,
    aborted: atomic::AtomicBool,
}

impl EngineRun {
    pub(crate) fn new(
        attempt: String,
        adapters: RunAdapters,
        tokens: Vec<String>,
        prompt_tokens: u32,
        token_time: time::Duration,
    ) -> Self {
        Self {
            attempt,
            named_adapter: adapters.named,
            adapter: adapters.running,
            tokens,
            prompt_tokens,
            token_time,
            started: gate::WaitGate::new(),
            ended: gate::WaitGate::new(),
            first_token_at: sync::OnceLock::new(),
            aborted: atomic::AtomicBool::new(false),
        }
    }

    pub(crate) fn start(&self, prefill: time::Duration) {
        let first_token_at = time::Instant::now() + prefill + self.token_time;
        self.first_token_at.get_or_init(|| first_token_at);
        self.started.open();
    }

    pub(crate) fn abort(&self) {
        self.aborted.store(true, atomic::Ordering::SeqCst);
        self.started.open();
        self.ended.open();
    }

    pub(crate) fn is_aborted(&self) -> bool {
        self.aborted.load(atomic::Ordering::SeqCst)
    }

    /// Returns when a token is due; `index` starts at zero. None before the run starts.
    pub(crate) fn token_at(&self, index: usize) -> Option<time::Instant> {
        Some(*self.first_token_at.get()? + self.token_time * index as u32)
    }

    pub(crate) fn end_at(&self) -> Option<time::Instant> {
        self.token_at(self.tokens.len().saturating_sub(1))
    }

    pub(crate) fn usage(&self) -> protocol::TokenUsage {
        protocol::TokenUsage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.tokens.len() as u32,
        }
    }

    pub(crate) fn answer(&self) -> protocol::ChatAnswer {
        let message =
            protocol::ChatMessage { role: "assistant".to_owned(), content: self.tokens.concat() };
        protocol::ChatAnswer {
            id: self.attempt.clone(),
            model: self.named_adapter.to_string(),
            choices: vec![protocol::ChatChoice {
                index: 0,
                message,
                finish_reason: Some("stop".to_owned()),
            }],
            usage: self.usage(),
        }
    }

    /// Encodes a token as a server-sent event; `index` starts at zero.
    pub(crate) fn event(&self, index: usize) -> serde_json::Result<String> {
        let is_last = index + 1 == self.tokens.len();
        let chunk = protocol::ChatChunk {
            id: self.attempt.clone(),
            model: self.named_adapter.to_string(),
            choices: vec![protocol::ChunkChoice {
                index: 0,
                delta: protocol::ChunkDelta { content: self.tokens[index].clone() },
                finish_reason: is_last.then(|| "stop".to_owned()),
            }],
            usage: is_last.then(|| self.usage()),
        };
        Ok(format!("id: {}\ndata: {}\n\n", index + 1, serde_json::to_string(&chunk)?))
    }
}

/// Adapter that runs, and the one that responses name.
pub(crate) struct RunAdapters {
    pub(crate) running: adapter::AdapterVersion,
    pub(crate) named: adapter::AdapterVersion,
}
