//! Stand-in of an engine of a plain service that crashes when it begins to run a certain request, and is back some
//! seconds later as a new incarnation.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{self, Connection, Message};
use crate::record::Record;
use crate::store::Store;

/// Name of the service.
pub const SERVICE: &str = "wuno96b";
/// Body of the request that crashes each engine that begins to run it.
pub const POISON: &str = "booking 77";
/// Interval at which an engine writes its entry, and the silence after which the entry is removed.
const HEARTBEAT: Duration = Duration::from_millis(1200);
const ENTRY_LIFETIME: Duration = Duration::from_millis(3600);
/// How long an engine is down.
const DOWN_TIME: Duration = Duration::from_millis(4500);
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(60);
/// Length of the queue of connections of an engine that is up.
const BACKLOG: i32 = 128;

/// Argument of `shutdown` for both directions. A socket that listens ends that, and can listen anew.
const BOTH: i32 = 2;

unsafe extern "C" {
    safe fn listen(socket: i32, backlog: i32) -> i32;
    safe fn shutdown(socket: i32, how: i32) -> i32;
}

/// What an engine does when it begins to run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[allow(dead_code)]
pub enum Crash {
    /// It runs it.
    Never,
    /// It goes dark, as after a loss of power: no answers, and new connections hang.
    Dark,
    /// Its process ends: connections break, and its port refuses new ones.
    Exit,
}

#[derive(Default)]
struct State {
    starts: u32,
    born: u128,
    is_down: bool,
    open: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Desk {
    number: u8,
    address: SocketAddr,
    listener: Arc<TcpListener>,
    state: Arc<(Mutex<State>, Condvar)>,
    store: Store,
    record: Record,
    /// Arrivals of the request that crashes engines.
    arrivals: Arc<Mutex<Vec<Instant>>>,
    crash: Crash,
}

impl Desk {
    /// Starts an engine.
    pub fn start(
        number: u8,
        store: &Store,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Instant>>>,
        crash: Crash,
    ) -> Self {
        let (listener, address) = net::bind(40 + number);
        drop(listener);
        // A port that was named stays the socket's own when it stops and listens anew.
        let listener = TcpListener::bind(address).expect("the port is free again");
        let desk = Self {
            number,
            address,
            listener: Arc::new(listener),
            state: Arc::default(),
            store: store.clone(),
            record: record.clone(),
            arrivals: Arc::clone(arrivals),
            crash,
        };
        desk.begin_incarnation();
        let (accepting, beating) = (desk.clone(), desk.clone());
        thread::spawn(move || accepting.accept());
        thread::spawn(move || beating.beat());
        desk
    }

    fn begin_incarnation(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.starts += 1;
        state.born = std::time::UNIX_EPOCH.elapsed().expect("a date").as_millis();
        state.is_down = false;
        drop(state);
        self.state.1.notify_all();
    }

    fn id(&self) -> String {
        format!("i-02d9e{}b{}", self.number, self.state.0.lock().unwrap().starts)
    }

    fn wait_until_up(&self) {
        let mut state = self.state.0.lock().unwrap();
        while state.is_down {
            state = self.state.1.wait(state).unwrap();
        }
    }

    fn accept(&self) {
        loop {
            let Ok((stream, _)) = self.listener.accept() else {
                thread::sleep(Duration::from_millis(20));
                self.wait_until_up();
                continue;
            };
            let desk = self.clone();
            if let Ok(handle) = stream.try_clone() {
                self.state.0.lock().unwrap().open.push(handle);
            }
            thread::spawn(move || desk.serve(Connection::new(stream)));
            self.wait_until_up();
        }
    }

    fn beat(&self) {
        for sequence in 1_u64.. {
            self.wait_until_up();
            let (id, address, born) = (self.id(), self.address, self.state.0.lock().unwrap().born);
            let entry = format!(
                "{{\"Service\":\"{SERVICE}\",\"Address\":\"{address}\",\"Zone\":\"rennes\",\"Version\":\"v1\",\
                 \"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":{sequence},\"born\":{born}}}"
            );
            self.store.put("keyed.servers", &id, &entry);
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.message() {
            self.wait_until_up();
            let id = self.id();
            let expected = request.field("X-Expect-Instance");
            if expected.is_some_and(|expected| expected != id) {
                if !connection.respond(421, &format!("X-Instance-Id: {id}\r\n"), b"") {
                    return;
                }
                continue;
            }
            if !self.run(&mut connection, &request) {
                return;
            }
        }
    }

    fn run(&self, connection: &mut Connection, request: &Message) -> bool {
        let id = request.field("X-Request-Id").unwrap_or_default();
        if request.text() == POISON {
            self.arrivals.lock().unwrap().push(Instant::now());
            self.record.line(format!("engine {}: begins to run {id}, {POISON}", self.id()));
            match self.crash {
                Crash::Never => {}
                Crash::Dark => {
                    self.go_dark();
                    return false;
                }
                Crash::Exit => {
                    self.exit();
                    return false;
                }
            }
        }
        thread::sleep(WORK);
        if self.state.0.lock().unwrap().is_down {
            self.record.line(format!("engine {}: {id} is lost with it", self.id()));
            return false;
        }
        self.record.line(format!("engine {}: has run {id}", self.id()));
        let fields = format!("X-Request-Id: {id}\r\nX-Server-Stamp: s.{id}\r\n");
        connection.respond(200, &fields, id.as_bytes())
    }

    /// Goes dark and comes back. Meanwhile nothing is answered, and new connections hang.
    fn go_dark(&self) {
        let id = self.id();
        self.record.line(format!("engine {id}: goes dark"));
        self.state.0.lock().unwrap().is_down = true;
        // A full queue of connections drops what comes, as a machine without power does.
        listen(self.listener.as_raw_fd(), 0);
        let mut held = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(60)) {
            held.push(stream);
        }
        self.wait_down(&id);
        self.break_connections();
        drop(held);
        self.come_back();
    }

    /// Ends and comes back. Meanwhile the port refuses connections.
    fn exit(&self) {
        let id = self.id();
        self.record.line(format!("engine {id}: crashes"));
        self.state.0.lock().unwrap().is_down = true;
        shutdown(self.listener.as_raw_fd(), BOTH);
        self.break_connections();
        self.wait_down(&id);
        self.come_back();
    }

    /// Stays down; its entry is removed meanwhile.
    fn wait_down(&self, id: &str) {
        thread::sleep(ENTRY_LIFETIME);
        self.store.put("keyed.servers", id, "");
        thread::sleep(DOWN_TIME - ENTRY_LIFETIME);
    }

    fn break_connections(&self) {
        for open in self.state.0.lock().unwrap().open.drain(..) {
            let _ = open.shutdown(Shutdown::Both);
        }
    }

    fn come_back(&self) {
        listen(self.listener.as_raw_fd(), BACKLOG);
        self.begin_incarnation();
        self.record.line(format!("engine {}: is up", self.id()));
    }
}
