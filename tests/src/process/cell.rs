//! A cell of entry hosts with the systems outside, each a process.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use nix::sys::signal::Signal;
use pimentochute_base::{ConfigVersion, KeyDigest, ResourceAmount, SliceIndex};
use pimentochute_server::api::{EndpointView, StatusView, WorkerView};
use pimentochute_state::{KeyConfig, PatchOperation, slice_of};
use serde_json::{Value, json};

use super::caller::TeamCaller;
use super::child::ChildProcess;
use super::command::{CommandEnd, CommandLine};
use super::folder::{TempFolder, idle_address, program};
use super::http::is_ok;
use super::settings::{CellSettings, HostAddress, SLICES};
use super::standin::{EndpointProcess, PlatformProcess, WorkerProcess};
use super::wait_until;
use crate::team_operations;

/// The operators' names and secrets.
const OPERATORS: [(&str, &str); 2] = [
    ("desk-a", "secret-of-the-first-operator"),
    ("desk-b", "secret-of-the-second-operator"),
];

/// The longest time that a host gets to stop; above its drain limit.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// What a cell consists of.
#[derive(Debug, Clone)]
pub struct CellShape {
    /// The number of entry hosts of each data centre.
    pub hosts: Vec<usize>,
    /// The number of workers of each data centre.
    pub workers: usize,
    /// What each worker has.
    pub capacity: ResourceAmount,
    /// The number of endpoints of each data centre.
    pub endpoints: usize,
    /// Groups of settings that replace those of the harness.
    pub changes: Value,
}

/// The processes of a cell; all end when it is dropped.
#[derive(Debug)]
pub struct ProcessCell {
    /// The entry hosts `dc0-h0`, `dc0-h1` and so on.
    pub hosts: Vec<EntryHost>,
    /// The workers `dc0-w0` and so on.
    pub workers: Vec<WorkerProcess>,
    /// The endpoints `dc0-e0` and so on.
    pub endpoints: Vec<EndpointProcess>,
    /// The log and the host list.
    pub platform: PlatformProcess,
    /// The settings files and logs.
    pub folder: TempFolder,
    settings: CellSettings,
}

/// An entry host.
#[derive(Debug)]
pub struct EntryHost {
    /// Where it is.
    pub address: HostAddress,
    /// Its process; none if it does not run.
    pub process: Option<ChildProcess>,
}

impl CellShape {
    /// Creates the shape of a cell with workers of four cores.
    #[must_use]
    pub fn new(hosts: &[usize], workers: usize, endpoints: usize) -> Self {
        Self {
            hosts: hosts.to_vec(),
            workers,
            capacity: ResourceAmount::new(4_000, 4_000),
            endpoints,
            changes: json!({}),
        }
    }

    fn addresses(&self) -> Vec<HostAddress> {
        let mut hosts = Vec::new();
        for (centre, count) in self.hosts.iter().enumerate() {
            for host in 0..*count {
                hosts.push(HostAddress {
                    name: format!("dc{centre}-h{host}"),
                    data_centre: format!("dc{centre}"),
                    public: idle_address(),
                    peer: idle_address(),
                });
            }
        }
        hosts
    }
}

impl ProcessCell {
    /// Starts all processes of a cell and waits until every host is ready.
    pub async fn start(shape: CellShape) -> Self {
        let folder = TempFolder::new();
        let platform = PlatformProcess::start(folder.path()).await;
        let operators = OPERATORS.map(|(name, key)| (name.to_owned(), key.to_owned()));
        let settings = CellSettings {
            hosts: shape.addresses(),
            platform: platform.address(),
            operators: operators.to_vec(),
            changes: shape.changes.clone(),
        };
        let hosts = settings.hosts.iter().map(|address| EntryHost {
            address: address.clone(),
            process: None,
        });
        let mut cell = Self {
            hosts: hosts.collect(),
            workers: Vec::new(),
            endpoints: Vec::new(),
            platform,
            folder,
            settings,
        };
        cell.start_standins(&shape).await;
        for index in 0..cell.hosts.len() {
            cell.spawn_host(index);
        }
        for index in 0..cell.hosts.len() {
            cell.wait_ready(index, &shape).await;
        }
        cell
    }

