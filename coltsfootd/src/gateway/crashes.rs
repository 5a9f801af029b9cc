//! Detects crashes of upstreams by probing after a broken connection, records the requests that
//! were running, and notifies other instances.

use std::io;
use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::quarantine_archive::ArchiveSubject;
use coltsfoot_gateway::{attempt_plan, crash_ledger, part_ledger};
use coltsfoot_http::{message, socket};
use coltsfoot_once::crash_suspects::RunEnd;
use coltsfoot_types::{id, time as instant};
use coltsfoot_wire::{fleet as wire, once};
use rustc_hash::FxHashSet;

use crate::gateway::{archive, fleet, parts, paths, state, tunnels};
use crate::{clock, event};

/// Connect timeout of a probe.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Time for which the probe's connection must stay open: a process that exits closes its listening
/// port slightly after its connections.
const PROBE_OPEN_TIME: time::Duration = time::Duration::from_millis(50);
/// Silence of an upstream after which it may have gone dark: several times a step of an engine.
const DARK_SILENCE: time::Duration = time::Duration::from_millis(500);
/// Maximum number of probes while each connection is closed at once.
const MAX_PROBES: usize = 3;
/// Time for which the probe's connection stays in the pool.
const PROBE_KEEP_ALIVE: time::Duration = time::Duration::from_millis(1500);

/// Crashes that may be caused by requests, and the probes in progress.
#[derive(Default)]
pub(crate) struct CrashState {
    ledger: sync::Mutex<crash_ledger::CrashLedger>,
    /// Upstreams that are being probed.
    probing: sync::Mutex<FxHashSet<sync::Arc<str>>>,
}

impl CrashState {
    /// Locks the ledger of running requests and crash notices.
    pub fn ledger(&self) -> sync::MutexGuard<'_, crash_ledger::CrashLedger> {
        state::lock(&self.ledger)
    }
}

/// A request that runs at an upstream; its end is recorded on drop.
pub(super) struct RunningRequest<'a> {
    state: &'a sync::Arc<state::GatewayState>,
    upstream: sync::Arc<str>,
    digest: once::RequestDigest,
    attempt: id::AttemptId,
    part_run: Option<part_ledger::RunId>,
    address: net::SocketAddr,
    sent: instant::MonotonicTime,
    /// How the run ended; `None` if its attempt was dropped, for example at the request's deadline.
    end: Option<RunEnd>,
}

impl<'a> RunningRequest<'a> {
    /// Registers a request that is about to be sent.
    pub(super) fn begin(
        state: &'a sync::Arc<state::GatewayState>,
        upstream: &sync::Arc<str>,
        address: net::SocketAddr,
        digest: once::RequestDigest,
        shared_parts: &part_ledger::PartList,
    ) -> Self {
        let attempt = state.crashes.ledger().begin(upstream, digest);
        let part_run = parts::begin(state, upstream, shared_parts);
        let upstream = sync::Arc::clone(upstream);
        let sent = state.now();
        Self { state, upstream, digest, attempt, part_run, address, sent, end: None }
    }

    /// Records an event of the response.
    pub(super) fn event_received(&self) {
        if let Some(run) = self.part_run {
            parts::event_received(self.state, run);
        }
    }

    /// Records that the attempt brought no complete response; probes the upstream if its connection
    /// broke.
    pub(super) fn fail(mut self, end: attempt_plan::AttemptEnd) {
        self.end = Some(match end {
            attempt_plan::AttemptEnd::Broken => RunEnd::ConnectionLost,
            _ => RunEnd::Abandoned,
        });
    }

    /// Records that the response was received completely.
    pub(super) fn complete(mut self) {
        self.end = Some(RunEnd::Completed);
    }

