//! The processes of one measured data centre: entry hosts, stand-ins, and the
//! relays between them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use pimentochute_base::KeyDigest;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Child;

use crate::caller::OPERATOR_KEY;
use crate::process::{cpu_seconds, resident_bytes, start_daemon, start_standin};
use crate::relay::{TrafficCount, TrafficMeter, open_relay};
use crate::{BenchResult, FleetShape};

/// The kinds of traffic of a host, as named in figures and in the order of
/// [`HostMeters`].
const TRAFFIC_KINDS: [&str; 4] = ["log", "host_list", "workers", "peers_out"];

/// The running programs of a data centre.
pub struct MeasuredCell {
    daemons: Vec<Child>,
    standins: Vec<Child>,
    meters: Vec<HostMeters>,
    public: Vec<SocketAddr>,
    directory: PathBuf,
}

/// The meters of a host, one per kind of traffic.
type HostMeters = [Arc<TrafficMeter>; TRAFFIC_KINDS.len()];

/// The resource use of an entry host since its start.
pub struct HostSample {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
    /// The traffic of each kind, in the order of [`TRAFFIC_KINDS`].
    pub traffic: Vec<(&'static str, TrafficCount)>,
}

/// The addresses in the settings of one host.
struct HostAddresses {
    index: usize,
    public: Vec<SocketAddr>,
    peer: Vec<SocketAddr>,
    /// The addresses of this host's relays to the peer addresses.
    relayed: Vec<SocketAddr>,
    log: SocketAddr,
    host_list: SocketAddr,
}

impl MeasuredCell {
    /// Starts the stand-ins, the relays and the entry hosts.
    pub async fn start(programs: &Path, fleet: &FleetShape) -> BenchResult<Self> {
        let own = std::process::id();
        let directory = std::env::temp_dir().join(format!("control-cost-{own}"));
        std::fs::create_dir_all(&directory)?;
        let (platform, line) = start_standin(programs, &platform_arguments()).await?;
        let log: SocketAddr = serde_json::from_value(line["listening"].clone())?;
        let (child, line) = start_standin(programs, &fleet_arguments(log, fleet.workers)).await?;
        let hosts = fleet.hosts;
        let (public, peer) = (bind_free_ports(hosts).await?, bind_free_ports(hosts).await?);
        let mut cell = Self {
            daemons: Vec::new(),
            standins: vec![child, platform],
            meters: Vec::new(),
            public: addresses(&public)?,
            directory,
        };
        let mut paths = Vec::new();
        for index in 0..hosts {
            let path = cell
                .prepare_host(index, log, &addresses(&peer)?, (&line["hosts"], fleet))
                .await?;
            paths.push(path);
        }
        // The ports stay bound until every relay has a port, so that no relay
        // gets one of them.
        drop((public, peer));
        for path in paths {
            cell.daemons.push(start_daemon(programs, &path)?);
        }
        Ok(cell)
    }

    /// Opens the relays of a host, writes its settings file and returns its path.
    async fn prepare_host(
        &mut self,
        index: usize,
        log: SocketAddr,
        peer: &[SocketAddr],
        (hosts, fleet): (&Value, &FleetShape),
    ) -> BenchResult<PathBuf> {
        let meters = HostMeters::default();
        let [log_meter, list_meter, worker_meter, peer_meter] = &meters;
        let list = relayed_hosts(hosts, fleet, worker_meter).await?;
        let host_list = serve_text(list.to_string()).await?;
        let mut relayed = Vec::new();
        for address in peer {
            relayed.push(open_relay(*address, peer_meter).await?);
        }
        let addresses = HostAddresses {
            index,
            public: self.public.clone(),
            peer: peer.to_vec(),
            relayed,
            log: open_relay(log, log_meter).await?,
            host_list: open_relay(host_list, list_meter).await?,
        };
        let path = self.directory.join(format!("host-{index}.json"));
        std::fs::write(&path, addresses.settings().to_string())?;
        self.meters.push(meters);
        Ok(path)
    }

    /// Returns the public addresses of the entry hosts.
    pub fn public_addresses(&self) -> &[SocketAddr] {
        &self.public
    }

    /// Returns the resource use of each entry host since its start.
    pub fn sample(&self) -> BenchResult<Vec<HostSample>> {
        let hosts = self.daemons.iter().zip(&self.meters);
        hosts.map(|(child, meters)| sample(child, meters)).collect()
    }

