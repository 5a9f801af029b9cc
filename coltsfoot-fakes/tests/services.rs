//! Fakes of the log, weight store, instance list and plain service, and their switches.

mod common;

use coltsfoot_fakes::{SharedExecutor, list, log, service, store};
use coltsfoot_platform::{error, http, list as platform_list, log as platform_log, protocol};
use coltsfoot_types::id;
use rstest::rstest;

fn start_log(executor: &SharedExecutor, switches: log::LogSwitches) -> log::FakeLog {
    let options = log::LogOptions::builder().switches(switches).build();
    log::FakeLog::start(executor, options).unwrap()
}

async fn read_values(client: &platform_log::LogClient, offset: u64) -> Vec<String> {
    let page = client.read("config", id::LogOffset(offset), 10).await.unwrap();
    page.records.into_iter().map(|record| record.value).collect()
}

#[test]
fn log_offsets_count_per_stream_and_old_records_are_trimmed() {
    let executor = SharedExecutor::default();
    let log = start_log(&executor, log::LogSwitches::default());
    let client = platform_log::LogClient::new(common::pool(), log.address());
    common::run(&executor, async {
        let values = ["a", "b", "c"].map(str::to_owned);
        assert_eq!(client.append("config", &values).await.unwrap().first_offset.0, 0);
        assert_eq!(client.append("other", &values).await.unwrap().first_offset.0, 0);
        assert_eq!(client.append("config", &values[..1]).await.unwrap().first_offset.0, 3);
        assert_eq!(read_values(&client, 2).await, ["c", "a"]);
        log.switch(|switches| switches.retained_records = Some(1));
        let page = client.read("config", id::LogOffset(0), 10).await.unwrap();
        assert_eq!((page.start_offset.0, page.end_offset.0, page.records.len()), (3, 4, 1));
    });
}

#[rstest]
#[case::answer_lost(log::LogSwitches::builder().lost_answers_permille(1000).build(), 1)]
#[case::append_lost(log::LogSwitches::builder().lost_appends_permille(1000).build(), 0)]
#[case::outage(log::LogSwitches::builder().outage(true).build(), 0)]
#[case::over_rate(log::LogSwitches::builder().appends_per_second(0).build(), 0)]
fn failed_append_may_have_taken_effect(
    #[case] switches: log::LogSwitches,
    #[case] appended: usize,
) {
    let executor = SharedExecutor::default();
    let log = start_log(&executor, switches);
    let client = platform_log::LogClient::new(common::pool(), log.address());
    common::run(&executor, async {
        assert!(client.append("config", &["a".to_owned()]).await.is_err());
        log.switch(|switches| switches.outage = false);
        assert_eq!(read_values(&client, 0).await.len(), appended);
    });
}

#[test]
fn store_completes_loads_beyond_its_limit() {
    let executor = SharedExecutor::default();
    let switches = store::StoreSwitches::builder().loads_per_second(0.0).load_ms(1).build();
    let options = store::StoreOptions::builder().switches(switches).build();
    let store = store::FakeStore::start(&executor, options).unwrap();
    let pool = common::pool();
    let loads: Vec<_> = (0..12)
        .map(|_| {
            let pool = pool.clone();
            let address = store.address();
            executor.spawn(async move {
                let url = http::url(address, "/loads").unwrap();
                let request = http_types::Request::new(http_types::Method::Post, url);
                pool.send(address, request, http::ConnectionReuse::Fresh).await.unwrap().status()
            })
        })
        .collect();
    common::run(&executor, async {
        for load in loads {
            assert_eq!(load.await, 200);
        }
    });
    let observations = store.observations();
    assert_eq!((observations.loads, observations.in_flight), (12, 0));
}

#[test]
fn list_shows_changes_after_the_lag() {
    let executor = SharedExecutor::default();
    let switches = list::ListSwitches::builder().lag_ms(3_600_000).build();
    let options = list::ListOptions::builder().switches(switches).build();
    let list = list::FakeList::start(&executor, options).unwrap();
    let client = platform_list::ListClient::new(common::pool(), list.address());
    let address = list.address();
    let entry = protocol::EntryListing {
        name: "entry-1".into(),
        zone: "rennes".into(),
        peer_address: address,
        operator_address: address,
        leaving: false,
    };
    common::run(&executor, async {
        client.put_entry(&entry).await.unwrap();
        assert!(client.fetch().await.unwrap().entries.is_empty());
        list.switch(|switches| switches.lag_ms = 0);
        assert_eq!(client.fetch().await.unwrap().entries[0].name, entry.name);
        list.switch(|switches| switches.lag_ms = 3_600_000);
        client.remove_entry(&entry.name).await.unwrap();
        assert_eq!(client.fetch().await.unwrap().entries.len(), 1);
    });
}

async fn book(
    service: &service::FakeService,
    key: &str,
) -> Result<http::HttpExchange, error::HttpError> {
    let url = http::url(service.address(), "/bookings").unwrap();
    let mut request = http_types::Request::new(http_types::Method::Post, url);
    request.insert_header("Idempotency-Key", key);
    request.set_body("12 servers");
    common::pool().send(service.address(), request, http::ConnectionReuse::Fresh).await
}

#[rstest]
#[case::answered(service::ServiceSwitches::default(), true, 1)]
#[case::failed(service::ServiceSwitches::builder().fail(true).build(), true, 1)]
#[case::refused(service::ServiceSwitches::builder().refuse(true).build(), true, 0)]
#[case::closed(service::ServiceSwitches::builder().close_before_run(true).build(), false, 0)]
#[case::answer_lost(service::ServiceSwitches::builder().lose_answers(true).build(), false, 1)]
fn service_counts_only_calls_that_ran(
    #[case] switches: service::ServiceSwitches,
    #[case] answered: bool,
    #[case] runs: u64,
) {
    let executor = SharedExecutor::default();
    let options = service::ServiceOptions::builder().switches(switches).build();
    let service = service::FakeService::start(&executor, options).unwrap();
    common::run(&executor, async {
        assert_eq!(book(&service, "k1").await.is_ok(), answered);
        assert_eq!(service.observations().runs, runs);
        assert_eq!(service.observations().double_runs, 0);
        service.switch(|switches| *switches = service::ServiceSwitches::default());
        for _ in 0..2 {
            book(&service, "k2").await.unwrap();
        }
        assert_eq!(service.observations().double_runs, 1);
    });
}

#[rstest]
#[case::changed("{\"outage\":true}", 200, true)]
#[case::unknown_switch("{\"outrage\":true}", 400, false)]
fn posted_switches_change_only_what_they_name(
    #[case] body: &str,
    #[case] status: u16,
    #[case] outage: bool,
) {
    let executor = SharedExecutor::default();
    let log = start_log(&executor, log::LogSwitches::default());
    common::run(&executor, async {
        let url = http::url(log.address(), "/switches").unwrap();
        let mut request = http_types::Request::new(http_types::Method::Post, url);
        request.set_body(body);
        let reuse = http::ConnectionReuse::Fresh;
        let exchange = common::pool().send(log.address(), request, reuse).await.unwrap();
        assert_eq!(exchange.status(), status);
        let client = platform_log::LogClient::new(common::pool(), log.address());
        assert_eq!(client.append("config", &[]).await.is_err(), outage);
    });
}
