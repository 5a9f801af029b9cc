//! Events of a stream, as they are passed on: whole, once, and in order.

/// Longest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// All its lines and the empty line that ends it.
    pub bytes: Vec<u8>,
}

/// Splits bytes into events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
}

impl EventSplitter {
    /// Takes further bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")? + 2;
        let bytes: Vec<u8> = self.buffer.drain(..end).collect();
        Some(StreamEvent { id: event_id(&bytes), bytes })
    }

    /// Returns whether bytes of an incomplete event are left.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the bytes can't be an event any more.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventVerdict {
    /// Pass it on.
    Forward,
    /// The caller has it already.
    Duplicate,
    /// Events between the last one and this one are missing.
    Gap,
}

/// The position of a caller in a stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamPosition {
    last: Option<u64>,
    forwarded: u64,
}

impl StreamPosition {
    /// Begins after the last event that the caller has.
    pub fn after(last: Option<u64>) -> Self {
        Self { last, forwarded: 0 }
    }

    /// Returns the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many events were passed on.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Judges an event and moves on if it is passed on.
    pub fn advance(&mut self, event: &StreamEvent) -> EventVerdict {
        if let (Some(id), Some(last)) = (event.id, self.last) {
            if id <= last {
                return EventVerdict::Duplicate;
            }
            if id > last + 1 {
                return EventVerdict::Gap;
            }
        }
        self.last = event.id.or(self.last);
        self.forwarded += 1;
        EventVerdict::Forward
    }
}
