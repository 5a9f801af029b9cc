//! Addresses of the platform, from options or a settings file.

use std::fs;
use std::net;
use std::path;

use serde::Deserialize;

use crate::error;

/// Content of the settings file.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToolSettings {
    /// Address of the log, `IP:PORT`.
    pub log: Option<net::SocketAddr>,
    /// Address of the instance list, `IP:PORT`.
    pub list: Option<net::SocketAddr>,
}

impl ToolSettings {
    /// Reads a settings file.
    pub fn read(path: &path::Path) -> Result<Self, error::ToolError> {
        let read = fs::read(path);
        let bytes =
            read.map_err(|source| error::ToolError::Unreadable { path: path.into(), source })?;
        serde_json::from_slice(&bytes)
            .map_err(|source| error::ToolError::MalformedFile { path: path.into(), source })
    }
}
