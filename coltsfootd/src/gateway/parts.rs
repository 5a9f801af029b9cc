//! Quarantine of prompt parts that crash engines: what runs here, and what instances tell each other.

use std::net;
use std::time;

use coltsfoot_gateway::part_ledger::{
    CrashReport, EngineCrash, PartKey, PartList, QuarantinedPart, RunId, ServedOutcome,
};
use coltsfoot_gateway::quarantine_archive::ArchiveSubject;
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;

use crate::event;
use crate::gateway::{archive, fleet, state};

/// Maximum number of quarantined parts in one datagram.
const MAX_PARTS_PER_MESSAGE: usize = 32;

/// Records that a prompt is sent to an engine; `None` if it shares no parts with others.
pub(super) fn begin(state: &state::GatewayState, engine: &str, parts: &PartList) -> Option<RunId> {
    (!parts.is_empty()).then(|| state.part_ledger().begin(engine, parts.clone()))
}

/// Records an event of a response.
pub(super) fn event_received(state: &state::GatewayState, run: RunId) {
    let now = state.now();
    let outcome = state.part_ledger().event_received(now, run);
    publish_served(state, now, outcome);
}

/// Records that a response was received completely.
pub(super) fn complete(state: &state::GatewayState, run: RunId) {
    let now = state.now();
    let outcome = state.part_ledger().complete(now, run);
    publish_served(state, now, outcome);
}

fn publish_served(
    state: &state::GatewayState,
    now: instant::MonotonicTime,
    outcome: Option<ServedOutcome>,
) {
    let Some(ServedOutcome { cleared, lifted, quarantined }) = outcome else { return };
    publish_cleared(state, &cleared);
    end_lifted(state, &lifted, true);
    publish_quarantined(state, now, &quarantined, true);
}

/// Records the crash of an engine, with the prompts at this instance as suspects; with `only_lost` those
/// whose connections were lost.
pub(super) fn record_crash(state: &state::GatewayState, engine: &str, only_lost: bool) {
    let now = state.now();
    let report = state.part_ledger().end_runs(now, engine, only_lost);
    let Some(report) = report else { return };
    let message = wire::PartCrash {
        engine: report.crash.engine,
        age_ms: age_ms(now, report.crash.at),
        parts: report.parts.iter().map(|part| part.0).collect(),
    };
    fleet::send(state, state.view().peer_addresses(), &wire::FleetMessage::PartCrash(message));
    merge_report(state, now, &report, true);
}

/// Merges another instance's report of a crash.
pub(super) fn handle_crash(state: &state::GatewayState, message: &wire::PartCrash) {
    let now = state.now();
    let at = now - time::Duration::from_millis(u64::from(message.age_ms));
    let report = CrashReport {
        crash: EngineCrash { engine: message.engine, at },
        parts: message.parts.iter().copied().map(PartKey).collect(),
    };
    merge_report(state, now, &report, false);
}

fn merge_report(
    state: &state::GatewayState,
    now: instant::MonotonicTime,
    report: &CrashReport,
    is_own: bool,
) {
    let listed = state.part_ledger().merge_report(now, report);
    publish_quarantined(state, now, &listed, is_own);
}

fn publish_quarantined(
    state: &state::GatewayState,
    now: instant::MonotonicTime,
    listed: &[QuarantinedPart],
    is_own: bool,
) {
    if listed.is_empty() {
        return;
    }
    for listed in listed {
        log_quarantined(now, listed, "crashes");
        archive::update(state, ArchiveSubject::Part(listed.part), is_own);
    }
    send_quarantined(state, now, listed, &state.view().peer_addresses());
}

fn send_quarantined(
    state: &state::GatewayState,
    now: instant::MonotonicTime,
    listed: &[QuarantinedPart],
    addresses: &[net::SocketAddr],
) {
    for listed in listed.chunks(MAX_PARTS_PER_MESSAGE) {
        let listed = listed.iter().map(|listed| wire::QuarantinedPart {
            part: listed.part.0,
            crash_age_ms: age_ms(now, listed.last_crash),
            left_ms: u32::try_from(listed.until.since(now).as_millis()).unwrap_or(u32::MAX),
        });
        let message = wire::FleetMessage::QuarantinedParts(listed.collect());
        fleet::send(state, addresses.iter().copied(), &message);
    }
}

fn publish_cleared(state: &state::GatewayState, parts: &PartList) {
    if parts.is_empty() {
        return;
    }
    let message =
        wire::PartsCleared { parts: parts.iter().map(|part| part.0).collect(), age_ms: 0 };
    fleet::send(state, state.view().peer_addresses(), &wire::FleetMessage::PartsCleared(message));
}

/// Clears parts of which another instance served a prompt.
pub(super) fn handle_cleared(state: &state::GatewayState, message: &wire::PartsCleared) {
    let served_at = state.now() - time::Duration::from_millis(u64::from(message.age_ms));
    let parts: PartList = message.parts.iter().copied().map(PartKey).collect();
    let lifted = state.part_ledger().clear(&parts, served_at);
    end_lifted(state, &lifted, false);
}

fn end_lifted(state: &state::GatewayState, lifted: &PartList, is_own: bool) {
    for part in lifted {
        archive::clear(state, ArchiveSubject::Part(*part), is_own);
        log::info!(
            event = event::PART_CLEARED.number, part = part.to_string(); "part_cleared"
        );
    }
}

/// Adopts another instance's quarantines.
pub(super) fn handle_quarantined(state: &state::GatewayState, listed: &[wire::QuarantinedPart]) {
    let now = state.now();
    for listed in listed {
        let listed = QuarantinedPart {
            part: PartKey(listed.part),
            last_crash: now - time::Duration::from_millis(u64::from(listed.crash_age_ms)),
            until: now + time::Duration::from_millis(u64::from(listed.left_ms)),
        };
        let is_new = state.part_ledger().adopt(now, listed);
        if is_new {
            log_quarantined(now, &listed, "told");
            archive::update(state, ArchiveSubject::Part(listed.part), false);
        }
    }
}

/// Adopts a quarantine that the store has recorded.
pub(super) fn adopt(state: &state::GatewayState, listed: QuarantinedPart) {
    let now = state.now();
    let is_new = state.part_ledger().adopt(now, listed);
    if is_new {
        log_quarantined(now, &listed, "store");
    }
}

/// Sends an instance the quarantines that are in force.
pub(super) fn send_known(state: &state::GatewayState, address: net::SocketAddr) {
    let now = state.now();
    let listed: Vec<QuarantinedPart> = state.part_ledger().quarantined(now).collect();
    send_quarantined(state, now, &listed, &[address]);
}

fn log_quarantined(now: instant::MonotonicTime, listed: &QuarantinedPart, source: &str) {
    log::warn!(
        event = event::PART_QUARANTINED.number, part = listed.part.to_string(), source = source,
        crash_age_ms = age_ms(now, listed.last_crash),
        time_left_s = listed.until.since(now).as_secs(); "part_quarantined"
    );
}

fn age_ms(now: instant::MonotonicTime, then: instant::MonotonicTime) -> u32 {
    u32::try_from(now.since(then).as_millis()).unwrap_or(u32::MAX)
}
