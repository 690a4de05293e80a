//! The executors: each runs what it is told to, under a lease on its own clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server, answer};
use crate::json::{Json, quote};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

pub const POOL: &str = "pool-1";
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

const TICK: Duration = Duration::from_millis(5);
const MAX_LEASE_MS: u64 = 10_000;
const MAX_WAIT_MS: u64 = 2_000;

/// The start of a task, as the executor saw it.
#[derive(Debug, Clone)]
pub struct Start {
    pub task: String,
    pub at: Instant,
    /// The executor that began the task, and its kind.
    pub worker: String,
    pub kind: String,
}

pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    /// Through which hosts reach the executor, if they do not reach it directly.
    pub proxy: Option<Proxy>,
    pub rack: String,
    record: Record,
    store: Arc<Store>,
    life: Mutex<Life>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    starts: Arc<Mutex<Vec<Start>>>,
    has_ended: AtomicBool,
}

struct Life {
    is_up: bool,
    /// Whether the life has written its entry.
    is_listed: bool,
    kind: String,
    born: u64,
    began: Instant,
    token: u64,
    lease_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    over: BTreeMap<String, u64>,
}

struct Run {
    number: u64,
    began: Instant,
    work: Duration,
}

impl Life {
    fn new(kind: &str) -> Self {
        Self {
            is_up: true,
            is_listed: false,
            kind: kind.to_owned(),
            born: crate::record::unix_ms(),
            began: Instant::now(),
            token: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            over: BTreeMap::new(),
        }
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until: u64) {
        self.lease_ms = self.lease_ms.max(until.min(self.clock() + MAX_LEASE_MS));
    }

    fn end(&mut self, task: &str, how: &'static str) {
        if let Some(run) = self.running.remove(task) {
            self.last_end += 1;
            self.ended
                .push((self.last_end, task.to_owned(), run.number, how));
            let over = self.over.entry(task.to_owned()).or_default();
            *over = (*over).max(run.number);
        }
    }
}

