//! Chat requests of a fake engine, from the batch queue to the response.

use std::sync;
use std::time;

use coltsfoot_platform::{prefix, protocol};
use coltsfoot_types::adapter;
use http_types::{Request, Response};

use crate::engine_state::EngineState;
use crate::{answer, batch, control, run, server, stream};

/// Serves `POST /v1/chat/completions`.
pub(crate) async fn chat(
    state: &sync::Arc<EngineState>,
    request: &mut Request,
) -> http_types::Result<Response> {
    let switches = state.switches();
    if switches.silent {
        futures_lite::future::pending::<()>().await;
    }
    let header = request.header(protocol::ATTEMPT_HEADER);
    let attempt = header.map_or_else(String::new, |values| values.last().as_str().to_owned());
    let chat = match control::read_json::<protocol::ChatRequest>(request).await? {
        Ok(chat) => chat,
        Err(response) => return Ok(response),
    };
    if switches.refuse_chats {
        return not_run(503, "refused by a switch");
    }
    let Ok(adapter) = chat.model.parse::<adapter::AdapterVersion>() else {
        return not_run(400, "`model` is not an adapter version");
    };
    let Some(run) = begin_run(state, &chat, adapter, attempt) else {
        return not_run(404, "the adapter is not resident");
    };
    let faults = stream::StreamFaults {
        cut_after_tokens: switches.cut_after_tokens,
        stall_after_tokens: switches.stall_after_tokens,
    };
    let mut response = Response::new(200);
    response.insert_header(protocol::ATTEMPT_HEADER, run.attempt.as_str());
    if chat.stream {
        response.set_body(stream::body(run, 0, faults));
        response.set_content_type(http_types::mime::SSE);
        return Ok(response);
    }
    run.ended.wait().await;
    if run.is_aborted() {
        return Err(control::close_connection());
    }
    response.set_body(serde_json::to_vec(&run.answer())?);
    response.set_content_type(http_types::mime::JSON);
    Ok(response)
}

fn not_run(status: u16, text: &str) -> http_types::Result<Response> {
    let mut response = control::text_response(status, text)?;
    response.insert_header(protocol::NOT_RUN_HEADER, "true");
    Ok(response)
}

/// Starts a run whose progress doesn't depend on the caller's connection.
fn begin_run(
    state: &sync::Arc<EngineState>,
    chat: &protocol::ChatRequest,
    adapter: adapter::AdapterVersion,
    attempt: String,
) -> Option<sync::Arc<run::EngineRun>> {
    let switches = state.switches();
    let continued = chat.continue_from.as_deref().unwrap_or_default();
    let continued_tokens = continued.split_whitespace().count();
    let max_tokens = chat.max_tokens.map(|max_tokens| max_tokens + continued_tokens as u32);
    let expected = answer::ExpectedAnswer::new(&adapter, &chat.messages, max_tokens);
    let mut core = server::lock(&state.core);
    if !core.slots.is_resident(&adapter) {
        core.observations.not_resident += 1;
        return None;
    }
    let named = switches.wrong_adapter.clone().unwrap_or_else(|| adapter.clone());
    let run = sync::Arc::new(run::EngineRun::new(
        switches.wrong_attempt.clone().unwrap_or(attempt),
        run::RunAdapters { running: adapter, named },
        expected.tokens.into_iter().skip(continued_tokens).collect(),
        expected.prompt_tokens + continued_tokens as u32,
        time::Duration::from_micros(switches.token_us),
    ));
    core.add_run(&run);
    let task = RunTask {
        state: sync::Arc::clone(state),
        run: sync::Arc::clone(&run),
        ticket: core.batch.enter(chat.priority.unwrap_or_default(), state.options.batch_size),
        generation: core.observations.generation,
        prompt: RunPrompt::new(chat, &switches.crash_prompt),
    };
    core.record_change(switches.report_lag_ms);
    drop(core);
    state.executor.spawn(task.execute()).detach();
    Some(run)
}

/// Properties of a prompt that affect its run.
struct RunPrompt {
    prefix_hash: u64,
    prefix_tokens: u32,
    crashes: bool,
}

impl RunPrompt {
    fn new(chat: &protocol::ChatRequest, crash_prompt: &Option<String>) -> Self {
        let first = chat.messages.first().map_or("", |message| message.content.as_str());
        let crashes = |text: &str| chat.messages.iter().any(|line| line.content.contains(text));
        Self {
            prefix_hash: prefix::prefix_hash(first),
            prefix_tokens: first.split_whitespace().count() as u32,
            crashes: crash_prompt.as_deref().is_some_and(crashes),
        }
    }
}

/// Background task that takes a run through the batch.
struct RunTask {
    state: sync::Arc<EngineState>,
    run: sync::Arc<run::EngineRun>,
    ticket: batch::BatchTicket,
    generation: u64,
    prompt: RunPrompt,
}

impl RunTask {
    async fn execute(self) {
        futures_lite::future::or(self.ticket.gate.wait(), self.run.ended.wait()).await;
        let started_at = time::Instant::now();
        if !self.run.is_aborted() {
            let prefill = start_run(&self.state, &self.run, &self.prompt);
            if self.prompt.crashes {
                async_io::Timer::after(prefill).await;
                let outage_ms = self.state.switches().crash_outage_ms;
                self.state.crash(time::Duration::from_millis(outage_ms));
                return;
            }
            wait_until_end(&self.run).await;
        }
        self.finish(started_at.elapsed());
    }

    fn finish(&self, run_time: time::Duration) {
        let report_lag_ms = self.state.switches().report_lag_ms;
        let mut core = server::lock(&self.state.core);
        if core.observations.generation == self.generation {
            core.batch.leave(&self.ticket);
            core.count_end(&self.run, run_time);
            core.record_change(report_lag_ms);
        }
        drop(core);
        self.run.ended.open();
    }
}

fn start_run(state: &EngineState, run: &run::EngineRun, prompt: &RunPrompt) -> time::Duration {
    let switches = state.switches();
    let mut core = server::lock(&state.core);
    core.count_start();
    core.record_change(switches.report_lag_ms);
    let capacity = state.options.cached_prefixes;
    let loss_permille = switches.cache_event_loss_permille;
    let cached = core.touch_prefix(&run.adapter, prompt.prefix_hash, capacity, loss_permille);
    let cached_tokens = if cached { prompt.prefix_tokens } else { 0 };
    let tokens = run.prompt_tokens.saturating_sub(cached_tokens);
    let prefill = time::Duration::from_micros(switches.prefill_us * u64::from(tokens));
    run.start(prefill);
    prefill
}

async fn wait_until_end(run: &run::EngineRun) {
    let Some(end_at) = run.end_at().filter(|_| !run.is_aborted()) else { return };
    let timer = async {
        async_io::Timer::at(end_at).await;
    };
    futures_lite::future::or(timer, run.ended.wait()).await;
}
