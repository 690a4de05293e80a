//! A cell of entry hosts with stand-ins of the external systems, all as separate
//! processes.

use std::net::SocketAddr;
use std::time::Duration;

use nix::sys::signal::Signal;
use pimentochute_base::{ConfigVersion, KeyDigest, SliceIndex};
use pimentochute_server::api::{EndpointView, StatusView, WorkerView};
use pimentochute_state::{KeyConfig, PatchOperation, slice_of};
use serde_json::json;

use super::caller::TeamCaller;
use super::command::CommandLine;
use super::entry_host::EntryHost;
use super::folder::TempFolder;
use super::http::is_ok;
use super::settings::{CellSettings, SLICE_COUNT};
use super::shape::CellShape;
use super::standin::{EndpointProcess, PlatformProcess, WorkerProcess};
use super::wait_until;
use crate::team_operations;

/// The names of the operators and their keys.
const OPERATOR_KEYS: [(&str, &str); 2] = [
    ("desk-a", "secret-of-the-first-operator"),
    ("desk-b", "secret-of-the-second-operator"),
];

/// How long a stand-in may take to stop; above its own limit of 2 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// The processes of a cell. Dropping it kills all of them.
#[derive(Debug)]
pub struct ProcessCell {
    /// The entry hosts `dc0-h0`, `dc0-h1` and so on.
    pub hosts: Vec<EntryHost>,
    /// The workers `dc0-w0` and so on, of all data centres.
    pub workers: Vec<WorkerProcess>,
    /// The endpoints `dc0-e0` and so on, of all data centres.
    pub endpoints: Vec<EndpointProcess>,
    /// The stand-in of the log and the host list.
    pub platform: PlatformProcess,
    /// The folder of the settings files and logs.
    pub folder: TempFolder,
    settings: CellSettings,
}

impl ProcessCell {
    /// Starts all processes of a cell and waits until every host is ready.
    pub async fn start(shape: CellShape) -> Self {
        let folder = TempFolder::new();
        let platform = PlatformProcess::start(folder.path()).await;
        let operators = OPERATOR_KEYS.map(|(name, key)| (name.to_owned(), key.to_owned()));
        let settings = CellSettings {
            hosts: shape.addresses(),
            platform: platform.address(),
            operators: operators.to_vec(),
            overrides: shape.overrides.clone(),
        };
        let hosts = settings.hosts.iter().cloned().map(EntryHost::new);
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
        for data_centre in 0..shape.hosts.len() {
            let data_centre = format!("dc{data_centre}");
            for index in 0..shape.workers {
                let name = format!("{data_centre}-w{index}");
                let capacity = shape.capacity;
                let start = WorkerProcess::start(&name, &data_centre, capacity, platform, folder);
                self.workers.push(start.await);
            }
            for index in 0..shape.endpoints {
                let name = format!("{data_centre}-e{index}");
                let start = EndpointProcess::start(&name, &data_centre, platform, folder);
                self.endpoints.push(start.await);
            }
        }
    }

