//! Questions to other instances that wait for answers.

use std::sync;

use rustc_hash::FxHashMap;

use crate::gateway::state;

/// Answers to one question that may wait to be taken.
const MAX_WAITING: usize = 4;

/// Questions by their number.
pub(crate) struct OpenAsks<V> {
    open: sync::Mutex<FxHashMap<u64, async_channel::Sender<V>>>,
}

impl<V> Default for OpenAsks<V> {
    fn default() -> Self {
        Self { open: sync::Mutex::default() }
    }
}

impl<V> OpenAsks<V> {
    /// Opens a question, until what is returned is dropped.
    pub fn begin(&self) -> OpenAsk<'_, V> {
        let number: u64 = rand::random();
        let (sender, answers) = async_channel::bounded(MAX_WAITING);
        state::lock(&self.open).insert(number, sender);
        OpenAsk { asks: self, number, answers }
    }

    /// Passes an answer on to its question, which may have been given up.
    pub fn settle(&self, number: u64, answer: V) {
        if let Some(sender) = state::lock(&self.open).get(&number) {
            // Answers beyond those that wait repeat them.
            let _ = sender.try_send(answer);
        }
    }
}

/// A question that waits for answers.
pub(crate) struct OpenAsk<'a, V> {
    asks: &'a OpenAsks<V>,
    /// Its number in messages.
    pub number: u64,
    /// The answers.
    pub answers: async_channel::Receiver<V>,
}

impl<V> Drop for OpenAsk<'_, V> {
    fn drop(&mut self) {
        state::lock(&self.asks.open).remove(&self.number);
    }
}
