//! Questions to other instances that wait for answers.

use std::sync;

use rustc_hash::FxHashMap;

use crate::gateway::state;

/// Answers to one question that may wait to be taken.
const MAX_WAITING: usize = 4;

/// Questions by their number.
pub(crate) struct PendingCalls<V> {
    open: sync::Mutex<FxHashMap<u64, async_channel::Sender<V>>>,
}

impl<V> Default for PendingCalls<V> {
    fn default() -> Self {
        Self { open: sync::Mutex::default() }
    }
}

impl<V> PendingCalls<V> {
    /// Opens a question, until what is returned is dropped.
    pub fn register(&self) -> PendingCall<'_, V> {
        let number: u64 = rand::random();
        let (sender, answers) = async_channel::bounded(MAX_WAITING);
        state::lock(&self.open).insert(number, sender);
        PendingCall { calls: self, number, answers }
    }

    /// Passes an answer on to its question, which may have been given up.
    pub fn complete(&self, number: u64, answer: V) {
        if let Some(sender) = state::lock(&self.open).get(&number) {
            // Answers beyond those that wait repeat them.
            let _ = sender.try_send(answer);
        }
    }
}

/// A question that waits for answers.
pub(crate) struct PendingCall<'a, V> {
    calls: &'a PendingCalls<V>,
    /// Its number in messages.
    pub number: u64,
    /// The answers.
    pub answers: async_channel::Receiver<V>,
}

impl<V> Drop for PendingCall<'_, V> {
    fn drop(&mut self) {
        state::lock(&self.calls.open).remove(&self.number);
    }
}
