//! TCP relays that count the traffic through them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::BenchResult;

/// The largest number of bytes that a relay reads at once.
const BUFFER_BYTES: usize = 64 * 1024;

/// Counts the payload bytes of both directions and the messages to the server.
/// Each read from the client counts as one message, which is only about right.
#[derive(Debug, Default)]
pub struct TrafficMeter {
    bytes: AtomicU64,
    messages: AtomicU64,
}

/// The counts of a meter since its start.
#[derive(Debug, Clone, Copy)]
pub struct TrafficCount {
    /// Payload bytes of both directions, without TCP and IP headers.
    pub bytes: u64,
    /// Reads from the client; about one per message.
    pub messages: u64,
}

impl TrafficMeter {
    /// Returns the present counts.
    pub fn count(&self) -> TrafficCount {
        TrafficCount {
            bytes: self.bytes.load(Ordering::Relaxed),
            messages: self.messages.load(Ordering::Relaxed),
        }
    }
}

/// Opens a relay to `target` and returns its address. The relay runs until the
/// program exits.
pub async fn open_relay(target: SocketAddr, meter: &Arc<TrafficMeter>) -> BenchResult<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let meter = Arc::clone(meter);
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(relay(client, target, Arc::clone(&meter)));
        }
    });
    Ok(address)
}

/// Relays both directions of a connection until one of them ends.
async fn relay(client: TcpStream, target: SocketAddr, meter: Arc<TrafficMeter>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = pass(client_read, server_write, &meter, 1) => {}
        () = pass(server_read, client_write, &meter, 0) => {}
    }
}

/// Relays one direction until it ends. Each read counts as `messages` messages.
async fn pass(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    meter: &TrafficMeter,
    messages: u64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        meter.bytes.fetch_add(count as u64, Ordering::Relaxed);
        meter.messages.fetch_add(messages, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
