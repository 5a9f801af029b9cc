//! Runs a measure.

use std::process;

/// Runs a case of a measure and returns its line of JSON.
pub fn report(measure: &str, case: &str, seed: u64) -> serde_json::Value {
    let output = process::Command::new(env!("CARGO_BIN_EXE_coltsfoot-measure"))
        .args([measure, "--case", case, "--seed", &seed.to_string()])
        .output()
        .expect("the program runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("a line of JSON")
}
