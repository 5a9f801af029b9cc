//! Ownership while real daemons are frozen, cut off from the platform, killed and drained and
//! requests run, on an engine that ignores fencing numbers.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

use coltsfoot_fakes::{answer, engine};
use coltsfoot_platform::protocol;
use coltsfoot_system::{caller, cluster, sample};

const ZONE: &str = "rennes";
const CUSTOMERS: [&str; 2] = ["korrigan", "magyar"];
const PROMPT: &str = "brief the crew of the banquet";
const TOKENS: u32 = 20;

/// Outcomes of the requests that run beside the faults.
#[derive(Default)]
struct TrafficOutcome {
    stopped: atomic::AtomicBool,
    /// Answers to each customer.
    answered: [atomic::AtomicU64; 2],
    wrong: sync::Mutex<Vec<String>>,
}

fn expected_text(customer: &str, max_tokens: u32) -> String {
    let content = PROMPT.to_owned();
    let messages = [protocol::ChatMessage { role: "user".to_owned(), content }];
    let adapter = format!("{customer}-drafts@1").parse().expect("an adapter version");
    answer::ExpectedAnswer::new(&adapter, &messages, Some(max_tokens)).text()
}

/// Starts one zone of three daemons with one engine of one slot, so that each change of customer
/// needs orders.
fn start() -> cluster::ProcessCluster {
    let switches = engine::EngineSwitches::builder().token_us(1_000).checks_fencing(false).build();
    let options = cluster::ClusterOptions::builder()
        .zones(vec![ZONE])
        .daemons_per_zone(3)
        .slots(1)
        .engine_switches(switches)
        .build();
    let cluster = cluster::ProcessCluster::start(options);
    let (code, output) = cluster.apply(&sample::sample_objects(&[ZONE], &CUSTOMERS));
    assert_eq!(code, Some(0), "{output}");
    cluster.wait_for_offset(1);
    cluster
}

fn send_requests(outcome: &TrafficOutcome, address: net::SocketAddr, place: usize) {
    let customer = CUSTOMERS[place];
    let caller = caller::HttpCaller::new(Some(&sample::key_of(customer)));
    let model = format!("{customer}-drafting");
    let expected = expected_text(customer, TOKENS);
    while !outcome.stopped.load(atomic::Ordering::Relaxed) {
        let answer = async_io::block_on(caller.chat(address, &model, PROMPT, TOKENS));
        match answer {
            Ok(answer) if answer.status == 200 && answer.text() == expected => {
                outcome.answered[place].fetch_add(1, atomic::Ordering::Relaxed);
            }
            Ok(answer) if answer.json()["error"]["ran"] == "no" => {}
            Ok(answer) => outcome.wrong.lock().expect("no panic").push(answer.body),
            Err(error) => outcome.wrong.lock().expect("no panic").push(error.to_string()),
        }
    }
}

fn owns_cell(address: net::SocketAddr) -> bool {
    let status = cluster::status(address).unwrap_or_default();
    status["cells"].as_array().is_some_and(|cells| !cells.is_empty())
}

fn view_size(address: net::SocketAddr) -> usize {
    let status = cluster::status(address).unwrap_or_default();
    status["view"].as_array().map_or(0, Vec::len)
}

/// Waits until further requests of each customer were answered. On one slot that takes evictions.
fn wait_for_answers(step: &str, outcome: &TrafficOutcome) {
    let answered =
        || outcome.answered.each_ref().map(|count| count.load(atomic::Ordering::Relaxed));
    let before = answered();
    cluster::wait_until(&format!("both customers are answered {step}"), || {
        let mut pairs = answered().into_iter().zip(before);
        pairs.all(|(now, before)| now >= before + 2)
    });
}

/// Returns the place of the daemon that owns the cell, among those named.
fn find_owner(cluster: &cluster::ProcessCluster, places: &[usize]) -> usize {
    let mut owner = None;
    cluster::wait_until("one daemon owns the cell", || {
        let mut places = places.iter().copied();
        owner = places.find(|place| owns_cell(cluster.instances[*place].listing.operator_address));
        owner.is_some()
    });
    owner.expect("an owner was found")
}

