//! A proxy whose open connections can go silent, without a reset, while new ones work.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

pub struct Proxy {
    pub address: SocketAddr,
    /// Connections of earlier generations are silent.
    generation: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> io::Result<Proxy> {
        let address = SocketAddr::from(([127, 0, 0, 1], crate::host::free_port()?));
        let listener = TcpListener::bind(address)?;
        let generation = Arc::new(AtomicU64::new(0));
        let present = Arc::clone(&generation);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(upstream) = TcpStream::connect(target) else {
                    continue;
                };
                drop(stream.set_nodelay(true));
                drop(upstream.set_nodelay(true));
                for (from, to) in [(&stream, &upstream), (&upstream, &stream)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let present = Arc::clone(&present);
                    thread::spawn(move || forward(from, to, &present));
                }
            }
        });
        Ok(Proxy {
            address,
            generation,
        })
    }

    /// All open connections go silent for good.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, generation: &AtomicU64) {
    let own = generation.load(Ordering::SeqCst);
    let mut buffer = [0; 16_384];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        if generation.load(Ordering::SeqCst) != own {
            // Neither data nor the end of the connection passes any more.
            thread::sleep(Duration::from_secs(120));
            return;
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            drop(to.shutdown(Shutdown::Both));
            drop(from.shutdown(Shutdown::Both));
            return;
        }
    }
}
