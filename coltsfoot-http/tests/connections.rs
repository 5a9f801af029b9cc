//! Message streams and the connection pool over loopback sockets.

use std::net;
use std::time;

use async_net::{TcpListener, TcpStream};
use coltsfoot_http::{body, header, message, pool, socket};
use futures_lite::{AsyncWriteExt as _, future};
use rstest::rstest;

/// Returns both ends of a connection and the address of the remote one.
async fn connected_pair() -> (TcpStream, TcpStream, net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (local, remote) = future::zip(TcpStream::connect(address), listener.accept()).await;
    (local.expect("connects"), remote.expect("accepts").0, address)
}

#[test]
fn chunked_body_is_read_whole_and_the_next_message_stays_buffered() {
    async_io::block_on(async {
        let (local, mut remote, _) = connected_pair().await;
        let sent = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
            3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\nGET /next HTTP/1.1\r\n\r\n";
        remote.write_all(sent).await.expect("written");
        let mut stream = message::MessageStream::new(local);
        let head = stream.read_request(1024).await.expect("a head");
        let framing = body::BodyFraming::of_request(&head.headers).expect("chunked");
        assert_eq!(stream.read_body(framing, 1024).await.expect("a body"), b"abcde");
        assert_eq!(stream.read_request(1024).await.expect("a head").target, "/next");
    });
}

#[test]
fn truncated_body_is_an_error() {
    async_io::block_on(async {
        for sent in [&b"abc"[..], b""] {
            let (local, mut remote, _) = connected_pair().await;
            remote.write_all(sent).await.expect("written");
            drop(remote);
            let mut stream = message::MessageStream::new(local);
            let read = stream.read_body(body::BodyFraming::Sized(5), 1024).await;
            assert!(matches!(read, Err(message::ReadError::Closed)));
        }
    });
}

#[test]
fn body_without_length_ends_with_a_close_but_not_with_a_reset() {
    async_io::block_on(async {
        let (local, mut remote, _) = connected_pair().await;
        remote.write_all(b"all of it").await.expect("written");
        drop(remote);
        let mut stream = message::MessageStream::new(local);
        let read = stream.read_body(body::BodyFraming::UntilClose, 1024).await;
        assert_eq!(read.expect("whole"), b"all of it");

        let (mut local, mut remote, _) = connected_pair().await;
        local.write_all(b"unread").await.expect("written");
        remote.write_all(b"a part").await.expect("written");
        // Closing with unread bytes resets the connection.
        future::yield_now().await;
        let mut stream = message::MessageStream::new(local);
        stream.wait_message().await.expect("the part");
        drop(remote);
        let read = stream.read_body(body::BodyFraming::UntilClose, 1024).await;
        assert!(matches!(read, Err(message::ReadError::Io(_))));
    });
}

