//! Routing of requests to endpoints.

mod quota;
mod request;
mod router;
mod settings;
mod spec;
mod stats;

pub use quota::{TeamQuota, host_permits};
pub use request::{
    PeerForward, PeerLoad, RequestOrigin, RequestRoute, RouteError, RoutedAnswer, RoutedRequest,
};
pub use router::RequestRouter;
pub use settings::{HostPosition, RouterSettings};
pub use spec::{EndpointSpec, EndpointStatus, EndpointUse, RouterLoad};
pub use stats::RouterStats;
