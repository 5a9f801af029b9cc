//! OpenAI-compatible chat completions, streamed and not streamed.

use std::sync;
use std::time;

use async_channel as channel;
use coltsfoot_catalog::{digest, resolve};
use coltsfoot_platform::protocol;
use coltsfoot_types::{adapter, id, refusal, time as instant};
use futures_util::TryStreamExt as _;
use http_types::{Response, StatusCode, headers};

use crate::answer;
use crate::control::client;
use crate::front::answer_stream::{AdmittedChat, AnswerStream};
use crate::front::engine_attempt::AnswerPart;
use crate::front::{access, read_body};
use crate::shared;

/// Characters per token, to estimate a prompt's tokens when it is charged.
const CHARACTERS_PER_TOKEN: usize = 4;
/// Parts of a streamed answer that are buffered for a slow caller.
const QUEUED_PARTS: usize = 16;
/// Interval of checks whether a stream's key was withdrawn.
const WITHDRAWAL_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);

type EventQueue = channel::Sender<Result<Vec<u8>, std::io::Error>>;

/// A chat call in progress.
struct ChatCall {
    shared: sync::Arc<shared::InstanceShared>,
    stream: AnswerStream,
    charge: client::ChargeGuard,
    key: Option<digest::KeyDigest>,
    prompt_tokens: u32,
    request: id::RequestId,
    adapter: adapter::AdapterVersion,
    arrived: instant::MonotonicTime,
    _running: shared::RunningRequest,
}

/// A chat request as received.
struct ReceivedChat {
    chat: protocol::ChatRequest,
    body: Vec<u8>,
    arrived: instant::MonotonicTime,
}

/// Handles a chat request: authorizes, admits and runs it.
pub async fn respond(
    shared: sync::Arc<shared::InstanceShared>,
    executor: sync::Arc<async_executor::Executor<'static>>,
    running: shared::RunningRequest,
    mut request: http_types::Request,
) -> Result<Response, answer::CallerRefusal> {
    let arrived = shared.clock.now();
    let refuse = answer::CallerRefusal::not_run;
    let body = read_body(&mut request, shared.settings.limits.max_body_bytes).await?;
    let chat: protocol::ChatRequest =
        serde_json::from_slice(&body).map_err(|_| refuse(refusal::RefusalReason::BadRequest))?;
    let granted = access::authorize(&shared, &request, &chat.model)?;
    let streamed = chat.stream;
    let call =
        admit(&shared, &executor, running, granted, ReceivedChat { chat, body, arrived }).await?;
    if streamed { Ok(stream(call, &executor).await?) } else { collect(call).await }
}

async fn admit(
    shared: &sync::Arc<shared::InstanceShared>,
    executor: &sync::Arc<async_executor::Executor<'static>>,
    running: shared::RunningRequest,
    granted: access::GrantedAccess,
    received: ReceivedChat,
) -> Result<ChatCall, answer::CallerRefusal> {
    let ReceivedChat { chat, body, arrived } = received;
    let route = granted.route;
    let resolve::ResolvedTarget::Model { adapter, base_model } = route.target else {
        return Err(answer::CallerRefusal::not_run(refusal::RefusalReason::UnknownRoute));
    };
    let request = id::RequestId(uuid::Uuid::now_v7().as_u128());
    let prompt = prompt_text(&chat);
    let prompt_tokens = (prompt.chars().count().div_ceil(CHARACTERS_PER_TOKEN) as u32).max(1);
    let max_tokens = chat.max_tokens.unwrap_or(route.max_output_tokens);
    let max_tokens = max_tokens.clamp(1, route.max_output_tokens);
    let tokens = u64::from(prompt_tokens) + u64::from(max_tokens);
    let query = client::AdmissionQuery {
        request,
        customer: route.charged.clone(),
        tokens,
        max_wait: route.deadline,
        fingerprint: access::fingerprint(granted.key.as_ref(), &body),
    };
    let charge = shared.control.admit(query).await.map_err(|refusal| {
        let refused = answer::CallerRefusal::not_run(refusal.reason);
        refusal.retry_after.map_or(refused, |delay| refused.with_retry_after(delay))
    })?;
    shared.metrics.record_admission_wait(shared.clock.now().since(arrived));
    let admitted = AdmittedChat {
        request,
        customer: route.charged,
        weight: granted.weight,
        priority: route.priority,
        adapter: adapter.clone(),
        base_model,
        tokens,
        deadline: arrived + route.deadline,
        chat: engine_request(chat, &adapter, max_tokens, route.priority),
    };
    let stream = AnswerStream::new(sync::Arc::clone(shared), sync::Arc::clone(executor), admitted);
    Ok(ChatCall {
        shared: sync::Arc::clone(shared),
        stream,
        charge,
        key: granted.key,
        prompt_tokens,
        request,
        adapter,
        arrived,
        _running: running,
    })
}

/// Builds the request to the engine, without the caller's key. It is always streamed, so that a
/// broken response can be resumed.
fn engine_request(
    mut chat: protocol::ChatRequest,
    adapter: &adapter::AdapterVersion,
    max_tokens: u32,
    priority: u8,
) -> protocol::ChatRequest {
    chat.model = adapter.to_string();
    chat.stream = true;
    chat.max_tokens = Some(max_tokens);
    chat.priority = Some(-i32::from(priority));
    chat.continue_from = None;
    chat
}

fn prompt_text(chat: &protocol::ChatRequest) -> String {
    chat.messages.iter().map(|message| message.content.as_str()).collect::<Vec<_>>().join("\n")
}

