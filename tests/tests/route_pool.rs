//! Tests of connections: probes, unresponsive connections, circuit breaker.

mod route_support;

use pimentochute_route::{RouteError, RouterSettings};
use route_support::{ConnectReaction, Reaction, TestHost, endpoints, request, sleep_millis, start};

/// Guards against a request being lost on a connection that became unresponsive
/// while idle, and against probing several such connections in turn.
#[tokio::test(start_paused = true)]
async fn unresponsive_idle_connections_are_replaced_in_bounded_time() {
    let host = TestHost::new(RouterSettings::default(), 1, 8);
    // Idle connections are kept for slots in use; held slots count as in use.
    let lost = [Reaction::LostBeforeRun; 3];
    host.network.with_endpoint(0, |e| e.script.extend(lost));
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(100));
    let requests = (0..7).map(|i| request(&format!("r{i}"), "a", false, 60_000));
    futures::future::join_all(requests.map(|r| host.route(r))).await;
    assert_eq!(host.network.with_endpoint(0, |e| e.open), 4);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(1));
    sleep_millis(1500).await;
    host.network.stop_answering_on_open_connections();
    let before = host.clock.now();
    let answer = host.route(request("next", "a", false, 5000)).await;
    assert_eq!(answer.expect("request must be answered").body, "next");
    let span = host.clock.now().since(before).as_millis();
    assert!((500..=520).contains(&span), "took {span} ms");
    assert_eq!(host.router.stats().probe_failures, 1);
}

/// Guards against probes of connections that were used recently.
#[tokio::test(start_paused = true)]
async fn connection_is_probed_only_after_a_second() {
    let host = TestHost::new(RouterSettings::default(), 1, 8);
    for (pause, probes) in [(0, 0), (900, 0), (1100, 1)] {
        sleep_millis(pause).await;
        let answer = host.route(request("r", "a", false, 5000)).await;
        answer.expect("request must be answered");
        assert_eq!(
            host.network.with_endpoint(0, |e| e.probes),
            probes,
            "after {pause} ms"
        );
    }
    assert_eq!(host.network.with_endpoint(0, |e| e.connects), 1);
}

/// Guards against every request trying an endpoint that refuses connections,
/// and against the endpoint never being used again.
#[tokio::test(start_paused = true)]
async fn failing_endpoint_is_avoided_and_tried_again() {
    let host = TestHost::new(RouterSettings::default(), 2, 8);
    host.network
        .with_endpoint(0, |e| e.default_connect_reaction = ConnectReaction::Refuse);
    // The busy endpoint makes the other one the first choice.
    host.network
        .with_endpoint(1, |e| e.script.push_back(Reaction::Answer(50_000)));
    let long = start(&host.router, request("long", "a", false, 60_000)).await;
    for index in 0..400 {
        let answer = host
            .route(request(&format!("r{index}"), "a", false, 5000))
            .await;
        assert_eq!(answer.expect("request must be answered").endpoint, "e1");
        sleep_millis(50).await;
    }
    // 20 s: three failures, then one trial after 0.5, 1, 2, 4 and 8 s.
    let connects = host.network.with_endpoint(0, |e| e.connects);
    assert!((5..=8).contains(&connects), "{connects} connects");
    assert!(host.router.endpoints()[0].avoided);
    host.network
        .with_endpoint(0, |e| e.default_connect_reaction = ConnectReaction::Accept);
    for index in 400..800 {
        let answer = host
            .route(request(&format!("r{index}"), "a", false, 5000))
            .await;
        answer.expect("request must be answered");
        sleep_millis(50).await;
    }
    assert!(!host.router.endpoints()[0].avoided);
    assert!(host.network.with_endpoint(0, |e| e.runs.len()) > 20);
    long.await
        .expect("task must not panic")
        .expect("request must be answered");
}

/// Guards against requests with short deadlines failing because a connect
/// hangs, and against that endpoint never being avoided.
#[tokio::test(start_paused = true)]
async fn hanging_connect_leaves_time_for_another_endpoint() {
    let host = TestHost::new(RouterSettings::default(), 2, 8);
    host.network
        .with_endpoint(0, |e| e.default_connect_reaction = ConnectReaction::Hang);
    // The busy endpoint makes the other one the first choice.
    host.network
        .with_endpoint(1, |e| e.script.push_back(Reaction::Answer(50_000)));
    let long = start(&host.router, request("long", "a", false, 60_000)).await;
    sleep_millis(1000).await;
    for index in 0..10 {
        let request = request(&format!("r{index}"), "a", false, 300);
        let answer = host.route(request).await;
        assert_eq!(answer.expect("request must be answered").endpoint, "e1");
    }
    assert_eq!(host.network.with_endpoint(0, |e| e.connects), 3);
    drop(long);
}

/// Guards against a request being lost at an endpoint whose process is stopped:
/// new connections are accepted, but nothing answers.
#[tokio::test(start_paused = true)]
async fn stopped_endpoint_gets_no_request_over_a_new_connection() {
    let host = TestHost::new(RouterSettings::default(), 2, 1);
    for index in 0..8 {
        let answer = host
            .route(request(&format!("r{index}"), "a", false, 5000))
            .await;
        answer.expect("request must be answered");
    }
    sleep_millis(1500).await;
    host.network.stop_answering_on_open_connections();
    host.network.with_endpoint(0, |e| {
        e.ignore_probes = true;
        e.default_reaction = Reaction::Silent;
    });
    for index in 0..8 {
        let answer = host
            .route(request(&format!("s{index}"), "a", false, 5000))
            .await;
        assert_eq!(answer.expect("request must be answered").endpoint, "e1");
    }
}

/// Guards against a request to an unreachable service never getting a result,
/// or being reported as possibly run.
#[tokio::test(start_paused = true)]
async fn unreachable_service_is_refused_as_not_run() {
    let host = TestHost::new(RouterSettings::default(), 2, 8);
    host.network
        .with_endpoint(0, |e| e.default_connect_reaction = ConnectReaction::Refuse);
    host.network
        .with_endpoint(1, |e| e.default_connect_reaction = ConnectReaction::Hang);
    let short = host.route(request("short", "a", false, 300)).await;
    assert_eq!(short, Err(RouteError::DeadlineBeforeSend));
    let long = host.route(request("long", "a", false, 60_000)).await;
    assert!(
        matches!(long, Err(RouteError::NoEndpoint { .. })),
        "{long:?}"
    );
    host.router.set_endpoints(Vec::new());
    let none = host.route(request("none", "a", false, 300)).await;
    assert!(
        matches!(none, Err(RouteError::NoEndpoint { .. })),
        "{none:?}"
    );
}

/// Guards against connections to an endpoint's old address being used after its
/// address has changed.
#[tokio::test(start_paused = true)]
async fn moved_endpoint_gets_new_connections() {
    let host = TestHost::new(RouterSettings::default(), 1, 8);
    host.route(request("r0", "a", false, 1000))
        .await
        .expect("request must be answered");
    let mut moved = endpoints(1, 8);
    moved[0].address = route_support::address(7);
    host.router.set_endpoints(moved);
    host.route(request("r1", "a", false, 1000))
        .await
        .expect("request must be answered");
    assert_eq!(host.network.with_endpoint(0, |e| e.open), 0);
    assert_eq!(host.network.with_endpoint(7, |e| e.runs.clone()), ["r1"]);
}
