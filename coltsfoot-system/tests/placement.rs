//! Two adapters that take turns on the one slot of an engine, by the real daemon's orders.

use coltsfoot_fakes::{answer, engine};
use coltsfoot_platform::protocol;
use coltsfoot_system::{caller, cluster, sample};

const ZONE: &str = "rennes";
const CUSTOMERS: [&str; 2] = ["korrigan", "magyar"];
const PROMPT: &str = "brief the crew of the banquet";
const TOKENS: u32 = 20;
const ROUNDS: usize = 4;

fn expected_text(customer: &str) -> String {
    let content = PROMPT.to_owned();
    let messages = [protocol::ChatMessage { role: "user".to_owned(), content }];
    let adapter = format!("{customer}-drafts@1").parse().expect("an adapter version");
    answer::ExpectedAnswer::new(&adapter, &messages, Some(TOKENS)).text()
}

#[test]
fn adapters_take_turns_on_a_full_engine() {
    let switches = engine::EngineSwitches::builder().token_us(1_000).build();
    let options = cluster::ClusterOptions::builder()
        .zones(vec![ZONE])
        .daemons_per_zone(1)
        .slots(1)
        .engine_switches(switches)
        .build();
    let cluster = cluster::ProcessCluster::start(options);
    let (code, output) = cluster.apply(&sample::sample_objects(&[ZONE], &CUSTOMERS));
    assert_eq!(code, Some(0), "{output}");
    cluster.wait_for_offset(1);
    let address = cluster.instances[0].caller_address;
    let first = caller::HttpCaller::new(Some(&sample::key_of(CUSTOMERS[0])));
    cluster.wait_until_serving(&first, "korrigan-drafting");
    for _ in 0..ROUNDS {
        for customer in CUSTOMERS {
            let caller = caller::HttpCaller::new(Some(&sample::key_of(customer)));
            let model = format!("{customer}-drafting");
            let chat = caller.chat(address, &model, PROMPT, TOKENS);
            let answer = async_io::block_on(chat).expect("an answer");
            assert_eq!((answer.status, answer.text()), (200, expected_text(customer)));
        }
    }
}
