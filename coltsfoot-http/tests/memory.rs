//! Budgets of the memory that messages hold together.

use std::sync;

use async_net::{TcpListener, TcpStream};
use coltsfoot_http::memory::{MemoryBudget, MemoryLease, UNCOUNTED_BYTES};
use coltsfoot_http::{body, message};
use futures_lite::AsyncWriteExt as _;

const CAPACITY: usize = 1024 * 1024;

fn budget() -> sync::Arc<MemoryBudget> {
    sync::Arc::new(MemoryBudget::new(CAPACITY))
}

#[test]
fn a_lease_is_given_back_and_counts_only_what_is_beyond_a_small_message() {
    let budget = budget();
    let mut lease = MemoryLease::new(sync::Arc::clone(&budget));
    assert!(lease.grow_to(UNCOUNTED_BYTES));
    assert_eq!(budget.used(), 0);
    assert!(lease.grow_to(UNCOUNTED_BYTES + CAPACITY));
    assert!(!lease.grow_to(UNCOUNTED_BYTES + CAPACITY + 1));
    assert!(lease.grow_to(10), "a lease does not shrink");
    assert_eq!(budget.used(), CAPACITY);
    let mut small = MemoryLease::new(sync::Arc::clone(&budget));
    assert!(small.grow_to(UNCOUNTED_BYTES), "small messages are always read");
    assert!(!small.grow_to(UNCOUNTED_BYTES + 1));
    drop(lease);
    assert_eq!(budget.used(), 0);
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
