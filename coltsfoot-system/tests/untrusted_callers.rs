//! Memory of a daemon while many callers send bodies that stop short of their end, and stay.

use std::fs;
use std::io::Write as _;
use std::net;
use std::sync;

use coltsfoot_system::{caller, cluster, sample};
use http_types::Method;
use rstest::rstest;

/// Callers that send at once and stay until the end of the case.
const CROWD: usize = 200;
/// Largest body in the settings, in bytes.
const MAX_BODY_BYTES: usize = 1_024 * 1_024;
/// Bytes by which a body of legal size stops short.
const MISSING_BYTES: usize = 1_024;
/// Bound of the daemon's resident memory, in megabytes.
const MAX_MEMORY_MB: usize = 96;

/// Returns the largest resident memory of a process so far, in megabytes.
fn peak_mb(process: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("resident");
    let kilobytes: usize = line.trim().trim_end_matches(" kB").parse().expect("a number");
    kilobytes / 1_024
}

/// Sends a body until it is sent or the connection ends; returns the connection, still open.
fn send(address: net::SocketAddr, framing: &str, body: &[u8]) -> net::TcpStream {
    let mut stream = net::TcpStream::connect(address).expect("connects");
    let head = format!("POST /v1/chat/completions HTTP/1.1\r\nHost: daemon\r\n{framing}\r\n\r\n");
    // A refused caller may find its connection closed.
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body));
    stream
}

static SERIAL: sync::Mutex<()> = sync::Mutex::new(());

#[rstest]
#[case::whole("Content-Length: 1048576", vec![b'x'; MAX_BODY_BYTES - MISSING_BYTES])]
#[case::large_chunks("Transfer-Encoding: chunked", chunks(64 * 1_024, 15))]
#[case::small_chunks("Transfer-Encoding: chunked", chunks(64, 8_000))]
fn bodies_that_stay_neither_end_the_daemon_nor_keep_others_from_their_answers(
    #[case] framing: &'static str,
    #[case] body: Vec<u8>,
) {
    let _serial = SERIAL.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let settings = serde_json::json!({"limits": {"max_body_bytes": MAX_BODY_BYTES}});
    let options = cluster::ClusterOptions::builder().zones(vec!["rennes"]).settings(settings);
    let cluster = cluster::ProcessCluster::start(options.build());
    let (code, output) = cluster.apply(&sample::sample_objects(&["rennes"], &["korrigan"]));
    assert_eq!(code, Some(0), "{output}");
    let korrigan = caller::HttpCaller::new(Some(&sample::key_of("korrigan")));
    cluster.wait_until_serving(&korrigan, "korrigan-drafting");
    let instance = &cluster.instances[0];
    let chat = r#"{"model": "korrigan-drafting", "messages": [{"role": "user", "content": "hi"}]}"#;
    let ask = || {
        let path = "/v1/chat/completions";
        let call = korrigan.call(Method::Post, instance.caller_address, path, chat);
        async_io::block_on(call).expect("an answer").status
    };
    let before = peak_mb(instance.program.id());
    let senders: Vec<_> = (0..CROWD)
        .map(|_| {
            let (address, body) = (instance.caller_address, body.clone());
            std::thread::spawn(move || send(address, framing, &body))
        })
        .collect();
    let streams: Vec<_> = senders.into_iter().map(|sender| sender.join()).collect();
    let status = ask();
    let peak = peak_mb(instance.program.id());
    drop(streams);
    println!("{status}, {before} MB, then {peak} MB");
    assert!(peak < MAX_MEMORY_MB, "{peak} MB");
    assert_eq!(status, 200, "an ordinary request");
}

fn chunks(length: usize, count: usize) -> Vec<u8> {
    let chunk = [format!("{length:x}\r\n").into_bytes(), vec![b'x'; length], b"\r\n".to_vec()];
    chunk.concat().repeat(count)
}
