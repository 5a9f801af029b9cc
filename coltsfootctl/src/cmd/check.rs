//! `check`: validates a change file without publishing it.

use coltsfoot_catalog::replica;

use crate::{change_file, cmd, error, options, reader};

pub(super) const COMMAND: cmd::ToolCommand = cmd::ToolCommand {
    name: "check",
    usage: "check FILE",
    summary: "Validates a change file, against the log if --log is given, else by itself",
    examples: "  coltsfootctl check fleet.json\n  coltsfootctl check fleet.json --log 127.0.0.1:7000",
    operands: 1..=1,
    options: &[],
    run,
};

fn run(options: &options::ToolOptions) -> Result<(), error::ToolError> {
    let set = change_file::read(options)?;
    let count = set.changes.len();
    let replica = if options.has_log() {
        async_io::block_on(current_replica(options))?
    } else {
        replica::CatalogReplica::new()
    };
    replica.check(set).map_err(error::ToolError::Rejected)?;
    println!("consistent: {count} changes on top of offset {}", replica.next_offset());
    Ok(())
}

async fn current_replica(
    options: &options::ToolOptions,
) -> Result<replica::CatalogReplica, error::ToolError> {
    let mut reader = reader::ConfigReader::open(options).await?;
    reader.advance(drop).await?;
    Ok(reader.into_replica())
}
