//! Appends a change set, settles lost answers by reading, and reports the verdict of the fold.

use std::time;

use coltsfoot_catalog::{object, replica, snapshot};
use coltsfoot_platform::error;
use coltsfoot_types::id;

use crate::{error::ToolError, reader};

/// Attempts to append a set.
const MAX_APPEND_ATTEMPTS: u32 = 5;
/// Wait before the second attempt; it doubles for each further one.
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(200);

/// Where a set took effect.
#[derive(Clone, Copy, Debug)]
pub struct PublishedSet {
    /// Id of the set.
    pub change_id: uuid::Uuid,
    /// Offset of its record.
    pub offset: id::LogOffset,
}

/// Validates a set against the log, appends it and reads it back.
///
/// A set whose id is on the log already is not appended again; its verdict is reported.
pub async fn publish(
    reader: &mut reader::ConfigReader,
    set: object::ChangeSet,
) -> Result<PublishedSet, ToolError> {
    let change_id = set.change_id;
    if let Some(verdict) = read_verdict(reader, change_id).await? {
        return verdict.into_result(change_id);
    }
    let text = serde_json::to_string(&set)?;
    reader.replica().check(set).map_err(ToolError::Rejected)?;
    let appended = append(reader, &text).await;
    match (read_verdict(reader, change_id).await?, appended) {
        (Some(verdict), _) => verdict.into_result(change_id),
        (None, Err(source)) => Err(ToolError::Unsettled { change_id, source }),
        (None, Ok(offset)) => Err(ToolError::NotReadBack { change_id, offset }),
    }
}

/// What the fold did with the first record of a set.
enum SetVerdict {
    Accepted(id::LogOffset),
    Rejected(replica::RejectReason),
    Forgotten(id::LogOffset),
}

impl SetVerdict {
    fn into_result(self, change_id: uuid::Uuid) -> Result<PublishedSet, ToolError> {
        match self {
            Self::Accepted(offset) => Ok(PublishedSet { change_id, offset }),
            Self::Rejected(reason) => Err(ToolError::Rejected(reason)),
            Self::Forgotten(offset) => Err(ToolError::UsedChangeId { change_id, offset }),
        }
    }
}

/// Reads to the end of the log and returns what became of the set, if it is there.
async fn read_verdict(
    reader: &mut reader::ConfigReader,
    change_id: uuid::Uuid,
) -> Result<Option<SetVerdict>, ToolError> {
    let mut verdict = None;
    let note = |folded: reader::FoldedRecord| {
        if verdict.is_none() && record_change_id(&folded.record.value) == Some(change_id) {
            verdict = Some(match folded.outcome {
                replica::ApplyOutcome::Rejected(reason) => SetVerdict::Rejected(reason),
                replica::ApplyOutcome::Duplicate { first } => SetVerdict::Forgotten(first),
                _ => SetVerdict::Accepted(folded.record.offset),
            });
        }
    };
    reader.advance(note).await?;
    let known = || reader.replica().change_offset(&change_id).map(SetVerdict::Forgotten);
    Ok(verdict.or_else(known))
}

/// Appends the text, again with the same id where no answer came.
async fn append(
    reader: &reader::ConfigReader,
    text: &str,
) -> Result<id::LogOffset, error::ClientError> {
    let values = [text.to_owned()];
    let mut backoff = FIRST_BACKOFF;
    let mut attempt = 1;
    loop {
        let answer = reader.client().append(snapshot::CONFIG_STREAM, &values).await;
        let error = match answer {
            Ok(answer) => return Ok(answer.first_offset),
            Err(error) => error,
        };
        if attempt == MAX_APPEND_ATTEMPTS {
            return Err(error);
        }
        eprintln!("coltsfootctl: append failed, sending it again with the same id: {error}");
        async_io::Timer::after(backoff).await;
        backoff *= 2;
        attempt += 1;
    }
}

fn record_change_id(value: &str) -> Option<uuid::Uuid> {
    serde_json::from_str::<object::ChangeSet>(value).ok().map(|set| set.change_id)
}