    /// Starts an entry host that is not running, without waiting until it is
    /// ready.
    ///
    /// # Panics
    /// Panics if its settings file cannot be written or the program cannot be
    /// started.
    pub fn spawn_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let settings = self.settings.of_host(&host.address);
        host.spawn(&settings, self.folder.path());
    }

    /// Waits until a host is ready, sees an owner of every slice, and knows the
    /// workers and endpoints of its data centre.
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
            let is_ready = status.slices.len() == usize::from(SLICE_COUNT)
                && status.slices.iter().all(|slice| slice.owner.is_some())
                && status.keyed_work
                && healthy.count() == shape.workers
                && endpoints.len() == shape.endpoints;
            is_ready.then_some(())
        })
        .await;
    }

    /// Returns the command line of an operator at a host.
    #[must_use]
    pub fn operator(&self, host: usize, operator: usize) -> CommandLine {
        CommandLine::new(self.public(host), OPERATOR_KEYS[operator].1)
    }

    /// Returns the public address of a host.
    #[must_use]
    pub fn public(&self, host: usize) -> SocketAddr {
        self.hosts[host].address.public
    }

    /// Adds a team that may run `max_tasks` tasks, with a key and the queues
    /// `TEAM-batch`, `TEAM-gang`, `TEAM-service` and `TEAM-prices`. Waits until
    /// the configuration is in force on every running host and returns the
    /// secret of the key.
    ///
    /// # Panics
    /// Panics if the patch is not accepted.
    pub async fn add_team(&self, team: &str, max_tasks: u32) -> String {
        let secret = format!("secret-of-{team}");
        let mut operations = team_operations(team, max_tasks);
        operations.push(PatchOperation::GrantKey {
            key: format!("{team}-key").parse().expect("name should be valid"),
            config: KeyConfig {
                team: team.parse().expect("name should be valid"),
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
        let output = commands.submit_patch(&patch).await;
        assert_eq!(output.code, 0, "{}", output.stderr);
        let version = output.data["version"]
            .as_u64()
            .expect("output of config patch should have a version");
        self.wait_for_version(version).await;
        secret
    }

    /// Waits until every running host has at least this version of the
    /// configuration.
    pub async fn wait_for_version(&self, version: u64) {
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_running() {
                let commands = self.operator(index, 0);
                wait_until(&format!("host {index} has version {version}"), async || {
                    let status: StatusView = commands.read(&["status"]).await?;
                    (status.config_version >= ConfigVersion::new(version)).then_some(())
                })
                .await;
            }
        }
    }

    /// Returns a caller with the key of a team that [`ProcessCell::add_team`]
    /// added.
    #[must_use]
    pub fn caller(&self, team: &str, host: usize) -> TeamCaller {
        TeamCaller::new(team, &format!("secret-of-{team}"), self.public(host))
    }

    /// Returns the host that owns the slice of a team, in the view of the host
    /// `witness`.
    ///
    /// # Panics
    /// Panics if the slice has no owner in that view.
    pub async fn owner_of(&self, team: &str, witness: usize) -> usize {
        let slice: SliceIndex = slice_of(&team.parse().expect("name should be valid"), SLICE_COUNT);
        let status: StatusView = self.operator(witness, 0).expect(&["status"]).await;
        let view = status.slices.iter().find(|view| view.slice == slice);
        let owner = view.and_then(|view| view.owner.as_ref());
        let owner = owner.expect("slice should have an owner").as_str();
        let mut hosts = self.hosts.iter();
        hosts
            .position(|host| host.address.name == owner)
            .expect("owner should be a host of the cell")
    }

    /// Returns the host that took control of a worker with the highest epoch,
    /// according to the log lines of the hosts.
    #[must_use]
    pub fn manager_of(&self, worker: &str) -> Option<usize> {
        let line = format!("Worker {worker} is managed under epoch ");
        let epoch = |host: usize| {
            let log = self.hosts[host].log(self.folder.path());
            let epochs = log.lines().filter_map(|text| text.split_once(&line));
            let epochs = epochs.filter_map(|(_, epoch)| epoch.trim_end_matches('.').parse().ok());
            epochs.max().map(|epoch: u64| (epoch, host))
        };
        let newest = (0..self.hosts.len()).filter_map(epoch).max();
        newest.map(|(_, host)| host)
    }

    /// Stops all running hosts by SIGTERM and returns their names and exit codes.
    pub async fn stop_hosts(&mut self) -> Vec<(String, i32)> {
        let mut running: Vec<_> = self.hosts.iter_mut().filter(|h| h.is_running()).collect();
        for host in &mut running {
            host.signal(Signal::SIGTERM);
        }
        let mut codes = Vec::new();
        for host in running {
            codes.push((host.address.name.clone(), host.wait().await));
        }
        codes
    }

    /// Stops all stand-ins by SIGTERM and returns their names and exit codes.
    ///
    /// # Panics
    /// Panics if one does not exit in time.
    pub async fn stop_standins(&mut self) -> Vec<(String, i32)> {
        let workers = self.workers.iter_mut().map(WorkerProcess::process);
        let endpoints = self.endpoints.iter_mut().map(EndpointProcess::process);
        let platform = std::iter::once(self.platform.process());
        let mut processes: Vec<_> = workers.chain(endpoints).chain(platform).collect();
        for process in &mut processes {
            process.signal(Signal::SIGTERM);
        }
        let mut codes = Vec::new();
        for process in processes {
            let code = process
                .wait(STOP_TIMEOUT)
                .await
                .expect("stand-in should exit in time");
            codes.push((process.name().to_owned(), code));
        }
        codes
    }
}
