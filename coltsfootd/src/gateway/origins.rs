//! Streams that callers take up: which software version began them, as instances tell each other and record
//! in the store.

use std::sync;
use std::time;

use coltsfoot_gateway::origin_ledger::{OriginSource, OriginVerdict, StreamKey, StreamOrigin};
use coltsfoot_gateway::upstream::BuildKey;
use coltsfoot_gateway::{rules, upstream_search};
use coltsfoot_http::message;
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use jiff::Timestamp;
use site_platform::store::StoreError;
use site_platform::{fields, store};

use crate::event;
use crate::gateway::{exchange, state};

/// Topic in which the streams are recorded while several versions of a service serve.
const ORIGIN_TOPIC: &str = "coltsfoot-stream-origins";
/// Interval between records of a zone's streams.
const WRITE_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Time limit of a read, as a caller waits for it.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Longest wait for this instance to be in step again, as a caller waits for it.
const MAX_STEP_WAIT: time::Duration = time::Duration::from_millis(300);
/// Interval between checks whether it is.
const STEP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Pause after a failed read or record, as refused calls are charged too.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(1500);
/// Maximum number of records that are read at a start: a minute's, of five zones.
const MAX_HISTORY: u64 = 1024;

/// Number of heartbeats that tell of a stream.
const HEARTBEATS_PER_ORIGIN: u32 = 3;
/// Bytes of a caller's id that are logged.
const MAX_LOGGED_ID: usize = 64;

/// Progress of reading other instances' records.
#[derive(Debug, Default)]
pub(crate) struct OriginReader {
    next: Option<wire::TopicPosition>,
    /// When the last successful read was sent.
    read_at: Option<instant::MonotonicTime>,
    /// When the last read failed.
    failed_at: Option<instant::MonotonicTime>,
}

/// Returns the stream that a caller takes up, `None` if it names none.
fn stream_key(
    fields: &fields::CallerFields,
    customer: Option<&rules::CustomerRule>,
) -> Option<StreamKey> {
    let customer = customer.map(|customer| &*customer.name);
    fields.resumes.as_deref().map(|request_id| StreamKey::new(customer, request_id))
}

/// Records that the first event of a response is forwarded, which a run at an upstream of this version
/// brought.
pub(super) fn record_begin(
    state: &state::GatewayState,
    fields: &fields::CallerFields,
    admitted: &exchange::AdmittedRequest,
    build: BuildKey,
) {
    if !admitted.route.is_resumable {
        return;
    }
    let customer = admitted.customer.as_deref();
    let stream = stream_key(fields, customer).unwrap_or_else(|| {
        StreamKey::new(customer.map(|customer| &*customer.name), &admitted.request_id)
    });
    let now = state.now();
    let origin = StreamOrigin { stream, build, at: now };
    state.origin_ledger().record(now, origin, OriginSource::Own);
}

/// Returns the only version that may continue the stream which a caller takes up, `None` if the caller has no
/// events of one, or the refusal if it can't go on.
pub(super) async fn find_build(
    state: &state::GatewayState,
    fields: &fields::CallerFields,
    admitted: &exchange::AdmittedRequest,
) -> Result<Option<BuildKey>, exchange::LocalReply> {
    let is_taken_up = fields.resumes.is_some() || fields.last_event.is_some();
    if !is_taken_up || !admitted.route.is_resumable {
        return Ok(None);
    }
    let stream = stream_key(fields, admitted.customer.as_deref());
    let mut verdict = find_verdict(state, &admitted.service, stream);
    if verdict == OriginVerdict::Unknown {
        // Boxed, as few requests need it and all would hold the space.
        Box::pin(catch_up(state)).await;
        verdict = find_verdict(state, &admitted.service, stream);
    }
    let (build, refusal) = match verdict {
        OriginVerdict::Any => (None, None),
        OriginVerdict::Build(build) => {
            let is_ready = state.view().is_build_ready(&admitted.service.name, build);
            (Some(build), (!is_ready).then_some("version_gone"))
        }
        OriginVerdict::Unknown => (None, Some("version_unknown")),
    };
    log::info!(
        event = event::STREAM_TAKEN_UP.number, request = &*admitted.request_id,
        resumes = fields.resumes.as_deref().map(|id| id.get(..MAX_LOGGED_ID).unwrap_or(id)),
        origin = verdict.code(), build = build.map(|build| build.to_string()),
        refused = refusal; "stream_taken_up"
    );
    match refusal {
        Some(reason) => {
            Err(exchange::LocalReply::unavailable(reason, upstream_search::RETRY_PAUSE))
        }
        None => Ok(build),
    }
}

