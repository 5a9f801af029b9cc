//! `coltsfoot-demo`: daemons and fakes of their platform in one process, under a mixed workload.

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
