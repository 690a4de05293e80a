//! HTTP/1.1 server of a stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use viz::{Router, Tree};

use crate::connection::Connection;
use crate::connection_limiter::ConnectionLimiter;
use crate::fault_set::FaultSwitches;

/// How long calls in progress may take to finish when the server stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay after a failed accept, which usually means that the process has no
/// free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A stand-in that can be served over HTTP.
pub trait Standin: Send + Sync {
    /// Returns the routes, including `POST /faults`.
    fn router(&self) -> Router;

    /// Returns the fault switches that apply to each call.
    fn faults(&self) -> FaultSwitches;

    /// Returns the limiter of connections, or `None` if they are not limited.
    fn limiter(&self) -> Option<Arc<ConnectionLimiter>> {
        None
    }
}

/// A server that runs until it is stopped or dropped; dropping it aborts the
/// calls in progress.
#[derive(Debug)]
pub struct RunningServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// Serves a stand-in on a listener.
///
/// # Errors
/// Fails if the listener has no local address.
pub fn serve(listener: TcpListener, standin: &dyn Standin) -> io::Result<RunningServer> {
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let acceptor = Acceptor {
        routes: Arc::new(Tree::from(standin.router())),
        faults: standin.faults(),
        limiter: standin.limiter(),
    };
    let task = tokio::spawn(acceptor.run(listener, stopped));
    Ok(RunningServer {
        address,
        stop,
        task,
    })
}

/// Serves a stand-in on an idle port of the loopback interface.
///
/// # Errors
/// Fails if the server cannot listen on a port.
pub async fn serve_local(standin: &dyn Standin) -> io::Result<RunningServer> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    serve(listener, standin)
}

impl RunningServer {
    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener, lets calls in progress finish for a short time,
    /// and closes all connections.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        // Only dropping the server cancels the task.
        let _ = (&mut self.task).await;
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Acceptor {
    routes: Arc<Tree>,
    faults: FaultSwitches,
    limiter: Option<Arc<ConnectionLimiter>>,
}

impl Acceptor {
    async fn run(self, listener: TcpListener, mut stopped: watch::Receiver<bool>) {
        let graceful = GracefulShutdown::new();
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.spawn(stream, &graceful, &mut connections),
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                },
                Some(_) = connections.join_next() => {}
                _ = stopped.changed() => break,
            }
        }
        drop(listener);
        // The timeout ends long polls and connections that a fault silenced.
        let _ = tokio::time::timeout(STOP_TIMEOUT, graceful.shutdown()).await;
        connections.shutdown().await;
    }

    fn spawn(&self, stream: TcpStream, graceful: &GracefulShutdown, connections: &mut JoinSet<()>) {
        let _ = stream.set_nodelay(true);
        let connection = Arc::new(Connection::new(
            Arc::clone(&self.routes),
            self.faults.clone(),
            self.limiter.clone(),
        ));
        let service = service_fn(move |request| {
            let connection = Arc::clone(&connection);
            async move { connection.respond(request).await }
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let served = graceful.watch(served);
        connections.spawn(async move {
            // Connection errors are left to the client to handle.
            let _ = served.await;
        });
    }
}
