//! A small deployment: a store, workers and entry hosts, and its callers.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::host::{Host, free_port};
use crate::http::{self, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Ledger, Profile, Start, Worker};

/// How long a caller waits for an answer, as in the site file (`deadline_ms`).
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// How often a caller sends a job again (`retries`).
const RETRIES: usize = 4;

/// The time between two attempts of a caller.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The interval at which the platform checks the hosts.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long the hosts may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

pub const SERVICE: &str = "order-desk";
const PREFIX: &str = "/orders/";
const QUEUE_HOST: &str = "desk.example";

/// A team and its key.
#[derive(Clone, Copy)]
pub struct Team {
    pub name: &'static str,
    pub key: &'static str,
    /// The cap in thousandths of a core; 0 for no limit.
    pub cap_cpu: u64,
}

/// The deployment.
pub struct Cell {
    pub record: Arc<Record>,
    pub ledger: Arc<Ledger>,
    pub store: Store,
    pub store_address: SocketAddr,
    pub workers: Vec<Arc<Worker>>,
    pub hosts: Vec<Arc<Host>>,
    folder: PathBuf,
    _store_server: Server,
    next_host: AtomicUsize,
    /// When the hosts were last checked, and which were ready.
    ready: Mutex<(Option<Instant>, Vec<usize>)>,
}

/// What a caller saw of a job that it handed in.
pub struct HandIn {
    pub id: String,
    pub key: &'static str,
    pub is_accepted: bool,
}

/// Returns a loopback address that is different for each number.
pub fn loopback(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 11, number))
}

