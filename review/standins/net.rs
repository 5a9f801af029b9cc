//! Small HTTP/1.1 server and client on blocking sockets, enough for the stand-ins.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Head of a message with its body. `start` holds the three words of the first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: [String; 3],
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let known = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        known.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.start[1].split('?').next().unwrap_or_default()
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        let query = self.start[1].split_once('?')?.1;
        let pair = query.split('&').filter_map(|pair| pair.split_once('='));
        pair.into_iter().find(|(known, _)| *known == name).map(|(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Connection with a read buffer.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> bool {
        let mut chunk = [0; 8192];
        match self.stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&chunk[..count]);
                true
            }
            _ => false,
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads a head, without a body.
    pub fn head(&mut self) -> Option<Message> {
        let first = self.line()?;
        let mut words = first.splitn(3, ' ').map(str::to_owned);
        let mut next = || words.next().unwrap_or_default();
        let mut message = Message { start: [next(), next(), next()], ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(message);
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            message.fields.push((name.to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads a chunk of a body; `Some` of nothing is the last one.
    pub fn chunk(&mut self) -> Option<Vec<u8>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        let data = self.bytes(size)?;
        self.line()?;
        Some(data)
    }

    /// Reads a whole message; `None` if the connection ends before.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        if message.field("Transfer-Encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Some(message);
                }
                message.body.extend(chunk);
            }
        }
        let length = message.field("Content-Length").and_then(|text| text.parse().ok());
        message.body = self.bytes(length.unwrap_or(0))?;
        Some(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Writes a response with a body.
    pub fn respond(&mut self, status: u16, fields: &str, body: &[u8]) -> bool {
        let head = format!("HTTP/1.1 {status} S\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
        self.write(&[head.as_bytes(), body].concat())
    }
}

/// Serves connections with one thread each.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Connection::new(stream)));
        }
    });
}

/// Returns a loopback address of this run, by its number.
pub fn loopback(host: u8) -> Ipv4Addr {
    let run = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + run[2] % 250, run[3], host)
}

/// Binds a free port of a loopback address.
pub fn bind(host: u8) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((IpAddr::V4(loopback(host)), 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Returns a port that is free at all of these addresses, for TCP and UDP.
pub fn free_port(hosts: &[u8]) -> u16 {
    for port in 20_000..30_000 {
        let is_free = hosts.iter().all(|host| {
            let address = (loopback(*host), port);
            TcpListener::bind(address).is_ok() && std::net::UdpSocket::bind(address).is_ok()
        });
        if is_free {
            return port;
        }
    }
    panic!("no free port");
}

/// Sends a request on a new connection and reads the whole response.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut connection = Connection::new(stream);
    if !connection.write(request) {
        return None;
    }
    connection.message()
}

/// Returns the text of a JSON member, found by its name: a string's content or the digits of a number.
pub fn member<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let start = json.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = json[start..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}', ']']).next().map(str::trim),
    }
}

/// Returns the digits of a JSON member as a number.
pub fn number(json: &str, name: &str) -> Option<u64> {
    member(json, name)?.parse().ok()
}
