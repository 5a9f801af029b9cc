//! The `coltsfootd` binary: runs one entry instance.

mod cmd;

use std::process;

fn main() -> process::ExitCode {
    match cmd::run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("coltsfootd: {error}");
            process::ExitCode::from(error.exit_code())
        }
    }
}