impl Cell {
    /// Starts the store, with a configuration of one queue.
    pub fn new(record: Arc<Record>, teams: &[Team]) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::default();
        let store_address = free_port(loopback(1));
        let server = store.serve(store_address)?;
        let tenants = teams.iter().map(|team| {
            format!(
                "{{\"name\":{},\"api-keys\":[{}],\"priority\":1,\"weight\":30,\
                 \"cap\":{{\"cpu\":{},\"mem-mb\":0,\"gpu\":0}}}}",
                quote(team.name),
                quote(team.key),
                team.cap_cpu
            )
        });
        let tenants: Vec<_> = tenants.collect();
        let config = format!(
            "{{\"version\":1,\"routes\":[{{\"name\":\"r-orders\",\"host\":\"{QUEUE_HOST}\",\
             \"path-prefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\"timeout-ms\":3000,\
             \"target-latency-ms\":1000,\"priority\":1,\"service\":\"{SERVICE}\",\
             \"max-attempts\":3,\"stretch\":2.2,\"auth-exempt\":false}}],\
             \"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/health\",\
             \"max-connections\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"admission-control\":false,\"standby\":false}}],\
             \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\
             \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{}]}}",
            tenants.join(",")
        );
        store.put("keyed.op", "config", &config);
        Ok(Self {
            record,
            ledger: Arc::default(),
            store,
            store_address,
            workers: Vec::new(),
            hosts: Vec::new(),
            folder,
            _store_server: server,
            next_host: AtomicUsize::new(0),
            ready: Mutex::default(),
        })
    }

    /// Returns the properties of a worker.
    pub fn profile(&self, number: usize, cpu: u64, task_time: Duration) -> Profile {
        let address = free_port(loopback(100 + (number % 100) as u8));
        Profile {
            id: format!("i-{:010x}", 0x5a_0000 + number),
            address,
            reported: address,
            zone: "tacoma".to_owned(),
            service: SERVICE.to_owned(),
            cpu,
            mem_mb: 131_072,
            rack: format!("r{}", number / 8),
            task_time,
        }
    }

    /// Adds a worker.
    pub fn add_worker(&mut self, profile: Profile) -> std::io::Result<Arc<Worker>> {
        let worker = Worker::start(profile, &self.record, &self.ledger, &self.store)?;
        self.workers.push(Arc::clone(&worker));
        Ok(worker)
    }

    /// Starts `count` equal hosts and waits until they are ready.
    pub fn start_hosts(&mut self, count: usize) -> Result<(), String> {
        for number in 0..count {
            self.start_host(number, 0.25, self.store_address)?;
        }
        self.wait_ready()
    }

    /// Starts a host that reaches the store at `store`.
    pub fn start_host(
        &mut self,
        number: usize,
        processor: f64,
        store: SocketAddr,
    ) -> Result<(), String> {
        let name = format!("edge-tacoma-{}", number + 1);
        let address = loopback(10 + number as u8);
        let record = &self.record;
        let host = Host::start(
            &self.folder,
            &name,
            "tacoma",
            address,
            processor,
            store,
            record,
        );
        self.hosts
            .push(host.map_err(|error| format!("a host does not start: {error}"))?);
        Ok(())
    }

    /// Waits until the hosts are ready and one owns the cell.
    pub fn wait_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !(self.hosts.iter().all(|host| host.is_ready()) && self.owner().is_some()) {
            if Instant::now() > deadline {
                return Err("the hosts do not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(2));
        self.record.line("the hosts are ready");
        Ok(())
    }

    /// Returns the host that the newest claim in the log names, if any.
    pub fn owner(&self) -> Option<Arc<Host>> {
        let claim = self.store.newest("keyed.cells", "cell-0")?;
        let text = String::from_utf8_lossy(&claim).into_owned();
        self.hosts
            .iter()
            .find(|host| text.contains(&format!("{}@", host.name)))
            .cloned()
    }

    /// Returns the hosts that get connections: those that were ready at the last check,
    /// once per second, or all if none was.
    fn rotation(&self) -> Vec<usize> {
        let mut checked = self.ready.lock().unwrap();
        if checked.0.is_none_or(|at| at.elapsed() > CHECK_INTERVAL) {
            let ready = self
                .hosts
                .iter()
                .enumerate()
                .filter(|(_, host)| host.is_ready());
            *checked = (
                Some(Instant::now()),
                ready.map(|(index, _)| index).collect(),
            );
        }
        if checked.1.is_empty() {
            (0..self.hosts.len()).collect()
        } else {
            checked.1.clone()
        }
    }

    /// Sends a call of a team to the next ready host.
    fn call(&self, key: &str, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let ready = self.rotation();
        let ready: Vec<_> = ready.into_iter().map(|index| &self.hosts[index]).collect();
        let turn = self.next_host.fetch_add(1, Ordering::SeqCst);
        let host = ready[turn % ready.len()];
        let headers = format!(
            "Host: {QUEUE_HOST}\r\nAuthorization: Bearer {key}\r\n\
             Content-Type: application/json\r\nPimentochute-Deadline-Ms: {}\r\n",
            CALL_TIMEOUT.as_millis()
        );
        let path = format!("{PREFIX}{id}");
        let answer = http::call(host.front, method, &path, &headers, body, CALL_TIMEOUT);
        let text = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| {
                format!("{status} {}", body.chars().take(80).collect::<String>())
            });
        self.record
            .line(&format!("caller: {method} {id} at {}: {text}", host.name));
        answer
    }

    /// Hands a job in, again after answers that leave it open or refuse it.
    pub fn hand_in(&self, key: &'static str, id: &str, body: &str) -> HandIn {
        let mut is_accepted = false;
        for _ in 0..=RETRIES {
            match self.call(key, "POST", id, body) {
                Some((200..=299, _)) => {
                    is_accepted = true;
                    break;
                }
                Some((400..=428 | 430..=499, _)) => break,
                _ => thread::sleep(RETRY_PAUSE),
            }
        }
        HandIn {
            id: id.to_owned(),
            key,
            is_accepted,
        }
    }

    /// Requests the state of a job; `None` if there is no answer with a state.
    pub fn state(&self, job: &HandIn) -> Option<String> {
        let (status, body) = self.call(job.key, "GET", &job.id, "")?;
        match status {
            200 => Some(Json::parse(body.as_bytes())?.text("state")),
            410 => Some("gone".to_owned()),
            _ => None,
        }
    }

    /// Returns the starts of a job.
    pub fn starts_of(&self, job: &str) -> Vec<Start> {
        let starts = self.ledger.starts.lock().unwrap();
        starts
            .iter()
            .filter(|start| start.task.starts_with(job))
            .cloned()
            .collect()
    }

    /// Returns a text for each breach of the rule TWICE in what the workers saw: two
    /// runs of a task at the same time, or a start after an end `done` that is taken
    /// note of, then or later.
    pub fn doubled_tasks(&self) -> Vec<String> {
        let starts = self.ledger.starts.lock().unwrap();
        let mut found = Vec::new();
        for (index, later) in starts.iter().enumerate() {
            for earlier in starts[..index]
                .iter()
                .filter(|start| start.task == later.task)
            {
                let ended = earlier.ended_s.unwrap_or(f64::INFINITY);
                if later.at_s < ended {
                    found.push(format!(
                        "{}: run {} starts on {} at {:.3} s while run {} is on {} until {ended:.3} s",
                        later.task, later.run, later.worker, later.at_s, earlier.run, earlier.worker
                    ));
                } else if earlier.how == "done"
                    && let Some(noted) = earlier.noted_s
                {
                    found.push(format!(
                        "{}: run {} starts on {} at {:.3} s, but run {} was done on {} at \
                         {ended:.3} s, and that end is taken note of at {noted:.3} s",
                        later.task,
                        later.run,
                        later.worker,
                        later.at_s,
                        earlier.run,
                        earlier.worker
                    ));
                }
            }
        }
        found
    }

    /// Ends the hosts.
    pub fn finish(&self) {
        for host in &self.hosts {
            if host.has_exited() {
                self.record
                    .line(&format!("host {} has ended by itself", host.name));
            }
            host.end();
        }
    }
}

impl Drop for Cell {
    /// Ends the hosts and removes their files, unless `KEEP` is set.
    fn drop(&mut self) {
        self.hosts.iter().for_each(|host| host.end());
        if std::env::var_os("KEEP").is_none_or(|value| value.is_empty()) {
            drop(fs::remove_dir_all(&self.folder));
        } else {
            eprintln!("files of the hosts: {}", self.folder.display());
        }
    }
}

/// Returns the body of a job of one step.
pub fn one_step(count: usize, cpu: u64, estimate_ms: u64, more: &str) -> String {
    format!(
        "{{\"spec\":\"order\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem-mb\":64,\
         \"estimate-ms\":{estimate_ms}{more}}}]}}"
    )
}