#[test]
fn limits_apply_before_bytes_are_stored() {
    async_io::block_on(async {
        let (local, mut remote, _) = connected_pair().await;
        let long = format!("GET / HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(2000));
        remote.write_all(long.as_bytes()).await.expect("written");
        let mut stream = message::MessageStream::new(local);
        let read = stream.read_request(1000).await;
        assert!(matches!(read, Err(message::ReadError::HeadTooLong(1000))));
        let read = stream.read_body(body::BodyFraming::Sized(1001), 1000).await;
        assert!(matches!(read, Err(message::ReadError::BodyTooLong(1000))));
    });
}

#[test]
fn idle_connection_that_received_bytes_or_closed_is_not_reused() {
    async_io::block_on(async {
        let pool = pool::ConnectionPool::default();
        let long = time::Duration::from_secs(60);
        let (local, remote, address) = connected_pair().await;
        pool.put(address, message::MessageStream::new(local), long);
        assert!(pool.take(address, long).await.is_some(), "an idle connection is used");

        let (local, mut late, _) = connected_pair().await;
        late.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.expect("written");
        let mut stream = message::MessageStream::new(local);
        stream.wait_message().await.expect("the stale response");
        pool.put(address, stream, long);
        let (local, closed, _) = connected_pair().await;
        drop(closed);
        let mut stream = message::MessageStream::new(local);
        assert_eq!(stream.fill().await.expect("the end"), 0);
        pool.put(address, stream, long);
        assert!(pool.take(address, long).await.is_none());
        drop(remote);
    });
}

/// Returns when the kernel gives up a connection without unacknowledged bytes whose peer is silent since time
/// zero: at a probe, once the user timeout has passed, whatever the count of probes is.
fn keepalive_end(socket: &socket2::SockRef<'_>) -> time::Duration {
    let first_probe = socket.tcp_keepalive_time().expect("an option");
    let interval = socket.tcp_keepalive_interval().expect("an option");
    let retries = socket.tcp_keepalive_retries().expect("an option");
    let timer = |unanswered| first_probe + interval * unanswered;
    match socket.tcp_user_timeout().expect("an option") {
        None => timer(retries),
        Some(limit) => (1..).map(timer).find(|elapsed| *elapsed >= limit).expect("finite"),
    }
}

/// A peer that pauses for two seconds and goes on must not lose its connection, whenever the pause begins.
#[test]
fn connection_outlives_a_pause_of_its_peer() {
    const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(2);
    async_io::block_on(async {
        let (local, _remote, _) = connected_pair().await;
        socket::enable_keepalive(&local).expect("options of the system");
        let socket = socket2::SockRef::from(&local);
        let interval = socket.tcp_keepalive_interval().expect("an option");
        // A probe after the pause has to be answered before the end.
        assert!(keepalive_end(&socket) >= LONGEST_PAUSE + interval);
        let user_timeout = socket.tcp_user_timeout().expect("an option");
        assert!(user_timeout.is_none_or(|limit| limit >= LONGEST_PAUSE + interval));
    });
}

#[rstest]
#[case::in_exchange(false)]
#[case::after_the_exchange(true)]
fn abandoned_exchange_resets_its_connection(#[case] is_ended: bool) {
    async_io::block_on(async {
        let (local, remote, _) = connected_pair().await;
        let mut stream = message::MessageStream::new(local);
        stream.begin_exchange();
        stream.write(b"request").await.expect("written");
        let mut remote = message::MessageStream::new(remote);
        remote.wait_message().await.expect("a request");
        if is_ended {
            stream.end_exchange();
        }
        drop(stream);
        let expected = if is_ended { message::PeerEnd::Closed } else { message::PeerEnd::Failed };
        assert_eq!(remote.wait_closed().await, expected);
    });
}

#[test]
fn connection_with_unlimited_lifetime_is_pooled() {
    async_io::block_on(async {
        let (local, _remote, address) = connected_pair().await;
        let pool = pool::ConnectionPool::default();
        let lifetime = time::Duration::from_secs(u64::MAX);
        pool.put(address, message::MessageStream::new(local), lifetime);
        assert!(pool.take(address, time::Duration::from_secs(1)).await.is_some());
    });
}

/// Sends `beginning` once and then repeats `rest` until the peer closes.
fn send_endlessly(mut remote: TcpStream, beginning: &'static [u8], rest: &'static [u8]) {
    std::thread::spawn(move || {
        async_io::block_on(async {
            let block = rest.repeat(16 * 1024 / rest.len().max(1));
            if remote.write_all(beginning).await.is_ok() {
                while remote.write_all(&block).await.is_ok() {}
            }
        });
    });
}

#[rstest]
#[case::head(b"HTTP/1.1 200 OK\r\n", b"X-Field: 1\r\n")]
#[case::garbage(b"", b"bytes that are no answer ")]
#[case::interim(b"", b"HTTP/1.1 100 Continue\r\n\r\n")]
#[case::sized(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", b"x")]
#[case::until_close(b"HTTP/1.1 200 OK\r\n\r\n", b"x")]
#[case::chunks(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n")]
#[case::extensions(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"1;extension=without-any-use\r\nx\r\n"
)]
#[case::one_extension(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", b"x")]
#[case::trailers(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    b"X-Trailer: 1\r\n"
)]
fn endless_response_is_an_error(#[case] beginning: &'static [u8], #[case] rest: &'static [u8]) {
    async_io::block_on(async {
        let (local, remote, _) = connected_pair().await;
        send_endlessly(remote, beginning, rest);
        let mut stream = message::MessageStream::new(local);
        let Ok(head) = stream.read_response(32 * 1024).await else { return };
        let framing = body::BodyFraming::of_response(&head, "GET").expect("framed");
        assert!(stream.read_body(framing, 256 * 1024).await.is_err());
    });
}

