//! Finds out whether a broken connection was a crash of its upstream, notes which requests met it, and
//! tells other instances.

use std::io;
use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::{attempt_plan, crash_ledger};
use coltsfoot_http::{message, socket};
use coltsfoot_once::crash_suspects::RunEnd;
use coltsfoot_types::id;
use coltsfoot_wire::{fleet as wire, once};
use rustc_hash::FxHashSet;

use crate::gateway::{exchange, fleet, forwarding, state};
use crate::{clock, event};

/// Time to connect to an upstream after a connection to it broke.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Time for which that connection must stay open: a process that ends closes its port a little after
/// its connections.
const PROBE_HOLD: time::Duration = time::Duration::from_millis(50);
/// Looks at an upstream whose connections end again at once.
const MAX_PROBES: usize = 3;
/// Time for which that connection is kept for requests.
const PROBE_KEEP: time::Duration = time::Duration::from_millis(1500);

/// Crashes and what is being found out about them.
#[derive(Default)]
pub(crate) struct CrashState {
    ledger: sync::Mutex<crash_ledger::CrashLedger>,
    /// Upstreams that are being looked at.
    probed: sync::Mutex<FxHashSet<sync::Arc<str>>>,
}

impl CrashState {
    /// Locks the ledger.
    pub fn ledger(&self) -> sync::MutexGuard<'_, crash_ledger::CrashLedger> {
        state::lock(&self.ledger)
    }
}

/// A request at an upstream, until it leaves it.
pub(super) struct RunningRequest<'a> {
    state: &'a sync::Arc<state::GatewayState>,
    upstream: sync::Arc<str>,
    digest: once::RequestDigest,
    attempt: id::AttemptId,
    end: RunEnd,
}

impl<'a> RunningRequest<'a> {
    /// Enters a request that is about to be sent.
    pub(super) fn begin(
        state: &'a sync::Arc<state::GatewayState>,
        upstream: &sync::Arc<str>,
        digest: once::RequestDigest,
    ) -> Self {
        let attempt = state.crashes.ledger().begin(upstream, digest);
        let upstream = sync::Arc::clone(upstream);
        Self { state, upstream, digest, attempt, end: RunEnd::GivenUp }
    }

    /// Notes how the attempt ended.
    pub(super) fn ended(mut self, outcome: &forwarding::AttemptOutcome, address: net::SocketAddr) {
        self.end = match outcome {
            forwarding::AttemptOutcome::Done(exchange::Outcome::Cut(_)) => RunEnd::GivenUp,
            forwarding::AttemptOutcome::Done(_) => RunEnd::Completed,
            forwarding::AttemptOutcome::Ended(attempt_plan::AttemptEnd::Broken, _) => {
                probe_once(self.state, &self.upstream, address);
                RunEnd::ConnectionLost
            }
            forwarding::AttemptOutcome::Ended(..) => RunEnd::GivenUp,
        };
    }
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        let now = self.state.now();
        let cleared = self.state.crashes.ledger().end(
            now,
            &self.upstream,
            self.attempt,
            &self.digest,
            self.end,
        );
        if let Some(audience) = cleared {
            tell(self.state, audience, &self.digest, wire::FleetMessage::CrashCleared(self.digest));
        }
    }
}

/// Looks at an upstream whose connection broke, unless that is being done.
fn probe_once(
    state: &sync::Arc<state::GatewayState>,
    upstream: &sync::Arc<str>,
    address: net::SocketAddr,
) {
    if !state::lock(&state.crashes.probed).insert(sync::Arc::clone(upstream)) {
        return;
    }
    let executor = sync::Arc::clone(&state.executor);
    let (state, upstream) = (sync::Arc::clone(state), sync::Arc::clone(upstream));
    let task = async move {
        let finding = probe(&state, address).await;
        state::lock(&state.crashes.probed).remove(&upstream);
        match finding {
            ProbeFinding::PortClosed => {
                state.view().connect_failed(state.now(), &upstream);
                note_crash(&state, &upstream);
            }
            ProbeFinding::Alive => state.crashes.ledger().confirm_alive(&upstream),
            ProbeFinding::Unknown => {}
        }
    };
    executor.spawn(task).detach();
}

