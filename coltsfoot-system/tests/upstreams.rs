//! Upstreams that answer for another adapter or request, and upstreams that leave.

use std::thread;
use std::time;

use coltsfoot_fakes::answer;
use coltsfoot_platform::protocol;
use coltsfoot_system::{caller, cluster, sample};
use http_types::Method;
use rstest::rstest;

const ZONE: &str = "rennes";
const PROMPT: &str = "brief the crew of the banquet";
const TOKENS: u32 = 20;
/// Time after which a leaving upstream must get no new work.
const LEAVING_LIMIT: time::Duration = time::Duration::from_secs(3);

fn start() -> cluster::ProcessCluster {
    let options = cluster::ClusterOptions::builder().zones(vec![ZONE]).engines_per_zone(2).build();
    let mut cluster = cluster::ProcessCluster::start(options);
    cluster.start_service(ZONE);
    let (code, output) = cluster.apply(&sample::sample_objects(&[ZONE], &["korrigan"]));
    assert_eq!(code, Some(0), "{output}");
    cluster.wait_until_serving(&korrigan(), "korrigan-drafting");
    cluster
}

fn korrigan() -> caller::HttpCaller {
    caller::HttpCaller::new(Some(&sample::key_of("korrigan")))
}

fn expected_text() -> String {
    let content = PROMPT.to_owned();
    let messages = [protocol::ChatMessage { role: "user".to_owned(), content }];
    let adapter = "korrigan-drafts@1".parse().expect("an adapter version");
    answer::ExpectedAnswer::new(&adapter, &messages, Some(TOKENS)).text()
}

/// Returns the places of the engines.
fn engines(cluster: &cluster::ProcessCluster) -> Vec<usize> {
    let is_engine = |place: &usize| {
        let role = &cluster.upstreams[*place].listing.role;
        matches!(role, protocol::UpstreamRole::Engine { .. })
    };
    (0..cluster.upstreams.len()).filter(is_engine).collect()
}

fn count(cluster: &cluster::ProcessCluster, place: usize, counter: &str) -> u64 {
    cluster.upstreams[place].fake.observations()[counter].as_u64().expect("a count")
}

#[rstest]
#[case::another_adapter(serde_json::json!({ "wrong_adapter": "menus@7" }))]
#[case::another_request(serde_json::json!({ "wrong_attempt": "0000-0" }))]
fn an_answer_for_another_adapter_or_request_is_never_passed_on(#[case] fault: serde_json::Value) {
    let cluster = start();
    let address = cluster.instances[0].caller_address;
    let engines = engines(&cluster);
    let busy = engines.iter().copied().find(|place| count(&cluster, *place, "chats") > 0);
    let busy = busy.expect("an engine has served");
    cluster.upstreams[busy].fake.switch(&fault);
    for _ in 0..5 {
        let answer =
            async_io::block_on(korrigan().chat(address, "korrigan-drafting", PROMPT, TOKENS));
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.text()), (200, expected_text()), "{}", answer.body);
    }
    assert!(count(&cluster, busy, "chats") > 1, "the faulty engine was asked");
}

#[test]
fn a_leaving_upstream_gets_no_new_work_after_its_limit() {
    let cluster = start();
    let address = cluster.instances[0].caller_address;
    let engines = engines(&cluster);
    let busy = engines.iter().copied().find(|place| count(&cluster, *place, "chats") > 0);
    let engine = busy.expect("an engine has served");
    let service = (0..cluster.upstreams.len()).find(|place| !engines.contains(place));
    let service = service.expect("a service was started");
    cluster.mark_leaving(engine);
    cluster.mark_leaving(service);
    thread::sleep(LEAVING_LIMIT);
    let before = (count(&cluster, engine, "chats"), count(&cluster, service, "runs"));
    for _ in 0..10 {
        let answer =
            async_io::block_on(korrigan().chat(address, "korrigan-drafting", PROMPT, TOKENS));
        assert_eq!(answer.expect("an answer").status, 200);
        let path = "/v1/services/look-up/people";
        let answer = async_io::block_on(korrigan().call(Method::Get, address, path, ""));
        assert_eq!(answer.expect("an answer").status, 200);
    }
    let after = (count(&cluster, engine, "chats"), count(&cluster, service, "runs"));
    assert_eq!(after, before);
}
