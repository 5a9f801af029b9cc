//! `status`: queries the status of each listed instance.

use std::sync;

use coltsfoot_platform::{error, protocol};
use coltsfoot_types::name;

use crate::{cmd, cmd::instance, error::ToolError, options};

pub(super) const COMMAND: cmd::ToolCommand = cmd::ToolCommand {
    name: "status",
    usage: "status [--json]",
    summary: "Asks each listed instance for its offset, readiness, view and cells",
    examples: "  coltsfootctl status --list 127.0.0.1:7001\n  \
               coltsfootctl status --json --settings tool.json",
    operands: 0..=0,
    options: &["json"],
    run,
};

/// Number of instances queried concurrently.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Response or error of one instance.
#[derive(Debug, serde::Serialize)]
struct StatusEntry {
    name: name::InstanceName,
    zone: name::ZoneName,
    leaving: bool,
    status: Option<instance::StatusReport>,
    error: Option<String>,
}

fn run(options: &options::ToolOptions) -> Result<(), ToolError> {
    let client = instance::InstanceClient::new(options)?;
    let executor = async_executor::LocalExecutor::new();
    let entries = async_io::block_on(executor.run(query_all(&executor, client)))?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&entries)?);
    } else {
        print_entries(&entries);
    }
    let unresponsive = entries.iter().filter(|entry| entry.status.is_none()).count();
    if unresponsive == 0 { Ok(()) } else { Err(ToolError::UnresponsiveInstances(unresponsive)) }
}

async fn query_all<'a>(
    executor: &async_executor::LocalExecutor<'a>,
    client: instance::InstanceClient,
) -> Result<Vec<StatusEntry>, ToolError> {
    let listings = client.listings().await?;
    let client = sync::Arc::new(client);
    let mut entries = Vec::new();
    for chunk in listings.chunks(MAX_CONCURRENT_CALLS) {
        let query = |listing: &protocol::EntryListing| {
            let (client, listing) = (sync::Arc::clone(&client), listing.clone());
            executor.spawn(async move {
                let response = client.status(&listing).await;
                entry(listing, response)
            })
        };
        let tasks: Vec<_> = chunk.iter().map(query).collect();
        for task in tasks {
            entries.push(task.await);
        }
    }
    Ok(entries)
}

fn entry(
    listing: protocol::EntryListing,
    response: Result<instance::StatusReport, error::ClientError>,
) -> StatusEntry {
    let (status, error) = match response {
        Ok(status) => (Some(status), None),
        Err(error) => (None, Some(error.to_string())),
    };
    StatusEntry { name: listing.name, zone: listing.zone, leaving: listing.leaving, status, error }
}

fn print_entries(entries: &[StatusEntry]) {
    println!("{:<24} {:<16} {:<8} {:<9} VIEW AND CELLS", "INSTANCE", "ZONE", "OFFSET", "STATE");
    for entry in entries {
        let (offset, state, detail) = match &entry.status {
            Some(status) => (offset_text(status), state_text(status), detail_text(status)),
            None => ("-".to_owned(), "silent", entry.error.clone().unwrap_or_default()),
        };
        let (name, zone) = (entry.name.as_str(), entry.zone.as_str());
        println!("{name:<24} {zone:<16} {offset:<8} {state:<9} {detail}");
    }
}

fn offset_text(status: &instance::StatusReport) -> String {
    status.offset.map_or_else(|| "-".to_owned(), |offset| offset.to_string())
}

fn state_text(status: &instance::StatusReport) -> &'static str {
    match (status.draining, status.ready) {
        (Some(true), _) => "draining",
        (_, Some(true)) => "ready",
        (_, Some(false)) => "unready",
        _ => "unknown",
    }
}

fn detail_text(status: &instance::StatusReport) -> String {
    format!("view {} cells {}", status.view, status.cells)
}
