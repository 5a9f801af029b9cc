//! HTTP endpoints of a fake engine.

use std::sync;
use std::time;

use coltsfoot_platform::{http, protocol};
use coltsfoot_types::{adapter, id};
use http_types::{Method, Request, Response};

use crate::engine_state::{EngineState, OrderOutcome};
use crate::{control, engine_chat, residency, server, stream};

/// Interval at which a second order for the same adapter polls for the end of the first load.
const JOIN_INTERVAL: time::Duration = time::Duration::from_millis(2);

/// Handles a request; closes the connection if the engine has been dropped.
pub(crate) async fn respond(
    state: Option<sync::Arc<EngineState>>,
    mut request: Request,
) -> http_types::Result<Response> {
    let state = state.ok_or_else(control::close_connection)?;
    if request.header("authorization").is_some() {
        server::lock(&state.core).observations.authorization_headers += 1;
    }
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (_, "/switches") => control::serve_switches(&mut request, &state.switches).await,
        (Method::Get, "/observations") => control::json_response(200, &state.observations()),
        (Method::Post, "/crash") => {
            let outage_ms = state.switches().crash_outage_ms;
            state.crash(time::Duration::from_millis(outage_ms));
            Err(control::close_connection())
        }
        (Method::Get, "/load") => report(&state),
        (Method::Get, "/cache_events") => cache_events(&state, &request),
        (Method::Post, "/v1/load_lora_adapter") => order(&state, &mut request, true).await,
        (Method::Post, "/v1/unload_lora_adapter") => order(&state, &mut request, false).await,
        (Method::Post, "/v1/chat/completions") => engine_chat::chat(&state, &mut request).await,
        (method, path) => match path.strip_prefix("/v1/streams/") {
            Some(attempt) if method == Method::Get => resume(&state, &request, attempt),
            Some(attempt) if method == Method::Delete => cancel(&state, attempt),
            _ => control::text_response(404, "no such call"),
        },
    }
}

fn report(state: &EngineState) -> http_types::Result<Response> {
    let lag = time::Duration::from_millis(state.switches().report_lag_ms);
    let mut core = server::lock(&state.core);
    let report = core.reports.get(time::Instant::now(), lag);
    control::json_response(200, &report)
}

fn cache_events(state: &EngineState, request: &Request) -> http_types::Result<Response> {
    let after = control::query_number(request, "after").unwrap_or_default();
    let lag = time::Duration::from_millis(state.switches().cache_event_lag_ms);
    let events = server::lock(&state.core).cache.events_after(after, lag);
    control::json_response(200, &events)
}

async fn order(
    state: &EngineState,
    request: &mut Request,
    is_load: bool,
) -> http_types::Result<Response> {
    let header = request.header(protocol::FENCING_HEADER);
    let number = header.and_then(|values| values.last().as_str().parse().ok());
    let number = id::FencingNumber(number.unwrap_or_default());
    let order = match control::read_json::<protocol::AdapterOrder>(request).await? {
        Ok(order) => order,
        Err(response) => return Ok(response),
    };
    let outcome = if is_load {
        load(state, &order.lora_name, number).await
    } else {
        unload(state, &order.lora_name, number)
    };
    match outcome {
        OrderOutcome::Done => control::text_response(200, ""),
        OrderOutcome::StaleFencing => control::text_response(409, "old fencing number"),
        OrderOutcome::NotResident => control::text_response(404, "not resident"),
        OrderOutcome::NoFreeSlot => control::text_response(507, "no free slot"),
        OrderOutcome::LoadFailed => control::text_response(507, "load failed"),
    }
}

async fn load(
    state: &EngineState,
    adapter: &adapter::AdapterVersion,
    number: id::FencingNumber,
) -> OrderOutcome {
    if let Some(outcome) = begin_load(state, adapter, number) {
        return outcome;
    }
    if !reserve_slot(state, adapter) {
        return join_load(state, adapter).await;
    }
    let generation = server::lock(&state.core).observations.generation;
    let fetched = fetch_weights(state, adapter).await;
    let report_lag_ms = state.switches().report_lag_ms;
    let mut core = server::lock(&state.core);
    if core.observations.generation != generation || !core.slots.slots.contains_key(adapter) {
        return OrderOutcome::LoadFailed;
    }
    if fetched {
        core.slots.slots.insert(adapter.clone(), residency::SlotState::Resident);
        core.observations.loads += 1;
    } else {
        core.slots.slots.remove(adapter);
        core.observations.failed_loads += 1;
    }
    core.record_change(report_lag_ms);
    if fetched { OrderOutcome::Done } else { OrderOutcome::LoadFailed }
}

