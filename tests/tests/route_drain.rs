//! Tests of endpoints that leave and of draining the router.

mod route_support;

use pimentochute_base::{DataCentreName, ServiceName};
use pimentochute_platform::{HostEntry, HostRole, HostStatus};
use pimentochute_route::{
    EndpointSpec, EndpointStatus, HostEntryError, RequestOrigin, RouteError, RouterSettings,
};
use route_support::{
    ConnectReaction, Reaction, TestHost, address, endpoint, endpoints, request, sleep_millis, start,
};

/// Guards against a drain that aborts accepted requests, waiting ones included,
/// or that accepts new ones.
#[tokio::test(start_paused = true)]
async fn drain_finishes_accepted_requests_and_refuses_new_ones() {
    let host = TestHost::new(RouterSettings::default(), 1, 2);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(300));
    let mut accepted = Vec::new();
    for index in 0..6 {
        accepted.push(
            start(
                &host.router,
                request(&format!("r{index}"), "a", false, 5000),
            )
            .await,
        );
    }
    let router = host.router.clone();
    let drain = tokio::spawn(async move { router.drain().await });
    sleep_millis(1).await;
    let refused = host.route(request("new", "a", false, 1000)).await;
    assert_eq!(refused, Err(RouteError::Draining));
    let mut forwarded = request("peer", "a", false, 1000);
    forwarded.origin = RequestOrigin::Peer;
    assert_eq!(host.route(forwarded).await, Err(RouteError::Draining));
    assert_eq!(host.router.loads()[0].free_slots, 0);
    assert!(!drain.is_finished());
    for handle in accepted {
        handle
            .await
            .expect("task must not panic")
            .expect("request must be answered");
    }
    drain.await.expect("drain task must not panic");
    assert_eq!(
        host.network.runs_of("new") + host.network.runs_of("peer"),
        0
    );
    host.router.drain().await;
}

/// Guards against new requests being sent to an endpoint that is listed as
/// leaving or is no longer listed, and against its requests in flight being
/// aborted.
#[tokio::test(start_paused = true)]
async fn leaving_endpoint_finishes_requests_and_gets_no_new_ones() {
    for listed in [true, false] {
        let host = TestHost::new(RouterSettings::default(), 2, 8);
        host.network
            .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(300));
        host.network
            .with_endpoint(1, |e| e.default_reaction = Reaction::Answer(300));
        let mut handles = Vec::new();
        for index in 0..8 {
            let request = request(&format!("r{index}"), "a", false, 5000);
            handles.push(start(&host.router, request).await);
        }
        sleep_millis(10).await;
        let mut list = endpoints(2, 8);
        list[0].status = EndpointStatus::Leaving;
        if !listed {
            list.remove(0);
        }
        host.router.set_endpoints(list);
        let before = host.network.with_endpoint(0, |e| e.runs.len());
        assert_eq!(before, 4);
        let requests = (8..20).map(|i| request(&format!("r{i}"), "a", false, 5000));
        for answer in futures::future::join_all(requests.map(|r| host.route(r))).await {
            assert_eq!(answer.expect("request must be answered").endpoint, "e1");
        }
        for handle in handles {
            handle
                .await
                .expect("task must not panic")
                .expect("request must be answered");
        }
        assert_eq!(
            host.network.with_endpoint(0, |e| (e.runs.len(), e.open)),
            (before, 0)
        );
        let known = host.router.endpoints().len();
        assert_eq!(known, if listed { 2 } else { 1 });
    }
}

/// Guards against a request being sent to an endpoint that was listed as
/// leaving while the connection was opened or probed.
#[tokio::test(start_paused = true)]
async fn endpoint_that_leaves_before_the_send_gets_no_request() {
    for probed in [true, false] {
        let host = TestHost::new(RouterSettings::default(), 1, 8);
        if probed {
            let answer = host.route(request("r0", "a", false, 1000)).await;
            answer.expect("request must be answered");
        }
        sleep_millis(1500).await;
        host.network.with_endpoint(0, |e| {
            e.ignore_probes = true;
            e.default_connect_reaction = ConnectReaction::AcceptLate(200);
        });
        let handle = start(&host.router, request("r1", "a", false, 3000)).await;
        sleep_millis(100).await;
        let mut list = endpoints(2, 8);
        list[0].status = EndpointStatus::Leaving;
        host.router.set_endpoints(list);
        let answer = handle
            .await
            .expect("task must not panic")
            .expect("request must be answered");
        assert_eq!(answer.endpoint, "e1");
        assert_eq!(
            host.network.with_endpoint(0, |e| e.runs.len()),
            usize::from(probed)
        );
    }
}

/// Guards against waiting requests being lost while the endpoint list is empty
/// for a short time.
#[tokio::test(start_paused = true)]
async fn waiting_requests_survive_an_empty_endpoint_list() {
    let host = TestHost::new(RouterSettings::default(), 1, 1);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(100));
    let first = start(&host.router, request("r0", "a", false, 5000)).await;
    let second = start(&host.router, request("r1", "a", false, 5000)).await;
    host.router.set_endpoints(Vec::new());
    sleep_millis(500).await;
    first
        .await
        .expect("task must not panic")
        .expect("request must be answered");
    host.router.set_endpoints(endpoints(1, 1));
    second
        .await
        .expect("task must not panic")
        .expect("request must be answered");
}

/// Guards against entries of the host list that are not endpoints being used as
/// such, and against a leaving endpoint being treated as live.
#[test]
fn only_endpoint_entries_are_accepted() {
    let entry = |role, service: Option<&str>, status| HostEntry {
        name: "e0".to_owned(),
        role,
        data_centre: DataCentreName::new("d1").expect("valid name"),
        address: address(0),
        status,
        rack: None,
        service: service.map(|name| ServiceName::new(name).expect("valid name")),
        slots: 8,
        connections: 64,
    };
    let leaving = entry(HostRole::Endpoint, Some("price"), HostStatus::Leaving);
    let mut expected = endpoint(0, 8);
    expected.status = EndpointStatus::Leaving;
    assert_eq!(EndpointSpec::try_from(&leaving), Ok(expected));
    let worker = entry(HostRole::Worker, Some("price"), HostStatus::Live);
    let role = HostRole::Worker;
    assert_eq!(
        EndpointSpec::try_from(&worker),
        Err(HostEntryError::OtherRole { role })
    );
    let nameless = entry(HostRole::Endpoint, None, HostStatus::Live);
    assert_eq!(
        EndpointSpec::try_from(&nameless),
        Err(HostEntryError::NoService)
    );
}
