//! Commands that read, settings, usage errors and calls to instances.

mod common;

use coltsfoot_catalog::{replica, snapshot};
use coltsfoot_fakes::log;
use coltsfoot_platform::protocol;
use rstest::rstest;
use serde_json::json;

fn fixture(name: &str) -> common::ToolFixture {
    common::ToolFixture::start(name, log::LogSwitches::default())
}

fn listing(name: &str, operator_address: std::net::SocketAddr) -> protocol::EntryListing {
    protocol::EntryListing {
        name: name.into(),
        zone: "rennes".into(),
        peer_address: operator_address,
        operator_address,
        leaving: false,
    }
}

#[rstest]
#[case::unknown_command(&["publish"], 2, "no command is called")]
#[case::unknown_option(&["get", "route", "--colour"], 2, "invalid option")]
#[case::inapplicable(&["get", "route", "--customer", "c"], 2, "--customer does not apply to `get`")]
#[case::operands(&["get"], 2, "usage: coltsfootctl get")]
#[case::kind(&["get", "engine"], 2, "use policy, customer")]
#[case::change_id(&["apply", "x", "--change-id", "7"], 2, "give a UUID")]
#[case::no_file(&["check", "no-such-file.json"], 2, "name a readable file")]
#[case::no_object(&["get", "route", "none"], 4, "route \"none\" does not exist")]
#[case::no_instance(&["drain", "none"], 4, "is not listed")]
fn usage_errors_name_the_remedy(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] message: &str,
) {
    let run = fixture("usage").run(arguments);
    assert_eq!(run.code, code, "{run:?}");
    assert!(run.errors.contains(message), "{run:?}");
}

#[test]
fn settings_come_from_a_file_without_unknown_keys() {
    let fixture = fixture("settings");
    let good = fixture.file("good.json", &json!({"log": fixture.log.address()}));
    let bad = fixture.file("bad.json", &json!({"logs": fixture.log.address()}));
    let run = |file: &std::path::Path| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_coltsfootctl"));
        command.args(["history", "--settings"]).arg(file);
        command.stdout(std::process::Stdio::piped()).stderr(std::process::Stdio::piped());
        common::finish(command.spawn().unwrap())
    };
    assert_eq!(run(&good).code, 0);
    let refused = run(&bad);
    assert_eq!(refused.code, 2);
    assert!(refused.errors.contains("unknown field `logs`"), "{refused:?}");
}

#[test]
fn diff_shows_what_would_change() {
    let fixture = fixture("diff");
    fixture.publish_base();
    let same = fixture.changes("same.json", json!([common::put(Some(0), common::route(1))]));
    assert_eq!(fixture.run(&["diff", &same]).code, 0);
    let other = fixture.changes("other.json", json!([common::put(Some(0), common::route(3))]));
    let run = fixture.run(&["diff", &other]);
    assert_eq!(run.code, 5);
    assert!(run.output.contains("+ {\"kind\":\"route\"") && run.output.contains("route \"brief\""));
}

#[test]
fn objects_are_read_from_a_snapshot_if_the_log_is_trimmed() {
    let fixture = fixture("snapshot");
    fixture.publish_base();
    let mut replica = replica::CatalogReplica::new();
    let pool = coltsfoot_platform::http::HttpPool::new(Default::default());
    let client = coltsfoot_platform::log::LogClient::new(pool, fixture.log.address());
    async_io::block_on(async {
        let page = client.read(snapshot::CONFIG_STREAM, replica.next_offset(), 10).await.unwrap();
        replica.apply(page.records[0].offset, &page.records[0].value);
        let encoded = snapshot::encode(&replica).unwrap();
        let texts: Vec<_> =
            encoded.chunks.iter().map(|chunk| snapshot::chunk_text(chunk)).collect();
        let response = client.append(snapshot::SNAPSHOT_STREAM, &texts).await.unwrap();
        let index = snapshot::SnapshotIndex {
            offset: encoded.offset,
            chunk_offsets: vec![response.first_offset],
        };
        let text = serde_json::to_string(&index).unwrap();
        client.append(snapshot::INDEX_STREAM, &[text]).await.unwrap();
    });
    let file = fixture.changes("next.json", json!([common::put(Some(0), common::route(4))]));
    assert_eq!(fixture.run(&["apply", &file]).code, 0);
    fixture.log.switch(|switches| switches.retained_records = Some(1));
    let routes = fixture.json(&["get", "route", "--json"]);
    assert_eq!(routes[0]["action"]["put"]["priority"], json!(4));
    assert_eq!(fixture.json(&["get", "adapter", "--json"]).as_array().unwrap().len(), 1);
}

#[test]
fn status_and_drain_call_the_instances() {
    let fixture = fixture("status");
    let answer = r#"{"instance":"a","zone":"rennes","offset":7,"ready":true,"added_later":1}"#;
    let (address, requests) = common::serve_operator(answer);
    fixture.list.put_entry(listing("a", address));
    let unused_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    fixture.list.put_entry(listing("b", unused_address));
    let run = fixture.run(&["status", "--json"]);
    assert_eq!(run.code, 3, "{run:?}");
    let rows: serde_json::Value = serde_json::from_str(&run.output).unwrap();
    assert_eq!(rows[0]["status"]["offset"], json!(7));
    assert!(rows[1]["error"].as_str().unwrap().contains("could not connect"), "{rows}");
    assert!(fixture.run(&["status"]).output.contains("ready"));
    assert_eq!(fixture.run(&["drain", "a"]).code, 0);
    let lines: Vec<_> = requests.try_iter().collect();
    assert_eq!(lines, ["GET /status HTTP/1.1", "GET /status HTTP/1.1", "POST /drain HTTP/1.1"]);
}

#[test]
fn every_command_has_help_with_examples() {
    let fixture = fixture("help");
    for command in ["check", "apply", "diff", "get", "history", "status", "key", "drain"] {
        let run = fixture.run(&[command, "--help"]);
        assert_eq!(run.code, 0, "{run:?}");
        assert!(run.output.contains(&format!("Examples:\n  coltsfootctl {command}")), "{run:?}");
    }
}

#[test]
fn help_documents_the_exit_codes() {
    let run = fixture("exit-codes").run(&["--help"]);
    let codes = run.output.split("Exit codes:\n").nth(1).unwrap_or_default();
    let codes: Vec<_> = codes.lines().map(str::trim).collect();
    insta::assert_snapshot!(codes.join("\n"), @r"
    0  done
    1  the change set is inconsistent or was rejected
    2  the command line, the settings or a file can't be used
    3  the platform or an instance can't be reached, or the outcome is unknown
    4  the object or instance does not exist
    5  diff: there are differences
    ");
}
