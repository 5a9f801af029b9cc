//! Checks the validation of settings: errors name the key, the value and a remedy.

use std::fs;
use std::path;

use coltsfootd::settings;
use rstest::rstest;
use serde_json::json;

fn valid_settings() -> serde_json::Value {
    json!({
        "instance": "rennes-1",
        "zone": "rennes",
        "fleet_zones": ["brest", "rennes"],
        "caller_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "peer_secret": "a secret of some length",
        "log_address": "127.0.0.1:1",
        "list_address": "127.0.0.1:2",
    })
}

#[test]
fn valid_settings_get_defaults() {
    let settings = settings::DaemonSettings::parse(&valid_settings().to_string()).expect("valid");
    assert_eq!(settings.traffic_threads, 2);
    assert_eq!(settings.limits.max_body_bytes, 256 * 1_024);
}

#[rstest]
#[case::unknown_key("colour", json!("red"), "unknown field `colour`")]
#[case::bad_address("caller_address", json!("here"), "setting `caller_address`: invalid socket")]
#[case::wrong_type("traffic_threads", json!("two"), "setting `traffic_threads`: invalid type")]
#[case::no_threads("traffic_threads", json!(0), "setting `traffic_threads` is 0; use 1 to 64")]
#[case::short_secret("peer_secret", json!("short"), "setting `peer_secret` is 5 bytes long; use")]
#[case::empty_name("instance", json!(""), "setting `instance` is ; give the instance a name")]
#[case::other_zones("fleet_zones", json!(["brest"]), "setting `fleet_zones` is [ZoneName(\"brest\")]")]
#[case::nested_unknown("limits", json!({"max": 1}), "setting `limits.max`: unknown field `max`")]
#[case::nested_bound(
    "limits",
    json!({"max_connections": 0}),
    "setting `limits.max_connections` is 0; use at least 1"
)]
#[case::store_rate(
    "store_loads_per_second",
    json!(0.0),
    "setting `store_loads_per_second` is 0; use the weight store's rate"
)]
fn invalid_settings_are_rejected(
    #[case] key: &str,
    #[case] value: serde_json::Value,
    #[case] message: &str,
) {
    let mut settings = valid_settings();
    settings[key] = value;
    let error = settings::DaemonSettings::parse(&settings.to_string()).expect_err("rejected");
    assert!(error.to_string().contains(message), "{error}");
}

#[test]
fn error_names_a_missing_key() {
    let mut settings = valid_settings();
    settings.as_object_mut().expect("object").remove("zone");
    let error = settings::DaemonSettings::parse(&settings.to_string()).expect_err("rejected");
    assert!(error.to_string().contains("missing field `zone`"), "{error}");
}

#[test]
fn page_lists_exactly_the_settings_of_the_code() {
    let page = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/operators/settings.md");
    let page = fs::read_to_string(page).expect("the page is readable");
    let mut documented: Vec<_> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once('`'))
        .map(|(key, _)| key.to_owned())
        .collect();
    documented.sort();
    let mut known = known_keys("", valid_settings());
    known.extend(known_keys("limits.", json!({ "limits": {} })));
    known.retain(|key| key != "limits");
    known.sort();
    assert_eq!(documented, known);
}

/// Returns the keys that the parser accepts: its error for an unknown key lists them.
fn known_keys(prefix: &str, mut settings: serde_json::Value) -> Vec<String> {
    match prefix {
        "" => settings["?"] = json!(0),
        _ => settings["limits"]["?"] = json!(0),
    }
    let error = settings::DaemonSettings::parse(&settings.to_string()).expect_err("rejected");
    let message = error.to_string();
    let (_, expected) = message.split_once("expected one of ").expect("the keys are listed");
    let (expected, _) = expected.split_once(" at line").expect("the position follows");
    expected.split(", ").map(|key| format!("{prefix}{}", key.trim_matches('`'))).collect()
}
