//! Budgets of the memory that messages hold together.

use std::sync;

use async_net::{TcpListener, TcpStream};
use coltsfoot_http::memory::{MemoryBudget, MemoryLease};
use coltsfoot_http::{body, message};
use futures_lite::AsyncWriteExt as _;

const CAPACITY: usize = 1024 * 1024;
const ALLOWANCE: usize = 16 * 1024;

fn budget() -> sync::Arc<MemoryBudget> {
    sync::Arc::new(MemoryBudget::new(CAPACITY))
}

#[test]
fn a_lease_counts_every_byte_beyond_its_allowance_and_is_given_back() {
    for allowance in [0, ALLOWANCE] {
        let budget = budget();
        let lease = || MemoryLease::with_allowance(sync::Arc::clone(&budget), allowance);
        let mut large = lease();
        assert!(large.grow_to(allowance));
        assert_eq!((budget.used(), large.held()), (0, allowance));
        assert!(large.grow_to(allowance + CAPACITY));
        assert!(!large.grow_to(allowance + CAPACITY + 1));
        assert!(large.grow_to(10), "growing does not shrink a lease");
        assert_eq!(budget.used(), CAPACITY);
        let mut small = lease();
        assert!(small.grow_to(allowance), "what is charged elsewhere is always held");
        assert!(!small.grow_to(allowance + 1));
        large.shrink_to(allowance + 10);
        assert_eq!((budget.used(), large.counted()), (10, 10));
        assert!(small.grow_to(allowance + CAPACITY - 10));
        drop((large, small));
        assert_eq!(budget.used(), 0);
    }
}

#[test]
fn bytes_that_find_no_memory_stay_in_the_socket() {
    async_io::block_on(async {
        let (mut peer, stream) = connected_pair().await;
        peer.write_all(b"POST / HTTP/1.1\r\nX-Note: some text\r\n\r\n").await.expect("written");
        let budget = budget();
        let mut other = MemoryLease::new(sync::Arc::clone(&budget));
        assert!(other.grow_to(CAPACITY - 100));
        let lease = MemoryLease::with_allowance(sync::Arc::clone(&budget), 10);
        let mut stream = message::MessageStream::with_lease(stream, lease);
        let mut head = MemoryLease::new(sync::Arc::clone(&budget));
        assert_eq!(stream.fill().await.expect("room for the allowance"), 10);
        let error = stream.fill().await.expect_err("no room");
        assert_eq!(error.kind(), std::io::ErrorKind::OutOfMemory);
        assert!(budget.used() <= CAPACITY);
        drop(other);
        let read = stream.read_request_within(1024, &mut head).await.expect("whole");
        assert_eq!(read.headers.text("X-Note"), Some("some text"));
        assert!(head.counted() >= read.encoded_length(), "a decoded head is charged");
        drop((stream, head));
        assert_eq!(budget.used(), 0);
    });
}

#[test]
fn bytes_that_are_dropped_need_no_memory() {
    async_io::block_on(async {
        let (mut peer, stream) = connected_pair().await;
        peer.write_all(&[b'x'; 1000]).await.expect("written");
        peer.close().await.expect("open");
        let mut other = MemoryLease::new(budget());
        assert!(other.grow_to(CAPACITY));
        let lease = MemoryLease::new(budget());
        let mut stream = message::MessageStream::with_lease(stream, lease);
        stream.discard_until_closed(CAPACITY).await;
        assert_eq!(stream.fill().await.expect("the end"), 0, "all was read");
    });
}

#[test]
fn one_part_leaves_the_rest_to_others() {
    let all = budget();
    let part = || sync::Arc::new(MemoryBudget::part_of(&all, CAPACITY / 2));
    let (faulty, sound) = (part(), part());
    let mut leases: Vec<_> =
        (0..100).map(|_| MemoryLease::new(sync::Arc::clone(&faulty))).collect();
    for bytes in (0..CAPACITY).step_by(64 * 1024) {
        for lease in &mut leases {
            lease.grow_to(bytes);
        }
    }
    assert!(all.used() <= CAPACITY / 2, "{} bytes", all.used());
    let mut lease = MemoryLease::new(sync::Arc::clone(&sound));
    assert!(lease.grow_to(CAPACITY / 2));
    drop((leases, lease));
    assert_eq!((all.used(), faulty.used(), sound.used()), (0, 0, 0));
}

#[test]
fn a_body_that_finds_no_memory_is_an_error() {
    async_io::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let address = listener.local_addr().expect("bound");
        std::thread::spawn(move || {
            async_io::block_on(async {
                let mut remote = TcpStream::connect(address).await.expect("connected");
                while remote.write_all(&[b'x'; 16 * 1024]).await.is_ok() {}
            });
        });
        let (local, _) = listener.accept().await.expect("a connection");
        let mut stream = message::MessageStream::new(local);
        let budget = budget();
        let mut lease = MemoryLease::new(sync::Arc::clone(&budget));
        let read =
            stream.read_body_within(body::BodyFraming::UntilClose, 64 * CAPACITY, &mut lease).await;
        assert!(matches!(read, Err(message::ReadError::NoMemory)));
        drop(lease);
        assert_eq!(budget.used(), 0);
    });
}

async fn connected() -> (TcpStream, message::MessageStream) {
    let (peer, stream) = connected_pair().await;
    (peer, message::MessageStream::new(stream))
}

async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let peer = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("connected");
    let (stream, _) = listener.accept().await.expect("accepted");
    (peer, stream)
}

#[test]
fn body_that_found_no_memory_can_be_read_on_once_there_is_some() {
    async_io::block_on(async {
        let (mut peer, mut stream) = connected().await;
        let content = vec![b'c'; CAPACITY];
        let mut sent = format!("{:x}\r\n", content.len()).into_bytes();
        sent.extend_from_slice(&content);
        sent.extend_from_slice(b"\r\n0\r\n\r\n");
        let send = async move { peer.write_all(&sent).await.map(|()| peer) };
        let budget = budget();
        let mut other = MemoryLease::new(sync::Arc::clone(&budget));
        assert!(other.grow_to(CAPACITY / 2));
        let mut other = Some(other);
        let mut lease = MemoryLease::new(budget);
        let framing = body::BodyFraming::ChunkSize;
        let mut reader = message::BodyReader::new(framing, 2 * CAPACITY).expect("short enough");
        let read = async {
            loop {
                match reader.read_some(&mut stream, &mut lease).await {
                    Ok(true) => return,
                    Ok(false) => {}
                    Err(message::ReadError::NoMemory) => drop(other.take().expect("once")),
                    Err(error) => panic!("{error}"),
                }
            }
        };
        let (sent, ()) = futures_lite::future::zip(send, read).await;
        sent.expect("written");
        assert!(other.is_none(), "the memory was short");
        assert!(reader.into_body() == content);
    });
}

#[test]
fn body_without_length_is_not_complete_if_its_request_was_cut() {
    async_io::block_on(async {
        for is_cut in [false, true] {
            let (mut peer, mut stream) = connected().await;
            stream.begin_exchange();
            if is_cut {
                stream.record_cut_request();
            }
            peer.write_all(b"a part").await.expect("written");
            peer.close().await.expect("open");
            let framing = body::BodyFraming::NonEmptyUntilClose;
            let read = stream.read_body(framing, CAPACITY).await;
            assert_eq!(read.is_err(), is_cut);
        }
    });
}
