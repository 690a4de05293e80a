//! The stand-ins of the external systems as processes.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use pimentochute_base::ResourceAmount;
use pimentochute_standins::{EndpointRecords, FaultSet, WorkerRecords};
use serde::Deserialize;

use super::child::ChildProcess;
use super::folder::program;
use super::http::{get_json, post_json};
use super::wait_until;

/// The service that all endpoints offer.
pub const SERVICE: &str = "prices";

/// The process of a stand-in and the address that it listens on.
#[derive(Debug)]
struct StandinProcess {
    name: String,
    process: ChildProcess,
    address: SocketAddr,
}

/// The process of the stand-in of the log and the host list.
#[derive(Debug)]
pub struct PlatformProcess(StandinProcess);

/// The process of a worker.
#[derive(Debug)]
pub struct WorkerProcess(StandinProcess);

/// The process of an endpoint.
#[derive(Debug)]
pub struct EndpointProcess(StandinProcess);

/// The first line that a stand-in prints.
#[derive(Debug, Deserialize)]
struct ListeningLine {
    listening: SocketAddr,
}

impl StandinProcess {
    async fn start(name: &str, arguments: &[&str], folder: &Path) -> Self {
        let mut command = Command::new(program("pimentochute-standin"));
        command.args(arguments).args(["--listen", "127.0.0.1:0"]);
        let mut process = ChildProcess::spawn(name, command, folder);
        let line = process.first_line().await;
        let line: ListeningLine =
            serde_json::from_str(&line).expect("first line should contain the address");
        Self {
            name: name.to_owned(),
            process,
            address: line.listening,
        }
    }

    async fn set_faults(&self, faults: FaultSet) {
        post_json(self.address, "/faults", &faults).await;
    }

    /// Reads the records; retries, since the answer may be late on a busy machine.
    async fn records<T: serde::de::DeserializeOwned>(&self) -> T {
        let what = format!("{} shows its records", self.name);
        wait_until(&what, async || get_json(self.address, "/records").await).await
    }
}

/// Implements the methods that all stand-ins have.
macro_rules! standin {
    ($type:ident) => {
        impl $type {
            /// Returns the name of the stand-in, which also names its log file.
            #[must_use]
            pub fn name(&self) -> &str {
                &self.0.name
            }

            /// Returns the address that the stand-in listens on.
            #[must_use]
            pub fn address(&self) -> SocketAddr {
                self.0.address
            }

            /// Returns the process, to signal it or wait for it.
            pub fn process(&mut self) -> &mut ChildProcess {
                &mut self.0.process
            }

            /// Replaces all faults of the stand-in.
            pub async fn set_faults(&self, faults: FaultSet) {
                self.0.set_faults(faults).await;
            }
        }
    };
}

standin!(PlatformProcess);
standin!(WorkerProcess);
standin!(EndpointProcess);

impl PlatformProcess {
    /// Starts the stand-in and waits until it listens.
    pub async fn start(folder: &Path) -> Self {
        Self(StandinProcess::start("platform", &["platform"], folder).await)
    }
}

impl WorkerProcess {
    /// Starts a worker that registers itself with the platform, and waits until it
    /// listens.
    pub async fn start(
        name: &str,
        data_centre: &str,
        capacity: ResourceAmount,
        platform: SocketAddr,
        folder: &Path,
    ) -> Self {
        let rack = format!("{data_centre}-rack");
        let platform = platform.to_string();
        let cpu = capacity.cpu_millis.to_string();
        let memory = capacity.memory_mib.to_string();
        let arguments = [
            "worker",
            "--name",
            name,
            "--rack",
            &rack,
            "--cpu-millis",
            &cpu,
            "--memory-mib",
            &memory,
            "--platform",
            &platform,
            "--data-centre",
            data_centre,
        ];
        Self(StandinProcess::start(name, &arguments, folder).await)
    }

    /// Returns the records of the worker.
    pub async fn records(&self) -> WorkerRecords {
        self.0.records().await
    }
}

impl EndpointProcess {
    /// Starts an endpoint that registers itself with the platform, and waits until
    /// it listens.
    pub async fn start(name: &str, data_centre: &str, platform: SocketAddr, folder: &Path) -> Self {
        let platform = platform.to_string();
        let arguments = [
            "endpoint",
            "--name",
            name,
            "--service",
            SERVICE,
            "--platform",
            &platform,
            "--data-centre",
            data_centre,
        ];
        Self(StandinProcess::start(name, &arguments, folder).await)
    }

    /// Returns the records of the endpoint.
    pub async fn records(&self) -> EndpointRecords {
        self.0.records().await
    }
}