#[test]
fn endless_reading_does_not_starve_other_tasks() {
    async_io::block_on(async {
        let (local, remote, _) = connected_pair().await;
        send_endlessly(remote, b"HTTP/1.1 200 OK\r\n\r\n", b"x");
        let mut stream = message::MessageStream::new(local);
        let head = stream.read_response(32 * 1024).await.expect("a head");
        let mut framing = body::BodyFraming::of_response(&head, "GET").expect("framed");
        let mut turns = 0;
        let read = async {
            for _ in 0..1_000 {
                stream.read_part(&mut framing).await.expect("more");
            }
        };
        let others = async {
            loop {
                turns += 1;
                future::yield_now().await;
            }
        };
        future::or(read, others).await;
        assert!(turns >= 100, "{turns} turns beside 1,000 reads");
    });
}

#[test]
fn pool_keeps_no_more_idle_connections_than_it_may() {
    async_io::block_on(async {
        let long = time::Duration::from_secs(60);
        let pool = pool::ConnectionPool::new(3);
        let mut remotes = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..5 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            let address = listener.local_addr().expect("bound");
            let local = TcpStream::connect(address).await.expect("connected");
            remotes.push((listener.accept().await.expect("accepted"), listener));
            addresses.push(address);
            pool.put(address, message::MessageStream::new(local), long);
        }
        let kept = async |index: usize| pool.take(addresses[index], long).await;
        let taken = kept(0).await.expect("it was there first");
        assert!(kept(3).await.is_none(), "the pool was full");
        pool.put(addresses[4], taken, long);
        assert!(kept(4).await.is_some(), "one was taken");
        pool.close_idle(addresses[1]);
        let replaced = TcpStream::connect(addresses[3]).await.expect("connected");
        pool.put(addresses[3], message::MessageStream::new(replaced), long);
        assert!(kept(3).await.is_some(), "one was closed");
    });
}

#[test]
fn connections_hold_no_more_unread_bytes_than_their_receive_buffer() {
    const SEND_BUFFER: usize = 8 * 1024;
    async_io::block_on(async {
        let listener = socket::listen("127.0.0.1:0".parse().expect("an address")).expect("bound");
        let address = listener.local_addr().expect("bound");
        let connected = socket::connect_bounded(address, time::Duration::from_secs(10)).await;
        let near = connected.expect("connected");
        let (far, _) = listener.accept().expect("accepted");
        let far = TcpStream::try_from(far).expect("a socket");
        for writer in [&near, &far] {
            let buffer = socket2::SockRef::from(writer);
            buffer.set_send_buffer_size(SEND_BUFFER).expect("an option of the system");
            let mut taken = 0;
            while let Some(written) = message::with_timeout(
                time::Duration::from_millis(300),
                writer.clone().write(&[b'x'; 4096]),
            )
            .await
            {
                taken += written.expect("open");
            }
            // The system doubles the send buffer.
            let most = socket::UNREAD_BYTES + 2 * SEND_BUFFER;
            assert!((1..=most).contains(&taken), "{taken} bytes");
        }
    });
}

#[test]
fn encoded_length_is_the_length_of_the_encoded_head() {
    let mut head = header::RequestHead::new("POST", "/notes/x?y=1");
    for count in 0..3 {
        assert_eq!(head.encoded_length(), head.encode().len(), "{count} fields");
        head.headers.push("X-Note", "some text");
    }
}