    /// Kills all programs and removes their files.
    pub async fn stop(mut self) {
        for child in self.daemons.iter_mut().chain(&mut self.standins) {
            // Fails only if the program has already exited.
            let _ = child.kill().await;
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl HostAddresses {
    /// Returns the settings of the host, with default times.
    fn settings(&self) -> Value {
        let hosts: Vec<Value> = (0..self.public.len())
            .map(|index| {
                json!({
                    "name": host_name(index),
                    "public": self.public[index],
                    "peer": self.relayed[index],
                })
            })
            .collect();
        json!({
            "host": host_name(self.index),
            "data_centre": "kalmar",
            "data_centres": [{"name": "kalmar", "entry_hosts": hosts}],
            "listen": {"public": self.public[self.index], "peer": self.peer[self.index]},
            "log_address": self.log,
            "directory_address": self.host_list,
            "peer_key": "a-secret-of-at-least-32-characters",
            "operator_keys": [
                {"name": "desk", "digest": String::from(KeyDigest::of(OPERATOR_KEY))}
            ],
        })
    }
}

/// Returns the resource use of an entry host since its start.
fn sample(child: &Child, meters: &HostMeters) -> BenchResult<HostSample> {
    let pid = child.id().ok_or("an entry host has exited")?;
    let counts = meters.iter().map(|meter| meter.count());
    Ok(HostSample {
        cpu_seconds: cpu_seconds(pid)?,
        resident_bytes: resident_bytes(pid)?,
        traffic: TRAFFIC_KINDS.into_iter().zip(counts).collect(),
    })
}

fn host_name(index: usize) -> String {
    format!("kalmar-entry-{}", index + 1)
}

fn platform_arguments() -> Vec<String> {
    ["platform", "--listen", "127.0.0.1:0"]
        .map(str::to_owned)
        .to_vec()
}

fn fleet_arguments(platform: SocketAddr, workers: u32) -> Vec<String> {
    let text = format!(
        "fleet --listen 127.0.0.1:0 --platform {platform} --data-centre kalmar --workers {workers}"
    );
    text.split(' ').map(str::to_owned).collect()
}

/// Returns the host list with each address replaced by that of a relay, plus the
/// workers of other data centres, which no host of this one calls.
async fn relayed_hosts(
    hosts: &Value,
    fleet: &FleetShape,
    meter: &Arc<TrafficMeter>,
) -> BenchResult<Value> {
    let mut hosts = hosts
        .as_array()
        .ok_or("the fleet stand-in printed no host list")?
        .clone();
    for host in &mut hosts {
        let address = serde_json::from_value(host["address"].clone())?;
        host["address"] = json!(open_relay(address, meter).await?);
    }
    let template = hosts
        .first()
        .ok_or("the host list contains no worker")?
        .clone();
    for index in 0..fleet.foreign_workers {
        let mut host = template.clone();
        host["name"] = json!(format!("nybro-worker-{index}"));
        host["data_centre"] = json!("nybro");
        hosts.push(host);
    }
    Ok(Value::Array(hosts))
}

/// Binds one listener on a free port for each host.
async fn bind_free_ports(hosts: usize) -> BenchResult<Vec<TcpListener>> {
    let mut listeners = Vec::new();
    for _ in 0..hosts {
        listeners.push(TcpListener::bind("127.0.0.1:0").await?);
    }
    Ok(listeners)
}

fn addresses(listeners: &[TcpListener]) -> BenchResult<Vec<SocketAddr>> {
    let addresses = listeners.iter().map(TcpListener::local_addr);
    Ok(addresses.collect::<Result<_, _>>()?)
}

/// Starts a server that answers every request with the same JSON text.
async fn serve_text(text: String) -> BenchResult<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length:";
    let answer = Arc::new(format!("{head} {}\r\n\r\n{text}", text.len()));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_all(stream, Arc::clone(&answer)));
        }
    });
    Ok(address)
}

/// Answers the requests on a connection, none of which may have a body.
async fn answer_all(mut stream: TcpStream, answer: Arc<String>) {
    let mut buffer = Vec::new();
    while let Ok(1..) = stream.read_buf(&mut buffer).await {
        if !buffer.ends_with(b"\r\n\r\n") {
            continue;
        }
        buffer.clear();
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
