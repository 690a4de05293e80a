//! The stand-ins as processes.

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

/// A stand-in that serves one address.
#[derive(Debug)]
struct StandinProcess {
    name: String,
    process: ChildProcess,
    address: SocketAddr,
}

/// The log and the host list.
#[derive(Debug)]
pub struct PlatformProcess(StandinProcess);

/// A worker.
#[derive(Debug)]
pub struct WorkerProcess(StandinProcess);

/// An endpoint.
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
        let line: ListeningLine = serde_json::from_str(&line).expect("line names the address");
        Self {
            name: name.to_owned(),
            process,
            address: line.listening,
        }
    }

    async fn set_faults(&self, faults: FaultSet) {
        post_json(self.address, "/faults", &faults).await;
    }

    /// Reads the records, which a busy machine may delay.
    async fn records<T: serde::de::DeserializeOwned>(&self) -> T {
        let what = format!("{} shows its records", self.name);
        wait_until(&what, async || get_json(self.address, "/records").await).await
    }
}

/// Adds what all stand-ins share.
macro_rules! standin {
    ($type:ident) => {
        impl $type {
            /// Returns the name.
            #[must_use]
            pub fn name(&self) -> &str {
                &self.0.name
            }

            /// Returns the address.
            #[must_use]
            pub fn address(&self) -> SocketAddr {
                self.0.address
            }

            /// Returns the process.
            pub fn process(&mut self) -> &mut ChildProcess {
                &mut self.0.process
            }

            /// Replaces all fault switches.
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
    /// Starts the platform.
    pub async fn start(folder: &Path) -> Self {
        Self(StandinProcess::start("platform", &["platform"], folder).await)
    }
}

impl WorkerProcess {
    /// Starts a worker of a data centre.
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

    /// Returns what the worker recorded.
    pub async fn records(&self) -> WorkerRecords {
        self.0.records().await
    }
}

impl EndpointProcess {
    /// Starts an endpoint of a data centre.
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

    /// Returns what the endpoint recorded.
    pub async fn records(&self) -> EndpointRecords {
        self.0.records().await
    }
}
