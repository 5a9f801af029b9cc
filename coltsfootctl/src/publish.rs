//! Appends a change set and reads the log back to learn whether it was accepted.

use std::time;

use coltsfoot_catalog::{object, replica, snapshot};
use coltsfoot_platform::error;
use coltsfoot_types::id;

use crate::{error::ToolError, reader};

/// Largest number of attempts to append a set.
const MAX_APPEND_ATTEMPTS: u32 = 5;
/// Wait before the second attempt; it doubles for each further one.
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(200);

/// A change set that was accepted.
#[derive(Clone, Copy, Debug)]
pub struct PublishedSet {
    /// Id of the set.
    pub change_id: uuid::Uuid,
    /// Offset of its record.
    pub offset: id::LogOffset,
}

/// Validates a set against the log, appends it and reads it back.
///
/// A set whose id is in the log already is not appended again; its outcome is reported.
pub async fn publish(
    reader: &mut reader::ConfigReader,
    set: object::ChangeSet,
) -> Result<PublishedSet, ToolError> {
    let change_id = set.change_id;
    if let Some(outcome) = read_outcome(reader, change_id).await? {
        return outcome.into_result(change_id);
    }
    let text = serde_json::to_string(&set)?;
    reader.replica().check(set).map_err(ToolError::Rejected)?;
    let appended = append(reader, &text).await;
    match (read_outcome(reader, change_id).await?, appended) {
        (Some(outcome), _) => outcome.into_result(change_id),
        (None, Err(source)) => Err(ToolError::OutcomeUnknown { change_id, source }),
        (None, Ok(offset)) => Err(ToolError::NotReadable { change_id, offset }),
    }
}

/// Outcome of the first record of a set.
enum SetOutcome {
    Accepted(id::LogOffset),
    Rejected(replica::RejectReason),
    Trimmed(id::LogOffset),
}

impl SetOutcome {
    fn into_result(self, change_id: uuid::Uuid) -> Result<PublishedSet, ToolError> {
        match self {
            Self::Accepted(offset) => Ok(PublishedSet { change_id, offset }),
            Self::Rejected(reason) => Err(ToolError::Rejected(reason)),
            Self::Trimmed(offset) => Err(ToolError::UsedChangeId { change_id, offset }),
        }
    }
}

/// Reads to the end of the log and returns the outcome of the set, if it is there.
async fn read_outcome(
    reader: &mut reader::ConfigReader,
    change_id: uuid::Uuid,
) -> Result<Option<SetOutcome>, ToolError> {
    let mut outcome = None;
    let record_outcome = |applied: reader::AppliedRecord| {
        if outcome.is_none() && record_change_id(&applied.record.value) == Some(change_id) {
            outcome = Some(match applied.outcome {
                replica::ApplyOutcome::Rejected(reason) => SetOutcome::Rejected(reason),
                replica::ApplyOutcome::Duplicate { first } => SetOutcome::Trimmed(first),
                _ => SetOutcome::Accepted(applied.record.offset),
            });
        }
    };
    reader.advance(record_outcome).await?;
    let known = || reader.replica().change_offset(&change_id).map(SetOutcome::Trimmed);
    Ok(outcome.or_else(known))
}

/// Appends the text; retries with the same change id, which makes a duplicate harmless.
async fn append(
    reader: &reader::ConfigReader,
    text: &str,
) -> Result<id::LogOffset, error::ClientError> {
    let values = [text.to_owned()];
    let mut backoff = FIRST_BACKOFF;
    let mut attempt = 1;
    loop {
        let response = reader.client().append(snapshot::CONFIG_STREAM, &values).await;
        let error = match response {
            Ok(response) => return Ok(response.first_offset),
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
