//! Requests to other instances that wait for responses.

use std::sync;

use rustc_hash::FxHashMap;

use crate::gateway::state;

/// Maximum number of responses to one call that are queued.
const MAX_QUEUED_RESPONSES: usize = 4;

/// Calls that wait for a response, by their correlation id.
pub(crate) struct PendingCalls<V> {
    pending: sync::Mutex<FxHashMap<u64, async_channel::Sender<V>>>,
}

impl<V> Default for PendingCalls<V> {
    fn default() -> Self {
        Self { pending: sync::Mutex::default() }
    }
}

impl<V> PendingCalls<V> {
    /// Registers a new call; it is removed when the returned value is dropped.
    pub fn register(&self) -> PendingCall<'_, V> {
        let id: u64 = rand::random();
        let (sender, responses) = async_channel::bounded(MAX_QUEUED_RESPONSES);
        state::lock(&self.pending).insert(id, sender);
        PendingCall { calls: self, id, responses }
    }

    /// Delivers a response to its call; ignores it if the call was dropped.
    pub fn complete(&self, id: u64, response: V) {
        if let Some(sender) = state::lock(&self.pending).get(&id) {
            // If the queue is full, further responses are duplicates.
            let _ = sender.try_send(response);
        }
    }
}

/// A call that waits for responses.
pub(crate) struct PendingCall<'a, V> {
    calls: &'a PendingCalls<V>,
    /// Correlation id in messages.
    pub id: u64,
    /// Responses in the order of their arrival.
    pub responses: async_channel::Receiver<V>,
}

impl<V> Drop for PendingCall<'_, V> {
    fn drop(&mut self) {
        state::lock(&self.calls.pending).remove(&self.id);
    }
}