impl Worker {
    /// Starts an executor that is listed at once.
    pub fn start(
        name: &str,
        kind: &str,
        rack: &str,
        record: Record,
        store: Arc<Store>,
        starts: Arc<Mutex<Vec<Start>>>,
        has_proxy: bool,
    ) -> std::io::Result<Arc<Worker>> {
        let address = SocketAddr::from(([127, 0, 0, 1], crate::host::free_port()?));
        let proxy = has_proxy.then(|| Proxy::start(address)).transpose()?;
        let worker = Arc::new(Worker {
            name: name.to_owned(),
            address,
            proxy,
            rack: rack.to_owned(),
            record,
            store,
            life: Mutex::new(Life::new(kind)),
            changed: Condvar::new(),
            server: Mutex::new(None),
            starts,
            has_ended: AtomicBool::new(false),
        });
        worker.listen()?;
        worker.list();
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            let mut beat_at = Instant::now() + HEARTBEAT;
            while !ticking.has_ended.load(Ordering::SeqCst) {
                thread::sleep(TICK);
                ticking.end_due();
                if Instant::now() >= beat_at {
                    beat_at = Instant::now() + HEARTBEAT;
                    if ticking.life.lock().unwrap().is_listed {
                        ticking.list();
                    }
                }
            }
        });
        Ok(worker)
    }

    /// The executor crashes: everything that it runs and knows is gone.
    pub fn crash(&self) {
        self.life.lock().unwrap().is_up = false;
        self.life.lock().unwrap().is_listed = false;
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        let ran: Vec<_> = self.life.lock().unwrap().running.keys().cloned().collect();
        self.record
            .note(&format!("{} crashes, running {ran:?}", self.name));
    }

    /// The executor starts again under its identifier and at its address.
    pub fn restart(self: &Arc<Self>, kind: &str) -> std::io::Result<()> {
        *self.life.lock().unwrap() = Life::new(kind);
        self.record
            .note(&format!("{} starts again as kind {kind}", self.name));
        self.listen()
    }

    /// Writes the executor's entry to the store.
    pub fn list(&self) {
        let mut life = self.life.lock().unwrap();
        if !life.is_listed {
            self.record.note(&format!(
                "{} writes its entry: kind {}",
                self.name, life.kind
            ));
        }
        life.is_listed = true;
        let entry = format!(
            "{{\"service\":\"{POOL}\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold-remaining-ms\":0,\
             \"capacity\":{{\"cpu\":16000,\"mem-mb\":65536,\"gpu\":0}},\
             \"labels\":[\"{}\",\"{}\"],\"clock-ms\":{},\"born\":{},\"seq\":{}}}",
            self.proxy
                .as_ref()
                .map_or(self.address, |proxy| proxy.address),
            life.kind,
            self.rack,
            life.clock(),
            life.born,
            life.clock() / HEARTBEAT.as_millis() as u64 + 1,
        );
        drop(life);
        self.store.put("keyed.servers", &self.name, &entry);
    }

    fn listen(self: &Arc<Self>) -> std::io::Result<()> {
        let worker = Arc::clone(self);
        let server = Server::start(self.address, move |request| worker.handle(request))?;
        *self.server.lock().unwrap() = Some(server);
        Ok(())
    }

    pub fn stop(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
    }

    fn end_due(&self) {
        let mut life = self.life.lock().unwrap();
        if !life.is_up || life.running.is_empty() {
            return;
        }
        let has_lapsed = life.clock() > life.lease_ms;
        let due = life
            .running
            .iter()
            .filter(|(_, run)| has_lapsed || run.began.elapsed() >= run.work);
        let due: Vec<_> = due.map(|(task, run)| (task.clone(), run.number)).collect();
        for (task, run) in due {
            let how = if has_lapsed { "lapsed" } else { "done" };
            life.end(&task, how);
            self.record
                .note(&format!("{} ends {task} run {run}: {how}", self.name));
        }
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Option<Answer> {
        let mut life = self.life.lock().unwrap();
        if !life.is_up {
            return None;
        }
        if request.path == "/health" {
            return answer(200, "{}");
        }
        let expected = request.headers.get("pimentochute-expected-instance");
        if expected.is_some_and(|expected| *expected != self.name) {
            return answer(421, "{}");
        }
        let body = Json::parse(&request.body)?;
        let clock = life.clock();
        let refused = |reason: &str| {
            answer(
                409,
                format!("{{\"clock-ms\":{clock},\"reason\":\"{reason}\"}}"),
            )
        };
        let token = body.get("fencing-token").number();
        if token < life.token {
            return refused("fence");
        }
        life.token = token;
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        match request.path.as_str() {
            "/run-start" => {
                let until = body.get("until-ms").number();
                life.extend(until);
                if life
                    .running
                    .get(&task)
                    .is_some_and(|present| present.number == run)
                {
                    return answer(200, format!("{{\"clock-ms\":{clock}}}"));
                }
                if until < clock {
                    return refused("late");
                }
                if life.over.get(&task).is_some_and(|over| run <= *over) {
                    return refused("old");
                }
                let work = work_of(body.get("spec").text());
                life.running.insert(
                    task.clone(),
                    Run {
                        number: run,
                        began: Instant::now(),
                        work,
                    },
                );
                self.record.note(&format!(
                    "{} (kind {}) begins {task} run {run}",
                    self.name, life.kind
                ));
                let kind = life.kind.clone();
                self.starts.lock().unwrap().push(Start {
                    at: Instant::now(),
                    task,
                    worker: self.name.clone(),
                    kind,
                });
                answer(200, format!("{{\"clock-ms\":{clock}}}"))
            }
            "/run-stop" => {
                let over = life.over.entry(task.clone()).or_default();
                *over = (*over).max(run);
                if life
                    .running
                    .get(&task)
                    .is_some_and(|present| present.number <= run)
                {
                    life.end(&task, "stopped");
                    self.record
                        .note(&format!("{} stops {task} run {run}", self.name));
                }
                self.changed.notify_all();
                answer(200, format!("{{\"clock-ms\":{clock}}}"))
            }
            "/hold" => {
                let seen = body.get("seen-upto").number();
                life.ended.retain(|end| end.0 > seen);
                if let Json::Number(until) = body.get("until-ms") {
                    life.extend(*until as u64);
                }
                let born = life.born;
                let wait = Duration::from_millis(body.get("wait-ms").number().min(MAX_WAIT_MS));
                let until = Instant::now() + wait;
                while life.ended.is_empty() && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    life = self.changed.wait_timeout(life, left).unwrap().0;
                    if !life.is_up || life.born != born {
                        return None;
                    }
                }
                answer(200, listing(&life))
            }
            _ => answer(404, "{}"),
        }
    }
}

fn listing(life: &Life) -> String {
    let running = life.running.iter().map(|(task, run)| {
        let percent = run.began.elapsed().as_millis() * 100 / run.work.as_millis().max(1);
        format!(
            "[{},{},\"\",{},0]",
            quote(task),
            run.number,
            percent.min(99)
        )
    });
    let running: Vec<_> = running.collect();
    let ended = life.ended.iter().take(500);
    let ended = ended
        .map(|(number, task, run, how)| format!("[{number},{},{run},\"{how}\",\"\"]", quote(task)));
    let ended: Vec<_> = ended.collect();
    format!(
        "{{\"clock-ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        life.clock(),
        life.born,
        running.join(","),
        ended.join(",")
    )
}

/// Returns how long a task works: the number of milliseconds that its text begins with.
fn work_of(spec: &str) -> Duration {
    let digits: String = spec.chars().take_while(char::is_ascii_digit).collect();
    Duration::from_millis(digits.parse().unwrap_or(200))
}
