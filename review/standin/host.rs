//! The entry hosts: the project's own program, started with the command of the deploy
//! file.

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// The program of `deploy/system.toml`.
const PROGRAM: &str = "target/release/pimentochute";

const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// The period of a quota of processor time.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// The option of `prctl` that sets the signal at the end of the parent.
const PR_SET_PDEATHSIG: i32 = 1;

/// One entry host.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub checks: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    record: Arc<Record>,
}

/// Returns a free port of an address.
pub fn free_port(address: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((address, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

impl Host {
    /// Writes the settings of a host and starts it.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        address: IpAddr,
        processor: f64,
        store: SocketAddr,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let (front, checks, peer) = (free_port(address), free_port(address), free_port(address));
        let text = format!(
            "{{\"host\":\"{name}\",\"data_centre\":\"{zone}\",\"address\":\"{address}\",\
             \"listen\":{{\"callers\":\"{front}\",\"checks\":\"{checks}\"}},\"peer_port\":{},\
             \"processor\":{processor},\"log_address\":\"{store}\",\"logging\":{{\"format\":\"json\"}},\
             \"times\":{{\"max_lease_ms\":10000,\"stop_ms\":400,\"revoke_ms\":5000,\
             \"keep_ended_s\":120,\"stop_grace_s\":6}}}}",
            peer.port()
        );
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        let host = Arc::new(Self {
            name: name.to_owned(),
            front,
            checks,
            settings,
            log: folder.join(format!("{name}.log")),
            child: Mutex::new(None),
            record: Arc::clone(record),
        });
        host.run()?;
        Ok(host)
    }

    /// Starts the process.
    pub fn run(&self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command.arg("edge").env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("PIMENTOCHUTE_CONFIG", &self.settings);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: the call only sets the signal that ends the process with this one.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        *self.child.lock().unwrap() = Some(command.spawn()?);
        self.record.line(&format!("host {} starts", self.name));
        Ok(())
    }

    /// Kills the process and starts it again after `pause`.
    pub fn kill_for(&self, pause: Duration) -> std::io::Result<()> {
        self.record.line(&format!("host {} is killed", self.name));
        self.end();
        std::thread::sleep(pause);
        self.run()
    }

    /// Gives the process a quota of processor time: it runs for `share` of each period
    /// and stands still for the rest.
    pub fn limit_share(self: &Arc<Self>, share: f64) {
        let weak = Arc::downgrade(self);
        std::thread::spawn(move || {
            let running = QUOTA_PERIOD.mul_f64(share);
            loop {
                for (signal, span) in [(SIGCONT, running), (SIGSTOP, QUOTA_PERIOD - running)] {
                    let Some(host) = weak.upgrade() else { return };
                    if let Some(child) = &*host.child.lock().unwrap() {
                        // SAFETY: the process is a child that has not been waited for.
                        unsafe { kill(child.id() as i32, signal) };
                    }
                    drop(host);
                    std::thread::sleep(span);
                }
            }
        });
    }

    /// Ends the process.
    pub fn end(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_exited(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns whether the host is ready for connections.
    pub fn is_ready(&self) -> bool {
        let answer = http::call(
            self.checks,
            "GET",
            "/readiness",
            "Host: check\r\n",
            "",
            Duration::from_millis(500),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}