/// What a look at an upstream showed.
enum ProbeFinding {
    /// Nothing listens at its address.
    PortClosed,
    /// It accepts connections.
    Alive,
    /// It can't be reached.
    Unknown,
}

async fn probe(state: &state::GatewayState, address: net::SocketAddr) -> ProbeFinding {
    for _ in 0..MAX_PROBES {
        let connected = match socket::connect(address, PROBE_TIMEOUT).await {
            Ok(connected) => connected,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return ProbeFinding::PortClosed;
            }
            // Accepted by a port that was closed at the same moment.
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => continue,
            Err(_) => return ProbeFinding::Unknown,
        };
        let mut stream = message::MessageStream::new(connected);
        if message::within(PROBE_HOLD, stream.wait_closed()).await.is_none() {
            state.pool.put(address, stream, PROBE_KEEP);
            return ProbeFinding::Alive;
        }
    }
    ProbeFinding::Unknown
}

/// Notes that an upstream has crashed.
fn note_crash(state: &state::GatewayState, upstream: &str) {
    let notices = state.crashes.ledger().crash(state.now(), upstream, clock::wall_time().0);
    report_crash(state, upstream, notices);
}

/// Notes that the entry of a ready upstream is gone, or is that of a new incarnation.
pub(crate) fn note_gone(state: &state::GatewayState, upstream: &str) {
    let notices = state.crashes.ledger().gone(state.now(), upstream, clock::wall_time().0);
    report_crash(state, upstream, notices);
}

/// Logs the requests that met a crash, and tells other instances of them.
fn report_crash(state: &state::GatewayState, upstream: &str, notices: crash_ledger::CrashNotices) {
    state.metrics.count_crash_suspects(notices.len());
    for notice in notices {
        log::warn!(
            event = event::UPSTREAM_CRASHED.number, upstream = upstream,
            digest = notice.digest.short(), crashes = notice.crashes.len();
            "upstream_crashed"
        );
        if state.crashes.ledger().refusal(state.now(), &notice.digest).is_some() {
            log_quarantine(&notice);
        }
        tell_crashes(state, notice);
    }
}

fn log_quarantine(notice: &once::CrashNotice) {
    log::warn!(
        event = event::REQUEST_QUARANTINED.number, digest = notice.digest.short(),
        crashes = notice.crashes.len(), time_left_s = notice.time_left.as_secs();
        "request_quarantined"
    );
}

fn tell_crashes(state: &state::GatewayState, notice: once::CrashNotice) {
    let audience = crash_ledger::audience(notice.crashes.len());
    let digest = notice.digest;
    tell(state, audience, &digest, wire::FleetMessage::CrashNotice(notice));
}

fn tell(
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

/// Takes what another instance tells of a request's crashes.
pub(crate) fn take_notice(state: &state::GatewayState, notice: &once::CrashNotice) {
    let news = state.crashes.ledger().merge_notice(state.now(), notice);
    let Some(news) = news else { return };
    let known = news.merged.as_ref().unwrap_or(notice);
    if news.is_quarantined {
        log_quarantine(known);
    }
    if let Some(union) = news.merged {
        tell_crashes(state, union);
    }
}

/// Takes from another instance that a request has run to its end.
pub(crate) fn take_clearance(state: &state::GatewayState, digest: &once::RequestDigest) {
    state.crashes.ledger().clear_request(state.now(), digest);
}

/// Tells an instance of the requests that all are to know.
pub(crate) fn tell_known(state: &state::GatewayState, address: net::SocketAddr) {
    for notice in state.crashes.ledger().notices_to_resend(state.now()) {
        fleet::send(state, [address], &wire::FleetMessage::CrashNotice(notice));
    }
}
