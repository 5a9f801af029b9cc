//! Incremental reader of server-sent events.

use std::pin;
use std::sync;
use std::sync::atomic;

use futures_lite::StreamExt as _;

use crate::error;
use crate::http;

type ChunkStream =
    pin::Pin<Box<dyn futures_lite::Stream<Item = Result<Vec<u8>, error::HttpError>> + Send>>;

/// A server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEvent {
    /// Last id that the stream has set, if any.
    pub id: Option<String>,
    /// Data of the event.
    pub data: String,
}

/// Reads events from a response body.
pub struct EventReader {
    events: eventsource_stream::EventStream<ChunkStream>,
    pending_bytes: sync::Arc<atomic::AtomicUsize>,
    address: std::net::SocketAddr,
}

impl EventReader {
    /// Creates a reader; an event of more than `limit_bytes` is an error.
    pub fn new(exchange: http::HttpExchange, limit_bytes: usize) -> Self {
        let reader = exchange.into_reader();
        let address = reader.address();
        let pending_bytes = sync::Arc::new(atomic::AtomicUsize::new(0));
        let source = ChunkSource { reader, pending_bytes: pending_bytes.clone(), limit_bytes };
        let chunks = futures_lite::stream::unfold(Some(source), |source| async move {
            let mut source = source?;
            match source.next_chunk().await {
                Ok(chunk) => chunk.map(|chunk| (Ok(chunk), Some(source))),
                Err(error) => Some((Err(error), None)),
            }
        });
        let events = eventsource_stream::EventStream::new(Box::pin(chunks) as ChunkStream);
        Self { events, pending_bytes, address }
    }

    /// Returns the next event, `None` at the end of a complete body. Reading up to the end returns the
    /// connection to the pool.
    pub async fn next_event(&mut self) -> Result<Option<ServerEvent>, error::HttpError> {
        let Some(event) = self.events.next().await else { return Ok(None) };
        self.pending_bytes.store(0, atomic::Ordering::Relaxed);
        let event = event.map_err(|error| self.convert(error))?;
        let id = Some(event.id).filter(|id| !id.is_empty());
        Ok(Some(ServerEvent { id, data: event.data }))
    }

    fn convert(
        &self,
        error: eventsource_stream::EventStreamError<error::HttpError>,
    ) -> error::HttpError {
        match error {
            eventsource_stream::EventStreamError::Transport(error) => error,
            other => {
                error::HttpError::BrokenBody { address: self.address, detail: other.to_string() }
            }
        }
    }
}

struct ChunkSource {
    reader: http::BodyReader,
    pending_bytes: sync::Arc<atomic::AtomicUsize>,
    limit_bytes: usize,
}

impl ChunkSource {
    async fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, error::HttpError> {
        let chunk = self.reader.read_chunk().await?;
        let length = chunk.as_ref().map_or(0, Vec::len);
        let pending = self.pending_bytes.fetch_add(length, atomic::Ordering::Relaxed) + length;
        if pending > self.limit_bytes {
            let address = self.reader.address();
            return Err(error::HttpError::TooLarge { address, limit_bytes: self.limit_bytes });
        }
        Ok(chunk)
    }
}
