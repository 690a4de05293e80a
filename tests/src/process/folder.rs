//! Temporary folders, paths of the programs under test, and free ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use pimentochute_base::MilliClock;

/// The first port that is handed out. The range ends below 32768, where Linux's
/// ephemeral ports begin, so that no outgoing connection takes a port after it
/// was chosen and before it is bound.
const FIRST_PORT: u32 = 10_000;

/// The number of ports that are handed out.
const PORT_COUNT: u32 = 22_000;

/// The distance between the first ports that are tried in two processes with
/// successive IDs.
const PORT_STRIDE: u32 = 61;

/// Numbers the folders and the ports of this process.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A folder that is removed when dropped, or kept if the test panics.
#[derive(Debug)]
pub struct TempFolder {
    path: PathBuf,
}

impl TempFolder {
    /// Creates an empty folder.
    ///
    /// # Panics
    /// Panics if the folder cannot be created.
    #[must_use]
    pub fn new() -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        // The time keeps the name apart from that of a kept folder of an earlier
        // process with the same ID.
        let now = MilliClock::system().unix_now().as_millis();
        let name = format!("pimentochute-{}-{number}-{now}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).expect("temporary folder should be created");
        Self { path }
    }

    /// Returns the path of the folder.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Default for TempFolder {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("process: logs and settings are in {}", self.path.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// Returns the path of a program of the workspace, in the folder that also holds
/// this program or its `deps` folder.
///
/// # Panics
/// Panics if the program is not there.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("path of this program should be known");
    let mut folder = own.parent().expect("program should be in a folder");
    if folder.ends_with("deps") {
        folder = folder.parent().expect("deps should be in a folder");
    }
    let program = folder.join(name);
    let hint = "run cargo build --workspace";
    assert!(program.exists(), "{} is missing: {hint}", program.display());
    program
}

/// Returns a loopback address whose port was free when it was checked.
///
/// # Panics
/// Panics if every port is in use.
#[must_use]
pub fn idle_address() -> SocketAddr {
    let start = std::process::id().wrapping_mul(PORT_STRIDE);
    for _ in 0..PORT_COUNT {
        let step = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(step) % PORT_COUNT;
        let port = u16::try_from(port).expect("port range should end below 65536");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free");
}
