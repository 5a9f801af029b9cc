//! `history`: lists the change sets that the log still retains.

use coltsfoot_catalog::{object, replica};
use coltsfoot_types::id;

use crate::{cmd, error, options, reader};

pub(super) const COMMAND: cmd::ToolCommand = cmd::ToolCommand {
    name: "history",
    usage: "history [--json]",
    summary: "Lists the change sets that the log still holds, with the verdict on each",
    examples: "  coltsfootctl history --log 127.0.0.1:7000\n  \
               coltsfootctl history --json --settings tool.json",
    operands: 0..=0,
    options: &["json"],
    run,
};

/// One line of the history.
#[derive(Debug, serde::Serialize)]
struct HistoryEntry {
    offset: id::LogOffset,
    /// When the record was appended, in milliseconds since the Unix epoch.
    timestamp_ms: u64,
    author: Option<String>,
    change_id: Option<uuid::Uuid>,
    verdict: &'static str,
    /// Objects touched, or the reason of a rejection.
    detail: String,
}

fn run(options: &options::ToolOptions) -> Result<(), error::ToolError> {
    let mut entries = Vec::new();
    async_io::block_on(async {
        let mut reader = reader::ConfigReader::open(options).await?;
        reader.advance(|applied| entries.push(entry(applied))).await?;
        Ok::<_, error::ToolError>(())
    })?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&entries)?);
        return Ok(());
    }
    for entry in entries {
        let author = entry.author.as_deref().unwrap_or("-");
        let (offset, time) = (entry.offset, entry.timestamp_ms);
        println!("{offset:<8} {time:<15} {author:<12} {:<10} {}", entry.verdict, entry.detail);
    }
    Ok(())
}

fn entry(applied: reader::AppliedRecord) -> HistoryEntry {
    let set = serde_json::from_str::<object::ChangeSet>(&applied.record.value).ok();
    let (verdict, detail) = match applied.outcome {
        replica::ApplyOutcome::Accepted { touched } => {
            let names: Vec<_> = touched.iter().map(ToString::to_string).collect();
            ("accepted", names.join(", "))
        }
        replica::ApplyOutcome::Rejected(reason) => ("rejected", reason.to_string()),
        replica::ApplyOutcome::Duplicate { first } => ("duplicate", format!("of offset {first}")),
        replica::ApplyOutcome::Skipped | replica::ApplyOutcome::Gap { .. } => {
            ("skipped", String::new())
        }
    };
    HistoryEntry {
        offset: applied.record.offset,
        timestamp_ms: applied.record.timestamp_ms,
        author: set.as_ref().map(|set| set.author.clone()),
        change_id: set.map(|set| set.change_id),
        verdict,
        detail,
    }
}
