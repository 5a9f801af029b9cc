//! Tasks that read the platform's services and report to the control thread.

use std::time;

use async_channel as channel;
use coltsfoot_member::event as member;
use coltsfoot_platform::{error, list, log};
use coltsfoot_types::id;
use futures_lite::future;

use crate::control::{ControlEvent, EventSender};

/// Time between reads of the instance list.
const LIST_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time between reads of the configuration stream.
const CONFIG_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Records read at a time.
const PAGE_RECORDS: u32 = 500;
/// Stream that holds change sets.
pub const CONFIG_STREAM: &str = "config";

/// Stream that holds views of the zones.
pub const MEMBERS_STREAM: &str = "members";
/// Time between reads of the members stream.
const MEMBERS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Reads the instance list for ever.
pub async fn poll_list(client: list::ListClient, events: EventSender) {
    loop {
        events.send(match client.fetch().await {
            Ok(list) => ControlEvent::ListRead(list),
            Err(error) => ControlEvent::ListUnreachable(error.to_string()),
        });
        async_io::Timer::after(LIST_INTERVAL).await;
    }
}

/// Reads the configuration stream for ever, from its start.
pub async fn poll_config(client: log::LogClient, events: EventSender) {
    let mut next = id::LogOffset::default();
    loop {
        let at_end = match client.read(CONFIG_STREAM, next, PAGE_RECORDS).await {
            Ok(page) => {
                next = page.records.last().map_or(next, |record| record.offset.next());
                let at_end = next >= page.end_offset;
                events.send(ControlEvent::ConfigRead(page));
                at_end
            }
            Err(error) => {
                events.send(ControlEvent::LogUnreachable(error.to_string()));
                true
            }
        };
        if at_end {
            async_io::Timer::after(CONFIG_INTERVAL).await;
        }
    }
}

/// Reads the members stream for ever, each second and whenever `wakeups` asks for it.
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

/// Appends a view to the members stream and reports how that ended.
pub async fn append_view(
    client: log::LogClient,
    events: EventSender,
    record_id: uuid::Uuid,
    text: String,
) {
    let outcome = match client.append(MEMBERS_STREAM, &[text]).await {
        Ok(answer) => member::AppendOutcome::Done(answer.first_offset),
        Err(error::ClientError::Http(error)) if error.nothing_sent() => {
            member::AppendOutcome::Failed
        }
        Err(error::ClientError::Status { .. }) => member::AppendOutcome::Failed,
        Err(_) => member::AppendOutcome::Unknown,
    };
    events.send(ControlEvent::ViewAppended { record_id, outcome });
}
