//! What upstreams said in their answers of how many requests a second they take from all instances
//! together.

use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

/// Time for which a limit is believed, or its end remembered, without a further word of the upstream.
const LIMIT_MEMORY: time::Duration = time::Duration::from_secs(3600);

/// What the head of an answer says of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitNotice {
    /// Nothing.
    Absent,
    /// Requests a second, from all instances together; not negative, and infinite beyond what a number
    /// holds.
    Named(f64),
    /// Something that is no such number.
    Unreadable,
}

/// Why something is sent to an upstream. All of it counts as a request there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPurpose {
    /// A request of a caller.
    Request,
    /// An order to an engine.
    Order,
    /// A question for an engine's report.
    Report,
}

impl SendPurpose {
    /// Returns a short name for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Order => "order",
            Self::Report => "report",
        }
    }
}

/// What one answer told of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitWord {
    /// Requests a second; `None` if the answer named no limit.
    pub per_s: Option<f64>,
    /// When that which was answered had been sent.
    pub sent: clock::MonotonicTime,
    /// When the answer came.
    pub heard: clock::MonotonicTime,
}

impl LimitWord {
    fn rate(&self) -> f64 {
        self.per_s.unwrap_or(f64::INFINITY)
    }
}

/// The newest word of each incarnation of an upstream, by its number in messages.
#[derive(Clone, Debug, Default)]
pub struct LimitBoard {
    words: FxHashMap<u32, LimitWord>,
}

impl LimitBoard {
    /// Returns the requests a second that an incarnation takes from all instances, if it named a limit.
    pub fn limit(&self, now: clock::MonotonicTime, number: u32) -> Option<f64> {
        let word = self.words.get(&number)?;
        word.per_s.filter(|_| now.since(word.heard) < LIMIT_MEMORY)
    }

    /// Takes a word, of this instance's own or told by another one. Returns whether the limit is another
    /// one now. A lower limit holds at once. A higher one, or its end, must be told in answer to
    /// something that was sent after the last word came: answers may overtake each other.
    pub fn take(&mut self, now: clock::MonotonicTime, number: u32, word: LimitWord) -> bool {
        self.words.retain(|_, known| now.since(known.heard) < LIMIT_MEMORY);
        let Some(known) = self.words.get_mut(&number) else {
            if word.per_s.is_some() {
                self.words.insert(number, word);
            }
            return word.per_s.is_some();
        };
        let is_lower = word.rate() < known.rate();
        let is_higher = word.rate() > known.rate();
        if word.heard <= known.heard || (is_higher && word.sent <= known.heard) {
            return false;
        }
        *known = word;
        is_lower || is_higher
    }
}
