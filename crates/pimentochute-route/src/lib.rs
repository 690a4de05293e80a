//! Routing of requests to endpoints.

mod request;

pub use request::{
    PeerForward, PeerLoad, RequestOrigin, RequestRoute, RouteError, RoutedAnswer, RoutedRequest,
};
