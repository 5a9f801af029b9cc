//! Once-only calls over separate processes: repeats, lost answers, cut points, a log outage, and
//! the death of the instance that claimed a call.

use std::net;
use std::thread;

use coltsfoot_system::{caller, cluster, sample};
use http_types::Method;
use serde_json::json;

const PATH: &str = "/v1/services/book/shifts";

struct OnceTest {
    cluster: cluster::ProcessCluster,
    caller: caller::HttpCaller,
}

impl OnceTest {
    fn start() -> Self {
        let options = cluster::ClusterOptions::builder().engines_per_zone(0).build();
        let cluster = cluster::ProcessCluster::start(options);
        let zones = cluster.options.zones.clone();
        let (code, output) = cluster.apply(&sample::sample_objects(&zones, &["korrigan"]));
        assert_eq!(code, Some(0), "{output}");
        cluster.wait_for_offset(1);
        let caller = caller::HttpCaller::new(Some(&sample::key_of("korrigan")));
        let test = Self { cluster, caller };
        for place in 0..test.cluster.instances.len() {
            cluster::wait_until("the instance books", || {
                test.book(place, &new_key(), "first").is_some_and(|answer| answer.status == 200)
            });
        }
        test
    }

    fn address(&self, place: usize) -> net::SocketAddr {
        self.cluster.instances[place].caller_address
    }

    fn book(&self, place: usize, key: &str, body: &str) -> Option<caller::CallAnswer> {
        let extra = [("Idempotency-Key", key)];
        let call = self.caller.call_with(Method::Post, self.address(place), PATH, body, &extra);
        async_io::block_on(call).ok()
    }

    /// Returns how often the services have run a key.
    fn runs(&self, key: &str) -> u64 {
        let observations = self.cluster.upstreams.iter().map(|service| service.fake.observations());
        let runs =
            observations.flat_map(|seen| seen["by_call"].as_array().cloned().unwrap_or_default());
        runs.filter(|run| run["key"] == key).filter_map(|run| run["runs"].as_u64()).sum()
    }

    fn switch_services(&self, switches: &serde_json::Value) {
        for service in &self.cluster.upstreams {
            service.fake.switch(switches);
        }
    }
}

fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn ran(answer: &caller::CallAnswer) -> String {
    answer.json()["error"]["ran"].as_str().unwrap_or_default().to_owned()
}

#[test]
fn once_only_calls_run_once_and_are_answered_truly() {
    let mut test = OnceTest::start();
    check_keys(&test);
    check_repeats(&test);
    check_cut_points(&test);
    check_outage(&test);
    check_death_of_the_winner(&mut test);
    for service in &test.cluster.upstreams {
        let seen = service.fake.observations();
        assert_eq!((&seen["double_runs"], &seen["authorization_headers"]), (&json!(0), &json!(0)));
    }
}

fn check_keys(test: &OnceTest) {
    let missing = test.caller.call(Method::Post, test.address(0), PATH, "x");
    let missing = async_io::block_on(missing).expect("an answer");
    assert_eq!((missing.status, missing.code().as_str()), (400, "missing_idempotency_key"));
    let old = uuid::Builder::from_unix_timestamp_millis(1_600_000_000_000, &[7; 10]).into_uuid();
    for (key, expected) in [("shift-9".to_owned(), "no"), (old.to_string(), "unknown")] {
        let answer = test.book(0, &key, "x").expect("an answer");
        assert_eq!(answer.code(), "invalid_idempotency_key");
        assert_eq!(ran(&answer), expected);
    }
}

fn check_repeats(test: &OnceTest) {
    let key = new_key();
    test.switch_services(&json!({ "delay_ms": 100 }));
    let answers: Vec<_> = thread::scope(|scope| {
        let places = [0, 1, 2, 0];
        let calls = places.map(|place| {
            let key = &key;
            scope.spawn(move || test.book(place, key, "12 servers").expect("an answer"))
        });
        calls.into_iter().map(|call| call.join().expect("the call ends")).collect()
    });
    test.switch_services(&json!({ "delay_ms": 1 }));
    for answer in &answers {
        assert_eq!((answer.status, &answer.body), (200, &answers[0].body), "the same answer");
    }
    let other = test.book(1, &key, "13 servers").expect("an answer");
    assert_eq!((other.code().as_str(), ran(&other).as_str()), ("idempotency_key_reused", "no"));
    assert_eq!(test.runs(&key), 1);
}

fn check_cut_points(test: &OnceTest) {
    let cases = [
        (json!({ "lose_answers": true }), "upstream_failed", "unknown", 1, "possibly_ran"),
        (json!({ "close_before_run": true }), "upstream_failed", "unknown", 0, "possibly_ran"),
        (json!({ "refuse": true }), "upstream_failed", "no", 0, "idempotency_key_spent"),
    ];
    let usual = json!({ "lose_answers": false, "close_before_run": false, "refuse": false });
    for (switches, code, expected, runs, repeated) in cases {
        let key = new_key();
        test.switch_services(&switches);
        let answer = test.book(0, &key, "4 cooks").expect("an answer");
        assert_eq!((answer.code().as_str(), ran(&answer).as_str()), (code, expected), "{switches}");
        test.switch_services(&usual);
        let repeat = test.book(2, &key, "4 cooks").expect("an answer");
        assert_eq!((repeat.code().as_str(), ran(&repeat).as_str()), (repeated, expected));
        assert_eq!(test.runs(&key), runs, "{switches}");
    }
}

fn check_outage(test: &OnceTest) {
    let key = new_key();
    test.cluster.log.switch(&json!({ "outage": true }));
    let answer = test.book(1, &key, "2 barkeepers").expect("an answer");
    assert_eq!((answer.status, answer.code().as_str()), (503, "log_unavailable"));
    assert_eq!((ran(&answer).as_str(), answer.retry_after.is_some()), ("unknown", true));
    assert_eq!(test.runs(&key), 0);
    let call = test.caller.call(Method::Get, test.address(1), "/v1/services/look-up/people", "");
    let look_up = async_io::block_on(call).expect("an answer");
    assert_eq!(look_up.status, 200, "calls that may be repeated go on");
    test.cluster.log.switch(&json!({ "outage": false, "lost_answers_permille": 1000 }));
    let key = new_key();
    let answer = test.book(1, &key, "2 barkeepers").expect("an answer");
    assert_eq!(answer.status, 200, "lost append answers are settled by reading: {}", answer.body);
    assert_eq!(test.runs(&key), 1);
    test.cluster.log.switch(&json!({ "lost_answers_permille": 0 }));
}

fn check_death_of_the_winner(test: &mut OnceTest) {
    let key = new_key();
    test.switch_services(&json!({ "delay_ms": 2_000 }));
    let (address, caller) = (test.address(0), test.caller.clone());
    let first_key = key.clone();
    let first = thread::spawn(move || {
        let extra = [("Idempotency-Key", first_key.as_str())];
        async_io::block_on(caller.call_with(Method::Post, address, PATH, "6 waiters", &extra))
    });
    cluster::wait_until("the call runs", || test.runs(&key) == 1);
    test.cluster.instances[0].program.kill();
    assert!(first.join().expect("the call ends").is_err(), "the caller's connection is cut");
    test.switch_services(&json!({ "delay_ms": 1 }));
    let repeat = test.book(1, &key, "6 waiters").expect("an answer");
    assert_eq!((repeat.code().as_str(), ran(&repeat).as_str()), ("possibly_ran", "unknown"));
    assert_eq!(test.runs(&key), 1);
}
