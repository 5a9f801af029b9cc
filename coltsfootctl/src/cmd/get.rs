//! `get`: shows objects with their revisions.

use coltsfoot_catalog::{object, reference, state};

use crate::{cmd, error, options, reader};

pub(super) const COMMAND: cmd::ToolCommand = cmd::ToolCommand {
    name: "get",
    usage: "get KIND [NAME] [--json]",
    summary: "Shows the objects of a kind, or one object, with revisions",
    examples: "  coltsfootctl get route --log 127.0.0.1:7000\n  \
               coltsfootctl get adapter menus --json --settings tool.json\n\n\
               Kinds: policy, customer, key, adapter, route, exception. With --json each object\n\
               is printed as a change that can be edited and given to `apply`.",
    operands: 1..=2,
    options: &["json"],
    run,
};

fn run(options: &options::ToolOptions) -> Result<(), error::ToolError> {
    let kind = parse_kind(options.operand(0))?;
    let objects = async_io::block_on(async {
        let mut reader = reader::ConfigReader::open(options).await?;
        reader.advance(drop).await?;
        select(reader.replica().state(), kind, options.operands.get(1))
    })?;
    if options.json {
        let changes: Vec<_> = objects.into_iter().map(change_of).collect();
        println!("{}", serde_json::to_string_pretty(&changes)?);
        return Ok(());
    }
    for versioned in objects {
        let object = serde_json::to_string(&versioned.object)?;
        println!("{:<24} revision {:<8} {object}", versioned.object.name(), versioned.revision);
    }
    Ok(())
}

fn parse_kind(value: &str) -> Result<object::ObjectKind, error::ToolError> {
    let found = object::ObjectKind::ALL.into_iter().find(|kind| kind.as_str() == value);
    found.ok_or_else(|| error::ToolError::BadValue {
        what: "kind",
        value: value.to_owned(),
        remedy: "use policy, customer, key, adapter, route or exception",
    })
}

fn select(
    state: &state::CatalogState,
    kind: object::ObjectKind,
    name: Option<&String>,
) -> Result<Vec<state::VersionedObject>, error::ToolError> {
    let Some(name) = name else {
        return Ok(state.objects().filter(|versioned| versioned.object.kind() == kind).collect());
    };
    let object = reference::ObjectRef::new(kind, name);
    let found = state.object(&object);
    found.map(|versioned| vec![versioned]).ok_or(error::ToolError::NoSuchObject(object))
}

fn change_of(versioned: state::VersionedObject) -> object::ObjectChange {
    let action = object::ChangeAction::Put(versioned.object);
    object::ObjectChange { revision: Some(versioned.revision), action }
}