fn find_verdict(
    state: &state::GatewayState,
    service: &rules::ServiceRule,
    stream: Option<StreamKey>,
) -> OriginVerdict {
    let now = state.now();
    check_step(state, now);
    see_builds(state, now);
    state.origin_ledger().verdict(now, &service.name, stream)
}

/// Waits until this instance is in step with the others, and reads what they have recorded.
async fn catch_up(state: &state::GatewayState) {
    let end = state.now() + MAX_STEP_WAIT;
    while !check_step(state, state.now()) && state.now() < end {
        async_io::Timer::after(STEP_CHECK_INTERVAL).await;
    }
    read_history(state, state.now()).await;
}

/// Notes and returns whether this instance is in step with the others; logs a change.
fn check_step(state: &state::GatewayState, now: instant::MonotonicTime) -> bool {
    let own = state.own_upstream_digest();
    let peers = state.view().topic_digests(|peer| peer.upstreams);
    let is_in_step = state::lock(&state.steps).is_in_step(now, own, &peers);
    let has_changed = state.origin_ledger().set_in_step(now, is_in_step);
    if has_changed {
        let read_age_ms = own.read_at.map(|read_at| now.since(read_at).as_millis() as u64);
        log::info!(
            event = event::STEP_CHANGED.number, in_step = is_in_step, read_age_ms = read_age_ms,
            peers = peers.len(); "step_changed"
        );
    }
    is_in_step
}

fn see_builds(state: &state::GatewayState, now: instant::MonotonicTime) {
    let builds: Vec<BuildKey> = state.view().builds().collect();
    state.origin_ledger().see_builds(now, builds);
}

/// Reads what other instances have recorded, unless a read that was sent at `needed_at` or later has done so,
/// or one has failed just before.
async fn read_history(state: &state::GatewayState, needed_at: instant::MonotonicTime) {
    let mut reader = state.origin_reader.lock().await;
    let sent = state.now();
    let has_failed = reader.failed_at.is_some_and(|failed| sent.since(failed) < RETRY_INTERVAL);
    if has_failed || reader.read_at.is_some_and(|read_at| read_at >= needed_at) {
        return;
    }
    let mut read = read_log(state, reader.next).await;
    if reader.next.is_some()
        && matches!(read, Err(ReadError::Store(StoreError::Restored(_) | StoreError::Trimmed(_))))
    {
        read = read_log(state, None).await;
    }
    match read {
        Ok(read) => {
            *reader = OriginReader { next: read.next, read_at: Some(sent), failed_at: None };
            read.records.iter().for_each(|record| apply_record(state, record));
            state.origin_ledger().history_read();
        }
        Err(error) => {
            reader.failed_at = Some(sent);
            log::warn!(
                event = event::LOG_UNREACHABLE.number, topic = ORIGIN_TOPIC;
                "could not read which versions began streams: {error}"
            );
        }
    }
}

/// Failure to read what other instances have recorded.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("no response within {READ_TIMEOUT:?}; look at the store")]
    TimedOut,
}

async fn read_log(
    state: &state::GatewayState,
    from: Option<wire::TopicPosition>,
) -> Result<store::LogRecords, ReadError> {
    let read = state.store.read_log(ORIGIN_TOPIC, from, MAX_HISTORY);
    Ok(message::with_timeout(READ_TIMEOUT, read).await.ok_or(ReadError::TimedOut)??)
}

