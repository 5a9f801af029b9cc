//! Tasks that call the platform's services and report the results to the control thread.

use std::time;

use async_channel as channel;
use coltsfoot_catalog::feed;
use coltsfoot_member::event as member;
use coltsfoot_once::{batcher_event, claim_record};
use coltsfoot_platform::{error, list, log, protocol};
use coltsfoot_types::{id, time as instant};
use coltsfoot_wire::once;
use futures_lite::future;

use crate::clock;
use crate::control::{ControlEvent, EventSender};

/// Poll interval of the instance list.
const LIST_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Maximum records per read.
const PAGE_RECORDS: u32 = 500;
/// Stream with the claims and outcomes of once-only calls.
const CLAIMS_STREAM: &str = "claims";
/// Stream with the membership views of all zones.
pub const MEMBERS_STREAM: &str = "members";
/// Poll interval of the members stream.
const MEMBERS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Polls the instance list every 500 ms until the task is dropped.
pub async fn poll_list(client: list::ListClient, events: EventSender) {
    let mut known = None;
    loop {
        events.send(match client.fetch_changed(known.as_deref()).await {
            Ok(list::ListRead::Unchanged) => ControlEvent::ListUnchanged,
            Ok(list::ListRead::Changed { list, tag }) => {
                known = tag;
                ControlEvent::ListRead(list)
            }
            Err(error) => ControlEvent::ListUnreachable(error.to_string()),
        });
        async_io::Timer::after(LIST_INTERVAL).await;
    }
}

/// Result of a read for the configuration follower.
pub struct ConfigRead {
    /// The stream read.
    pub stream: feed::LogStream,
    /// First offset requested.
    pub offset: id::LogOffset,
    /// The page or the error text.
    pub page: Result<feed::LogPage, String>,
}

/// Reads a page for the configuration follower and reports it.
pub async fn read_config(
    client: log::LogClient,
    events: EventSender,
    stream: feed::LogStream,
    offset: id::LogOffset,
    limit: u32,
) {
    let read = client.read(stream.name(), offset, limit).await;
    let page = read.map(log_page).map_err(|error| error.to_string());
    events.send(ControlEvent::ConfigRead(ConfigRead { stream, offset, page }));
}

/// Appends a chunk of a snapshot and reports the offset.
pub async fn append_snapshot(
    client: log::LogClient,
    events: EventSender,
    stream: feed::LogStream,
    values: Vec<String>,
) {
    let response = client.append(stream.name(), &values).await;
    let first_offset = response.ok().map(|response| response.first_offset);
    events.send(ControlEvent::SnapshotAppended { first_offset });
}

fn log_page(page: protocol::RecordPage) -> feed::LogPage {
    let record = |record: protocol::LogRecord| feed::PageRecord {
        offset: record.offset,
        appended_at: instant::WallTime(record.timestamp_ms),
        value: record.value,
    };
    feed::LogPage {
        start_offset: page.start_offset,
        end_offset: page.end_offset,
        records: page.records.into_iter().map(record).collect(),
        read_at: clock::wall_time(),
    }
}

/// Reads the members stream every second and on each wakeup until the task is dropped.
pub async fn poll_members(
    client: log::LogClient,
    events: EventSender,
    wakeups: channel::Receiver<()>,
) {
    let mut next = id::LogOffset::default();
    loop {
        events.send(match read_to_end(&client, &mut next).await {
            Ok(records) => ControlEvent::MembersRead(records),
            Err(_) => ControlEvent::MembersUnreachable,
        });
        let wakeup = async {
            let _ = wakeups.recv().await;
        };
        let interval = async {
            async_io::Timer::after(MEMBERS_INTERVAL).await;
        };
        future::or(wakeup, interval).await;
    }
}

async fn read_to_end(
    client: &log::LogClient,
    next: &mut id::LogOffset,
) -> Result<Vec<member::StreamRecord>, error::ClientError> {
    let mut records = Vec::new();
    loop {
        let page = client.read(MEMBERS_STREAM, *next, PAGE_RECORDS).await?;
        let read = page.records.len();
        *next = page.records.last().map_or(*next, |record| record.offset.next());
        let texts = page.records.into_iter();
        records.extend(
            texts.map(|record| member::StreamRecord { offset: record.offset, text: record.value }),
        );
        if read == 0 || *next >= page.end_offset {
            return Ok(records);
        }
    }
}

/// Appends a batch to the claims stream and reports whether that succeeded.
pub async fn append_claims(
    client: log::LogClient,
    events: EventSender,
    number: batcher_event::CallNumber,
    batch: once::ClaimBatch,
) {
    let appended = match claim_record::encode(&batch) {
        Ok(text) => client.append(CLAIMS_STREAM, &[text]).await.is_ok(),
        Err(_) => false,
    };
    events.send(ControlEvent::ClaimsCallEnded(match appended {
        true => batcher_event::BatcherEvent::Appended(number),
        false => batcher_event::BatcherEvent::AppendFailed(number),
    }));
}

/// Reads a page of the claims stream and reports it or the failure.
pub async fn read_claims(
    client: log::LogClient,
    events: EventSender,
    number: batcher_event::CallNumber,
    from: id::LogOffset,
) {
    let event = match client.read(CLAIMS_STREAM, from, PAGE_RECORDS).await {
        Ok(page) => {
            let records = page.records.into_iter().map(|record| claim_record::TextRecord {
                offset: record.offset,
                timestamp_ms: record.timestamp_ms,
                value: record.value,
            });
            let read_at = clock::wall_time().0;
            let page =
                claim_record::decode_page(page.start_offset, page.end_offset, records, read_at);
            batcher_event::BatcherEvent::PageRead(number, page)
        }
        Err(_) => batcher_event::BatcherEvent::ReadFailed(number),
    };
    events.send(ControlEvent::ClaimsCallEnded(event));
}

/// Appends a view to the members stream and reports the outcome, which is unknown if the request
/// was sent and no valid response was received.
pub async fn append_view(
    client: log::LogClient,
    events: EventSender,
    record_id: uuid::Uuid,
    text: String,
) {
    let outcome = match client.append(MEMBERS_STREAM, &[text]).await {
        Ok(response) => member::AppendOutcome::Done(response.first_offset),
        Err(error::ClientError::Http(error)) if error.nothing_sent() => {
            member::AppendOutcome::Failed
        }
        Err(error::ClientError::Status { .. }) => member::AppendOutcome::Failed,
        Err(_) => member::AppendOutcome::Unknown,
    };
    events.send(ControlEvent::ViewAppended { record_id, outcome });
}
