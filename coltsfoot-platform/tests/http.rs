//! Failures in each phase of an exchange, with a peer that sends fixed bytes.

use std::io::{Read as _, Write as _};
use std::net;
use std::thread;
use std::time;

use coltsfoot_platform::error::HttpError;
use coltsfoot_platform::{http, sse};
use rstest::rstest;

fn limits() -> http::HttpLimits {
    let timeout = time::Duration::from_millis(300);
    http::HttpLimits::builder().head_timeout(timeout).body_idle_timeout(timeout).build()
}

/// Sends the parts once on each connection, then closes it or keeps it open.
fn start_peer(parts: &'static [&'static str], close: bool) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut open = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = [0; 4096];
            let _ = stream.read(&mut head).unwrap();
            for part in parts {
                stream.write_all(part.as_bytes()).unwrap();
                thread::sleep(time::Duration::from_millis(20));
            }
            if !close {
                open.push(stream);
            }
        }
    });
    address
}

fn request(address: net::SocketAddr) -> http_types::Request {
    http_types::Request::new(http_types::Method::Get, http::url(address, "/").unwrap())
}

async fn fetch(address: net::SocketAddr, limit_bytes: usize) -> Result<Vec<u8>, HttpError> {
    let pool = http::HttpPool::new(limits());
    let exchange = pool.send(address, request(address), http::ConnectionReuse::Fresh).await?;
    exchange.read_body(limit_bytes).await
}

fn kind(result: &Result<Vec<u8>, HttpError>) -> String {
    match result {
        Ok(body) => String::from_utf8(body.clone()).unwrap(),
        Err(HttpError::Timeout { phase, .. }) => format!("Timeout {phase:?}"),
        Err(error) => format!("{error:?}").split([' ', '{']).next().unwrap().to_owned(),
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

#[rstest]
#[case::whole(&[HEAD, "hello"], false, "hello")]
#[case::whole_in_parts(&[HEAD, "he", "llo"], true, "hello")]
#[case::whole_chunked(&[CHUNKED, "2\r\nhe\r\n", "3\r\nllo\r\n0\r\n\r\n"], false, "hello")]
#[case::closed_before_head(&[], true, "NoAnswer")]
#[case::closed_in_head(&["HTTP/1.1 200"], true, "NoAnswer")]
#[case::silent(&[], false, "Timeout Head")]
#[case::not_http(&["gibberish\r\n\r\n"], true, "NoAnswer")]
#[case::body_cut(&[HEAD, "he"], true, "BrokenBody")]
#[case::body_stalls(&[HEAD, "he"], false, "Timeout Body")]
#[case::chunked_cut(&[CHUNKED, "2\r\nhe\r\n"], true, "BrokenBody")]
#[case::chunk_malformed(&[CHUNKED, "zz\r\n"], true, "BrokenBody")]
#[case::too_large(&["HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", "123456789"], true, "TooLarge")]
fn error_kind_tells_where_the_exchange_failed(
    #[case] parts: &'static [&'static str],
    #[case] close: bool,
    #[case] expected: &str,
) {
    let address = start_peer(parts, close);
    let result = futures_lite::future::block_on(fetch(address, 8));
    assert_eq!(kind(&result), expected);
    assert!(!result.is_err_and(|error| error.nothing_sent()));
}

#[test]
fn refused_connection_implies_nothing_was_sent() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = futures_lite::future::block_on(fetch(address, 8)).unwrap_err();
    assert!(matches!(error, HttpError::Connect { .. }), "{error}");
    assert!(error.nothing_sent());
}

#[test]
fn closed_idle_connection_is_not_reused() {
    let address = start_peer(&[HEAD, "hello"], true);
    let pool = http::HttpPool::new(limits());
    futures_lite::future::block_on(async {
        for _ in 0..3 {
            let reuse = http::ConnectionReuse::Allow;
            let exchange = pool.send(address, request(address), reuse).await.unwrap();
            assert_eq!(exchange.read_body(8).await.unwrap(), b"hello");
            async_io::Timer::after(time::Duration::from_millis(60)).await;
        }
    });
}

#[rstest]
#[case::whole(&[CHUNKED, "f\r\nid: 1\ndata: a\n\n\r\n", "9\r\ndata: b\n\n\r\n0\r\n\r\n"], "a b end")]
#[case::cut(&[CHUNKED, "f\r\nid: 1\ndata: a\n\n\r\n"], "a BrokenBody")]
#[case::too_large(&[CHUNKED, "28\r\ndata: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"], "TooLarge")]
fn events_are_read_up_to_the_end_or_an_error(
    #[case] parts: &'static [&'static str],
    #[case] expected: &str,
) {
    let address = start_peer(parts, true);
    let seen = futures_lite::future::block_on(async {
        let pool = http::HttpPool::new(limits());
        let reuse = http::ConnectionReuse::Fresh;
        let exchange = pool.send(address, request(address), reuse).await.unwrap();
        let mut reader = sse::EventReader::new(exchange, 32);
        let mut seen = Vec::new();
        loop {
            match reader.next_event().await {
                Ok(Some(event)) => seen.push(event.data),
                Ok(None) => break seen.push("end".to_owned()),
                Err(error) => break seen.push(kind(&Err(error))),
            }
        }
        seen
    });
    assert_eq!(seen.join(" "), expected);
}
