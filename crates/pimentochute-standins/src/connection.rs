//! Handles the calls on one connection of a stand-in and injects faults.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};

use derive_more::{Display, Error};
use hyper::body::Incoming;
use hyper::service::Service;
use pimentochute_platform::REQUEST_ID_HEADER;
use viz::header::{CONNECTION, HeaderValue};
use viz::{Request, Responder, Response, Tree};

use crate::connection_limiter::ConnectionLimiter;
use crate::fault_set::FaultSwitches;
use crate::reply::not_run;

/// The paths of administrative calls, which bypass faults and the limit on
/// connections.
const ADMIN_PATHS: [&str; 3] = ["/faults", "/records", "/leaving"];

/// A fault switch drops the answer; the server closes the connection.
#[derive(Debug, Display, Error)]
#[display("the answer is lost by a fault switch")]
pub(crate) struct LostAnswer;

/// The routes and the state of one connection.
pub(crate) struct Connection {
    routes: Arc<Tree>,
    faults: FaultSwitches,
    limiter: Option<Arc<ConnectionLimiter>>,
    /// Set for good once a call arrives while the switch `silent` is on.
    silent: AtomicBool,
    /// [`UNUSED`], [`ADMIN`] or [`WORK`].
    traffic: AtomicU8,
}

/// The connection has carried no call yet.
const UNUSED: u8 = 0;
/// The connection has carried administrative calls only.
const ADMIN: u8 = 1;
/// The connection has carried a call that is not administrative.
const WORK: u8 = 2;

impl Connection {
    /// Creates the state of a new connection and counts it as open.
    pub(crate) fn new(
        routes: Arc<Tree>,
        faults: FaultSwitches,
        limiter: Option<Arc<ConnectionLimiter>>,
    ) -> Self {
        if let Some(limiter) = &limiter {
            limiter.add();
        }
        Self {
            routes,
            faults,
            limiter,
            silent: AtomicBool::new(false),
            traffic: AtomicU8::new(UNUSED),
        }
    }

    /// Answers one call, subject to the faults in force.
    pub(crate) async fn respond(&self, request: Request<Incoming>) -> Result<Response, LostAnswer> {
        if ADMIN_PATHS.contains(&request.uri().path()) {
            self.mark_admin();
            return Ok(self.route(request).await);
        }
        if !self.admit_call() {
            let mut response = not_run_with_id(&request, "too many connections");
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
            return Ok(response);
        }
        let slow = self.faults.get().slow_ms.as_duration();
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
        let faults = self.faults.get();
        if self.silent.fetch_or(faults.silent, Ordering::SeqCst) || faults.silent {
            std::future::pending::<()>().await;
        }
        if faults.down {
            return Ok(not_run_with_id(&request, "down by a fault switch"));
        }
        let response = self.route(request).await;
        if faults.lose_answers {
            return Err(LostAnswer);
        }
        Ok(response)
    }

    async fn route(&self, request: Request<Incoming>) -> Response {
        let responder = Responder::<()>::new(Arc::clone(&self.routes), None);
        match responder.call(request).await {
            Ok(response) => response,
            Err(never) => match never {},
        }
    }

    /// Stops counting the connection if its first call is administrative.
    fn mark_admin(&self) {
        let marked =
            self.traffic
                .compare_exchange(UNUSED, ADMIN, Ordering::SeqCst, Ordering::SeqCst);
        if let (Ok(_), Some(limiter)) = (marked, &self.limiter) {
            limiter.remove();
        }
    }

    /// Returns whether a call may run: `false` if it is the first one on the
    /// connection and too many connections are open.
    fn admit_call(&self) -> bool {
        let previous = self.traffic.swap(WORK, Ordering::SeqCst);
        let Some(limiter) = &self.limiter else {
            return true;
        };
        if previous == ADMIN {
            limiter.add();
        }
        previous == WORK || limiter.admit()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let (true, Some(limiter)) = (self.traffic.load(Ordering::SeqCst) != ADMIN, &self.limiter)
        {
            limiter.remove();
        }
    }
}

/// Builds the answer that states that the call did not run. It repeats the
/// request id, as every answer of an endpoint must.
fn not_run_with_id(request: &Request<Incoming>, error: &str) -> Response {
    let mut response = not_run(error);
    if let Some(id) = request.headers().get(REQUEST_ID_HEADER) {
        let id = id.clone();
        response.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    response
}