    /// Returns how a run ended whose attempt was dropped. An upstream that went dark breaks no connection: if it
    /// has been silent, the run counts as lost until a probe shows that the upstream is alive.
    fn end_of_dropped(&self, now: instant::MonotonicTime) -> RunEnd {
        let last_seen = self.state.view().upstream(&self.upstream).map(|slot| slot.last_seen());
        let last_seen = last_seen.unwrap_or_default().max(self.sent);
        match now.since(last_seen) >= DARK_SILENCE {
            true => RunEnd::ConnectionLost,
            false => RunEnd::Abandoned,
        }
    }
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        let now = self.state.now();
        let end = self.end.unwrap_or_else(|| self.end_of_dropped(now));
        if end == RunEnd::ConnectionLost {
            probe_once(self.state, &self.upstream, self.address);
        }
        match (self.part_run, end) {
            (None, _) => {}
            (Some(run), RunEnd::Completed) => parts::complete(self.state, run),
            (Some(run), RunEnd::ConnectionLost) => self.state.part_ledger().lose(now, run),
            (Some(run), RunEnd::Abandoned) => self.state.part_ledger().abandon(run),
        }
        let cleared =
            self.state.crashes.ledger().end(now, &self.upstream, self.attempt, &self.digest, end);
        if let Some(audience) = cleared {
            clear_record(self.state, audience, self.digest, true);
            send_to_audience(
                self.state,
                audience,
                &self.digest,
                wire::FleetMessage::CrashCleared(self.digest),
            );
        }
    }
}

/// Starts a probe of an upstream unless one is in progress.
fn probe_once(
    state: &sync::Arc<state::GatewayState>,
    upstream: &sync::Arc<str>,
    address: net::SocketAddr,
) {
    if !state::lock(&state.crashes.probing).insert(sync::Arc::clone(upstream)) {
        return;
    }
    let (own, upstream) = (sync::Arc::clone(state), sync::Arc::clone(upstream));
    let task = async move {
        let state = own;
        let result = probe(&state, &upstream, address).await;
        state::lock(&state.crashes.probing).remove(&upstream);
        match result {
            ProbeResult::PortClosed => {
                state.view().connect_failed(state.now(), &upstream);
                record_crash(&state, &upstream);
            }
            ProbeResult::Alive => {
                state.part_ledger().confirm_alive(&upstream);
            }
            ProbeResult::Unknown => {}
        }
    };
    state.spawn("crash_probe", task);
}

/// Result of a probe.
enum ProbeResult {
    /// The connection was refused: nothing listens at the address.
    PortClosed,
    /// The upstream accepts connections and keeps them open.
    Alive,
    /// The upstream could not be reached, or closed every connection.
    Unknown,
}

async fn probe(
    state: &state::GatewayState,
    upstream: &str,
    address: net::SocketAddr,
) -> ProbeResult {
    for _ in 0..MAX_PROBES {
        let connected = match socket::connect(address, PROBE_TIMEOUT).await {
            Ok(connected) => connected,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                paths::record_failure(state, upstream, address, &error);
                return match tunnels::is_reached(state, upstream).await {
                    true => ProbeResult::Alive,
                    false => ProbeResult::PortClosed,
                };
            }
            // The port was closed after the kernel had accepted the connection.
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => continue,
            Err(_) => return ProbeResult::Unknown,
        };
        let mut stream = message::MessageStream::new(connected);
        if message::with_timeout(PROBE_OPEN_TIME, stream.wait_closed()).await.is_none() {
            state.pool.put(address, stream, PROBE_KEEP_ALIVE);
            return ProbeResult::Alive;
        }
    }
    ProbeResult::Unknown
}

/// Records a crash that a probe has shown.
fn record_crash(state: &state::GatewayState, upstream: &str) {
    let notices = state.crashes.ledger().record_crash(state.now(), upstream, clock::wall_time().0);
    report_crash(state, upstream, notices);
    parts::record_crash(state, upstream, false);
}

/// Records that the entry of a ready upstream was removed or replaced by that of a new incarnation.
pub(crate) fn record_removal(state: &state::GatewayState, upstream: &str) {
    let notices =
        state.crashes.ledger().record_departure(state.now(), upstream, clock::wall_time().0);
    report_crash(state, upstream, notices);
    parts::record_crash(state, upstream, true);
}

