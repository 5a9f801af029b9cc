//! Stand-in of the platform's store: topics, keyed topics and groups, as PROTOCOL.md describes them.
//! Each daemon has an entrance of its own, at which the store can turn it away.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{self, Connection, Message};
use crate::record::Record;

/// Partitions of a topic.
const PARTITIONS: usize = 12;

struct Member {
    joined: Instant,
    ttl: Duration,
}

/// A group: the member that each partition is meant for, and the one that holds it.
#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    target: Vec<Option<String>>,
    owner: Vec<Option<String>>,
}

impl Group {
    /// Deals the partitions in turn to the members, in the order of their names.
    fn deal(&mut self) {
        self.generation += 1;
        let names: Vec<&String> = self.members.keys().collect();
        let target = |partition: usize| names.get(partition % names.len().max(1));
        self.target = (0..PARTITIONS).map(|part| target(part).map(|name| (*name).clone())).collect();
    }

    fn join(&mut self, name: &str, ttl: Duration, generation: u64) -> Vec<usize> {
        let now = Instant::now();
        self.owner.resize(PARTITIONS, None);
        let before = self.members.len();
        self.members.retain(|known, member| known == name || now - member.joined < member.ttl);
        let is_new = self.members.get(name).is_none_or(|member| now - member.joined >= member.ttl);
        self.members.insert(name.to_owned(), Member { joined: now, ttl });
        for owner in &mut self.owner {
            let is_member = owner.as_ref().is_some_and(|owner| self.members.contains_key(owner));
            let is_lapsed = is_new && owner.as_deref() == Some(name);
            if !is_member || is_lapsed {
                *owner = None;
            }
        }
        if is_new || self.members.len() != before {
            self.deal();
        }
        for (owner, target) in self.owner.iter_mut().zip(&self.target) {
            // A member that knows the present generation has let go of what it no longer lists.
            let has_let_go = owner.as_deref() == Some(name) && generation >= self.generation;
            if owner.is_none() || (has_let_go && owner != target) {
                owner.clone_from(target);
            }
        }
        let parts = (0..PARTITIONS).filter(|part| {
            self.owner[*part].as_deref() == Some(name) && self.target[*part].as_deref() == Some(name)
        });
        parts.collect()
    }
}

#[derive(Default)]
struct Data {
    topics: BTreeMap<String, Vec<Vec<u8>>>,
    groups: BTreeMap<String, Group>,
}

#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
    record: Record,
}

