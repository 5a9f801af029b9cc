//! `coltsfootctl`: publishes and inspects the configuration, asks instances, plans stops.

mod change_file;
mod cmd;
mod error;
mod options;
mod publish;
mod reader;
mod settings;

use std::process;

fn main() -> process::ExitCode {
    match cmd::run() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coltsfootctl: {error}");
            process::ExitCode::from(error.exit_code())
        }
    }
}
