//! The whole path as separate processes: published configuration, streamed and unstreamed chat,
//! plain services, and the loss of a daemon and of an engine.

use coltsfoot_fakes::{answer, engine};
use coltsfoot_platform::protocol;
use coltsfoot_system::{caller, cluster, sample};
use http_types::Method;

fn expected_text(adapter: &str, prompt: &str, max_tokens: u32) -> String {
    let messages = [protocol::ChatMessage { role: "user".to_owned(), content: prompt.to_owned() }];
    let adapter = adapter.parse().expect("an adapter version");
    answer::ExpectedAnswer::new(&adapter, &messages, Some(max_tokens)).text()
}

fn start() -> cluster::ProcessCluster {
    let switches = engine::EngineSwitches::builder().token_us(2_000).build();
    let options = cluster::ClusterOptions::builder().engine_switches(switches).build();
    let cluster = cluster::ProcessCluster::start(options);
    let zones = cluster.options.zones.clone();
    let (code, output) = cluster.apply(&sample::sample_objects(&zones, &["korrigan", "magyar"]));
    assert_eq!(code, Some(0), "{output}");
    cluster.wait_for_offset(1);
    cluster
}

#[test]
fn daemon_serves_on_after_sighup() {
    let cluster = start();
    let korrigan = caller::HttpCaller::new(Some(&sample::key_of("korrigan")));
    cluster.wait_until_serving(&korrigan, "korrigan-drafting");
    check_answers(&korrigan, cluster.instances[0].caller_address);
    cluster.instances[0].program.signal("HUP");
    check_answers(&korrigan, cluster.instances[0].caller_address);
}

#[test]
fn requests_are_served_through_crashes_of_a_daemon_and_an_engine() {
    let mut cluster = start();
    let korrigan = caller::HttpCaller::new(Some(&sample::key_of("korrigan")));
    cluster.wait_until_serving(&korrigan, "korrigan-drafting");
    for instance in &cluster.instances {
        check_answers(&korrigan, instance.caller_address);
    }
    check_refusals(&korrigan, cluster.instances[0].caller_address);

    let killed = cluster.instances[0].listing.name.clone();
    cluster.instances[0].program.kill();
    check_answers(&korrigan, cluster.instances[1].caller_address);
    cluster.unlist_instance(&killed);
    check_answers(&korrigan, cluster.instances[2].caller_address);

    let address = cluster.instances[1].caller_address;
    let mut chunks = 0;
    let engine = cluster
        .upstreams
        .iter()
        .position(|upstream| upstream.listing.name.as_str().starts_with("engine-brest"))
        .expect("the zone has an engine");
    let streaming = korrigan.stream(address, "korrigan-drafting", "a long one", 200, |_| {
        chunks += 1;
        if chunks == 10 {
            cluster.upstreams[engine].fake.program.kill();
        }
    });
    let answer = async_io::block_on(streaming).expect("the stream ends");
    assert_eq!(answer.error_code, None);
    assert!(answer.done, "the end mark came");
    assert_eq!(answer.text, expected_text("korrigan-drafts@1", "a long one", 200));

    for upstream in &cluster.upstreams {
        if upstream.listing.name.as_str().starts_with("engine-brest") {
            continue;
        }
        let observations = upstream.fake.observations();
        assert_eq!(observations["authorization_headers"], 0, "no upstream sees a caller's key");
    }
}

fn check_answers(korrigan: &caller::HttpCaller, address: std::net::SocketAddr) {
    let prompt = "brief the crew of the banquet";
    let expected = expected_text("korrigan-drafts@1", prompt, 40);
    let answer = async_io::block_on(korrigan.chat(address, "korrigan-drafting", prompt, 40));
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.text()), (200, expected.clone()), "{}", answer.body);
    assert_eq!(answer.json()["model"], "korrigan-drafts@1");

    let stream = korrigan.stream(address, "korrigan-drafts@1", prompt, 40, |_| {});
    let stream = async_io::block_on(stream).expect("a stream");
    assert_eq!((stream.status, stream.text, stream.done), (200, expected, true));

    let path = "/v1/services/look-up/people?shift=1";
    let answer = async_io::block_on(korrigan.call(Method::Get, address, path, ""));
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.json()["path"], "/people?shift=1");
}

fn check_refusals(korrigan: &caller::HttpCaller, address: std::net::SocketAddr) {
    let nobody = caller::HttpCaller::new(None);
    let stranger = caller::HttpCaller::new(Some("key-nobody"));
    let cases = [
        (&nobody, "korrigan-drafting", 401, "missing_key"),
        (&stranger, "korrigan-drafting", 401, "invalid_key"),
        (korrigan, "magyar-drafting", 403, "not_permitted"),
        (korrigan, "magyar-drafts@1", 403, "not_permitted"),
        (korrigan, "korrigan-drafts@9", 404, "unknown_route"),
        (korrigan, "nothing", 404, "unknown_route"),
    ];
    for (caller, model, status, code) in cases {
        let answer = async_io::block_on(caller.chat(address, model, "hello", 4));
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.code().as_str()), (status, code), "{}", answer.body);
        assert_eq!(answer.json()["error"]["ran"], "no");
    }
}
