//! The platform's store: keyed topics of one partition and the groups of hosts.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server, answer};
use crate::json::{Json, base64, quote};

const PARTITIONS: usize = 32;
const MAX_WAIT: Duration = Duration::from_secs(30);

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    groups: BTreeMap<String, Group>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, usize)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    /// `None` after the start of an epoch: the next append may have any number.
    next: Option<u64>,
    /// The numbers of the last five appends with their answers.
    last: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: Vec<(String, Instant, Duration)>,
}

impl Topic {
    fn append(&mut self, records: Vec<Vec<u8>>) -> String {
        let offset = self.records.len();
        for record in records {
            let key_length = usize::from(record.first().copied().unwrap_or(0));
            let key_end = (1 + key_length).min(record.len());
            let (key, value) = (
                record[1.min(key_end)..key_end].to_vec(),
                record[key_end..].to_vec(),
            );
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (value, self.records.len()));
            }
            self.records.push(record);
        }
        format!(
            "{{\"offset\":{offset},\"end-offset\":{}}}",
            self.records.len()
        )
    }
}

impl Group {
    fn expire(&mut self) {
        let before = self.members.len();
        self.members.retain(|(_, seen, ttl)| seen.elapsed() < *ttl);
        if self.members.len() != before {
            self.generation += 1;
        }
    }

    fn owner(&self, partition: usize) -> Option<&str> {
        let count = self.members.len();
        (count > 0).then(|| self.members[partition % count].0.as_str())
    }
}

impl Store {
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Server> {
        let store = Arc::clone(self);
        Server::start(address, move |request| store.handle(request))
    }

