//! A worker (executor) that takes orders by calls, as the protocol page describes it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::{Json, quote};
use crate::record::{Record, unix_ms};
use crate::store::Store;

/// The longest lease (`bounds.hold-max-ms`).
pub const MAX_LEASE: Duration = Duration::from_millis(10_000);

/// The interval of the reports to the store (`heartbeat-ms`).
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// After this time without a report, the store removes the entry of a worker.
pub const ENTRY_LIFETIME: Duration = Duration::from_millis(4_500);

/// The largest number of ends in one answer.
const MAX_LISTED_ENDS: usize = 500;

/// The interval at which runs and leases are checked.
const TICK: Duration = Duration::from_millis(10);

/// One start that a worker has carried out.
#[derive(Clone)]
pub struct Start {
    pub at_s: f64,
    pub task: String,
    pub run: u64,
    pub worker: String,
    /// When the run ended; `None` while it runs.
    pub ended_s: Option<f64>,
    /// How it ended; empty while it runs.
    pub how: String,
    /// When a call first said that the end is recorded.
    pub noted_s: Option<f64>,
}

/// What happened at all workers.
#[derive(Default)]
pub struct Ledger {
    pub starts: Mutex<Vec<Start>>,
}

/// The fixed properties of a worker.
#[derive(Clone)]
pub struct Profile {
    pub id: String,
    /// The address on which the worker listens.
    pub address: SocketAddr,
    /// The address that it reports; another one if there is a proxy.
    pub reported: SocketAddr,
    pub zone: String,
    pub service: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub rack: String,
    /// How long a task takes.
    pub task_time: Duration,
}

struct Run {
    number: u64,
    started: Instant,
    /// The index in the ledger.
    start: usize,
}

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    start: usize,
}

/// One life of a worker.
struct Life {
    born: u64,
    booted: Instant,
    token: u64,
    /// The end of the lease, since `booted`.
    lease_until: Duration,
    running: BTreeMap<String, Run>,
    ended: Vec<Ended>,
    ends: u64,
    /// The highest run of each task that was stopped or has ended.
    over: HashMap<String, u64>,
    is_draining: bool,
    is_gone: bool,
}

/// The faults that a script sets.
#[derive(Default, Clone, Copy)]
struct Faults {
    /// Nothing reaches the worker, and nothing from it arrives.
    is_cut: bool,
}

struct Shared {
    profile: Mutex<Profile>,
    life: Mutex<Life>,
    changed: Condvar,
    faults: Mutex<Faults>,
    record: Arc<Record>,
    ledger: Arc<Ledger>,
    store: Store,
    last_report: Mutex<Instant>,
    /// When the next regular report is due.
    next_beat: Mutex<Instant>,
    sequence: Mutex<u64>,
}

/// A worker that a script controls.
pub struct Worker {
    shared: Arc<Shared>,
    server: Mutex<Option<Server>>,
}

impl Life {
    fn new() -> Self {
        Self {
            born: unix_ms(),
            booted: Instant::now(),
            token: 0,
            lease_until: Duration::ZERO,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            over: HashMap::new(),
            is_draining: false,
            is_gone: false,
        }
    }

    fn clock(&self) -> Duration {
        self.booted.elapsed()
    }

    fn extend(&mut self, until_ms: u64) {
        let longest = self.clock() + MAX_LEASE;
        self.lease_until = self
            .lease_until
            .max(Duration::from_millis(until_ms).min(longest));
    }
}

impl Worker {
    /// Starts a worker and reports it to the store.
    pub fn start(
        profile: Profile,
        record: &Arc<Record>,
        ledger: &Arc<Ledger>,
        store: &Store,
    ) -> std::io::Result<Arc<Self>> {
        let shared = Arc::new(Shared {
            profile: Mutex::new(profile),
            life: Mutex::new(Life::new()),
            changed: Condvar::new(),
            faults: Mutex::default(),
            record: Arc::clone(record),
            ledger: Arc::clone(ledger),
            store: store.clone(),
            last_report: Mutex::new(Instant::now()),
            next_beat: Mutex::new(Instant::now() + HEARTBEAT),
            sequence: Mutex::new(0),
        });
        let worker = Arc::new(Self {
            shared,
            server: Mutex::new(None),
        });
        worker.listen()?;
        worker.shared.report();
        let weak = Arc::downgrade(&worker.shared);
        thread::spawn(move || tick(&weak));
        Ok(worker)
    }

