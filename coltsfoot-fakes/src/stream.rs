//! Event streams of an engine, one event per token at the time it is due.

use std::io;
use std::pin;
use std::sync;
use std::time;

use futures_lite::FutureExt as _;
use futures_util::TryStreamExt as _;

use crate::run;

const DONE_EVENT: &str = "data: [DONE]\n\n";

type EventStream = pin::Pin<Box<dyn futures_lite::Stream<Item = io::Result<String>> + Send + Sync>>;

/// Faults injected into one stream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamFaults {
    /// Closes the connection after this many tokens.
    pub(crate) cut_after_tokens: Option<u32>,
    /// Sends nothing more after this many tokens, with the connection left open.
    pub(crate) stall_after_tokens: Option<u32>,
}

/// Builds the body that streams the events after the first `from` tokens.
pub(crate) fn body(
    run: sync::Arc<run::EngineRun>,
    from: usize,
    faults: StreamFaults,
) -> http_types::Body {
    let position = StreamPosition { run, index: from, faults };
    let events = futures_lite::stream::unfold(Some(position), |position| async move {
        let position = position?;
        match position.next().await {
            Ok(Some((text, position))) => Some((Ok(text), position)),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    let events: EventStream = Box::pin(events);
    http_types::Body::from_reader(events.into_async_read(), None)
}

struct StreamPosition {
    run: sync::Arc<run::EngineRun>,
    index: usize,
    faults: StreamFaults,
}

type StreamStep = (String, Option<StreamPosition>);

impl StreamPosition {
    async fn next(mut self) -> io::Result<Option<StreamStep>> {
        let sent = Some(self.index as u32);
        if self.faults.stall_after_tokens == sent {
            futures_lite::future::pending::<()>().await;
        }
        if self.faults.cut_after_tokens == sent {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if self.index >= self.run.tokens.len() {
            return Ok(Some((DONE_EVENT.to_owned(), None)));
        }
        self.run.started.wait().await;
        self.wait_for_token().await;
        if self.run.is_aborted() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let text = self.run.event(self.index)?;
        self.index += 1;
        Ok(Some((text, Some(self))))
    }

    async fn wait_for_token(&self) {
        let due = self.run.token_at(self.index);
        let Some(due) = due.filter(|due| *due > time::Instant::now()) else { return };
        let timer = async {
            async_io::Timer::at(due).await;
        };
        if self.run.ended.is_open() {
            return;
        }
        timer.or(self.run.ended.wait()).await;
    }
}
