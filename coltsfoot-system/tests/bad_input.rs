//! Callers that send what they should not: a clear refusal, a counter, and the daemon goes on.

use std::io::{Read as _, Write as _};
use std::net;
use std::sync;
use std::time;

use coltsfoot_system::{caller, embedded, sample};
use rstest::rstest;

/// Time in which a request must arrive, in the tested deployment.
const REQUEST_TIMEOUT_MS: u64 = 500;
/// Connections that the tested deployment takes.
const MAX_CONNECTIONS: usize = 24;
/// Largest body in the tested deployment, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1_024;

static DEPLOYMENT: sync::LazyLock<embedded::EmbeddedCluster> = sync::LazyLock::new(|| {
    let settings = serde_json::json!({
        "limits": {
            "max_connections": MAX_CONNECTIONS,
            "max_body_bytes": MAX_BODY_BYTES,
            "request_timeout_ms": REQUEST_TIMEOUT_MS,
        },
    });
    let options = embedded::EmbeddedOptions::builder()
        .zones(vec!["rennes"])
        .engines_per_zone(1)
        .settings(settings)
        .build();
    let deployment = embedded::EmbeddedCluster::start(options).expect("it starts");
    let objects = sample::sample_objects(&["rennes"], &["korrigan"]);
    deployment.publish(objects).expect("the configuration is published");
    deployment.wait_until_serving(&korrigan(), "korrigan-drafting");
    deployment
});

/// Tests share the deployment and its counters, so they take turns.
static TURN: sync::Mutex<()> = sync::Mutex::new(());

fn korrigan() -> caller::HttpCaller {
    caller::HttpCaller::new(Some(&sample::key_of("korrigan")))
}

fn counted(reason: &str) -> u64 {
    let text = DEPLOYMENT.daemons[0].metrics_text();
    let series = format!("coltsfoot_refusals_total{{reason=\"{reason}\"}} ");
    let value = text.lines().find_map(|line| line.strip_prefix(series.as_str()));
    value.expect("every reason has a series").parse().expect("a count")
}

fn connect() -> net::TcpStream {
    let stream = net::TcpStream::connect(DEPLOYMENT.daemons[0].caller_address).expect("connects");
    stream.set_read_timeout(Some(time::Duration::from_secs(10))).expect("a timeout is set");
    stream
}

/// Sends bytes, keeps the connection open and returns what comes back until it closes.
fn exchange(bytes: &[u8]) -> String {
    let mut stream = connect();
    // The daemon may refuse before it has read everything.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(headers: &str, body: &str) -> Vec<u8> {
    let key = sample::key_of("korrigan");
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
         Authorization: Bearer {key}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

fn sized(body: &str) -> Vec<u8> {
    post(&format!("Content-Length: {}\r\n", body.len()), body)
}

fn assert_still_serving() {
    let address = DEPLOYMENT.daemons[0].caller_address;
    let answer = async_io::block_on(korrigan().chat(address, "korrigan-drafting", "hello", 4));
    assert_eq!(answer.expect("an answer").status, 200);
}

#[rstest]
#[case::long_head_line(vec![b'a'; 300 * 1_024], 413, "too_large")]
#[case::many_headers(post(&"X-Filler: 0123456789\r\n".repeat(900), ""), 413, "too_large")]
#[case::not_http(b"hello, is this the banquet?\r\n\r\n".to_vec(), 400, "bad_request")]
#[case::old_http(b"GET / HTTP/1.0\r\n\r\n".to_vec(), 400, "bad_request")]
#[case::two_lengths(
    post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "hello"),
    400,
    "bad_request"
)]
#[case::announced_body(post("Content-Length: 9999999\r\n", "{"), 413, "too_large")]
#[case::chunked_body(
    post("Transfer-Encoding: chunked\r\n", &format!("8000\r\n{}\r\n0\r\n\r\n", "a".repeat(0x8000))),
    413,
    "too_large"
)]
#[case::broken_chunking(
    post("Transfer-Encoding: chunked\r\n", "zz\r\nhello\r\n0\r\n\r\n"),
    400,
    "bad_request"
)]
#[case::bad_json(sized("{\"model\": "), 400, "bad_request")]
#[case::wrong_shape(sized("{\"model\": \"korrigan-drafting\"}"), 400, "bad_request")]
#[case::unknown_route(sized("{\"model\": \"nothing\", \"messages\": []}"), 404, "unknown_route")]
#[case::unknown_path(b"GET /v1/nothing HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".to_vec(), 404, "unknown_route")]
#[case::slow_head(b"POST /v1/chat/comp".to_vec(), 408, "slow_sender")]
#[case::slow_body(post("Content-Length: 500\r\n", "{\"model\":"), 408, "slow_sender")]
fn bad_input_is_refused_and_counted(
    #[case] bytes: Vec<u8>,
    #[case] status: u16,
    #[case] code: &str,
) {
    let _turn = TURN.lock().unwrap_or_else(sync::PoisonError::into_inner);
    sync::LazyLock::force(&DEPLOYMENT);
    let before = counted(code);
    let answer = exchange(&bytes);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer}");
    assert!(answer.contains("\"ran\":\"no\""), "{answer}");
    assert_eq!(counted(code), before + 1);
    assert_still_serving();
}

#[test]
fn a_half_closed_caller_gets_its_answer() {
    let _turn = TURN.lock().unwrap_or_else(sync::PoisonError::into_inner);
    sync::LazyLock::force(&DEPLOYMENT);
    let body = r#"{"model":"korrigan-drafting","messages":[{"role":"user","content":"hi"}]}"#;
    let mut stream = connect();
    stream.write_all(&sized(body)).expect("sends");
    stream.shutdown(net::Shutdown::Write).expect("half-closes");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("reads");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

#[test]
fn a_caller_that_closes_within_its_body_is_refused() {
    let _turn = TURN.lock().unwrap_or_else(sync::PoisonError::into_inner);
    sync::LazyLock::force(&DEPLOYMENT);
    let mut stream = connect();
    stream.write_all(&post("Content-Length: 500\r\n", "{}")).expect("sends");
    stream.shutdown(net::Shutdown::Write).expect("half-closes");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("reads");
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
}

#[test]
fn connections_beyond_the_limit_are_refused_until_others_close() {
    let _turn = TURN.lock().unwrap_or_else(sync::PoisonError::into_inner);
    sync::LazyLock::force(&DEPLOYMENT);
    let before = counted("too_many_connections");
    let idle: Vec<_> = (0..MAX_CONNECTIONS).map(|_| connect()).collect();
    let answer = exchange(b"");
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("too_many_connections"), "{answer}");
    assert!(counted("too_many_connections") > before);
    drop(idle);
    let korrigan = korrigan();
    coltsfoot_system::cluster::wait_until("connections are taken again", || {
        let address = DEPLOYMENT.daemons[0].caller_address;
        let answer = korrigan.chat(address, "korrigan-drafting", "hello", 4);
        async_io::block_on(answer).is_ok_and(|answer| answer.status == 200)
    });
}
