//! Text encoding of the records in the claims stream.

use coltsfoot_types::id;
use coltsfoot_wire::once;

use crate::claim_table;

/// A record of the log before decoding.
#[derive(Clone, Debug)]
pub struct TextRecord {
    /// Its offset.
    pub offset: id::LogOffset,
    /// Timestamp of the append by the log's clock, in milliseconds since the Unix epoch.
    pub timestamp_ms: u64,
    /// JSON text of a batch.
    pub value: String,
}

/// Encodes a batch as the JSON text of one record.
pub fn encode(batch: &once::ClaimBatch) -> serde_json::Result<String> {
    serde_json::to_string(batch)
}

/// Decodes a page of the claims stream. A malformed record counts as an empty batch, so that all
/// instances skip it alike.
pub fn decode_page(
    start_offset: id::LogOffset,
    end_offset: id::LogOffset,
    records: impl IntoIterator<Item = TextRecord>,
    read_at_ms: u64,
) -> claim_table::ClaimPage {
    let records = records.into_iter().map(|record| once::ClaimRecord {
        offset: record.offset,
        timestamp_ms: record.timestamp_ms,
        batch: serde_json::from_str(&record.value).unwrap_or_default(),
    });
    claim_table::ClaimPage { start_offset, end_offset, records: records.collect(), read_at_ms }
}
