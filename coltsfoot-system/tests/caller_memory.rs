//! Memory and descriptors of a daemon while a crowd of callers makes it hold what it can: requests that are being
//! served, unfinished ones and bytes that are not read yet.

use std::collections;
use std::fs;
use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;
use std::time;

use coltsfoot_system::{caller, cluster, sample};
use http_types::Method;
use rstest::rstest;

/// Callers that send at once and stay until the end of the case.
const CROWD: usize = 400;
/// Memory for requests and connections in the settings, in bytes.
const MAX_MEMORY_BYTES: usize = 24 * 1024 * 1024;
/// Connections in the settings.
const MAX_CONNECTIONS: usize = 1000;
/// Bound of what the daemon holds, in megabytes: the memory in the settings, and 24 for the daemon itself.
const MAX_HELD_MB: usize = 48;
/// Largest body in the settings, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// A caller of the crowd stops sending once nothing of it was taken for this time.
const SEND_PATIENCE: time::Duration = time::Duration::from_millis(500);
/// Time for which the crowd is watched after it has sent.
const WATCH_TIME: time::Duration = time::Duration::from_secs(1);
/// Ordinary requests give up being served after this time, so that a case ends.
const MAX_RECOVERY_TIME: time::Duration = time::Duration::from_secs(60);

/// One case runs at a time, as each measures a process.
static SERIAL: sync::Mutex<()> = sync::Mutex::new(());

fn encode_request(path: &str, announced: usize, body: &[u8]) -> Vec<u8> {
    let key = sample::key_of("korrigan");
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: daemon\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: {announced}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

fn chat(content_bytes: usize) -> Vec<u8> {
    let content = "c".repeat(content_bytes);
    let messages = serde_json::json!([{"role": "user", "content": content}]);
    let chat = serde_json::json!({"model": "korrigan-drafting", "messages": messages});
    let body = chat.to_string();
    encode_request("/v1/chat/completions", body.len(), body.as_bytes())
}

/// A small request that its service does not answer.
fn small_service() -> Vec<u8> {
    encode_request("/v1/services/look-up/x", 15_000, &vec![b'x'; 15_000])
}

/// A large request that its service does not answer.
fn large_service() -> Vec<u8> {
    encode_request("/v1/services/look-up/x", 200_000, &vec![b'x'; 200_000])
}

/// A chat that its engine does not answer.
fn small_chat() -> Vec<u8> {
    chat(15_000)
}

/// A large chat that its engine does not answer.
fn large_chat() -> Vec<u8> {
    chat(200_000)
}

/// Further requests behind one that is not answered.
fn bytes_behind() -> Vec<u8> {
    [small_service(), large_service().repeat(4)].concat()
}

/// A body that stops short of its end.
fn unfinished_body() -> Vec<u8> {
    encode_request("/v1/services/look-up/x", MAX_BODY_BYTES, &vec![b'x'; MAX_BODY_BYTES - 1000])
}

/// A head that stops short of its end.
fn unfinished_head() -> Vec<u8> {
    format!("POST / HTTP/1.1\r\nX-Note: {}", "n".repeat(7000)).into_bytes()
}

/// Sends until all is sent, the connection ends or nothing is taken; returns the connection, still open.
fn send(address: net::SocketAddr, sent: &[u8]) -> Option<net::TcpStream> {
    let mut stream = net::TcpStream::connect_timeout(&address, SEND_PATIENCE).ok()?;
    stream.set_write_timeout(Some(SEND_PATIENCE)).expect("an option of the system");
    let _ = stream.write_all(sent);
    Some(stream)
}

/// Returns the resident memory of a process and the bytes that its sockets have received and that were not
/// read, in megabytes, with the number of its descriptors.
fn held(process: u32) -> (usize, usize) {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("resident");
    let kilobytes: usize = line.trim().trim_end_matches(" kB").parse().expect("a number");
    let descriptors = fs::read_dir(format!("/proc/{process}/fd")).expect("it runs");
    let links: Vec<_> =
        descriptors.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok()).collect();
    let inodes: collections::HashSet<&str> = links
        .iter()
        .filter_map(|link| link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']'))
        .collect();
    let table = fs::read_to_string("/proc/net/tcp").expect("Linux");
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, received) = fields.get(4)?.split_once(':')?;
        let is_listening = *fields.get(3)? == "0A";
        let is_own = inodes.contains(fields.get(9)?) && !is_listening;
        usize::from_str_radix(received, 16).ok().filter(|_| is_own)
    });
    ((kilobytes * 1024 + unread.sum::<usize>()) / (1024 * 1024), links.len())
}