/// Logs the requests that were running at a crash, and notifies other instances.
fn report_crash(state: &state::GatewayState, upstream: &str, notices: crash_ledger::CrashNotices) {
    state.metrics.count_crash_suspects(notices.len());
    for notice in notices {
        log::warn!(
            event = event::UPSTREAM_CRASHED.number, upstream = upstream,
            digest = notice.digest.short(), crashes = notice.crashes.len();
            "upstream_crashed"
        );
        if state.crashes.ledger().quarantine_left(state.now(), &notice.digest).is_some() {
            log_quarantine(&notice);
        }
        record_suspicion(state, &notice, true);
        send_notice(state, notice);
    }
}

/// Schedules the record of a request whose notices go to all instances.
fn record_suspicion(state: &state::GatewayState, notice: &once::CrashNotice, is_own: bool) {
    if crash_ledger::audience(notice.crashes.len()) == crash_ledger::NoticeAudience::All {
        archive::update(state, ArchiveSubject::Request(notice.digest), is_own);
    }
}

/// Schedules the deletion of the record of a cleared request.
fn clear_record(
    state: &state::GatewayState,
    audience: crash_ledger::NoticeAudience,
    digest: once::RequestDigest,
    is_own: bool,
) {
    if audience == crash_ledger::NoticeAudience::All {
        archive::clear(state, ArchiveSubject::Request(digest), is_own);
    }
}

fn log_quarantine(notice: &once::CrashNotice) {
    log::warn!(
        event = event::REQUEST_QUARANTINED.number, digest = notice.digest.short(),
        crashes = notice.crashes.len(), time_left_s = notice.time_left.as_secs();
        "request_quarantined"
    );
}

fn send_notice(state: &state::GatewayState, notice: once::CrashNotice) {
    let audience = crash_ledger::audience(notice.crashes.len());
    let digest = notice.digest;
    send_to_audience(state, audience, &digest, wire::FleetMessage::CrashNotice(notice));
}

fn send_to_audience(
    state: &state::GatewayState,
    audience: crash_ledger::NoticeAudience,
    digest: &once::RequestDigest,
    message: wire::FleetMessage,
) {
    let addresses = {
        let view = state.view();
        match audience {
            crash_ledger::NoticeAudience::Collectors => {
                view.crash_collectors(state.incarnation, digest).into_vec()
            }
            crash_ledger::NoticeAudience::All => view.peer_addresses(),
        }
    };
    fleet::send(state, addresses, &message);
}

/// Merges a crash notice of another instance; forwards the result if it holds more than the notice.
pub(crate) fn handle_notice(state: &state::GatewayState, notice: &once::CrashNotice) {
    let outcome = state.crashes.ledger().merge_notice(state.now(), notice);
    let Some(outcome) = outcome else { return };
    let merged = outcome.merged.as_ref().unwrap_or(notice);
    if outcome.is_quarantined {
        log_quarantine(merged);
    }
    record_suspicion(state, merged, outcome.merged.is_some());
    if let Some(merged) = outcome.merged {
        send_notice(state, merged);
    }
}

/// Merges what the store has recorded of a request.
pub(super) fn adopt(state: &state::GatewayState, notice: &once::CrashNotice) {
    let outcome = state.crashes.ledger().merge_notice(state.now(), notice);
    if outcome.is_some_and(|outcome| outcome.is_quarantined) {
        log_quarantine(notice);
    }
}

/// Clears a request that another instance has seen complete.
pub(crate) fn handle_clearance(state: &state::GatewayState, digest: &once::RequestDigest) {
    let cleared = state.crashes.ledger().clear_request(state.now(), digest);
    if let Some(audience) = cleared {
        clear_record(state, audience, *digest, false);
    }
}

/// Resends an instance the notices that all instances should hold.
pub(crate) fn send_known(state: &state::GatewayState, address: net::SocketAddr) {
    for notice in state.crashes.ledger().notices_to_resend(state.now()) {
        fleet::send(state, [address], &wire::FleetMessage::CrashNotice(notice));
    }
}