    async fn start_standins(&mut self, shape: &CellShape) {
        let (platform, folder) = (self.platform.address(), self.folder.path());
        for centre in 0..shape.hosts.len() {
            let centre = format!("dc{centre}");
            for index in 0..shape.workers {
                let name = format!("{centre}-w{index}");
                let capacity = shape.capacity;
                let start = WorkerProcess::start(&name, &centre, capacity, platform, folder);
                self.workers.push(start.await);
            }
            for index in 0..shape.endpoints {
                let name = format!("{centre}-e{index}");
                let start = EndpointProcess::start(&name, &centre, platform, folder);
                self.endpoints.push(start.await);
            }
        }
    }

    /// Starts an entry host that does not run, without waiting for it.
    ///
    /// # Panics
    /// Panics if its settings cannot be written.
    pub fn spawn_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let name = &host.address.name;
        let path = self.folder.path().join(format!("{name}.json"));
        let settings = self.settings.of_host(&host.address);
        let text = serde_json::to_vec_pretty(&settings).expect("settings have a JSON form");
        std::fs::write(&path, text).expect("settings are written");
        let mut command = Command::new(program("pimentochute"));
        command.args(["serve", "--settings"]).arg(path);
        let process = ChildProcess::spawn(name, command, self.folder.path());
        host.process = Some(process);
    }

    /// Waits until a host takes traffic, every slice has an owner, and the
    /// workers and endpoints of its data centre are known.
    async fn wait_ready(&self, index: usize, shape: &CellShape) {
        let address = &self.hosts[index].address;
        let commands = self.operator(index, 0);
        wait_until(&format!("{} is ready", address.name), async || {
            if !is_ok(address.public, "/readyz").await {
                return None;
            }
            let status: StatusView = commands.read(&["status"]).await?;
            let workers: Vec<WorkerView> = commands.read(&["workers"]).await?;
            let endpoints: Vec<EndpointView> = commands.read(&["endpoints"]).await?;
            let healthy = workers.iter().filter(|worker| worker.status == "healthy");
            let is_ready = status.slices.len() == usize::from(SLICES)
                && status.slices.iter().all(|slice| slice.owner.is_some())
                && status.keyed_work
                && healthy.count() == shape.workers
                && endpoints.len() == shape.endpoints;
            is_ready.then_some(())
        })
        .await;
    }

    /// Returns the commands of an operator at a host.
    #[must_use]
    pub fn operator(&self, host: usize, operator: usize) -> CommandLine {
        CommandLine::new(self.public(host), OPERATORS[operator].1)
    }

    /// Returns the address of a host for callers and operators.
    #[must_use]
    pub fn public(&self, host: usize) -> SocketAddr {
        self.hosts[host].address.public
    }

    /// Adds a team that may run `max_tasks` tasks, with the queues
    /// `TEAM-batch`, `TEAM-gang`, `TEAM-service` and `TEAM-prices` and a key,
    /// and waits until it is known everywhere.
    ///
    /// # Panics
    /// Panics if the patch is not accepted.
    pub async fn add_team(&self, team: &str, max_tasks: u32) -> String {
        let secret = format!("secret-of-{team}");
        let mut operations = team_operations(team, max_tasks);
        operations.push(PatchOperation::GrantKey {
            key: format!("{team}-key").parse().expect("valid name"),
            config: KeyConfig {
                team: team.parse().expect("valid name"),
                digest: KeyDigest::of(&secret),
            },
        });
        let commands = self.operator(0, 0);
        let status: StatusView = commands.expect(&["status"]).await;
        let patch = json!({
            "id": format!("add-{team}"),
            "base_version": status.config_version,
            "author": "desk-a",
            "operations": operations,
        });
        let end = self.hand_in(&commands, &patch).await;
        assert_eq!(end.code, 0, "{}", end.remarks);
        let version = end.data["version"].as_u64().expect("version is shown");
        self.wait_for_version(version).await;
        secret
    }

    /// Hands in a patch from a file, as operators do.
    ///
    /// # Panics
    /// Panics if the file cannot be written.
    pub async fn hand_in(&self, commands: &CommandLine, patch: &Value) -> CommandEnd {
        let name = format!("{}.patch.json", patch["id"].as_str().unwrap_or_default());
        let path = self.folder.path().join(name);
        std::fs::write(&path, patch.to_string()).expect("patch is written");
        let path = path.display().to_string();
        commands.run(&["config", "patch", &path]).await
    }

    /// Waits until every host that runs has a version of the configuration.
    pub async fn wait_for_version(&self, version: u64) {
        for index in 0..self.hosts.len() {
            if self.hosts[index].process.is_some() {
                let commands = self.operator(index, 0);
                wait_until(&format!("host {index} has version {version}"), async || {
                    let status: StatusView = commands.read(&["status"]).await?;
                    (status.config_version >= ConfigVersion::new(version)).then_some(())
                })
                .await;
            }
        }
    }

    /// Returns a team's caller at a host.
    #[must_use]
    pub fn caller(&self, team: &str, host: usize) -> TeamCaller {
        TeamCaller::new(team, &format!("secret-of-{team}"), self.public(host))
    }

    /// Returns the host that owns the slice of a team, as `witness` sees it.
    ///
    /// # Panics
    /// Panics if the slice has no owner.
    pub async fn owner_of(&self, team: &str, witness: usize) -> usize {
        let slice: SliceIndex = slice_of(&team.parse().expect("valid name"), SLICES);
        let status: StatusView = self.operator(witness, 0).expect(&["status"]).await;
        let view = status.slices.iter().find(|view| view.slice == slice);
        let owner = view.and_then(|view| view.owner.as_ref());
        let owner = owner.expect("slice has an owner").as_str();
        let mut hosts = self.hosts.iter();
        hosts
            .position(|host| host.address.name == owner)
            .expect("owner is a host of the cell")
    }

    /// Ends a host at once, as a crash does.
    ///
    /// # Panics
    /// Panics if it does not run.
    pub fn kill_host(&mut self, index: usize) {
        let process = self.hosts[index].process.take();
        process.expect("host runs").kill();
    }

    /// Sends a signal to a host: SIGSTOP and SIGCONT pause it, SIGTERM starts
    /// its planned stop.
    ///
    /// # Panics
    /// Panics if it does not run.
    pub fn signal_host(&mut self, index: usize, signal: Signal) {
        let process = self.hosts[index].process.as_mut();
        process.expect("host runs").signal(signal);
    }

    /// Waits for the end of a host that was told to stop and returns its exit
    /// code.
    ///
    /// # Panics
    /// Panics if it does not end.
    pub async fn wait_host(&mut self, index: usize) -> i32 {
        let mut process = self.hosts[index].process.take().expect("host runs");
        process.wait(STOP_LIMIT).await.expect("host ends in time")
    }

    /// Stops all hosts that run by SIGTERM and returns their exit codes.
    pub async fn stop_hosts(&mut self) -> Vec<(String, i32)> {
        let running = (0..self.hosts.len()).filter(|index| self.hosts[*index].process.is_some());
        let running: Vec<usize> = running.collect();
        for index in &running {
            self.signal_host(*index, Signal::SIGTERM);
        }
        let mut codes = Vec::new();
        for index in running {
            let code = self.wait_host(index).await;
            codes.push((self.hosts[index].address.name.clone(), code));
        }
        codes
    }

    /// Returns the log lines of a host.
    #[must_use]
    pub fn host_log(&self, index: usize) -> String {
        let name = &self.hosts[index].address.name;
        let path = self.folder.path().join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}