#[test]
fn one_owner_acts_through_a_freeze_an_outage_a_crash_and_a_drain() {
    let mut cluster = start();
    let operators: Vec<_> =
        cluster.instances.iter().map(|instance| instance.listing.operator_address).collect();
    for address in &operators {
        cluster::wait_until("all daemons share a view", || view_size(*address) == 3);
    }
    let owner = find_owner(&cluster, &[0, 1, 2]);
    let others: Vec<_> = (0..3).filter(|place| *place != owner).collect();
    let front = cluster.instances[others[0]].caller_address;
    let outcome = sync::Arc::new(TrafficOutcome::default());
    let threads: Vec<_> = (0..CUSTOMERS.len())
        .map(|place| {
            let outcome = sync::Arc::clone(&outcome);
            thread::spawn(move || send_requests(&outcome, front, place))
        })
        .collect();
    wait_for_answers("at the start", &outcome);

    cluster.instances[owner].program.signal("STOP");
    find_owner(&cluster, &others);
    wait_for_answers("beside a frozen owner", &outcome);
    cluster.instances[owner].program.signal("CONT");
    cluster::wait_until("the thawed daemon is in the view again", || {
        view_size(operators[owner]) == 3 && owns_cell(operators[owner])
    });
    wait_for_answers("after the thaw", &outcome);

    set_platform_outage(&cluster, true);
    cluster.instances[owner].program.kill();
    find_owner(&cluster, &others);
    wait_for_answers("after a crash in an outage", &outcome);
    set_platform_outage(&cluster, false);
    let killed = cluster.instances[owner].listing.name.clone();
    cluster.unlist_instance(&killed);

    let replacement = cluster.start_instance(ZONE);
    let replacement_operators = cluster.instances[replacement].listing.operator_address;
    cluster::wait_until("the replacement is in the view", || view_size(replacement_operators) == 3);
    drain_while_streaming(&mut cluster, others[1]);
    cluster::wait_until("the view shrinks", || view_size(operators[others[0]]) == 2);
    wait_for_answers("after the drain", &outcome);

    outcome.stopped.store(true, atomic::Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("requests end");
    }
    assert_eq!(*outcome.wrong.lock().expect("no panic"), Vec::<String>::new());
    check_engine(&cluster);
}

/// Cuts all daemons off from log and list, or ends that.
fn set_platform_outage(cluster: &cluster::ProcessCluster, outage: bool) {
    let switches = serde_json::json!({ "outage": outage });
    cluster.log.switch(&switches);
    cluster.list.switch(&switches);
}

/// Returns a customer whose adapter is resident.
fn find_served(address: net::SocketAddr) -> &'static str {
    let mut served = None;
    cluster::wait_until("the daemon serves a customer", || {
        served = CUSTOMERS.into_iter().find(|customer| {
            let caller = caller::HttpCaller::new(Some(&sample::key_of(customer)));
            let model = format!("{customer}-drafting");
            let call = caller.chat(address, &model, PROMPT, 4);
            async_io::block_on(call).is_ok_and(|answer| answer.status == 200)
        });
        served.is_some()
    });
    served.expect("a customer is served")
}

/// Stops a daemon as planned while it streams an answer; the answer comes whole.
fn drain_while_streaming(cluster: &mut cluster::ProcessCluster, place: usize) {
    let instance = &cluster.instances[place];
    let customer = find_served(instance.caller_address);
    let caller = caller::HttpCaller::new(Some(&sample::key_of(customer)));
    let model = format!("{customer}-drafting");
    let mut chunks = 0;
    let streaming = caller.stream(instance.caller_address, &model, PROMPT, 400, |_| {
        chunks += 1;
        if chunks == 5 {
            instance.program.signal("TERM");
        }
    });
    let answer = async_io::block_on(streaming).expect("the stream ends");
    assert_eq!((answer.error_code, answer.done), (None, true), "a planned stop cuts no request");
    assert_eq!(answer.text, expected_text(customer, 400));
    assert!(cluster.instances[place].program.wait(), "the planned stop succeeds");
}

fn check_engine(cluster: &cluster::ProcessCluster) {
    let is_engine = |upstream: &&cluster::RunningUpstream| {
        matches!(upstream.listing.role, protocol::UpstreamRole::Engine { .. })
    };
    for upstream in cluster.upstreams.iter().filter(is_engine) {
        let observations = upstream.fake.observations();
        assert_eq!(observations["stale_orders_obeyed"], 0, "{observations}");
        assert_eq!(observations["evicted_under_request"], 0, "{observations}");
        assert!(observations["unloads"].as_u64() > Some(0), "owners gave orders: {observations}");
    }
}