/// Checks a load order; returns its outcome if no weights need to be fetched.
fn begin_load(
    state: &EngineState,
    adapter: &adapter::AdapterVersion,
    number: id::FencingNumber,
) -> Option<OrderOutcome> {
    let checks_fencing = state.switches().checks_fencing;
    let mut core = server::lock(&state.core);
    if !core.check_fencing(number, checks_fencing) {
        return Some(OrderOutcome::StaleFencing);
    }
    if core.slots.is_resident(adapter) {
        return Some(OrderOutcome::Done);
    }
    let occupied = core.slots.slots.len() as u32;
    if !core.slots.slots.contains_key(adapter) && occupied >= state.options.slots {
        core.observations.loads_without_slot += 1;
        return Some(OrderOutcome::NoFreeSlot);
    }
    None
}

/// Marks the adapter as loading; returns false if it is already being loaded.
fn reserve_slot(state: &EngineState, adapter: &adapter::AdapterVersion) -> bool {
    let mut core = server::lock(&state.core);
    if core.slots.slots.contains_key(adapter) {
        return false;
    }
    core.slots.slots.insert(adapter.clone(), residency::SlotState::Loading);
    true
}

/// Waits for a load that another order has started.
async fn join_load(state: &EngineState, adapter: &adapter::AdapterVersion) -> OrderOutcome {
    loop {
        match server::lock(&state.core).slots.slots.get(adapter) {
            Some(residency::SlotState::Resident) => return OrderOutcome::Done,
            Some(residency::SlotState::Loading) => {}
            None => return OrderOutcome::LoadFailed,
        }
        async_io::Timer::after(JOIN_INTERVAL).await;
    }
}

async fn fetch_weights(state: &EngineState, adapter: &adapter::AdapterVersion) -> bool {
    let switches = state.switches();
    let Some(store) = state.store() else {
        async_io::Timer::after(time::Duration::from_millis(switches.load_ms)).await;
        return !switches.fail_loads;
    };
    let body = protocol::StoreLoad { adapter: adapter.clone() };
    let Ok(url) = http::url(store, "/loads") else { return false };
    let mut request = Request::new(Method::Post, url);
    let Ok(body) = serde_json::to_vec(&body) else { return false };
    request.set_body(body);
    let sent = state.pool.send(store, request, http::ConnectionReuse::Allow).await;
    sent.is_ok_and(|exchange| exchange.status() == 200) && !switches.fail_loads
}

fn unload(
    state: &EngineState,
    adapter: &adapter::AdapterVersion,
    number: id::FencingNumber,
) -> OrderOutcome {
    let switches = state.switches();
    let mut core = server::lock(&state.core);
    if !core.check_fencing(number, switches.checks_fencing) {
        return OrderOutcome::StaleFencing;
    }
    if core.slots.slots.remove(adapter).is_none() {
        return OrderOutcome::NotResident;
    }
    core.observations.unloads += 1;
    let aborted = core.abort_runs(Some(adapter));
    core.observations.evicted_under_request += aborted;
    core.record_change(switches.report_lag_ms);
    OrderOutcome::Done
}

fn resume(state: &EngineState, request: &Request, attempt: &str) -> http_types::Result<Response> {
    let from = control::query_number(request, "from").unwrap_or_default() as usize;
    let forget_streams = state.switches().forget_streams;
    let mut core = server::lock(&state.core);
    let run = core.runs.get(attempt).filter(|run| !run.is_aborted() && !forget_streams).cloned();
    let Some(run) = run.filter(|run| from <= run.tokens.len()) else {
        return control::text_response(404, "no such stream");
    };
    core.observations.resumed += 1;
    let mut response = Response::new(200);
    response.insert_header(protocol::ATTEMPT_HEADER, attempt);
    response.set_body(stream::body(run, from, stream::StreamFaults::default()));
    response.set_content_type(http_types::mime::SSE);
    Ok(response)
}

fn cancel(state: &EngineState, attempt: &str) -> http_types::Result<Response> {
    let mut core = server::lock(&state.core);
    let Some(run) = core.runs.remove(attempt) else {
        return control::text_response(404, "no such stream");
    };
    if !run.ended.is_open() {
        run.abort();
        core.observations.cancelled += 1;
    }
    control::text_response(200, "")
}