/// Address at which one daemon reaches the store.
#[derive(Clone)]
pub struct Entrance {
    pub address: SocketAddr,
    /// Whether the store answers all its calls with 503.
    pub turned_away: Arc<AtomicBool>,
    /// When its last join was answered.
    pub joined: Arc<Mutex<Option<Instant>>>,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        Self { data: Arc::default(), record: record.clone() }
    }

    /// Opens an entrance.
    pub fn entrance(&self, host: u8) -> Entrance {
        let (listener, address) = net::bind(host);
        let entrance =
            Entrance { address, turned_away: Arc::default(), joined: Arc::default() };
        let (store, served) = (self.clone(), entrance.clone());
        net::serve(listener, move |mut connection| {
            while let Some(request) = connection.message() {
                if !store.answer(&served, &mut connection, &request) {
                    return;
                }
            }
        });
        entrance
    }

    /// Appends a record of a keyed topic.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = [&[key.len() as u8], key.as_bytes(), value.as_bytes()].concat();
        let (data, news) = &*self.data;
        data.lock().unwrap().topics.entry(topic.to_owned()).or_default().push(record);
        news.notify_all();
    }

    fn answer(&self, entrance: &Entrance, connection: &mut Connection, request: &Message) -> bool {
        if entrance.turned_away.load(Ordering::SeqCst) {
            return connection.respond(503, "", b"");
        }
        let topic = request.parameter("Topic").unwrap_or_default().to_owned();
        match request.path() {
            "/-/log-read" => self.read(connection, request, &topic),
            "/-/log-newest" => self.newest(connection, &topic),
            "/-/log-append" => self.append(connection, request, &topic),
            "/-/log-join" => {
                let answered = self.join(connection, request);
                *entrance.joined.lock().unwrap() = Some(Instant::now());
                answered
            }
            _ => connection.respond(404, "", b""),
        }
    }

    fn read(&self, connection: &mut Connection, request: &Message, topic: &str) -> bool {
        let from = request.parameter("From").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait = request.parameter("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let (data, news) = &*self.data;
        let mut data = data.lock().unwrap();
        loop {
            let records = data.topics.get(topic).map_or(&[][..], Vec::as_slice);
            let now = Instant::now();
            if records.len() > from || now >= end {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                drop(data);
                return connection.respond(200, "", &body);
            }
            data = news.wait_timeout(data, end - now).unwrap().0;
        }
    }

    fn newest(&self, connection: &mut Connection, topic: &str) -> bool {
        let data = self.data.0.lock().unwrap();
        let records = data.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            match value.is_empty() {
                true => newest.remove(&key),
                false => newest.insert(key, (offset, value)),
            };
        }
        let items = newest.iter().map(|(key, (offset, value))| {
            format!("{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}", base64(value))
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = records.len();
        let body = format!("{{\"items\":[{items}],\"HasMore\":false,\"End\":{end}}}");
        drop(data);
        connection.respond(200, "", body.as_bytes())
    }

    fn append(&self, connection: &mut Connection, request: &Message, topic: &str) -> bool {
        let (data, news) = &*self.data;
        let mut data = data.lock().unwrap();
        let records = data.topics.entry(topic.to_owned()).or_default();
        let at = request.parameter("At").and_then(|text| text.parse::<usize>().ok());
        if at.is_some_and(|at| at != records.len()) {
            let body = format!("{{\"End\":{}}}", records.len());
            drop(data);
            return connection.respond(412, "", body.as_bytes());
        }
        let offset = records.len();
        let mut rest = &request.body[..];
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let (record, tail) = tail.split_at(u32::from_be_bytes(*length) as usize);
            records.push(record.to_vec());
            rest = tail;
        }
        let body = format!("{{\"Offset\":{offset},\"End\":{}}}", records.len());
        drop(data);
        news.notify_all();
        connection.respond(200, "", body.as_bytes())
    }

    fn join(&self, connection: &mut Connection, request: &Message) -> bool {
        let call = request.text();
        let text = |name| net::member(&call, name).unwrap_or_default().to_owned();
        let (group, member) = (text("group"), text("Member"));
        let topic = call.split_once("\"Topics\":[\"").and_then(|(_, rest)| rest.split('"').next());
        let topic = topic.unwrap_or_default().to_owned();
        let ttl = Duration::from_millis(net::number(&call, "TtlMs").unwrap_or(3000));
        let generation = net::number(&call, "Generation").unwrap_or(0);
        let mut data = self.data.0.lock().unwrap();
        let group = data.groups.entry(group).or_default();
        let before = group.generation;
        let parts = group.join(&member, ttl, generation);
        let generation = group.generation;
        if before != generation {
            self.record.line(format!("store: generation {generation} of the group, {member} joins"));
        }
        drop(data);
        let rows = parts.iter().map(|part| format!("[\"{topic}\",{part},0]"));
        let rows = rows.collect::<Vec<_>>().join(",");
        let ttl = ttl.as_millis();
        let body = format!("{{\"Generation\":{generation},\"TtlMs\":{ttl},\"parts\":[{rows}]}}");
        connection.respond(200, "", body.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut block = [0; 3];
        block[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, block[0], block[1], block[2]]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            let is_padding = digit > group.len();
            text.push(if is_padding { '=' } else { char::from(DIGITS[index as usize]) });
        }
    }
    text
}
