//! A small deployment: a store, executors and hosts, and what callers ask of it.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::host::Host;
use crate::http::Server;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{POOL, Start, Worker};

pub const HOSTS: usize = 4;
const START_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

pub struct Cell {
    pub record: Record,
    pub workers: Vec<Arc<Worker>>,
    pub hosts: Vec<Host>,
    /// The starts of tasks, in the order in which executors began them.
    pub starts: Arc<Mutex<Vec<Start>>>,
    _store: Server,
}

impl Cell {
    /// Starts a deployment whose executors have the given kinds, and waits until its hosts
    /// are ready.
    pub fn start(
        folder: &str,
        program: &str,
        kinds: &[&str],
        tenants: &str,
        routes: &str,
        has_proxies: bool,
    ) -> io::Result<Cell> {
        let record = Record::new(&format!("{folder}/record.txt"))?;
        let scratch = std::env::temp_dir();
        let store = Arc::new(Store::default());
        let server = store.serve(([127, 0, 0, 1], 0).into())?;
        let config = config(tenants, routes);
        store.put("keyed.op", "config", &config);
        record.note(&format!("the operator writes {config}"));
        let starts: Arc<Mutex<Vec<Start>>> = Arc::default();
        let mut workers = Vec::new();
        for (number, kind) in kinds.iter().enumerate() {
            let rack = format!("r1-{}", number / 6);
            let name = format!("i-{number:02}");
            workers.push(Worker::start(
                &name,
                kind,
                &rack,
                record.clone(),
                Arc::clone(&store),
                Arc::clone(&starts),
                has_proxies,
            )?);
        }
        let mut hosts = Vec::new();
        for number in 0..HOSTS {
            hosts.push(Host::start(
                number,
                server.address,
                None,
                program,
                &scratch,
                record.clone(),
            )?);
        }
        let cell = Cell {
            record,
            workers,
            hosts,
            starts,
            _store: server,
        };
        if cell
            .hosts
            .iter()
            .any(|host| !host.wait_ready(START_TIMEOUT))
        {
            return Err(io::Error::other("a host does not become ready"));
        }
        Ok(cell)
    }

    /// Returns the number of the executor that began a task.
    pub fn worker_of(&self, start: &Start) -> usize {
        self.workers
            .iter()
            .position(|worker| worker.name == start.worker)
            .unwrap_or(0)
    }

    /// Hands a job in at a host, and notes the answer; returns its status, 0 for none.
    pub fn submit(&self, host: usize, key: &str, path: &str, body: &str) -> u16 {
        let host = &self.hosts[host % self.hosts.len()];
        let answer = host.call("POST", path, key, body.as_bytes());
        let status = answer.map_or(0, |answer| answer.status);
        let shown: String = body.chars().take(120).collect();
        self.record.note(&format!(
            "POST {path} at {} with key {key:?}, {} bytes, {shown}: {status}",
            host.name,
            body.len()
        ));
        status
    }

    /// Returns the status and the state of a job.
    pub fn state(&self, host: usize, key: &str, path: &str) -> (u16, String) {
        let host = &self.hosts[host % self.hosts.len()];
        let Ok(answer) = host.call("GET", path, key, b"") else {
            self.record
                .note(&format!("GET {path} at {}: no answer", host.name));
            return (0, String::new());
        };
        let state = Json::parse(&answer.body)
            .map_or_else(String::new, |body| body.get("state").text().to_owned());
        self.record.note(&format!(
            "GET {path} at {} with key {key:?}: {} {state}",
            host.name, answer.status
        ));
        (answer.status, state)
    }

    /// Cancels a job; returns the status of the answer.
    pub fn cancel(&self, host: usize, key: &str, path: &str) -> u16 {
        let host = &self.hosts[host % self.hosts.len()];
        let status = host
            .call("DELETE", path, key, b"")
            .map_or(0, |answer| answer.status);
        self.record.note(&format!(
            "DELETE {path} at {} with key {key:?}: {status}",
            host.name
        ));
        status
    }

    /// Waits until a job is shown in one of some states; returns the last state.
    pub fn wait_for(&self, key: &str, path: &str, states: &[&str], timeout: Duration) -> String {
        let until = Instant::now() + timeout;
        let mut host = 0;
        loop {
            let (_, last) = self.state(host, key, path);
            if states.contains(&last.as_str()) || Instant::now() >= until {
                return last;
            }
            host += 1;
            std::thread::sleep(Duration::from_millis(200));
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.hosts.clear();
        for worker in &self.workers {
            worker.stop();
        }
    }
}

/// Returns a configuration of one pool.
pub fn config(tenants: &str, routes: &str) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{routes}],\"services\":[{{\"name\":\"{POOL}\",\
         \"health-path\":\"/health\",\"max-connections\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"admission-control\":false,\"standby\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{tenants}]}}"
    )
}

/// Returns the entry of a route in the configuration.
pub fn route(name: &str, prefix: &str, is_open: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"jobs.example\",\"path-prefix\":\"{prefix}\",\
         \"kind\":\"non_idempotent\",\"timeout-ms\":3000,\"target-latency-ms\":3000,\"priority\":1,\
         \"service\":\"{POOL}\",\"max-attempts\":2,\"stretch\":4.0,\"auth-exempt\":{is_open}}}"
    )
}

/// Returns the entry of a tenant with one key.
pub fn tenant(name: &str, key: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"api-keys\":[\"{key}\"],\"priority\":1,\"weight\":20,\
         \"cap\":{{\"cpu\":0,\"mem-mb\":0,\"gpu\":0}}}}"
    )
}
