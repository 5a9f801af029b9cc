//! Fake engine, called through the platform's client.

mod common;

use std::time;

use coltsfoot_fakes::{SharedExecutor, answer, engine, store};
use coltsfoot_platform::engine::{self as platform_engine, OrderError};
use coltsfoot_platform::{error, http, protocol, sse};
use coltsfoot_types::{adapter, id};
use rstest::rstest;

fn adapter() -> adapter::AdapterVersion {
    "menus@3".parse().unwrap()
}

fn attempt(number: u16) -> id::AttemptId {
    id::AttemptId { request: id::RequestId(7), number }
}

fn chat(text: &str, max_tokens: u32, stream: bool) -> protocol::ChatRequest {
    let message = protocol::ChatMessage { role: "user".to_owned(), content: text.to_owned() };
    protocol::ChatRequest {
        model: adapter().to_string(),
        messages: vec![message],
        stream,
        max_tokens: Some(max_tokens),
        priority: None,
        continue_from: None,
        other: Default::default(),
    }
}

fn client(engine: &engine::FakeEngine) -> platform_engine::EngineClient {
    platform_engine::EngineClient::new(common::pool(), engine.address())
}

async fn send(
    engine: &engine::FakeEngine,
    chat: &protocol::ChatRequest,
    number: u16,
) -> Result<http::HttpExchange, error::HttpError> {
    let timeout = time::Duration::from_secs(5);
    client(engine).chat(chat, attempt(number), http::ConnectionReuse::Allow, timeout).await
}

/// Content of a stream, and whether it ended with `[DONE]`.
#[derive(Debug, Default, PartialEq)]
struct StreamText {
    text: String,
    tokens: u32,
    ended: bool,
}

async fn read_stream(exchange: http::HttpExchange) -> StreamText {
    let mut reader = sse::EventReader::new(exchange, 64 * 1024);
    let mut seen = StreamText::default();
    while let Ok(Some(event)) = reader.next_event().await {
        if event.data == "[DONE]" {
            seen.ended = true;
            continue;
        }
        let chunk: protocol::ChatChunk = serde_json::from_str(&event.data).unwrap();
        seen.tokens = event.id.unwrap().parse().unwrap();
        seen.text.push_str(&chunk.choices[0].delta.content);
    }
    seen
}

fn start(executor: &SharedExecutor, switches: engine::EngineSwitches) -> engine::FakeEngine {
    let options = engine::EngineOptions::builder()
        .resident(vec![adapter()])
        .slots(2)
        .batch_size(2)
        .switches(switches)
        .build();
    engine::FakeEngine::start(executor, options).unwrap()
}

fn expected(chat: &protocol::ChatRequest) -> answer::ExpectedAnswer {
    answer::ExpectedAnswer::new(&adapter(), &chat.messages, chat.max_tokens)
}

#[test]
fn answer_and_usage_are_complete_with_and_without_streaming() {
    let executor = SharedExecutor::default();
    let engine = start(&executor, engine::EngineSwitches::default());
    common::run(&executor, async {
        let request = chat("draft the banquet briefing", 20, false);
        let exchange = send(&engine, &request, 0).await.unwrap();
        let body = exchange.read_body(1 << 20).await.unwrap();
        let answer: protocol::ChatAnswer = serde_json::from_slice(&body).unwrap();
        let whole = expected(&request);
        assert_eq!(answer.choices[0].message.content, whole.text());
        assert_eq!(answer.id, attempt(0).to_string());
        assert_eq!(answer.model, "menus@3");
        assert_eq!(answer.usage.completion_tokens as usize, whole.tokens.len());
        assert_eq!(answer.usage.prompt_tokens, 4);

        let request = protocol::ChatRequest { stream: true, ..request };
        let exchange = send(&engine, &request, 1).await.unwrap();
        let seen = read_stream(exchange).await;
        let tokens = whole.tokens.len() as u32;
        assert_eq!(seen, StreamText { text: whole.text(), tokens, ended: true });
    });
    let observations = engine.observations();
    assert_eq!(observations.completed, 2);
    assert_eq!(observations.authorization_headers, 0);
}

#[test]
fn broken_stream_is_resumed_or_continued_on_another_engine() {
    let executor = SharedExecutor::default();
    let switches = engine::EngineSwitches::builder().cut_after_tokens(5).build();
    let engine = start(&executor, switches);
    let other = start(&executor, engine::EngineSwitches::default());
    common::run(&executor, async {
        let request = chat("summarise the dossier", 24, true);
        let whole = expected(&request).text();
        let seen = read_stream(send(&engine, &request, 0).await.unwrap()).await;
        assert_eq!((seen.tokens, seen.ended), (5, false));

        let resumed = client(&engine).resume(attempt(0), seen.tokens).await.unwrap();
        let rest = read_stream(resumed).await;
        assert!(rest.ended);
        assert_eq!(format!("{}{}", seen.text, rest.text), whole);

        let continued = protocol::ChatRequest {
            continue_from: Some(seen.text.clone()),
            max_tokens: Some(24 - seen.tokens),
            ..request
        };
        let exchange = send(&other, &continued, 1).await.unwrap();
        let rest = read_stream(exchange).await;
        assert!(rest.ended);
        assert_eq!(format!("{}{}", seen.text, rest.text), whole);
    });
}

