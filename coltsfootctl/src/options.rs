//! Parsing of the command line.

use std::ffi;
use std::net;
use std::path;

use lexopt::ValueExt as _;

use crate::{error, settings};

/// Options and operands of one run.
#[derive(Debug, Default)]
pub struct ToolOptions {
    /// The command, absent if only help is requested.
    pub command: Option<String>,
    /// Operands of the command.
    pub operands: Vec<String>,
    /// Whether help is requested.
    pub help: bool,
    /// Whether output is JSON.
    pub json: bool,
    /// Id of the change set.
    pub change_id: Option<uuid::Uuid>,
    /// Author of the change set.
    pub author: Option<String>,
    /// Customer of a granted key.
    pub customer: Option<String>,
    /// Digest of a granted key.
    pub digest: Option<String>,
    settings: settings::ToolSettings,
    given_options: Vec<&'static str>,
}

/// Options that apply to every command.
const COMMON_OPTIONS: &[&str] = &["help", "log", "list", "settings"];

impl ToolOptions {
    /// Parses the command line of the process.
    pub fn from_env() -> Result<Self, error::ToolError> {
        Self::parse(lexopt::Parser::from_env())
    }

    /// Returns the address of the log.
    pub fn log(&self) -> Result<net::SocketAddr, error::ToolError> {
        self.settings.log.ok_or(error::ToolError::MissingOption("log"))
    }

    /// Returns the address of the instance list.
    pub fn list(&self) -> Result<net::SocketAddr, error::ToolError> {
        self.settings.list.ok_or(error::ToolError::MissingOption("list"))
    }

    /// Returns whether an address of the log is known.
    pub fn has_log(&self) -> bool {
        self.settings.log.is_some()
    }

    /// Returns an operand, empty if it is absent.
    pub fn operand(&self, index: usize) -> &str {
        self.operands.get(index).map_or("", String::as_str)
    }

    /// Refuses options that do not apply to the command.
    pub fn check_applicable(
        &self,
        command: &'static str,
        applicable: &[&str],
    ) -> Result<(), error::ToolError> {
        let applies =
            |option: &str| COMMON_OPTIONS.contains(&option) || applicable.contains(&option);
        match self.given_options.iter().find(|option| !applies(option)) {
            Some(option) => Err(error::ToolError::InapplicableOption { option, command }),
            None => Ok(()),
        }
    }

    fn parse(mut parser: lexopt::Parser) -> Result<Self, error::ToolError> {
        let mut options = Self::default();
        let mut file = None;
        while let Some(argument) = parser.next()? {
            match argument {
                lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => options.help = true,
                lexopt::Arg::Long("json") => {
                    options.given_options.push("json");
                    options.json = true;
                }
                lexopt::Arg::Long("log") => {
                    options.settings.log = Some(address("log", parser.value()?)?);
                }
                lexopt::Arg::Long("list") => {
                    options.settings.list = Some(address("list", parser.value()?)?);
                }
                lexopt::Arg::Long("settings") => {
                    file = Some(path::PathBuf::from(parser.value()?));
                }
                lexopt::Arg::Long("change-id") => {
                    options.given_options.push("change-id");
                    options.change_id = Some(change_id(parser.value()?)?);
                }
                lexopt::Arg::Long("author") => {
                    options.given_options.push("author");
                    options.author = Some(parser.value()?.string()?);
                }
                lexopt::Arg::Long("customer") => {
                    options.given_options.push("customer");
                    options.customer = Some(parser.value()?.string()?);
                }
                lexopt::Arg::Long("digest") => {
                    options.given_options.push("digest");
                    options.digest = Some(parser.value()?.string()?);
                }
                lexopt::Arg::Value(value) if options.command.is_none() => {
                    options.command = Some(value.string()?);
                }
                lexopt::Arg::Value(value) => options.operands.push(value.string()?),
                _ => return Err(argument.unexpected().into()),
            }
        }
        options.fill_from(file)?;
        Ok(options)
    }

    /// Fills in what the options leave out from the settings file.
    fn fill_from(&mut self, file: Option<path::PathBuf>) -> Result<(), error::ToolError> {
        let Some(file) = file else { return Ok(()) };
        let settings = settings::ToolSettings::read(&file)?;
        self.settings.log = self.settings.log.or(settings.log);
        self.settings.list = self.settings.list.or(settings.list);
        Ok(())
    }
}

fn address(what: &'static str, value: ffi::OsString) -> Result<net::SocketAddr, error::ToolError> {
    let value = value.string()?;
    let remedy = "write IP:PORT, e.g. 127.0.0.1:7000";
    value.parse().map_err(|_| error::ToolError::BadValue { what, value, remedy })
}

fn change_id(value: ffi::OsString) -> Result<uuid::Uuid, error::ToolError> {
    let value = value.string()?;
    let (what, remedy) = ("change id", "give a UUID");
    value.parse().map_err(|_| error::ToolError::BadValue { what, value, remedy })
}
