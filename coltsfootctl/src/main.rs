//! `coltsfootctl`: publishes and inspects the configuration, queries and drains instances.

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