fn check_daemon(address: fn(&cluster::RunningInstance) -> net::SocketAddr, sent: fn() -> Vec<u8>) {
    let _serial = SERIAL.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let settings = serde_json::json!({"limits": {
        "max_body_bytes": MAX_BODY_BYTES, "max_memory_bytes": MAX_MEMORY_BYTES,
        "max_connections": MAX_CONNECTIONS,
    }});
    let options = cluster::ClusterOptions::builder().zones(vec!["rennes"]).settings(settings);
    let cluster = cluster::ProcessCluster::start(options.build());
    let (code, output) = cluster.apply(&sample::sample_objects(&["rennes"], &["korrigan"]));
    assert_eq!(code, Some(0), "{output}");
    let korrigan = caller::HttpCaller::new(Some(&sample::key_of("korrigan")));
    cluster.wait_until_serving(&korrigan, "korrigan-drafting");
    let instance = &cluster.instances[0];
    let silence = |is_silent: bool| {
        let switches = serde_json::json!({"silent": is_silent});
        for upstream in &cluster.upstreams {
            upstream.fake.switch(&switches);
        }
    };
    silence(true);
    let process = instance.program.id();
    let (before, _) = held(process);
    let crowd = address(instance);
    let senders: Vec<_> = (0..CROWD).map(|_| thread::spawn(move || send(crowd, &sent()))).collect();
    let (mut most, mut descriptors) = (0, 0);
    let mut watch = || {
        let (megabytes, open) = held(process);
        (most, descriptors) = (most.max(megabytes), descriptors.max(open));
        thread::sleep(time::Duration::from_millis(10));
    };
    while senders.iter().any(|sender| !sender.is_finished()) {
        watch();
    }
    let end = time::Instant::now() + WATCH_TIME;
    while time::Instant::now() < end {
        watch();
    }
    let streams: Vec<_> = senders.into_iter().map(|sender| sender.join().expect("sent")).collect();
    silence(false);
    let chat = r#"{"model": "korrigan-drafting", "messages": [{"role": "user", "content": "hi"}]}"#;
    let ask = || {
        let path = "/v1/chat/completions";
        let call = korrigan.call(Method::Post, instance.caller_address, path, chat);
        async_io::block_on(call).map(|answer| answer.status).ok()
    };
    let end = time::Instant::now() + MAX_RECOVERY_TIME;
    let mut status = ask();
    while status != Some(200) && time::Instant::now() < end {
        thread::sleep(time::Duration::from_millis(200));
        status = ask();
    }
    drop(streams);
    println!("{status:?}, {before} MB, then {most} MB and {descriptors} descriptors");
    assert!(most < MAX_HELD_MB, "{most} MB");
    assert!(descriptors < MAX_CONNECTIONS, "{descriptors} descriptors");
    assert_eq!(status, Some(200), "an ordinary request");
}

#[rstest]
#[case::small_service(small_service)]
#[case::large_service(large_service)]
#[case::small_chat(small_chat)]
#[case::large_chat(large_chat)]
#[case::bytes_behind(bytes_behind)]
#[case::unfinished_body(unfinished_body)]
#[case::unfinished_head(unfinished_head)]
fn crowds_of_callers_stay_within_the_memory_of_the_settings(#[case] sent: fn() -> Vec<u8>) {
    check_daemon(|instance| instance.caller_address, sent);
}

#[test]
fn crowds_at_the_port_for_operators_stay_within_the_memory_of_the_settings() {
    check_daemon(|instance| instance.listing.operator_address, unfinished_body);
}