    /// Writes a record as the operator or a server does; without a value, the key is removed.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .append(vec![record]);
        self.changed.notify_all();
    }

    /// Returns the newest record of a key as text.
    pub fn newest_text(&self, topic: &str, key: &str) -> String {
        let state = self.state.lock().unwrap();
        let newest = state
            .topics
            .get(topic)
            .and_then(|topic| topic.newest.get(key.as_bytes()));
        newest.map_or_else(String::new, |(value, _)| {
            String::from_utf8_lossy(value).into_owned()
        })
    }

    fn handle(&self, request: &Request) -> Option<Answer> {
        match request.path.as_str() {
            "/log-append" => self.append(request),
            "/log-read" => self.read(request),
            "/log-newest" => self.newest(request),
            "/log-join" => self.join(request),
            "/log-leave" => self.leave(request),
            "/log-owners" => self.owners(request),
            _ => answer(404, "{}"),
        }
    }

    fn append(&self, request: &Request) -> Option<Answer> {
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let mut state = self.state.lock().unwrap();
        let topic = state
            .topics
            .entry(request.query.get("topic")?.clone())
            .or_default();
        let end = topic.records.len();
        if number("at").is_some_and(|at| at != end as u64) {
            return answer(412, format!("{{\"end-offset\":{end}}}"));
        }
        let mut records = Vec::new();
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            records.push(rest.get(4..4 + length)?.to_vec());
            rest = &rest[4 + length..];
        }
        let Some(name) = request.query.get("producer") else {
            let text = topic.append(records);
            self.changed.notify_all();
            return answer(200, text);
        };
        let (epoch, sequence) = (number("epoch")?, number("seq").unwrap_or(0));
        let producer = topic.producers.entry(name.clone()).or_default();
        if epoch < producer.epoch {
            return answer(409, "{\"reason\":\"fenced\"}");
        }
        if epoch > producer.epoch {
            *producer = Producer {
                epoch,
                ..Producer::default()
            };
        }
        if records.is_empty() {
            producer.next = None;
            return answer(200, format!("{{\"offset\":{end},\"end-offset\":{end}}}"));
        }
        if let Some((_, text)) = producer.last.iter().find(|(last, _)| *last == sequence) {
            return answer(200, text.clone());
        }
        if let Some(next) = producer.next.filter(|next| *next != sequence) {
            return answer(409, format!("{{\"reason\":\"seq\",\"seq\":{next}}}"));
        }
        let text = topic.append(records);
        let producer = topic.producers.entry(name.clone()).or_default();
        producer.next = Some(sequence + 1);
        producer.last.push_back((sequence, text.clone()));
        if producer.last.len() > 5 {
            producer.last.pop_front();
        }
        self.changed.notify_all();
        answer(200, text)
    }

    fn read(&self, request: &Request) -> Option<Answer> {
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let (name, from) = (
            request.query.get("topic")?,
            number("from").unwrap_or(0) as usize,
        );
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0)).min(MAX_WAIT);
        let max_bytes = number("max-kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let topic = state.topics.entry(name.clone()).or_default();
            let now = Instant::now();
            if topic.records.len() > from || now >= until {
                let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in topic.records.iter().skip(from) {
                    if body.len() + record.len() > max_bytes {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return answer(200, body);
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Option<Answer> {
        let mut state = self.state.lock().unwrap();
        let topic = state
            .topics
            .entry(request.query.get("topic")?.clone())
            .or_default();
        let after = request
            .query
            .get("after")
            .map(|key| key.as_bytes().to_vec());
        let later = topic
            .newest
            .iter()
            .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
        let later: Vec<_> = later.collect();
        let mut bytes = 0;
        let page = later.iter().take(500).take_while(|(_, (value, _))| {
            bytes += value.len();
            bytes <= 1_000_000
        });
        let page: Vec<_> = page.collect();
        let items: Vec<_> = page
            .iter()
            .map(|(key, (value, offset))| {
                let key = quote(&String::from_utf8_lossy(key));
                format!(
                    "{{\"key\":{key},\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        let has_more = page.len() < later.len();
        let end = topic.records.len();
        answer(
            200,
            format!(
                "{{\"items\":[{}],\"has-more\":{has_more},\"end-offset\":{end}}}",
                items.join(",")
            ),
        )
    }

    fn join(&self, request: &Request) -> Option<Answer> {
        let body = Json::parse(&request.body)?;
        let member = body.get("member").text().to_owned();
        let ttl = Duration::from_millis(body.get("ttl-ms").number().max(1_000));
        let mut state = self.state.lock().unwrap();
        let group = state
            .groups
            .entry(body.get("group").text().to_owned())
            .or_default();
        group.expire();
        match group.members.iter_mut().find(|(name, ..)| *name == member) {
            Some(known) => (known.1, known.2) = (Instant::now(), ttl),
            None => {
                group.members.push((member.clone(), Instant::now(), ttl));
                group.generation += 1;
            }
        }
        let rows: Vec<_> = (0..PARTITIONS)
            .filter(|partition| group.owner(*partition) == Some(&member))
            .map(|partition| format!("[\"roster\",{partition},0]"))
            .collect();
        let generation = group.generation;
        let ttl = ttl.as_millis();
        answer(
            200,
            format!(
                "{{\"generation\":{generation},\"ttl-ms\":{ttl},\"parts\":[{}]}}",
                rows.join(",")
            ),
        )
    }

    fn leave(&self, request: &Request) -> Option<Answer> {
        let body = Json::parse(&request.body)?;
        let mut state = self.state.lock().unwrap();
        let group = state
            .groups
            .entry(body.get("group").text().to_owned())
            .or_default();
        group
            .members
            .retain(|(name, ..)| name != body.get("member").text());
        group.generation += 1;
        answer(200, "{}")
    }

    fn owners(&self, request: &Request) -> Option<Answer> {
        let mut state = self.state.lock().unwrap();
        let group = state
            .groups
            .entry(request.query.get("group")?.clone())
            .or_default();
        group.expire();
        let rows: Vec<_> = (0..PARTITIONS)
            .filter_map(|partition| {
                Some(format!(
                    "[\"roster\",{partition},{},0]",
                    quote(group.owner(partition)?)
                ))
            })
            .collect();
        answer(200, format!("{{\"owners\":[{}]}}", rows.join(",")))
    }
}
