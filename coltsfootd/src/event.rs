//! Numbered log events. `docs/EVENTS.md` is the catalogue; a test compares the two.

use std::fmt;

/// A kind of log event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventKind {
    /// Stable number.
    pub number: u16,
    /// Stable name.
    pub name: &'static str,
    /// Severity.
    pub level: log::Level,
}

macro_rules! event_kinds {
    ($($(#[$doc:meta])* $constant:ident = $number:literal, $name:literal, $level:ident;)*) => {
        $(
            $(#[$doc])*
            pub const $constant: EventKind =
                EventKind { number: $number, name: $name, level: log::Level::$level };
        )*

        /// All kinds, by number.
        pub const ALL: &[EventKind] = &[$($constant),*];
    };
}

event_kinds! {
    /// The daemon listens.
    STARTED = 100, "started", Info;
    /// The daemon begins a planned stop.
    DRAINING = 101, "draining", Info;
    /// The daemon ends.
    STOPPED = 102, "stopped", Info;
    /// The planned stop took longer than allowed.
    DRAIN_TIMED_OUT = 103, "drain_timed_out", Warn;
    /// The settings were read again.
    RELOADED = 104, "reloaded", Info;
    /// The settings could not be read again.
    RELOAD_FAILED = 105, "reload_failed", Warn;
    /// A change set was accepted.
    CHANGE_ACCEPTED = 200, "change_accepted", Info;
    /// A change set was rejected.
    CHANGE_REJECTED = 201, "change_rejected", Warn;
    /// The log can't be read.
    LOG_UNREACHABLE = 202, "log_unreachable", Warn;
    /// The log can be read again.
    LOG_REACHABLE = 203, "log_reachable", Info;
    /// Records were dropped before this instance read them.
    HISTORY_TRIMMED = 205, "history_trimmed", Info;
    /// The instance has restored the configuration.
    RESTORED = 204, "restored", Info;
    /// The instance list can't be read.
    LIST_UNREACHABLE = 210, "list_unreachable", Warn;
    /// The instance list can be read again.
    LIST_REACHABLE = 211, "list_reachable", Info;
    /// A customer's quota is in force.
    QUOTA_SET = 207, "quota_set", Info;
    /// A new version of an adapter was named.
    VERSION_NAMED = 206, "version_named", Info;
    /// An upstream's entry is new or changed its state.
    UPSTREAM_CHANGED = 212, "upstream_changed", Info;
    /// An upstream's entry is gone.
    UPSTREAM_GONE = 213, "upstream_gone", Info;
    /// An entry can't be understood.
    ENTRY_REJECTED = 214, "entry_rejected", Warn;
    /// Others know more of the store, and one of them is asked.
    NEWS_ASKED = 215, "news_asked", Info;
    /// An upstream said in an answer that it leaves.
    UPSTREAM_LEAVES = 216, "upstream_leaves", Info;
    /// An upstream said in an answer that it wants nothing for a while.
    UPSTREAM_QUIET = 217, "upstream_quiet", Info;
    /// An upstream named in an answer how many requests a second it takes, or no longer does so.
    UPSTREAM_LIMITED = 218, "upstream_limited", Info;
    /// Something was to be sent to an upstream that named a limit.
    LIMITED_SEND = 219, "limited_send", Info;
    /// The limit that an upstream named can't be understood.
    LIMIT_UNREADABLE = 220, "limit_unreadable", Warn;
    /// An instance joined or left the zone's view.
    VIEW_CHANGED = 300, "view_changed", Info;
    /// A peer can't be reached.
    PEER_UNREACHABLE = 301, "peer_unreachable", Warn;
    /// A peer's message was refused.
    PEER_MESSAGE_REFUSED = 302, "peer_message_refused", Warn;
    /// Another instance was found.
    PEER_FOUND = 303, "peer_found", Info;
    /// Another instance tells of a zone now.
    ZONE_RELAYED = 304, "zone_relayed", Info;
    /// The engines that this instance gives orders to changed.
    LEASE_CHANGED = 310, "lease_changed", Info;
    /// The lease could not be renewed.
    LEASE_AT_RISK = 311, "lease_at_risk", Warn;
    /// The instance noticed that it stood still.
    STOOD_STILL = 312, "stood_still", Warn;
    /// An adapter could not be loaded.
    LOAD_FAILED = 400, "load_failed", Warn;
    /// An engine refused an order with an old fencing number.
    ORDER_FENCED = 401, "order_fenced", Warn;
    /// An engine restarted.
    ENGINE_RESTARTED = 402, "engine_restarted", Warn;
    /// An order was given to an engine.
    ORDER_GIVEN = 403, "order_given", Info;
    /// An engine's report could not be fetched.
    REPORT_FAILED = 404, "report_failed", Warn;
    /// The number of fetches that the weight store bears was learned anew.
    FETCH_PACE_LEARNED = 405, "fetch_pace_learned", Info;
    /// An upstream answered for another adapter, version or request.
    WRONG_ANSWER = 500, "wrong_answer", Error;
    /// An attempt at an upstream failed.
    ATTEMPT_FAILED = 501, "attempt_failed", Warn;
    /// A request was quarantined.
    REQUEST_QUARANTINED = 502, "request_quarantined", Warn;
    /// A request ended, with its outcome.
    REQUEST_ENDED = 503, "request_ended", Info;
    /// An attempt at an upstream ended without an answer for the caller.
    ATTEMPT_ENDED = 504, "attempt_ended", Info;
    /// An upstream crashed while requests ran there.
    UPSTREAM_CRASHED = 505, "upstream_crashed", Warn;
}

/// Writes an event to the log.
pub fn emit(kind: EventKind, details: fmt::Arguments<'_>) {
    log::log!(kind.level, event = kind.number; "{}: {details}", kind.name);
}
