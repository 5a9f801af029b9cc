//! Reasons of retries and of dropped answers, for counters.

/// Why an attempt was followed by another.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// The connection could not be opened.
    ConnectFailed,
    /// The connection broke while the request was sent.
    SendFailed,
    /// No answer came.
    NoAnswer,
    /// The time limit of an attempt passed.
    TimedOut,
    /// The upstream refused the request without running it.
    RefusedUnrun,
    /// The upstream answered with a server error.
    ServerError,
    /// The answer broke off.
    BrokenAnswer,
    /// The answer named another adapter, version or attempt.
    WrongAnswer,
}

impl RetryReason {
    /// All reasons.
    pub const ALL: [Self; 8] = [
        Self::ConnectFailed,
        Self::SendFailed,
        Self::NoAnswer,
        Self::TimedOut,
        Self::RefusedUnrun,
        Self::ServerError,
        Self::BrokenAnswer,
        Self::WrongAnswer,
    ];

    /// Returns whether a connection broke after the request was sent, as by a crash.
    pub fn is_lost_connection(self) -> bool {
        matches!(self, Self::SendFailed | Self::NoAnswer | Self::BrokenAnswer)
    }

    /// Returns the label of counters.
    pub fn code(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::SendFailed => "send_failed",
            Self::NoAnswer => "no_answer",
            Self::TimedOut => "timed_out",
            Self::RefusedUnrun => "refused_unrun",
            Self::ServerError => "server_error",
            Self::BrokenAnswer => "broken_answer",
            Self::WrongAnswer => "wrong_answer",
        }
    }
}
