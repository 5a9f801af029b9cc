//! `apply`: publishes a change file.

use crate::{change_file, cmd, error, options, publish, reader};

pub(super) const COMMAND: cmd::ToolCommand = cmd::ToolCommand {
    name: "apply",
    usage: "apply FILE",
    summary: "Validates and publishes a change file, then reports whether it was accepted",
    examples: "  coltsfootctl apply fleet.json --log 127.0.0.1:7000\n  \
               coltsfootctl apply fleet.json --settings tool.json --author maria\n  \
               coltsfootctl apply fleet.json --settings tool.json \\\n    \
               --change-id 0c2f6d1e-5f4b-4a53-8f0e-0a3f1d0f8a11\n\n\
               A change file:\n  \
               {\"changes\": [{\"revision\": 7, \"action\": {\"put\": {\"kind\": \"route\", ...}}},\n               \
               {\"revision\": 3, \"action\": {\"remove\": {\"kind\": \"key\", \"name\": \"k\"}}}]}\n\
               A new object has no revision. `get KIND NAME --json` prints an object as a change.",
    operands: 1..=1,
    options: &["change-id", "author"],
    run,
};

fn run(options: &options::ToolOptions) -> Result<(), error::ToolError> {
    let set = change_file::read(options)?;
    async_io::block_on(async {
        let mut reader = reader::ConfigReader::open(options).await?;
        let published = publish::publish(&mut reader, set).await?;
        println!("accepted: set {} at offset {}", published.change_id, published.offset);
        Ok(())
    })
}
