//! `coltsfoot-demo`: stand-ins and daemons in one process, with a mixed workload.

mod cmd;
mod deployment;
mod report;
mod workload;

use std::process;

fn main() -> process::ExitCode {
    match cmd::run() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coltsfoot-demo: {error}");
            process::ExitCode::FAILURE
        }
    }
}
