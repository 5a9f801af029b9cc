//! Messages and kept connections over loopback sockets.

use std::net;
use std::time;

use async_net::{TcpListener, TcpStream};
use coltsfoot_http::{body, message, pool};
use futures_lite::{AsyncWriteExt as _, future};
use rstest::rstest;

/// Returns both ends of a connection.
async fn connected() -> (TcpStream, TcpStream, net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (near, far) = future::zip(TcpStream::connect(address), listener.accept()).await;
    (near.expect("connects"), far.expect("accepts").0, address)
}

#[test]
fn chunks_are_read_whole_and_what_follows_is_kept() {
    async_io::block_on(async {
        let (near, mut far, _) = connected().await;
        let sent = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
            3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\nGET /next HTTP/1.1\r\n\r\n";
        far.write_all(sent).await.expect("written");
        let mut stream = message::MessageStream::new(near);
        let head = stream.read_request(1024).await.expect("a head");
        let framing = body::BodyFraming::of_request(&head.headers).expect("chunked");
        assert_eq!(stream.read_body(framing, 1024).await.expect("a body"), b"abcde");
        assert_eq!(stream.read_request(1024).await.expect("a head").target, "/next");
    });
}

#[test]
fn a_body_that_ends_early_is_an_error() {
    async_io::block_on(async {
        for sent in [&b"abc"[..], b""] {
            let (near, mut far, _) = connected().await;
            far.write_all(sent).await.expect("written");
            drop(far);
            let mut stream = message::MessageStream::new(near);
            let read = stream.read_body(body::BodyFraming::Sized(5), 1024).await;
            assert!(matches!(read, Err(message::ReadError::Closed)));
        }
    });
}

#[test]
fn a_body_without_length_ends_with_its_connection_but_not_with_a_reset() {
    async_io::block_on(async {
        let (near, mut far, _) = connected().await;
        far.write_all(b"all of it").await.expect("written");
        drop(far);
        let mut stream = message::MessageStream::new(near);
        let read = stream.read_body(body::BodyFraming::UntilClose, 1024).await;
        assert_eq!(read.expect("whole"), b"all of it");

        let (mut near, mut far, _) = connected().await;
        near.write_all(b"unread").await.expect("written");
        far.write_all(b"a part").await.expect("written");
        // Closing with unread bytes resets the connection.
        future::yield_now().await;
        let mut stream = message::MessageStream::new(near);
        stream.wait_message().await.expect("the part");
        drop(far);
        let read = stream.read_body(body::BodyFraming::UntilClose, 1024).await;
        assert!(matches!(read, Err(message::ReadError::Io(_))));
    });
}

#[test]
fn limits_hold_before_the_bytes_are_kept() {
    async_io::block_on(async {
        let (near, mut far, _) = connected().await;
        let long = format!("GET / HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(2000));
        far.write_all(long.as_bytes()).await.expect("written");
        let mut stream = message::MessageStream::new(near);
        let read = stream.read_request(1000).await;
        assert!(matches!(read, Err(message::ReadError::HeadTooLong(1000))));
        let read = stream.read_body(body::BodyFraming::Sized(1001), 1000).await;
        assert!(matches!(read, Err(message::ReadError::BodyTooLong(1000))));
    });
}

#[test]
fn a_kept_connection_on_which_bytes_arrived_is_not_used_again() {
    async_io::block_on(async {
        let pool = pool::ConnectionPool::default();
        let long = time::Duration::from_secs(60);
        let (near, far, address) = connected().await;
        pool.put(address, message::MessageStream::new(near), long);
        assert!(pool.take(address, long).await.is_some(), "an idle connection is used");

        let (near, mut late, _) = connected().await;
        late.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.expect("written");
        let mut stream = message::MessageStream::new(near);
        stream.wait_message().await.expect("the stray answer");
        pool.put(address, stream, long);
        let (near, closed, _) = connected().await;
        drop(closed);
        let mut stream = message::MessageStream::new(near);
        assert_eq!(stream.fill().await.expect("the end"), 0);
        pool.put(address, stream, long);
        assert!(pool.take(address, long).await.is_none());
        drop(far);
    });
}

#[test]
fn a_connection_that_may_be_kept_for_ever_is_kept() {
    async_io::block_on(async {
        let (near, _far, address) = connected().await;
        let pool = pool::ConnectionPool::default();
        let lifetime = time::Duration::from_secs(u64::MAX);
        pool.put(address, message::MessageStream::new(near), lifetime);
        assert!(pool.take(address, time::Duration::from_secs(1)).await.is_some());
    });
}

/// Sends the beginning and then the rest again and again, until the other side closes.
fn send_endlessly(mut far: TcpStream, beginning: &'static [u8], rest: &'static [u8]) {
    std::thread::spawn(move || {
        async_io::block_on(async {
            let block = rest.repeat(16 * 1024 / rest.len().max(1));
            if far.write_all(beginning).await.is_ok() {
                while far.write_all(&block).await.is_ok() {}
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
fn an_answer_without_end_is_an_error(
    #[case] beginning: &'static [u8],
    #[case] rest: &'static [u8],
) {
    async_io::block_on(async {
        let (near, far, _) = connected().await;
        send_endlessly(far, beginning, rest);
        let mut stream = message::MessageStream::new(near);
        let Ok(head) = stream.read_response(32 * 1024).await else { return };
        let framing = body::BodyFraming::of_response(&head, "GET").expect("framed");
        assert!(stream.read_body(framing, 256 * 1024).await.is_err());
    });
}

#[test]
fn reading_without_end_leaves_others_their_turn() {
    async_io::block_on(async {
        let (near, far, _) = connected().await;
        send_endlessly(far, b"HTTP/1.1 200 OK\r\n\r\n", b"x");
        let mut stream = message::MessageStream::new(near);
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