#[test]
fn cancelled_run_leaves_the_batch() {
    let executor = SharedExecutor::default();
    let switches = engine::EngineSwitches::builder().token_us(1_000_000).build();
    let engine = start(&executor, switches);
    common::run(&executor, async {
        let exchange = send(&engine, &chat("slow", 50, true), 0).await.unwrap();
        client(&engine).cancel(attempt(0)).await.unwrap();
        assert!(!read_stream(exchange).await.ended);
        client(&engine).cancel(attempt(0)).await.unwrap();
    });
    assert_eq!(engine.observations().cancelled, 1);
}

#[test]
fn eviction_aborts_and_counts_running_requests() {
    let executor = SharedExecutor::default();
    let switches = engine::EngineSwitches::builder().token_us(100_000).build();
    let engine = start(&executor, switches);
    common::run(&executor, async {
        let exchange = send(&engine, &chat("slow", 50, true), 0).await.unwrap();
        let fencing = id::FencingNumber(1);
        client(&engine).unload(&adapter(), fencing).await.unwrap();
        assert!(!read_stream(exchange).await.ended);
        let again = send(&engine, &chat("slow", 5, true), 1).await.unwrap();
        assert_eq!((again.status(), again.header(protocol::NOT_RUN_HEADER)), (404, Some("true")));
    });
    let observations = engine.observations();
    assert_eq!((observations.evicted_under_request, observations.cut_runs), (1, 1));
}

#[rstest]
#[case::checked(true, 1, 0)]
#[case::ignored(false, 0, 1)]
fn stale_fencing_number_is_refused_or_ignored(
    #[case] checks: bool,
    #[case] refused: u64,
    #[case] obeyed: u64,
) {
    let executor = SharedExecutor::default();
    let switches = engine::EngineSwitches::builder().checks_fencing(checks).build();
    let engine = start(&executor, switches);
    common::run(&executor, async {
        let client = client(&engine);
        let briefs = "briefs@1".parse().unwrap();
        client.load(&briefs, id::FencingNumber(9)).await.unwrap();
        let stale = client.unload(&briefs, id::FencingNumber(8)).await;
        assert_eq!(matches!(stale, Err(OrderError::StaleFencing)), checks);
        assert_eq!(stale.is_ok(), !checks);
    });
    let observations = engine.observations();
    assert_eq!(observations.stale_orders_refused, refused);
    assert_eq!(observations.stale_orders_obeyed, obeyed);
}

#[test]
fn concurrent_loads_share_a_fetch_and_fail_without_a_free_slot() {
    let executor = SharedExecutor::default();
    let store_switches = store::StoreSwitches::builder().loads_per_second(0.0).load_ms(5).build();
    let store_options = store::StoreOptions::builder().switches(store_switches).build();
    let store = store::FakeStore::start(&executor, store_options).unwrap();
    let options = engine::EngineOptions::builder().slots(1).store(store.address()).build();
    let engine = engine::FakeEngine::start(&executor, options).unwrap();
    common::run(&executor, async {
        let client = client(&engine);
        let menus = adapter();
        let both = futures_lite::future::zip(
            client.load(&menus, id::FencingNumber(1)),
            client.load(&menus, id::FencingNumber(1)),
        );
        let (first, second) = both.await;
        assert!(first.is_ok() && second.is_ok());
        let full = client.load(&"briefs@1".parse().unwrap(), id::FencingNumber(1)).await;
        assert!(matches!(full, Err(OrderError::LoadFailed(_))));
    });
    assert_eq!(store.observations().loads, 1);
    assert_eq!(engine.resident(), [adapter()]);
}

#[test]
fn crash_prompt_aborts_all_runs_and_restarts_empty() {
    let executor = SharedExecutor::default();
    let switches = engine::EngineSwitches::builder()
        .crash_prompt("boom".to_owned())
        .crash_outage_ms(60)
        .token_us(20_000)
        .build();
    let engine = start(&executor, switches);
    let generation = engine.observations().generation;
    common::run(&executor, async {
        let concurrent = send(&engine, &chat("calm", 50, true), 0).await.unwrap();
        let crashing = send(&engine, &chat("boom", 5, false), 1).await;
        assert!(matches!(crashing, Err(error::HttpError::NoAnswer { .. })));
        assert!(!read_stream(concurrent).await.ended);
        let refused = send(&engine, &chat("calm", 5, false), 2).await;
        assert!(refused.is_err_and(|error| error.nothing_sent()));
        async_io::Timer::after(time::Duration::from_millis(200)).await;
        let report = client(&engine).report().await.unwrap();
        assert!(report.generation > generation && report.resident.is_empty());
    });
    assert_eq!(engine.observations().crashes, 1);
}

#[test]
fn reports_and_cache_events_are_visible_after_the_lag() {
    let executor = SharedExecutor::default();
    let hour_ms = 3_600_000;
    let switches = engine::EngineSwitches::builder().report_lag_ms(hour_ms);
    let engine = start(&executor, switches.cache_event_lag_ms(hour_ms).build());
    common::run(&executor, async {
        let client = client(&engine);
        client.load(&"briefs@1".parse().unwrap(), id::FencingNumber(1)).await.unwrap();
        let exchange = send(&engine, &chat("once", 2, false), 0).await.unwrap();
        exchange.read_body(1 << 20).await.unwrap();
        assert_eq!(client.report().await.unwrap().resident.len(), 1);
        assert!(client.cache_events(0).await.unwrap().events.is_empty());
        engine.switch(|switches| {
            switches.report_lag_ms = 0;
            switches.cache_event_lag_ms = 0;
        });
        assert_eq!(client.report().await.unwrap().resident.len(), 2);
        assert_eq!(client.cache_events(0).await.unwrap().events.len(), 1);
    });
}
