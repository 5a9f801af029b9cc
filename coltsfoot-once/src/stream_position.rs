//! Position in a streamed response, which ensures that the caller receives each token once.

/// How to handle a received token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenStep {
    /// Forward it to the caller.
    Forward,
    /// Drop it; it was already delivered.
    Duplicate,
    /// Treat the stream as broken; tokens before it are missing.
    Gap,
}

/// Number of tokens delivered to the caller over all attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPosition {
    delivered: u32,
    attempt_base: u32,
}

impl StreamPosition {
    /// Returns the number of tokens delivered to the caller.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Returns the number of tokens of the current attempt delivered to the caller.
    pub fn delivered_of_attempt(&self) -> u32 {
        self.delivered - self.attempt_base
    }

    /// Starts a new attempt that continues after the delivered tokens.
    pub fn begin_attempt(&mut self) {
        self.attempt_base = self.delivered;
    }

    /// Advances by token `number` of the current attempt, counted from 1.
    pub fn advance(&mut self, number: u32) -> TokenStep {
        let expected = self.delivered_of_attempt() + 1;
        if number < expected {
            return TokenStep::Duplicate;
        }
        if number > expected {
            return TokenStep::Gap;
        }
        self.delivered += 1;
        TokenStep::Forward
    }
}
