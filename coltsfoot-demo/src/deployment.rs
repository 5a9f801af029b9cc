//! Deployment of the demo: three zones, six engines, five customers, 100 adapters.

use coltsfoot_catalog::object;
use coltsfoot_fakes::{engine, store};
use coltsfoot_system::{caller, embedded, sample};

use crate::cmd;

const ZONES: [&str; 3] = ["rennes", "brest", "nantes"];
/// Customers; the last one sends several times its rate limit.
pub const CUSTOMERS: [&str; 5] = ["korrigan", "hotels", "festivals", "weddings", "flooder"];
/// Additional adapters of each customer, besides the one that its route names.
pub const ADAPTERS_PER_CUSTOMER: usize = 20;
/// Rate limit of each customer, in tokens per second.
const RATE_TOKENS_PER_SECOND: u64 = 3_000;
/// Burst limit of each customer, in tokens.
const BURST_TOKENS: u64 = 6_000;

/// Starts the deployment, publishes its configuration and waits until every daemon answers.
pub fn start(port: u16) -> Result<embedded::EmbeddedCluster, cmd::DemoError> {
    let engine_switches =
        engine::EngineSwitches::builder().token_us(5_000).prefill_us(20_000).build();
    let store_switches =
        store::StoreSwitches::builder().loads_per_second(10.0).load_ms(250).build();
    let options = embedded::EmbeddedOptions::builder()
        .zones(ZONES.to_vec())
        .engine_switches(engine_switches)
        .store_switches(store_switches)
        .caller_port(port)
        .build();
    let deployment = embedded::EmbeddedCluster::start(options)?;
    let published = deployment.publish(objects());
    published.map_err(|error| cmd::DemoError::Publish(error.to_string()))?;
    let korrigan = caller::HttpCaller::new(Some(&sample::key_of("korrigan")));
    deployment.wait_until_serving(&korrigan, "korrigan-drafting");
    Ok(deployment)
}

/// Prints the operator addresses and example commands for the running deployment.
pub fn print_curl(deployment: &embedded::EmbeddedCluster) {
    for daemon in &deployment.daemons {
        println!("operators: http://{}/status and /metrics", daemon.operator_address);
    }
    let address = deployment.daemons[0].caller_address;
    let key = sample::key_of("korrigan");
    println!(
        "curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {key}' \\\n  \
         -d '{{\"model\":\"korrigan-drafting\",\"stream\":true,\"max_tokens\":32,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Brief the banquet crew\"}}]}}'"
    );
    println!(
        "coltsfootctl status --log {} --list {}",
        deployment.log.address(),
        deployment.list.address()
    );
}

/// Returns the name of the numbered additional adapter of a customer.
pub fn adapter_name(customer: &str, number: usize) -> String {
    format!("{customer}-style-{number}")
}

fn objects() -> Vec<object::CatalogObject> {
    let mut objects = sample::sample_objects(&ZONES, &CUSTOMERS);
    for object in &mut objects {
        if let object::CatalogObject::Customer(customer) = object {
            customer.rate_tokens_per_second = RATE_TOKENS_PER_SECOND;
            customer.burst_tokens = BURST_TOKENS;
        }
    }
    for customer in CUSTOMERS {
        for number in 0..ADAPTERS_PER_CUSTOMER {
            objects.push(object::CatalogObject::Adapter(object::AdapterObject {
                name: adapter_name(customer, number).into(),
                base_model: sample::BASE_MODEL.into(),
                customer: customer.into(),
                versions: vec![1],
            }));
        }
    }
    objects
}