fn apply_record(state: &state::GatewayState, record: &[u8]) {
    match wire::OriginBatch::decode(record) {
        Ok(batch) => {
            let age_ms = unix_ms().saturating_sub(batch.written_ms);
            let age = time::Duration::from_millis(age_ms);
            merge(state, &batch.origins, age, OriginSource::Elsewhere);
        }
        Err(error) => log::warn!(
            event = event::ENTRY_REJECTED.number, topic = ORIGIN_TOPIC; "entry_rejected: {error}"
        ),
    }
}

fn unix_ms() -> u64 {
    u64::try_from(Timestamp::now().as_millisecond()).unwrap_or_default()
}

/// Merges streams that another instance told `age` ago.
fn merge(
    state: &state::GatewayState,
    origins: &[wire::StreamOrigin],
    age: time::Duration,
    source: OriginSource,
) {
    let now = state.now();
    let mut ledger = state.origin_ledger();
    for origin in origins {
        let age = age + time::Duration::from_millis(u64::from(origin.age_ms));
        let origin = StreamOrigin {
            stream: StreamKey(origin.stream),
            build: BuildKey(origin.build),
            at: now - age,
        };
        ledger.record(now, origin, source);
    }
}

/// Merges the streams of another instance's heartbeat.
pub(super) fn handle_heartbeat(state: &state::GatewayState, heartbeat: &wire::FleetHeartbeat) {
    let source = match *heartbeat.zone == *state.settings.zone {
        true => OriginSource::SameZone,
        false => OriginSource::Elsewhere,
    };
    merge(state, &heartbeat.origins, time::Duration::ZERO, source);
}

/// Returns the streams that a heartbeat tells, with heartbeats at this interval. Each stream is told in
/// several, as one may be lost.
pub(super) fn to_share(
    state: &state::GatewayState,
    interval: time::Duration,
) -> Vec<wire::StreamOrigin> {
    let now = state.now();
    let origins = state.origin_ledger().to_share(now, interval * HEARTBEATS_PER_ORIGIN);
    origins.into_iter().map(|origin| encode(now, origin)).collect()
}

fn encode(now: instant::MonotonicTime, origin: StreamOrigin) -> wire::StreamOrigin {
    wire::StreamOrigin {
        stream: origin.stream.0,
        build: origin.build.0,
        age_ms: u32::try_from(now.since(origin.at).as_millis()).unwrap_or(u32::MAX),
    }
}

/// Records the streams of the zone in the store while several versions serve, and reads at the start what
/// others have recorded; never returns.
pub(crate) async fn maintain(state: sync::Arc<state::GatewayState>) {
    loop {
        let now = state.now();
        check_step(&state, now);
        see_builds(&state, now);
        let needs_history = state.origin_ledger().needs_history(now);
        if needs_history {
            read_history(&state, now).await;
        }
        let is_written = write_origins(&state).await;
        let pause = if is_written { WRITE_INTERVAL } else { RETRY_INTERVAL };
        async_io::Timer::after(pause).await;
    }
}

/// Records the streams of the zone if this instance is the one that does so; returns false if that failed.
async fn write_origins(state: &state::GatewayState) -> bool {
    let now = state.now();
    let is_writer = state.view().is_relay(now, &state.settings.zone, state.own_member());
    let origins = state.origin_ledger().take_unwritten(now, is_writer);
    if origins.is_empty() {
        return true;
    }
    let encoded = origins.iter().map(|origin| encode(now, *origin)).collect();
    let batch = wire::OriginBatch { written_ms: unix_ms(), origins: encoded };
    let written = match batch.encode() {
        Ok(record) => state.store.append_log(ORIGIN_TOPIC, &record).await,
        Err(_) => Err(StoreError::Malformed("streams")),
    };
    if let Err(error) = &written {
        log::warn!(
            event = event::LOG_UNREACHABLE.number, topic = ORIGIN_TOPIC, streams = origins.len();
            "could not record which versions began streams, retrying: {error}"
        );
        state.origin_ledger().write_failed(origins);
    }
    written.is_ok()
}
