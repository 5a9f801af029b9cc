//! Numbered log events. `docs/EVENTS.md` lists them; a test checks that list and code match.

use std::fmt;

/// A kind of log event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventKind {
    /// Number that identifies the kind across releases.
    pub number: u16,
    /// Name that identifies the kind across releases.
    pub name: &'static str,
    /// Level at which the event is logged.
    pub level: log::Level,
}

macro_rules! event_kinds {
    ($($(#[$doc:meta])* $constant:ident = $number:literal, $name:literal, $level:ident;)*) => {
        $(
            $(#[$doc])*
            pub const $constant: EventKind =
                EventKind { number: $number, name: $name, level: log::Level::$level };
        )*

        /// All kinds, in the order of their definition.
        pub const ALL: &[EventKind] = &[$($constant),*];
    };
}

event_kinds! {
    /// The daemon has started to listen.
    STARTED = 100, "started", Info;
    /// A graceful shutdown has begun.
    DRAINING = 101, "draining", Info;
    /// The daemon has stopped.
    STOPPED = 102, "stopped", Info;
    /// The graceful shutdown exceeded its timeout.
    DRAIN_TIMED_OUT = 103, "drain_timed_out", Warn;
    /// The settings were read again.
    RELOADED = 104, "reloaded", Info;
    /// The settings could not be read again.
    RELOAD_FAILED = 105, "reload_failed", Warn;
    /// A change set was accepted.
    CHANGE_ACCEPTED = 200, "change_accepted", Info;
    /// A change set was rejected.
    CHANGE_REJECTED = 201, "change_rejected", Warn;
    /// The configuration log can't be read.
    LOG_UNREACHABLE = 202, "log_unreachable", Warn;
    /// The configuration log can be read again.
    LOG_REACHABLE = 203, "log_reachable", Info;
    /// The log dropped records before this instance read them.
    HISTORY_TRIMMED = 205, "history_trimmed", Info;
    /// The store came back from an older copy.
    STORE_RESTORED = 222, "store_restored", Warn;
    /// The instance has restored the configuration.
    RESTORED = 204, "restored", Info;
    /// The instance list can't be read.
    LIST_UNREACHABLE = 210, "list_unreachable", Warn;
    /// The instance list can be read again.
    LIST_REACHABLE = 211, "list_reachable", Info;
    /// A customer's quota is in force.
    QUOTA_SET = 207, "quota_set", Info;
    /// The number of instances whose shares of the quotas are held for them has changed.
    QUOTA_DIVIDED = 208, "quota_divided", Info;
    /// The operator published a new version of an adapter.
    VERSION_NAMED = 206, "version_named", Info;
    /// An upstream's entry is new or changed its state.
    UPSTREAM_CHANGED = 212, "upstream_changed", Info;
    /// An upstream's entry was removed.
    UPSTREAM_GONE = 213, "upstream_gone", Info;
    /// An upstream's entry could not be decoded.
    ENTRY_REJECTED = 214, "entry_rejected", Warn;
    /// Records were requested from a peer that has newer ones than this instance.
    NEWS_ASKED = 215, "news_asked", Info;
    /// An upstream stated in a response that it is draining.
    UPSTREAM_LEAVES = 216, "upstream_leaves", Info;
    /// An upstream asked for backoff in a response.
    UPSTREAM_QUIET = 217, "upstream_quiet", Info;
    /// The rate limit that an upstream announces in its responses changed or ended.
    UPSTREAM_LIMITED = 218, "upstream_limited", Info;
    /// A permit to send to a rate-limited upstream was requested, with its result.
    LIMITED_SEND = 219, "limited_send", Info;
    /// The rate limit in an upstream's response could not be parsed.
    LIMIT_UNREADABLE = 220, "limit_unreadable", Warn;
    /// An upstream's entry expired in an outage of the store; the upstream is used for a while.
    UPSTREAM_MISSING = 221, "upstream_missing", Info;
    /// A service stated that its upstreams fall over if they have to reject too many requests.
    SERVICE_BRITTLE = 223, "service_brittle", Info;
    /// The operator wants nothing more sent to a zone.
    ZONE_EVACUATED = 224, "zone_evacuated", Warn;
    /// The operator has taken back a zone.
    ZONE_RETURNED = 225, "zone_returned", Info;
    /// An upstream is cold and gets few requests.
    UPSTREAM_COLD = 227, "upstream_cold", Info;
    /// An upstream has warmed and gets requests without a limit.
    UPSTREAM_WARM = 228, "upstream_warm", Info;
    /// An instance joined or left the zone's view.
    VIEW_CHANGED = 300, "view_changed", Info;
    /// A peer can't be reached.
    PEER_UNREACHABLE = 301, "peer_unreachable", Warn;
    /// A peer's message could not be authenticated or decoded.
    PEER_MESSAGE_REFUSED = 302, "peer_message_refused", Warn;
    /// A heartbeat of a new instance was received.
    PEER_FOUND = 303, "peer_found", Info;
    /// A zone has a new relay.
    ZONE_RELAYED = 304, "zone_relayed", Info;
    /// The engine partitions that this instance holds changed.
    LEASE_CHANGED = 310, "lease_changed", Info;
    /// The lease could not be renewed.
    LEASE_AT_RISK = 311, "lease_at_risk", Warn;
    /// The process was stalled, for example by suspension of the machine.
    STOOD_STILL = 312, "stood_still", Warn;
    /// The instance seeks the engines of a zone without an instance, or gives them back.
    ZONE_ADOPTED = 314, "zone_adopted", Info;
    /// A task held its thread for long.
    THREAD_HELD = 313, "thread_held", Warn;
    /// An adapter could not be loaded.
    LOAD_FAILED = 400, "load_failed", Warn;
    /// An engine rejected an order with an outdated fencing number.
    ORDER_FENCED = 401, "order_fenced", Warn;
    /// An engine restarted.
    ENGINE_RESTARTED = 402, "engine_restarted", Warn;
    /// An order was sent to an engine, with the engine's answer.
    ORDER_GIVEN = 403, "order_given", Info;
    /// An engine's report could not be fetched.
    REPORT_FAILED = 404, "report_failed", Warn;
    /// The limit on concurrent fetches from the weight store was adjusted.
    FETCH_PACE_LEARNED = 405, "fetch_pace_learned", Info;
    /// A tenure of an engine has ended, and with it what was ordered and requested in it.
    CONTROLLER_RETIRED = 406, "controller_retired", Info;
    /// A request found an adapter missing whose load was expected to have ended.
    LOAD_LATE = 407, "load_late", Info;
    /// Requests fail at an upstream at several instances.
    UPSTREAM_FAILING = 410, "upstream_failing", Info;
    /// A response states a load that can't be read.
    LOAD_UNREADABLE = 411, "load_unreadable", Debug;
    /// An upstream's response was for another adapter, version or request.
    WRONG_ANSWER = 500, "wrong_answer", Error;
    /// An attempt at an upstream failed.
    ATTEMPT_FAILED = 501, "attempt_failed", Warn;
    /// A request was quarantined.
    REQUEST_QUARANTINED = 502, "request_quarantined", Warn;
    /// A request has ended, with its outcome.
    REQUEST_ENDED = 503, "request_ended", Info;
    /// An attempt at an upstream ended without a response for the caller.
    ATTEMPT_ENDED = 504, "attempt_ended", Info;
    /// An upstream crashed while it was running requests.
    UPSTREAM_CRASHED = 505, "upstream_crashed", Warn;
    /// A request was rejected before it was read or admitted.
    REQUEST_REJECTED = 506, "request_rejected", Info;
    /// The instance closed a caller's connection on which no request was in progress.
    CONNECTION_CLOSED = 507, "connection_closed", Info;
    /// Another upstream was sought for a request whose upstream is silent, with the result.
    FAILOVER_DECIDED = 508, "failover_decided", Info;
    /// A prompt part crashed several engines and is quarantined.
    PART_QUARANTINED = 509, "part_quarantined", Warn;
    /// A quarantined part was served by another instance and is not quarantined any more.
    PART_CLEARED = 510, "part_cleared", Info;
    /// A request was refused for a quarantined part of its prompt.
    PART_REFUSED = 511, "part_refused", Info;
    /// A caller takes a stream up; which software version began it, and whether it goes on.
    STREAM_TAKEN_UP = 512, "stream_taken_up", Info;
    /// A quarantine was recorded in the store, or its record deleted.
    QUARANTINE_RECORDED = 513, "quarantine_recorded", Info;
    /// The instance is in step with the others again, or no longer.
    STEP_CHANGED = 514, "step_changed", Info;
    /// An upstream accepts no connection of this instance.
    PATH_LOST = 515, "path_lost", Info;
    /// An upstream that was lost accepts connections of this instance again.
    PATH_REGAINED = 516, "path_regained", Info;
    /// Another instance was asked for a tunnel to an upstream, with its answer.
    TUNNEL_ASKED = 517, "tunnel_asked", Info;
    /// This instance was asked for a tunnel to an upstream, with its answer.
    TUNNEL_SERVED = 518, "tunnel_served", Info;
}

/// Logs an event as `NAME: DETAILS`, with its number as a field.
pub fn emit(kind: EventKind, details: fmt::Arguments<'_>) {
    log::log!(kind.level, event = kind.number; "{}: {details}", kind.name);
}
