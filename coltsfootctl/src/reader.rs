//! Folds the configuration from the log, from its beginning or a snapshot.

use coltsfoot_catalog::{replica, snapshot};
use coltsfoot_platform::{error, http, log, protocol};
use coltsfoot_types::id;

use crate::{error::ToolError, options};

/// Records read by one call.
const PAGE_RECORDS: u32 = 500;

/// A record of the log with what its fold did.
#[derive(Debug)]
pub struct FoldedRecord {
    /// The record.
    pub record: protocol::LogRecord,
    /// What the fold did.
    pub outcome: replica::ApplyOutcome,
}

/// Follows the log with a fold of its own.
pub struct ConfigReader {
    client: log::LogClient,
    replica: replica::CatalogReplica,
}

impl ConfigReader {
    /// Starts at the beginning of the log, or at a snapshot if the beginning is forgotten.
    pub async fn open(options: &options::ToolOptions) -> Result<Self, ToolError> {
        let pool = http::HttpPool::new(http::HttpLimits::default());
        let client = log::LogClient::new(pool, options.log()?);
        let page = client.read(snapshot::CONFIG_STREAM, id::LogOffset(0), 1).await?;
        if page.start_offset == id::LogOffset(0) {
            return Ok(Self { client, replica: replica::CatalogReplica::new() });
        }
        let replica = oldest_usable(&client, page.start_offset).await?;
        Ok(Self { client, replica })
    }

    /// Returns the client of the log.
    pub fn client(&self) -> &log::LogClient {
        &self.client
    }

    /// Returns the fold.
    pub fn replica(&self) -> &replica::CatalogReplica {
        &self.replica
    }

    /// Ends the reading and returns the fold.
    pub fn into_replica(self) -> replica::CatalogReplica {
        self.replica
    }

    /// Folds all records that are there and hands each one over.
    pub async fn advance(
        &mut self,
        mut each: impl FnMut(FoldedRecord),
    ) -> Result<(), error::ClientError> {
        loop {
            let from = self.replica.next_offset();
            let page = self.client.read(snapshot::CONFIG_STREAM, from, PAGE_RECORDS).await?;
            for record in page.records {
                let outcome = self.replica.apply(record.offset, &record.value);
                each(FoldedRecord { record, outcome });
            }
            let next = self.replica.next_offset();
            if next >= page.end_offset || next == from {
                return Ok(());
            }
        }
    }
}

/// Restores the oldest whole snapshot from which the log can be followed.
async fn oldest_usable(
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

/// Restores a snapshot, nothing if the log has forgotten some of its chunks.
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
