//! Files of changes that operators write.

use std::env;
use std::fs;
use std::path;

use coltsfoot_catalog::object;
use serde::Deserialize;

use crate::{error, options};

/// Content of a change file: a change set whose id and author may be left out.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeFile {
    #[serde(default)]
    change_id: Option<uuid::Uuid>,
    #[serde(default)]
    author: Option<String>,
    changes: Vec<object::ObjectChange>,
}

/// Reads the change file that is the first operand.
pub fn read(options: &options::ToolOptions) -> Result<object::ChangeSet, error::ToolError> {
    let path = path::PathBuf::from(options.operand(0));
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(source) => return Err(error::ToolError::Unreadable { path, source }),
    };
    let file: ChangeFile = serde_json::from_slice(&bytes)
        .map_err(|source| error::ToolError::MalformedFile { path, source })?;
    let change_id = options.change_id.or(file.change_id);
    let author = options.author.clone().or(file.author);
    Ok(object::ChangeSet {
        change_id: change_id.unwrap_or_else(uuid::Uuid::new_v4),
        author: author.unwrap_or_else(default_author),
        changes: file.changes,
    })
}

/// Builds a set of one change.
pub fn single(options: &options::ToolOptions, change: object::ObjectChange) -> object::ChangeSet {
    object::ChangeSet {
        change_id: options.change_id.unwrap_or_else(uuid::Uuid::new_v4),
        author: options.author.clone().unwrap_or_else(default_author),
        changes: vec![change],
    }
}

fn default_author() -> String {
    env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}
