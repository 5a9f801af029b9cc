//! Publishing: concurrent operators, lost responses, rejected sets, keys and outages.

mod common;

use coltsfoot_catalog::digest;
use coltsfoot_fakes::log;
use serde_json::json;

/// Number of operators that publish concurrently.
const OPERATORS: u64 = 6;

fn fixture(name: &str) -> common::ToolFixture {
    common::ToolFixture::start(name, log::LogSwitches::default())
}

#[test]
fn one_of_several_concurrent_operators_wins_and_the_others_get_a_conflict() {
    let fixture = fixture("race");
    fixture.publish_base();
    let start = |operator: u64| {
        let changes = json!([common::put(Some(0), common::route(10 + operator as u8))]);
        let file = fixture.changes(&format!("race-{operator}.json"), changes);
        fixture.command(&["apply", &file]).spawn().unwrap()
    };
    let children: Vec<_> = (0..OPERATORS).map(start).collect();
    let runs: Vec<_> = children.into_iter().map(common::finish).collect();
    let winners: Vec<_> = (0..).zip(&runs).filter(|(_, run)| run.code == 0).collect();
    assert_eq!(winners.len(), 1, "{runs:?}");
    let losers = runs.iter().filter(|run| run.code != 0);
    for loser in losers {
        assert_eq!(loser.code, 1, "{loser:?}");
        assert!(loser.errors.contains("another operator wrote revision"), "{loser:?}");
    }
    let current = fixture.json(&["get", "route", "brief", "--json"]);
    assert_eq!(current[0]["action"]["put"]["priority"], json!(10 + winners[0].0));
}

#[test]
fn a_set_with_lost_responses_is_applied_once_and_reported_accepted() {
    let fixture = fixture("lost-answers");
    fixture.publish_base();
    fixture.log.switch(|switches| switches.lost_answers_permille = 1_000);
    let file = fixture.changes("lost.json", json!([common::put(Some(0), common::route(9))]));
    let run = fixture.run(&["apply", &file]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.output.contains("at offset 1"), "{run:?}");
    assert!(fixture.log.observations().lost_answers > 1);
    let history = fixture.json(&["history", "--json"]);
    let verdicts: Vec<_> = history.as_array().unwrap().iter().map(|row| &row["verdict"]).collect();
    assert_eq!(verdicts[..2], ["accepted", "accepted"]);
    assert!(verdicts[2..].iter().all(|verdict| *verdict == "duplicate"), "{verdicts:?}");
}

#[test]
fn a_lost_set_can_be_published_again_with_its_id() {
    let fixture = fixture("lost-appends");
    fixture.publish_base();
    fixture.log.switch(|switches| switches.lost_appends_permille = 1_000);
    let file = fixture.changes("lost.json", json!([common::put(Some(0), common::route(9))]));
    let run = fixture.run(&["apply", &file]);
    assert_eq!(run.code, 3, "{run:?}");
    let change_id = run.errors.split("--change-id ").nth(1).unwrap();
    let change_id = change_id.split(',').next().unwrap();
    fixture.log.switch(|switches| switches.lost_appends_permille = 0);
    for _ in 0..2 {
        let again = fixture.run(&["apply", &file, "--change-id", change_id]);
        assert_eq!(again.code, 0, "{again:?}");
        assert!(again.output.contains("at offset 1"), "{again:?}");
    }
    assert_eq!(fixture.json(&["history", "--json"]).as_array().unwrap().len(), 2);
}

#[test]
fn an_inconsistent_set_is_not_appended() {
    let fixture = fixture("rejected");
    fixture.publish_base();
    let route = json!({"kind": "route", "name": "other", "target": {"model": {"adapter": "none"}},
        "access": {"customers": ["hotel"]}});
    let file = fixture.changes("bad.json", json!([common::put(None, route)]));
    for command in ["check", "apply"] {
        let run = fixture.run(&[command, &file]);
        assert_eq!(run.code, 1, "{run:?}");
        let message =
            "route \"other\", field `target`: adapter \"none\" does not exist; publish it";
        assert!(run.errors.contains(message), "{run:?}");
    }
    assert_eq!(fixture.log.observations().values, 1);
}

#[test]
fn an_outage_exits_with_code_3() {
    let fixture = fixture("outage");
    fixture.log.switch(|switches| switches.outage = true);
    let file = fixture.changes("base.json", common::base_changes());
    assert_eq!(fixture.run(&["apply", &file]).code, 3);
}

#[test]
fn keys_are_granted_once_and_withdrawn() {
    let fixture = fixture("keys");
    fixture.publish_base();
    let grant = fixture.run(&["key", "grant", "desk", "--customer", "hotel"]);
    assert_eq!(grant.code, 0, "{grant:?}");
    let secret = grant.output.lines().find_map(|line| line.strip_prefix("key: ")).unwrap();
    let stored = &fixture.json(&["get", "key", "desk", "--json"])[0]["action"]["put"];
    assert_eq!(stored["digest"], json!(digest::KeyDigest::of(secret).to_string()));
    assert_eq!(fixture.run(&["key", "grant", "desk", "--customer", "hotel"]).code, 1);
    assert_eq!(fixture.run(&["key", "withdraw", "desk"]).code, 0);
    let stored = &fixture.json(&["get", "key", "desk", "--json"])[0]["action"]["put"];
    assert_eq!(stored["withdrawn"], json!(true));
    assert!(fixture.run(&["key", "withdraw", "desk"]).output.contains("withdrawn before"));
    assert_eq!(fixture.run(&["key", "withdraw", "none"]).code, 4);
}
