//! A proxy for a path that can be cut. What is sent on an open connection during the cut is held
//! and arrives after it, as TCP sends it again; a connection that is opened during the cut carries
//! nothing.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The end of a connection follows its last data by a round trip between zones, 1.4 ms one way.
const ROUND_TRIP: Duration = Duration::from_millis(3);

/// Forwards connections from one address to another.
pub fn start_path(from: SocketAddr, to: SocketAddr, is_cut: Arc<AtomicBool>) -> io::Result<()> {
    let listener = TcpListener::bind(from)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let is_cut = Arc::clone(&is_cut);
            if is_cut.load(Ordering::SeqCst) {
                thread::spawn(move || {
                    wait_for_end(&is_cut);
                    drop(stream.shutdown(Shutdown::Both));
                });
                continue;
            }
            let Ok(upstream) = TcpStream::connect(to) else {
                continue;
            };
            drop(stream.set_nodelay(true));
            drop(upstream.set_nodelay(true));
            for (from, to) in [(&stream, &upstream), (&upstream, &stream)] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                    continue;
                };
                let is_cut = Arc::clone(&is_cut);
                thread::spawn(move || forward(from, to, &is_cut));
            }
        }
    });
    Ok(())
}

fn forward(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buffer = [0; 65_536];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        wait_for_end(is_cut);
        if count == 0 {
            thread::sleep(ROUND_TRIP);
            drop(to.shutdown(Shutdown::Write));
            return;
        }
        if to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}

fn wait_for_end(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(2));
    }
}
