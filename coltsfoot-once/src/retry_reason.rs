//! Reasons of retries and of dropped answers, for counters.

/// Why an attempt was followed by another.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// The connection could not be opened.
    ConnectFailed,
    /// The connection broke while the request was sent.
    SendFailed,
    /// No answer came.
    NoResponse,
    /// The time limit of an attempt passed.
    TimedOut,
    /// The upstream refused the request without running it.
    RefusedNotRun,
    /// The upstream answered with a server error.
    ServerError,
    /// The answer broke off.
    BrokenResponse,
    /// The answer named another adapter, version or attempt.
    WrongResponse,
}

impl RetryReason {
    /// All reasons.
    pub const ALL: [Self; 8] = [
        Self::ConnectFailed,
        Self::SendFailed,
        Self::NoResponse,
        Self::TimedOut,
        Self::RefusedNotRun,
        Self::ServerError,
        Self::BrokenResponse,
        Self::WrongResponse,
    ];

    /// Returns whether a connection broke after the request was sent, as by a crash.
    pub fn is_lost_connection(self) -> bool {
        matches!(self, Self::SendFailed | Self::NoResponse | Self::BrokenResponse)
    }

    /// Returns the label of counters.
    pub fn code(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::SendFailed => "send_failed",
            Self::NoResponse => "no_answer",
            Self::TimedOut => "timed_out",
            Self::RefusedNotRun => "refused_unrun",
            Self::ServerError => "server_error",
            Self::BrokenResponse => "broken_answer",
            Self::WrongResponse => "wrong_answer",
        }
    }
}
