//! The platform's metadata store: topics of records and groups of members, as the
//! protocol page describes them.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::{Json, quote};

/// The largest record, as `platform.record-bytes` of the deployment sets it.
pub const RECORD_BYTES: usize = 262_144;

/// The largest sum of the records of one append (`platform.call-bytes`).
const CALL_BYTES: usize = 2_097_152;

/// The number of partitions that a group assigns (`platform.parts`).
const PARTS: u32 = 32;

/// How long the store takes for an append.
const APPEND_TIME: Duration = Duration::from_millis(2);

/// The largest number of items on a page of the newest records.
const PAGE_ITEMS: usize = 500;

/// A page of the newest records ends when its values have this many bytes.
const PAGE_BYTES: usize = 1_048_576;

/// How many appends of a producer are remembered.
const REMEMBERED_APPENDS: usize = 5;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// The newest value of each key, with its offset.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    /// The number of the last append of this epoch; `None` if there was none.
    last: Option<u64>,
    recent: VecDeque<(u64, String)>,
}

struct Member {
    seen: Instant,
    ttl: Duration,
}

#[derive(Default)]
struct Group {
    generation: u64,
    /// In the order in which the members joined.
    order: Vec<String>,
    members: HashMap<String, Member>,
    /// The member that holds each partition.
    held: BTreeMap<u32, String>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    groups: HashMap<String, Group>,
    /// Appends that were refused because a record or the call was too large.
    too_large: u64,
    /// The store answers nothing.
    is_down: bool,
}

