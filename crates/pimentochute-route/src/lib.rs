//! Routes requests to endpoints: fair queueing over teams, slots and permits
//! per host, retries, connection reuse, and forwarding to other entry hosts.

mod attempt;
mod breaker;
mod budget;
mod endpoint;
mod fair;
mod flow;
mod grant;
mod guard;
mod hold;
mod next_step;
mod quota;
mod request;
mod router;
mod settings;
mod shared;
mod slots;
mod spec;
mod state;
mod stats;
mod waiter;

pub use quota::{TeamQuota, host_permits};
pub use request::{
    PeerForward, PeerLoad, RequestOrigin, RequestRoute, RouteError, RoutedAnswer, RoutedRequest,
};
pub use router::RequestRouter;
pub use settings::{HostPosition, RouterSettings};
pub use slots::{owned_connections, owned_slots};
pub use spec::{EndpointSpec, EndpointStatus, EndpointUsage, HostEntryError, RouterLoad};
pub use stats::RouterStats;
