//! Position in a streamed answer, so that the caller sees each token once.

/// What to do with a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenStep {
    /// Pass it on.
    Forward,
    /// Drop it; the caller has it.
    Duplicate,
    /// Tokens before it are missing.
    Gap,
}

/// Tokens that the caller has, over all attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPosition {
    delivered: u32,
    attempt_base: u32,
}

impl StreamPosition {
    /// Returns the tokens that the caller has.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Returns the tokens of the current attempt that the caller has.
    pub fn delivered_of_attempt(&self) -> u32 {
        self.delivered - self.attempt_base
    }

    /// Notes that a new attempt goes on after the tokens that the caller has.
    pub fn begin_attempt(&mut self) {
        self.attempt_base = self.delivered;
    }

    /// Takes token `number` of the current attempt, counted from 1.
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
