//! Accounting of requests in flight, on which the choice of an upstream is based.

use std::sync;

use coltsfoot_gateway::demand;

use crate::gateway::state;

/// A request in flight at an upstream. Dropping it, also by cancellation, removes it from the
/// upstream's load.
pub(super) struct InFlightRequest<'a> {
    state: &'a state::GatewayState,
    upstream: sync::Arc<str>,
    adapter: Option<demand::AdapterKey>,
    prefill_tokens: u64,
}

impl<'a> InFlightRequest<'a> {
    /// Adds a request that is about to be sent to the upstream's load.
    pub(super) fn begin(
        state: &'a state::GatewayState,
        upstream: &sync::Arc<str>,
        demand: Option<&demand::PromptDemand>,
    ) -> Self {
        let prefill_tokens = state.view().request_sent(state.now(), upstream, demand);
        let adapter = demand.and_then(|demand| demand.adapter.as_ref());
        let adapter = adapter.map(demand::AdapterName::key);
        Self { state, upstream: sync::Arc::clone(upstream), adapter, prefill_tokens }
    }

    /// Marks the prompt as prefilled, at the first event or the end of the request.
    pub(super) fn finish_prefill(&mut self) {
        let prefill_tokens = std::mem::take(&mut self.prefill_tokens);
        if prefill_tokens > 0 {
            self.state.view().prefill_finished(&self.upstream, prefill_tokens);
        }
    }
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        self.finish_prefill();
        self.state.view().request_ended(&self.upstream, self.adapter);
    }
}
