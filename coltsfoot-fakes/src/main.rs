//! `coltsfoot-fakes`: runs one fake as a process of its own.

mod cmd;

use std::process;

fn main() -> process::ExitCode {
    match cmd::run() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coltsfoot-fakes: {error}");
            process::ExitCode::FAILURE
        }
    }
}
