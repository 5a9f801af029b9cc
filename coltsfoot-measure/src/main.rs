//! `coltsfoot-measure`: measures the decisions and the path, one subcommand a measure.

mod burst;
mod cmd;
mod config;
mod control_cost;
mod fleet_model;
mod limits;
mod once;
mod path_load;
mod placement;
mod quota_comparison;
mod quota_reference;
mod quota_run;
mod quota_workload;
mod retries;
// The tests of `coltsfoot-quota` use the rest.
#[allow(dead_code)]
mod virtual_fleet;

use std::process;

fn main() -> process::ExitCode {
    match cmd::run() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coltsfoot-measure: {error}");
            process::ExitCode::FAILURE
        }
    }
}
