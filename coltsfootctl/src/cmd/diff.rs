//! `diff`: compares a change file with the configuration in force.

use coltsfoot_catalog::{object, reference, state};

use crate::{change_file, cmd, error, options, reader};

pub(super) const COMMAND: cmd::ToolCommand = cmd::ToolCommand {
    name: "diff",
    usage: "diff FILE [--json]",
    summary: "Shows what a change file would change; exit code 5 if anything",
    examples: "  coltsfootctl diff fleet.json --log 127.0.0.1:7000\n  \
               coltsfootctl diff fleet.json --settings tool.json --json",
    operands: 1..=1,
    options: &["json"],
    run,
};

/// One object that differs.
#[derive(Debug, serde::Serialize)]
struct ObjectDifference {
    object: reference::ObjectRef,
    current: Option<object::CatalogObject>,
    wanted: Option<object::CatalogObject>,
}

fn run(options: &options::ToolOptions) -> Result<(), error::ToolError> {
    let set = change_file::read(options)?;
    let differences = async_io::block_on(async {
        let mut reader = reader::ConfigReader::open(options).await?;
        reader.advance(drop).await?;
        Ok::<_, error::ToolError>(differences(reader.replica().state(), set))
    })?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&differences)?);
    } else {
        print_differences(&differences)?;
    }
    if differences.is_empty() { Ok(()) } else { Err(error::ToolError::Differs(differences.len())) }
}

fn differences(state: &state::CatalogState, set: object::ChangeSet) -> Vec<ObjectDifference> {
    let difference = |change: object::ObjectChange| {
        let object = change.action.object();
        let current = state.object(&object).map(|versioned| versioned.object);
        let wanted = match change.action {
            object::ChangeAction::Put(wanted) => Some(wanted),
            object::ChangeAction::Remove { .. } => None,
        };
        (current != wanted).then_some(ObjectDifference { object, current, wanted })
    };
    set.changes.into_iter().filter_map(difference).collect()
}

fn print_differences(differences: &[ObjectDifference]) -> Result<(), error::ToolError> {
    for difference in differences {
        println!("{}", difference.object);
        if let Some(current) = &difference.current {
            println!("  - {}", serde_json::to_string(current)?);
        }
        if let Some(wanted) = &difference.wanted {
            println!("  + {}", serde_json::to_string(wanted)?);
        }
    }
    Ok(())
}
