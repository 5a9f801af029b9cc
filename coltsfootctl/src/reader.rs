//! Builds a replica of the configuration from the log, from its beginning or from a snapshot.

use coltsfoot_catalog::{replica, snapshot};
use coltsfoot_platform::{error, http, log, protocol};
use coltsfoot_types::id;

use crate::{error::ToolError, options};

/// Records read by one call.
const PAGE_RECORDS: u32 = 500;

/// A record of the log with the result of applying it.
#[derive(Debug)]
pub struct AppliedRecord {
    /// The record.
    pub record: protocol::LogRecord,
    /// Result of applying the record.
    pub outcome: replica::ApplyOutcome,
}

/// Reads the log into a replica of the configuration.
pub struct ConfigReader {
    client: log::LogClient,
    replica: replica::CatalogReplica,
}

impl ConfigReader {
    /// Starts at the beginning of the log, or at a snapshot if the beginning is trimmed.
    pub async fn open(options: &options::ToolOptions) -> Result<Self, ToolError> {
        let pool = http::HttpPool::new(http::HttpLimits::default());
        let client = log::LogClient::new(pool, options.log()?);
        let page = client.read(snapshot::CONFIG_STREAM, id::LogOffset(0), 1).await?;
        if page.start_offset == id::LogOffset(0) {
            return Ok(Self { client, replica: replica::CatalogReplica::new() });
        }
        let replica = restore_oldest(&client, page.start_offset).await?;
        Ok(Self { client, replica })
    }

    /// Returns the client of the log.
    pub fn client(&self) -> &log::LogClient {
        &self.client
    }

    /// Returns the replica.
    pub fn replica(&self) -> &replica::CatalogReplica {
        &self.replica
    }

    /// Stops reading and returns the replica.
    pub fn into_replica(self) -> replica::CatalogReplica {
        self.replica
    }

    /// Applies all records up to the end of the log and passes each one to `on_record`.
    pub async fn advance(
        &mut self,
        mut on_record: impl FnMut(AppliedRecord),
    ) -> Result<(), error::ClientError> {
        loop {
            let from = self.replica.next_offset();
            let page = self.client.read(snapshot::CONFIG_STREAM, from, PAGE_RECORDS).await?;
            for record in page.records {
                let outcome = self.replica.apply(record.offset, &record.value);
                on_record(AppliedRecord { record, outcome });
            }
            let next = self.replica.next_offset();
            if next >= page.end_offset || next == from {
                return Ok(());
            }
        }
    }
}

/// Restores the oldest complete snapshot after which no record is trimmed.
async fn restore_oldest(
    client: &log::LogClient,
    start_offset: id::LogOffset,
) -> Result<replica::CatalogReplica, ToolError> {
    let mut from = id::LogOffset(0);
    loop {
        let page = client.read(snapshot::INDEX_STREAM, from, PAGE_RECORDS).await?;
        let Some(last) = page.records.last() else {
            return Err(ToolError::NoSnapshot(start_offset));
        };
        from = last.offset.next();
        for record in &page.records {
            let Ok(index) = serde_json::from_str::<snapshot::SnapshotIndex>(&record.value) else {
                continue;
            };
            if index.offset < start_offset {
                continue;
            }
            if let Some(replica) = restore(client, &index).await? {
                return Ok(replica);
            }
        }
    }
}

/// Restores a snapshot, `None` if chunks are trimmed or malformed.
async fn restore(
    client: &log::LogClient,
    index: &snapshot::SnapshotIndex,
) -> Result<Option<replica::CatalogReplica>, ToolError> {
    let mut restorer = snapshot::SnapshotRestorer::new();
    for offset in &index.chunk_offsets {
        let page = client.read(snapshot::SNAPSHOT_STREAM, *offset, 1).await?;
        let record = page.records.first().filter(|record| record.offset == *offset);
        let Some(record) = record else { return Ok(None) };
        let Ok(chunk) = snapshot::chunk_from_text(&record.value) else { return Ok(None) };
        if restorer.add(&chunk).is_err() {
            return Ok(None);
        }
    }
    Ok(restorer.restore().ok())
}
