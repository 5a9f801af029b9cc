//! A TCP relay that can be cut, to separate one process from a service.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

/// Passes connections on to a target until it is cut.
pub struct CutRelay {
    /// Address that the relay listens on.
    pub address: net::SocketAddr,
    state: sync::Arc<RelayState>,
}

#[derive(Default)]
struct RelayState {
    cut: atomic::AtomicBool,
    streams: sync::Mutex<Vec<net::TcpStream>>,
}

impl CutRelay {
    /// Starts a relay to a target.
    pub fn start(target: net::SocketAddr) -> io::Result<Self> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = sync::Arc::<RelayState>::default();
        let accepting = sync::Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.cut.load(atomic::Ordering::SeqCst) {
                    continue;
                }
                // A failure closes both connections, as a broken link does.
                let _ = accepting.pass_on(stream, target);
            }
        });
        Ok(Self { address, state })
    }

    /// Breaks all connections and refuses new ones.
    pub fn cut(&self) {
        self.state.cut.store(true, atomic::Ordering::SeqCst);
        for stream in self.state.lock().drain(..) {
            let _ = stream.shutdown(net::Shutdown::Both);
        }
    }
}

impl RelayState {
    fn pass_on(&self, near: net::TcpStream, target: net::SocketAddr) -> io::Result<()> {
        let far = net::TcpStream::connect(target)?;
        self.lock().extend([near.try_clone()?, far.try_clone()?]);
        copy_on_thread(near.try_clone()?, far.try_clone()?);
        copy_on_thread(far, near);
        Ok(())
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<net::TcpStream>> {
        self.streams.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn copy_on_thread(mut from: net::TcpStream, mut to: net::TcpStream) {
    thread::spawn(move || {
        let _ = io::copy(&mut from, &mut to);
        let _ = to.shutdown(net::Shutdown::Both);
    });
}
