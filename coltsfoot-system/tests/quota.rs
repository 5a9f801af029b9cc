//! Rate and burst of a customer over several daemons, as separate processes.

use std::net;
use std::thread;
use std::time;

use coltsfoot_catalog::object;
use coltsfoot_fakes::engine;
use coltsfoot_system::{caller, cluster, sample};

const ZONES: [&str; 2] = ["rennes", "brest"];
const RATE: u64 = 400;
const BURST: u64 = 1_000;
/// Time for which callers send.
const FLOOD: time::Duration = time::Duration::from_secs(8);
const CALLERS_PER_DAEMON: usize = 8;
const MAX_TOKENS: u32 = 60;

/// A call that was answered.
struct ServedCall {
    sent: time::Instant,
    answered: time::Instant,
    tokens: u64,
}

/// What a caller saw.
#[derive(Default)]
struct CallerRecord {
    served: Vec<ServedCall>,
    returned: usize,
    refused_again: Vec<String>,
}

/// Sends one request after another. Comes back with the same one when told.
fn flood(address: net::SocketAddr, caller_number: usize) -> CallerRecord {
    let caller = caller::HttpCaller::new(Some(&sample::key_of("korrigan")));
    let begin = time::Instant::now();
    let mut record = CallerRecord::default();
    let mut number = 0;
    while begin.elapsed() < FLOOD {
        number += 1;
        let prompt = format!("briefing {number} of caller {caller_number}");
        let sent = time::Instant::now();
        let answer =
            async_io::block_on(caller.chat(address, "korrigan-drafting", &prompt, MAX_TOKENS));
        let mut answer = answer.expect("an answer");
        if answer.status == 429 {
            let seconds = answer.retry_after.expect("a refusal says when to come back");
            let due = answer.json()["error"]["retry_after_ms"].as_u64().expect("the exact time");
            let refused = time::Instant::now();
            thread::sleep(time::Duration::from_secs(seconds));
            let again = caller.chat(address, "korrigan-drafting", &prompt, MAX_TOKENS);
            answer = async_io::block_on(again).expect("an answer");
            let returned_ms = refused.elapsed().as_millis();
            record.returned += 1;
            if answer.status != 200 {
                let times = format!("due after {due} ms, answered after {returned_ms} ms");
                record.refused_again.push(format!("{times}: {}", answer.body));
                continue;
            }
        }
        if answer.status != 200 {
            record.refused_again.push(answer.body);
            continue;
        }
        let usage = &answer.json()["usage"];
        let count = |kind: &str| usage[kind].as_u64().expect("an answer states its usage");
        let tokens = count("prompt_tokens") + count("completion_tokens");
        record.served.push(ServedCall { sent, answered: time::Instant::now(), tokens });
    }
    record
}

/// Checks every interval from a sending to an answer: what was sent and answered within was
/// admitted within.
fn assert_within_rate_and_burst(served: &[ServedCall]) {
    for first in served {
        for last in served.iter().filter(|last| last.answered > first.sent) {
            let within = served
                .iter()
                .filter(|call| call.sent >= first.sent && call.answered <= last.answered);
            let tokens = within.map(|call| call.tokens).sum::<u64>();
            let seconds = (last.answered - first.sent).as_secs_f64();
            let allowed = BURST as f64 + RATE as f64 * seconds;
            assert!(tokens as f64 <= allowed, "{tokens} tokens in {seconds:.3} s");
        }
    }
}

#[test]
fn daemons_together_keep_rate_and_burst_and_their_retry_after() {
    let switches = engine::EngineSwitches::builder().token_us(1_000).build();
    let options = cluster::ClusterOptions::builder()
        .zones(ZONES.to_vec())
        .daemons_per_zone(2)
        .batch_size(32)
        .engine_switches(switches)
        .build();
    let cluster = cluster::ProcessCluster::start(options);
    let mut objects = sample::sample_objects(&ZONES, &["korrigan"]);
    for object in &mut objects {
        if let object::CatalogObject::Customer(customer) = object {
            customer.rate_tokens_per_second = RATE;
            customer.burst_tokens = BURST;
        }
    }
    let (code, output) = cluster.apply(&objects);
    assert_eq!(code, Some(0), "{output}");
    let korrigan = caller::HttpCaller::new(Some(&sample::key_of("korrigan")));
    cluster.wait_until_serving(&korrigan, "korrigan-drafting");

    let addresses = cluster.instances.iter().map(|instance| instance.caller_address);
    let callers = addresses
        .flat_map(|address| (0..CALLERS_PER_DAEMON).map(move |_| address).collect::<Vec<_>>());
    let callers =
        callers.enumerate().map(|(number, address)| thread::spawn(move || flood(address, number)));
    let callers = callers.collect::<Vec<_>>();
    let records = callers.into_iter().map(|caller| caller.join().expect("a caller ends"));
    let mut total = CallerRecord::default();
    for record in records {
        total.served.extend(record.served);
        total.returned += record.returned;
        total.refused_again.extend(record.refused_again);
    }
    assert_within_rate_and_burst(&total.served);
    assert!(total.returned > 0, "the flood was refused nothing");
    assert!(total.refused_again.is_empty(), "of {}: {:?}", total.returned, total.refused_again);
    let tokens = total.served.iter().map(|call| call.tokens).sum::<u64>();
    assert!(tokens > BURST, "only {tokens} tokens were served");
}