/// The store. Clones share their state.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves the store.
    pub fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start(address, Arc::new(move |request| store.answer(&request)))
    }

    /// Lets the store answer nothing, or ends that.
    pub fn set_down(&self, is_down: bool) {
        self.state.0.lock().unwrap().is_down = is_down;
    }

    /// Returns whether the store answers nothing.
    pub fn is_down(&self) -> bool {
        self.state.0.lock().unwrap().is_down
    }

    /// Handles a request; `None` if the store is down meanwhile.
    fn answer(&self, request: &Request) -> Option<Response> {
        let was_down = self.is_down();
        while self.is_down() {
            std::thread::sleep(Duration::from_millis(5));
        }
        if was_down {
            return None;
        }
        let response = self.handle(request);
        (!self.is_down()).then_some(response)
    }

    /// Writes a record of the operator or of a worker; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.add(keyed(key, value.as_bytes()));
        self.state.1.notify_all();
    }

    /// Returns how many appends were refused because of their size.
    pub fn too_large(&self) -> u64 {
        self.state.0.lock().unwrap().too_large
    }

    /// Returns the value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.0.lock().unwrap();
        let (_, value) = state.topics.get(topic)?.newest.get(key)?;
        Some(value.clone())
    }

    fn handle(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => self.append(request),
            ("GET", "/log-read") => self.read(request),
            ("GET", "/log-newest") => self.newest_page(request),
            ("POST", "/log-join") => self.join(request),
            ("POST", "/log-leave") => self.leave(request),
            ("GET", "/log-owners") => self.owners(request),
            _ => Response::json(404, "{}".to_owned()),
        }
    }

    fn append(&self, request: &Request) -> Response {
        std::thread::sleep(APPEND_TIME);
        let Some(records) = split_records(&request.body) else {
            return Response::json(400, "{}".to_owned());
        };
        let mut state = self.state.0.lock().unwrap();
        let total: usize = records.iter().map(Vec::len).sum();
        if total > CALL_BYTES || records.iter().any(|record| record.len() > RECORD_BYTES) {
            state.too_large += 1;
            return Response::json(413, "{}".to_owned());
        }
        let name = request.parameter("topic").unwrap_or_default().to_owned();
        let topic = state.topics.entry(name).or_default();
        let end = topic.records.len() as u64;
        if request.number("at").is_some_and(|at| at != end) {
            return Response::json(412, format!("{{\"end-offset\":{end}}}"));
        }
        let answer = format!(
            "{{\"offset\":{end},\"end-offset\":{}}}",
            end + records.len() as u64
        );
        if let Some(name) = request.parameter("producer") {
            let epoch = request.number("epoch").unwrap_or(0);
            let sequence = request.number("seq").unwrap_or(0);
            let producer = topic.producers.entry(name.to_owned()).or_default();
            if epoch < producer.epoch {
                return Response::json(409, "{\"reason\":\"fenced\"}".to_owned());
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if let Some((_, first)) = producer
                .recent
                .iter()
                .find(|(number, _)| *number == sequence)
            {
                return Response::json(200, first.clone());
            }
            if !records.is_empty() {
                if producer.last.is_some_and(|last| sequence != last + 1) {
                    let expected = producer.last.map_or(0, |last| last + 1);
                    let text = format!("{{\"reason\":\"seq\",\"expected\":{expected}}}");
                    return Response::json(409, text);
                }
                producer.last = Some(sequence);
                producer.recent.push_back((sequence, answer.clone()));
                if producer.recent.len() > REMEMBERED_APPENDS {
                    producer.recent.pop_front();
                }
            }
        }
        for record in records {
            topic.add(record);
        }
        self.state.1.notify_all();
        Response::json(200, answer)
    }

    fn read(&self, request: &Request) -> Response {
        let name = request.parameter("topic").unwrap_or_default().to_owned();
        let from = request.number("from").unwrap_or(0);
        let wait = Duration::from_millis(request.number("wait-ms").unwrap_or(0).min(30_000));
        let limit = usize::try_from(request.number("max-kb").unwrap_or(1_024) * 1_024).unwrap_or(0);
        let deadline = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let records = state
                .topics
                .get(&name)
                .map_or(&[][..], |topic| &topic.records[..]);
            let end = records.len() as u64;
            let left = deadline.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut body = end.to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records
                    .iter()
                    .skip(usize::try_from(from).unwrap_or(usize::MAX))
                {
                    if body.len() > 16 && body.len() + record.len() > limit {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Response::bytes(body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest_page(&self, request: &Request) -> Response {
        let state = self.state.0.lock().unwrap();
        let after = request.parameter("after").unwrap_or("");
        let empty = Topic::default();
        let topic = request
            .parameter("topic")
            .and_then(|name| state.topics.get(name));
        let topic = topic.unwrap_or(&empty);
        let mut rows = topic.newest.iter().filter(|(key, _)| key.as_str() > after);
        let mut items = Vec::new();
        let mut bytes = 0;
        for (key, (offset, value)) in rows.by_ref() {
            bytes += value.len();
            items.push(format!(
                "{{\"key\":{},\"value\":\"{}\",\"offset\":{offset}}}",
                quote(key),
                base64(value)
            ));
            if items.len() == PAGE_ITEMS || bytes >= PAGE_BYTES {
                break;
            }
        }
        let has_more = rows.next().is_some();
        let end = topic.records.len();
        let items = items.join(",");
        let text = format!("{{\"items\":[{items}],\"has-more\":{has_more},\"end-offset\":{end}}}");
        Response::json(200, text)
    }

    fn join(&self, request: &Request) -> Response {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let name = body.text("member");
        let ttl = Duration::from_millis(body.number("ttl-ms").unwrap_or(1_000));
        let known = body.number("generation").unwrap_or(0);
        let mut state = self.state.0.lock().unwrap();
        let group = state.groups.entry(body.text("group")).or_default();
        group.expire();
        if !group.members.contains_key(&name) {
            group.order.push(name.clone());
            group.generation += 1;
        }
        group.members.insert(
            name.clone(),
            Member {
                seen: Instant::now(),
                ttl,
            },
        );
        let count = group.order.len();
        let wanted = |part: u32| {
            group
                .order
                .get(part as usize % count.max(1))
                .cloned()
                .unwrap_or_default()
        };
        for part in 0..PARTS {
            let wanted = wanted(part);
            let holder = group.held.get(&part).cloned();
            if holder.as_ref() == Some(&name) && wanted != name && known >= group.generation {
                group.held.remove(&part);
            } else if holder.is_none() && wanted == name {
                group.held.insert(part, name.clone());
            }
        }
        let rows = group
            .held
            .iter()
            .filter(|(part, member)| **member == name && wanted(**part) == name);
        let rows: Vec<_> = rows
            .map(|(part, _)| format!("[\"roster\",{part},0]"))
            .collect();
        let text = format!(
            "{{\"generation\":{},\"ttl-ms\":{},\"parts\":[{}]}}",
            group.generation,
            ttl.as_millis(),
            rows.join(",")
        );
        Response::json(200, text)
    }

    fn leave(&self, request: &Request) -> Response {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.state.0.lock().unwrap();
        let group = state.groups.entry(body.text("group")).or_default();
        group.remove(&body.text("member"));
        Response::json(200, "{}".to_owned())
    }

    fn owners(&self, request: &Request) -> Response {
        let name = request.parameter("group").unwrap_or_default().to_owned();
        let mut state = self.state.0.lock().unwrap();
        let group = state.groups.entry(name).or_default();
        group.expire();
        let rows = group.held.iter();
        let rows: Vec<_> = rows
            .map(|(part, member)| format!("[\"roster\",{part},{},0]", quote(member)))
            .collect();
        Response::json(200, format!("{{\"owners\":[{}]}}", rows.join(",")))
    }
}

impl Group {
    /// Removes the members that have not joined within their time.
    fn expire(&mut self) {
        let silent = self
            .members
            .iter()
            .filter(|(_, member)| member.seen.elapsed() > member.ttl);
        let silent: Vec<_> = silent.map(|(name, _)| name.clone()).collect();
        for name in silent {
            self.remove(&name);
        }
    }

    fn remove(&mut self, name: &str) {
        if self.members.remove(name).is_some() {
            self.order.retain(|member| member != name);
            self.held.retain(|_, member| member != name);
            self.generation += 1;
        }
    }
}

impl Topic {
    fn add(&mut self, record: Vec<u8>) {
        let offset = self.records.len() as u64;
        let key_end = 1 + usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
        if record.len() == key_end {
            self.newest.remove(&key);
        } else {
            self.newest
                .insert(key, (offset, record[key_end..].to_vec()));
        }
        self.records.push(record);
    }
}

fn keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    record
}

fn split_records(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let length = u32::from_be_bytes(rest.get(..4)?.try_into().ok()?) as usize;
        let record = rest.get(4..4 + length)?;
        if record.len() < 1 + usize::from(*record.first()?) {
            return None;
        }
        records.push(record.to_vec());
        rest = &rest[4 + length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= part.len() {
                text.push(ALPHABET[(word >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
