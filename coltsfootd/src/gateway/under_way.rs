//! Requests under way at upstreams, as the placing counts them.

use std::sync;

use coltsfoot_gateway::demand;

use crate::gateway::state;

/// Takes a request off the books of its upstream when it ends, however it ends.
pub(super) struct UnderWay<'a> {
    state: &'a state::GatewayState,
    upstream: sync::Arc<str>,
    adapter: Option<demand::AdapterKey>,
    unread: u64,
}

impl<'a> UnderWay<'a> {
    /// Enters a request that is about to be sent.
    pub(super) fn begin(
        state: &'a state::GatewayState,
        upstream: &sync::Arc<str>,
        demand: Option<&demand::PromptDemand>,
    ) -> Self {
        let unread = state.view().request_sent(state.now(), upstream, demand);
        let adapter = demand.and_then(|demand| demand.adapter.as_ref());
        let adapter = adapter.map(demand::AdapterName::key);
        Self { state, upstream: sync::Arc::clone(upstream), adapter, unread }
    }

    /// Notes that the prompt was read.
    pub(super) fn prefill_finished(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        if unread > 0 {
            self.state.view().prefill_finished(&self.upstream, unread);
        }
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.prefill_finished();
        self.state.view().request_ended(&self.upstream, self.adapter);
    }
}