    fn listen(&self) -> std::io::Result<()> {
        let shared = Arc::clone(&self.shared);
        let address = self.shared.profile.lock().unwrap().address;
        let server = Server::start(address, Arc::new(move |request| shared.handle(&request)))?;
        *self.server.lock().unwrap() = Some(server);
        Ok(())
    }

    /// Returns the identifier.
    pub fn id(&self) -> String {
        self.shared.profile.lock().unwrap().id.clone()
    }

    /// Ends the process of the worker with all its runs. Connections are reset and
    /// new ones refused.
    pub fn crash(&self) {
        let shared = &self.shared;
        let mut life = shared.life.lock().unwrap();
        life.is_gone = true;
        let runs: Vec<_> = life.running.keys().cloned().collect();
        for task in runs {
            shared.end_run(&mut life, &task, "gone");
        }
        life.ended.clear();
        drop(life);
        shared.record.line(&format!("worker {} crashes", self.id()));
        if let Some(mut server) = self.server.lock().unwrap().take() {
            server.crash();
        }
    }

    /// Starts a new life at the same address, under `id`.
    pub fn restart(&self, id: &str) -> std::io::Result<()> {
        *self.shared.life.lock().unwrap() = Life::new();
        let before = std::mem::replace(&mut self.shared.profile.lock().unwrap().id, id.to_owned());
        self.shared
            .record
            .line(&format!("worker {before} starts again as {id}"));
        self.listen()?;
        self.shared.report();
        Ok(())
    }

    /// Waits until `after` has passed since the last regular report.
    pub fn wait_after_beat(&self, after: Duration) {
        let next = *self.shared.next_beat.lock().unwrap();
        thread::sleep((next + after).saturating_duration_since(Instant::now()));
    }

    /// Reports the worker once more.
    pub fn report(&self) {
        self.shared.report();
    }

    /// Reports that the worker is draining.
    pub fn drain(&self) {
        self.shared.life.lock().unwrap().is_draining = true;
        self.shared
            .record
            .line(&format!("worker {} reports that it is draining", self.id()));
        self.shared.report();
    }

    /// Cuts the worker off from the hosts and from the store, or ends that.
    pub fn set_cut(&self, is_cut: bool) {
        let text = if is_cut {
            "is cut off"
        } else {
            "is reachable again"
        };
        self.shared
            .record
            .line(&format!("worker {} {text}", self.id()));
        self.shared.faults.lock().unwrap().is_cut = is_cut;
    }

    /// Returns the number of runs.
    pub fn running(&self) -> usize {
        self.shared.life.lock().unwrap().running.len()
    }

    /// Returns the number of ends of this life.
    pub fn ends(&self) -> u64 {
        self.shared.life.lock().unwrap().ends
    }
}

/// Ends runs that are done or whose lease has expired, and reports the worker, until
/// it is dropped.
fn tick(weak: &Weak<Shared>) {
    while let Some(shared) = weak.upgrade() {
        let mut life = shared.life.lock().unwrap();
        let clock = life.clock();
        let task_time = shared.profile.lock().unwrap().task_time;
        let has_expired = clock >= life.lease_until;
        let over = life.running.iter().filter_map(|(task, run)| {
            if run.started.elapsed() >= task_time {
                Some((task.clone(), "done"))
            } else {
                has_expired.then(|| (task.clone(), "lapsed"))
            }
        });
        let over: Vec<_> = over.collect();
        for (task, how) in over {
            shared.end_run(&mut life, &task, how);
        }
        let is_gone = life.is_gone;
        drop(life);
        let is_cut = shared.faults.lock().unwrap().is_cut;
        let age = shared.last_report.lock().unwrap().elapsed();
        if age >= ENTRY_LIFETIME {
            shared.remove_entry();
        }
        let mut next = shared.next_beat.lock().unwrap();
        let is_due = Instant::now() >= *next;
        if is_due {
            *next += HEARTBEAT;
        }
        drop(next);
        if is_due && !is_gone && !is_cut {
            shared.report();
        }
        drop(shared);
        thread::sleep(TICK);
    }
}

