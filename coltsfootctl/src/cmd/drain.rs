//! `drain`: asks an instance to drain and stop.

use crate::{cmd, cmd::instance, error, options};

pub(super) const COMMAND: cmd::ToolCommand = cmd::ToolCommand {
    name: "drain",
    usage: "drain INSTANCE",
    summary: "Asks an instance to finish its requests, hand over and stop",
    examples: "  coltsfootctl drain rennes-1 --list 127.0.0.1:7001",
    operands: 1..=1,
    options: &[],
    run,
};

fn run(options: &options::ToolOptions) -> Result<(), error::ToolError> {
    let name = options.operand(0).into();
    async_io::block_on(async {
        let client = instance::InstanceClient::new(options)?;
        let listings = client.listings().await?;
        let listing = listings.into_iter().find(|listing| listing.name == name);
        let listing = listing.ok_or_else(|| error::ToolError::NoSuchInstance(name.clone()))?;
        let drained = client.drain(&listing).await;
        drained.map_err(|source| error::ToolError::Instance { instance: name.clone(), source })?;
        println!("draining: {name}");
        Ok(())
    })
}
