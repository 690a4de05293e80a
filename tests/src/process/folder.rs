//! Temporary folders, programs and ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use pimentochute_base::MilliClock;

/// The first port that is handed out. The range ends below 32768, where the
/// kernel takes the ports of outgoing connections from, so that no connection
/// takes a port between its choice and its use.
const FIRST_PORT: u32 = 10_000;

/// The number of ports that are handed out.
const PORT_COUNT: u32 = 22_000;

/// The ports between the starts of two processes with successive identifiers.
const PORT_STRIDE: u32 = 61;

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A folder that is removed at the end, or kept after a panic.
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
        // Process identifiers come again, and a folder may have been kept.
        let now = MilliClock::system().unix_now().as_millis();
        let name = format!("pimentochute-{}-{number}-{now}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).expect("folder is created");
        Self { path }
    }

    /// Returns the path.
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

/// Returns a program of the workspace, which stands beside the test programs.
///
/// # Panics
/// Panics if the program was not built.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("own path is known");
    let mut folder = own.parent().expect("programs are in a folder");
    if folder.ends_with("deps") {
        folder = folder.parent().expect("deps is in a folder");
    }
    let program = folder.join(name);
    let hint = "run cargo build --workspace";
    assert!(program.exists(), "{} is missing: {hint}", program.display());
    program
}

/// Returns a loopback address whose port was idle a moment ago.
///
/// # Panics
/// Panics if every port is in use.
#[must_use]
pub fn idle_address() -> SocketAddr {
    let start = std::process::id().wrapping_mul(PORT_STRIDE);
    for _ in 0..PORT_COUNT {
        let step = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(step) % PORT_COUNT;
        let port = u16::try_from(port).expect("range is below 65536");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is idle");
}
