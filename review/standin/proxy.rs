//! Proxies: one in front of a worker that can delay answers on their way, and one for
//! a link of limited bandwidth.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// What the proxy does to answers.
#[derive(Default)]
struct Delay {
    /// Answers that contain this text are delayed by `span`.
    marker: Option<Vec<u8>>,
    span: Duration,
    delayed: u32,
}

/// A proxy for one address.
pub struct Proxy {
    delay: Arc<Mutex<Delay>>,
}

impl Proxy {
    /// Forwards connections from `listen` to `upstream`.
    pub fn start(
        listen: SocketAddr,
        upstream: SocketAddr,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let delay = Arc::new(Mutex::new(Delay::default()));
        let (shared, record) = (Arc::clone(&delay), Arc::clone(record));
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(upstream) else {
                    drop(client.shutdown(Shutdown::Both));
                    continue;
                };
                drop(client.set_nodelay(true));
                drop(server.set_nodelay(true));
                let (Ok(client_read), Ok(server_write)) = (client.try_clone(), server.try_clone())
                else {
                    continue;
                };
                thread::spawn(move || copy(client_read, server_write, |_| None));
                let (shared, record) = (Arc::clone(&shared), Arc::clone(&record));
                thread::spawn(move || {
                    copy(server, client, |bytes| {
                        let mut delay = shared.lock().unwrap();
                        let marker = delay.marker.as_deref()?;
                        bytes
                            .windows(marker.len())
                            .position(|part| part == marker)?;
                        delay.delayed += 1;
                        let span = delay.span;
                        drop(delay);
                        record.line(&format!("an answer is delayed by {} ms", span.as_millis()));
                        Some(span)
                    });
                });
            }
        });
        Ok(Self { delay })
    }

    /// Delays the answers that contain `marker`; `None` ends the delay for later ones.
    pub fn set_delay(&self, marker: Option<&str>, span: Duration) {
        let mut delay = self.delay.lock().unwrap();
        delay.marker = marker.map(|marker| marker.as_bytes().to_vec());
        delay.span = span;
    }

    /// Returns how many answers were delayed.
    pub fn delayed(&self) -> u32 {
        self.delay.lock().unwrap().delayed
    }
}

/// Copies bytes until the connection ends, each part after the delay that
/// `delay_of` returns.
fn copy(mut from: TcpStream, mut to: TcpStream, delay_of: impl Fn(&[u8]) -> Option<Duration>) {
    let mut part = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut part) {
        if count == 0 {
            break;
        }
        if let Some(span) = delay_of(&part[..count]) {
            thread::sleep(span);
        }
        if to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    drop(to.shutdown(Shutdown::Both));
    drop(from.shutdown(Shutdown::Both));
}

/// A proxy for the connections of one host that share a link of limited bandwidth.
pub struct LinkProxy;

impl LinkProxy {
    /// Forwards connections from `listen` to `upstream`. All bytes that come back share
    /// `bytes_per_s`.
    pub fn start(
        listen: SocketAddr,
        upstream: SocketAddr,
        bytes_per_s: u32,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(listen)?;
        // When the link is free again.
        let link = Arc::new(Mutex::new(Instant::now()));
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(upstream) else {
                    continue;
                };
                drop(client.set_nodelay(true));
                drop(server.set_nodelay(true));
                let (Ok(client_read), Ok(server_write)) = (client.try_clone(), server.try_clone())
                else {
                    continue;
                };
                thread::spawn(move || copy(client_read, server_write, |_| None));
                let link = Arc::clone(&link);
                thread::spawn(move || {
                    copy(server, client, |bytes| {
                        let mut free_at = link.lock().unwrap();
                        let span = bytes.len() as f64 / f64::from(bytes_per_s);
                        *free_at = (*free_at).max(Instant::now()) + Duration::from_secs_f64(span);
                        Some(free_at.saturating_duration_since(Instant::now()))
                    });
                });
            }
        });
        Ok(())
    }
}