impl Shared {
    /// Writes the entry of the worker, unless the store is down.
    fn report(&self) {
        if self.store.is_down() {
            return;
        }
        let profile = self.profile.lock().unwrap().clone();
        let life = self.life.lock().unwrap();
        let (born, clock, is_draining) = (life.born, life.clock(), life.is_draining);
        drop(life);
        let mut sequence = self.sequence.lock().unwrap();
        *sequence += 1;
        let state = if is_draining { "draining" } else { "ready" };
        let value = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{state}\",\"cold-remaining-ms\":0,\
             \"capacity\":{{\"cpu\":{},\"mem-mb\":{},\"gpu\":0}},\"labels\":[\"a\",{}],\
             \"clock-ms\":{},\"born\":{born},\"seq\":{sequence}}}",
            quote(&profile.service),
            profile.reported,
            quote(&profile.zone),
            profile.cpu,
            profile.mem_mb,
            quote(&profile.rack),
            clock.as_millis(),
        );
        *self.last_report.lock().unwrap() = Instant::now();
        self.store.put("keyed.servers", &profile.id, &value);
    }

    fn remove_entry(&self) {
        let id = self.profile.lock().unwrap().id.clone();
        if self.store.newest("keyed.servers", &id).is_some() {
            self.record
                .line(&format!("the store removes the entry of worker {id}"));
            self.store.put("keyed.servers", &id, "");
        }
    }

    /// Ends a run and lists its end.
    fn end_run(&self, life: &mut MutexGuard<'_, Life>, task: &str, how: &'static str) {
        let Some(run) = life.running.remove(task) else {
            return;
        };
        let mut starts = self.ledger.starts.lock().unwrap();
        starts[run.start].ended_s = Some(self.record.now_s());
        starts[run.start].how = how.to_owned();
        drop(starts);
        let id = self.profile.lock().unwrap().id.clone();
        self.record.line(&format!(
            "worker {id}: {task} run {} ends: {how}",
            run.number
        ));
        life.ends += 1;
        let number = life.ends;
        life.over.insert(task.to_owned(), run.number);
        life.ended.push(Ended {
            number,
            task: task.to_owned(),
            run: run.number,
            how,
            start: run.start,
        });
        self.changed.notify_all();
    }

    /// Waits while the worker is cut off; returns whether it was.
    fn wait_while_cut(&self) -> bool {
        let mut was_cut = false;
        while self.faults.lock().unwrap().is_cut {
            was_cut = true;
            thread::sleep(TICK);
        }
        was_cut
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        // What a partition holds up is lost, since its sender has given up.
        if self.wait_while_cut() {
            return None;
        }
        let response = self.carry_out(request);
        if self.wait_while_cut() {
            return None;
        }
        response
    }

    fn carry_out(&self, request: &Request) -> Option<Response> {
        if request.method == "GET" {
            return Some(Response::json(200, "{}".to_owned()));
        }
        let id = self.profile.lock().unwrap().id.clone();
        let expected = request.header("pimentochute-expected-instance");
        if expected.is_some_and(|expected| expected != id) {
            return Some(Response::json(421, "{}".to_owned()));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut life = self.life.lock().unwrap();
        if life.is_gone {
            return None;
        }
        let clock_ms = u64::try_from(life.clock().as_millis()).unwrap_or(0);
        let refuse = |reason: &str| {
            Some(Response::json(
                409,
                format!("{{\"clock-ms\":{clock_ms},\"reason\":\"{reason}\"}}"),
            ))
        };
        let token = body.number("fencing-token").unwrap_or(0);
        if token < life.token {
            return refuse("fence");
        }
        life.token = token;
        match request.path.as_str() {
            "/run-start" => {
                let (task, run) = (body.text("task"), body.number("run").unwrap_or(0));
                let until = body.number("until-ms").unwrap_or(0);
                if until <= clock_ms {
                    return refuse("late");
                }
                life.extend(until);
                let known = life.running.get(&task).map(|known| known.number);
                if known == Some(run) {
                    return Some(Response::json(200, format!("{{\"clock-ms\":{clock_ms}}}")));
                }
                if known.is_some() || life.over.get(&task).is_some_and(|over| *over >= run) {
                    return refuse("old");
                }
                self.begin_run(&mut life, &id, task, run);
                Some(Response::json(200, format!("{{\"clock-ms\":{clock_ms}}}")))
            }
            "/run-stop" => {
                let (task, run) = (body.text("task"), body.number("run").unwrap_or(0));
                let over = life.over.entry(task.clone()).or_insert(0);
                *over = (*over).max(run);
                if life
                    .running
                    .get(&task)
                    .is_some_and(|known| known.number <= run)
                {
                    self.end_run(&mut life, &task, "stopped");
                }
                Some(Response::json(200, format!("{{\"clock-ms\":{clock_ms}}}")))
            }
            "/hold" => self.hold(&body, life, &id),
            _ => Some(Response::json(404, "{}".to_owned())),
        }
    }

    fn begin_run(&self, life: &mut MutexGuard<'_, Life>, id: &str, task: String, run: u64) {
        self.record
            .line(&format!("worker {id}: {task} run {run} starts"));
        let mut starts = self.ledger.starts.lock().unwrap();
        let start = starts.len();
        starts.push(Start {
            at_s: self.record.now_s(),
            task: task.clone(),
            run,
            worker: id.to_owned(),
            ended_s: None,
            how: String::new(),
            noted_s: None,
        });
        drop(starts);
        life.running.insert(
            task,
            Run {
                number: run,
                started: Instant::now(),
                start,
            },
        );
    }

    fn hold(&self, body: &Json, life: MutexGuard<'_, Life>, id: &str) -> Option<Response> {
        let mut life = life;
        if let Some(until) = body.number("until-ms") {
            life.extend(until);
        }
        let seen = body.number("seen-upto").unwrap_or(0);
        self.note_ends(&mut life, seen);
        let wait = Duration::from_millis(body.number("wait-ms").unwrap_or(0).min(2_000));
        let deadline = Instant::now() + wait;
        let born = life.born;
        while life.ended.iter().all(|end| end.number <= seen) {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || life.is_gone {
                break;
            }
            life = self.changed.wait_timeout(life, left.min(TICK)).unwrap().0;
            if life.born != born {
                return None;
            }
        }
        let text = listing(&life);
        if life.is_gone {
            return None;
        }
        if !life.ended.is_empty() {
            let numbers: Vec<_> = life.ended.iter().map(|end| end.number).collect();
            self.record.line(&format!(
                "worker {id}: a poll with seen-upto {seen} gets ends {numbers:?}"
            ));
        }
        Some(Response::json(200, text))
    }

    /// Forgets the ends that are recorded, also those that come later with such a
    /// number.
    fn note_ends(&self, life: &mut MutexGuard<'_, Life>, seen: u64) {
        let mut starts = self.ledger.starts.lock().unwrap();
        // An end whose lease has expired before it is noted does not count.
        let has_lease = life.clock() < life.lease_until;
        for end in life.ended.iter().filter(|end| end.number <= seen) {
            let start = &mut starts[end.start];
            if has_lease && start.noted_s.is_none() {
                start.noted_s = Some(self.record.now_s());
            }
        }
        drop(starts);
        life.ended.retain(|end| end.number > seen);
    }
}

fn listing(life: &Life) -> String {
    let running = life.running.iter().map(|(task, run)| {
        let percent = run.started.elapsed().as_millis() % 100;
        format!("[{},{},\"\",{percent}]", quote(task), run.number)
    });
    let ended = life.ended.iter().take(MAX_LISTED_ENDS).map(|end| {
        format!(
            "[{},{},{},\"{}\",\"\"]",
            end.number,
            quote(&end.task),
            end.run,
            end.how
        )
    });
    let (running, ended): (Vec<_>, Vec<_>) = (running.collect(), ended.collect());
    format!(
        "{{\"clock-ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        life.clock().as_millis(),
        life.born,
        running.join(","),
        ended.join(",")
    )
}
