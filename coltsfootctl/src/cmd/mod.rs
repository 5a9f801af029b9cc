//! Subcommands, one file each.

mod apply;
mod check;
mod diff;
mod drain;
mod get;
mod history;
mod instance;
mod key;
mod status;

use std::ops;

use crate::{error, options};

/// A subcommand.
struct ToolCommand {
    name: &'static str,
    usage: &'static str,
    summary: &'static str,
    examples: &'static str,
    operands: ops::RangeInclusive<usize>,
    options: &'static [&'static str],
    run: fn(&options::ToolOptions) -> Result<(), error::ToolError>,
}

/// All subcommands, in the order of the help text.
const COMMANDS: &[ToolCommand] = &[
    check::COMMAND,
    apply::COMMAND,
    diff::COMMAND,
    get::COMMAND,
    history::COMMAND,
    status::COMMAND,
    key::COMMAND,
    drain::COMMAND,
];

/// Help text common to all commands.
const COMMON_HELP: &str = "\
Options:
  --log IP:PORT       address of the platform's log
  --list IP:PORT      address of the platform's instance list
  --settings FILE     JSON file with the keys \"log\" and \"list\"; options go before it
  --help              this text, or that of a command

Exit codes:
  0  done
  1  the change set is inconsistent or was rejected
  2  the command line, the settings or a file can't be used
  3  the platform or an instance can't be reached, or the outcome is unknown
  4  the object or instance does not exist
  5  diff: there are differences";

/// Runs the command that the command line names.
pub fn run() -> Result<(), error::ToolError> {
    let options = options::ToolOptions::from_env()?;
    let Some(name) = &options.command else {
        print_help();
        return Ok(());
    };
    let found = COMMANDS.iter().find(|command| command.name == name);
    let command = found.ok_or_else(|| error::ToolError::UnknownCommand(name.clone()))?;
    if options.help {
        print_command_help(command);
        return Ok(());
    }
    if !command.operands.contains(&options.operands.len()) {
        return Err(error::ToolError::Operands(command.usage));
    }
    options.check_applicable(command.name, command.options)?;
    (command.run)(&options)
}

fn print_help() {
    println!("Usage: coltsfootctl COMMAND [OPTIONS]\n\nCommands:");
    for command in COMMANDS {
        println!("  {:<26} {}", command.usage, command.summary);
    }
    println!("\n{COMMON_HELP}");
}

fn print_command_help(command: &ToolCommand) {
    println!("Usage: coltsfootctl {}\n\n{}\n", command.usage, command.summary);
    println!("Examples:\n{}\n\n{COMMON_HELP}", command.examples);
}
