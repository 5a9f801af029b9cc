//! Reasons for retries, as counted in metrics.

/// Why an attempt was retried.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// The connection could not be opened.
    ConnectFailed,
    /// The connection broke while the request was sent.
    SendFailed,
    /// No valid response head was received.
    NoResponse,
    /// The attempt timed out.
    TimedOut,
    /// The upstream refused the request without running it.
    RefusedNotRun,
    /// The upstream responded with a server error.
    ServerError,
    /// The response body was truncated or malformed.
    BrokenResponse,
    /// The response named another adapter, version or attempt.
    WrongResponse,
}

impl RetryReason {
    /// All reasons, in the order of declaration.
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

    /// Returns whether the connection broke after the request was sent, as it does in a crash.
    pub fn is_lost_connection(self) -> bool {
        matches!(self, Self::SendFailed | Self::NoResponse | Self::BrokenResponse)
    }

    /// Returns the label value in metrics.
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