impl ChatCall {
    /// Returns the next part, or a refusal once the key is withdrawn.
    async fn next_part(&mut self) -> Result<AnswerPart, answer::CallerRefusal> {
        let shared = sync::Arc::clone(&self.shared);
        let key = self.key;
        let withdrawal = async {
            loop {
                if access::is_withdrawn(&shared, key.as_ref()) {
                    return None;
                }
                async_io::Timer::after(WITHDRAWAL_CHECK_INTERVAL).await;
            }
        };
        let part = async { Some(self.stream.next_part().await) };
        let Some(result) = futures_lite::future::or(withdrawal, part).await else {
            self.shared.metrics.count_ended_stream();
            let reason = refusal::RefusalReason::InvalidKey;
            let ran = answer::ExecutionStatus::Unknown;
            return Err(answer::CallerRefusal { reason, ran, retry_after: None });
        };
        self.record(&result);
        result
    }

    fn record(&mut self, result: &Result<AnswerPart, answer::CallerRefusal>) {
        let tokens = self.stream.tokens();
        match result {
            Ok(AnswerPart::Text(_)) => {
                if tokens == 1 {
                    let wait = self.shared.clock.now().since(self.arrived);
                    self.shared.metrics.record_first_token(wait);
                }
                self.charge.set_used(u64::from(self.prompt_tokens) + u64::from(tokens));
            }
            Ok(AnswerPart::End { .. }) => {
                self.shared.metrics.count_output_tokens(u64::from(tokens));
                self.shared.metrics.count_answer("chat");
            }
            Err(_) => {}
        }
    }

    fn chunk(&self, content: String) -> protocol::ChatChunk {
        let delta = protocol::ChunkDelta { content };
        let choice = protocol::ChunkChoice { index: 0, delta, finish_reason: None };
        protocol::ChatChunk {
            id: self.request.to_string(),
            model: self.adapter.to_string(),
            choices: vec![choice],
            usage: None,
        }
    }

    /// Returns the usage over all attempts, since an engine that continues the output of another
    /// reports only its own tokens.
    fn usage(&self, reported: protocol::TokenUsage) -> protocol::TokenUsage {
        protocol::TokenUsage {
            prompt_tokens: reported.prompt_tokens,
            completion_tokens: self.stream.tokens(),
        }
    }
}

async fn collect(mut call: ChatCall) -> Result<Response, answer::CallerRefusal> {
    let mut text = String::new();
    loop {
        match call.next_part().await? {
            AnswerPart::Text(part) => text.push_str(&part),
            AnswerPart::End { finish_reason, usage } => {
                let message = protocol::ChatMessage { role: "assistant".to_owned(), content: text };
                let finish_reason = Some(finish_reason);
                let choice = protocol::ChatChoice { index: 0, message, finish_reason };
                let body = protocol::ChatAnswer {
                    id: call.request.to_string(),
                    model: call.adapter.to_string(),
                    choices: vec![choice],
                    usage: call.usage(usage),
                };
                return Ok(json_response(serde_json::to_string(&body).unwrap_or_default()));
            }
        }
    }
}

/// Streams the answer. It waits for the first part before it responds, so that an earlier refusal
/// gets its own HTTP status.
async fn stream(
    mut call: ChatCall,
    executor: &sync::Arc<async_executor::Executor<'static>>,
) -> Result<Response, answer::CallerRefusal> {
    let first = call.next_part().await?;
    let (queue, parts) = channel::bounded(QUEUED_PARTS);
    let task = executor.spawn(send_events(call, first, queue));
    let parts = futures_lite::stream::StreamExt::map(parts, move |part| {
        // The task is owned by the response body: dropping the body cancels the request.
        let _ = &task;
        part
    });
    let reader = Box::pin(parts).into_async_read();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(http_types::Body::from_reader(reader, None));
    response.insert_header(headers::CONTENT_TYPE, "text/event-stream");
    response.insert_header(headers::CACHE_CONTROL, "no-cache");
    Ok(response)
}

async fn send_events(mut call: ChatCall, first: AnswerPart, queue: EventQueue) {
    let mut part = first;
    loop {
        let (event, ended) = match part {
            AnswerPart::Text(text) => {
                (encode_chunk(&call.chunk(text), call.stream.tokens()), false)
            }
            AnswerPart::End { finish_reason, usage } => {
                let mut chunk = call.chunk(String::new());
                chunk.choices[0].finish_reason = Some(finish_reason);
                chunk.usage = Some(call.usage(usage));
                let mut event = encode_chunk(&chunk, call.stream.tokens());
                event.extend_from_slice(b"data: [DONE]\n\n");
                (event, true)
            }
        };
        if queue.send(Ok(event)).await.is_err() || ended {
            return;
        }
        part = match call.next_part().await {
            Ok(part) => part,
            Err(refusal) => {
                call.shared.metrics.count_refusal(refusal.reason);
                let event = format!("event: error\ndata: {}\n\n", refusal.to_json());
                let _ = queue.send(Ok(event.into_bytes())).await;
                return;
            }
        };
    }
}

fn encode_chunk(chunk: &protocol::ChatChunk, tokens: u32) -> Vec<u8> {
    let data = serde_json::to_string(chunk).unwrap_or_default();
    format!("id: {tokens}\ndata: {data}\n\n").into_bytes()
}

fn json_response(body: String) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.insert_header(headers::CONTENT_TYPE, "application/json");
    response
}
