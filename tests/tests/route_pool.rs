//! Tests of connections: probes, silent connections, circuit breaker.

mod route_support;

use pimentochute_route::{RouteError, RouterSettings};
use route_support::{Bench, ConnectFault, Fault, endpoints, request, start, wait};

/// Guards against a request being lost on a connection that went silent
/// while idle, and against a long search for a working one.
#[tokio::test(start_paused = true)]
async fn silent_idle_connections_are_replaced_in_bounded_time() {
    let bench = Bench::new(RouterSettings::default(), 1, 8);
    // Held slots let several idle connections stay open.
    let lost = [Fault::LostBeforeRun; 3];
    bench.site.at(0, |e| e.script.extend(lost));
    bench.site.at(0, |e| e.usual = Fault::Answer(100));
    let requests = (0..7).map(|i| request(&format!("r{i}"), "a", false, 60_000));
    futures::future::join_all(requests.map(|r| bench.route(r))).await;
    assert_eq!(bench.site.at(0, |e| e.open), 4);
    bench.site.at(0, |e| e.usual = Fault::Answer(1));
    wait(1500).await;
    bench.site.silence_open_connections();
    let before = bench.clock.now();
    let answer = bench.route(request("next", "a", false, 5000)).await;
    assert_eq!(answer.expect("answered").body, "next");
    let span = bench.clock.now().since(before).as_millis();
    assert!((500..=520).contains(&span), "took {span} ms");
    assert_eq!(bench.router.stats().probe_failures, 1);
}

/// Guards against probes on connections that were used a moment ago.
#[tokio::test(start_paused = true)]
async fn connection_is_probed_only_after_a_second() {
    let bench = Bench::new(RouterSettings::default(), 1, 8);
    for (pause, probes) in [(0, 0), (900, 0), (1100, 1)] {
        wait(pause).await;
        let answer = bench.route(request("r", "a", false, 5000)).await;
        answer.expect("answered");
        assert_eq!(bench.site.at(0, |e| e.probes), probes, "after {pause} ms");
    }
    assert_eq!(bench.site.at(0, |e| e.connects), 1);
}

/// Guards against requests spending their time on an endpoint that does not
/// accept, and against never using it again.
#[tokio::test(start_paused = true)]
async fn failing_endpoint_is_avoided_and_tried_again() {
    let bench = Bench::new(RouterSettings::default(), 2, 8);
    bench.site.at(0, |e| e.usual_connect = ConnectFault::Refuse);
    // The busy endpoint makes the other one the first choice.
    bench
        .site
        .at(1, |e| e.script.push_back(Fault::Answer(50_000)));
    let long = start(&bench.router, request("long", "a", false, 60_000)).await;
    for index in 0..400 {
        let answer = bench
            .route(request(&format!("r{index}"), "a", false, 5000))
            .await;
        assert_eq!(answer.expect("answered").endpoint, "e1");
        wait(50).await;
    }
    // 20 s: three failures, then one trial after 0.5, 1, 2, 4 and 8 s.
    let connects = bench.site.at(0, |e| e.connects);
    assert!((5..=8).contains(&connects), "{connects} connects");
    assert!(bench.router.endpoints()[0].avoided);
    bench.site.at(0, |e| e.usual_connect = ConnectFault::Accept);
    for index in 400..800 {
        let answer = bench
            .route(request(&format!("r{index}"), "a", false, 5000))
            .await;
        answer.expect("answered");
        wait(50).await;
    }
    assert!(!bench.router.endpoints()[0].avoided);
    assert!(bench.site.at(0, |e| e.runs.len()) > 20);
    long.await.expect("no panic").expect("answered");
}

/// Guards against urgent requests waiting out their deadlines at an endpoint
/// that does not accept, and against that endpoint never being avoided.
#[tokio::test(start_paused = true)]
async fn hanging_connect_leaves_time_for_another_endpoint() {
    let bench = Bench::new(RouterSettings::default(), 2, 8);
    bench.site.at(0, |e| e.usual_connect = ConnectFault::Hang);
    // The busy endpoint makes the other one the first choice.
    bench
        .site
        .at(1, |e| e.script.push_back(Fault::Answer(50_000)));
    let long = start(&bench.router, request("long", "a", false, 60_000)).await;
    wait(1000).await;
    for index in 0..10 {
        let request = request(&format!("r{index}"), "a", false, 300);
        let answer = bench.route(request).await;
        assert_eq!(answer.expect("answered").endpoint, "e1");
    }
    assert_eq!(bench.site.at(0, |e| e.connects), 3);
    drop(long);
}

/// Guards against a request being lost at an endpoint whose process stopped:
/// new connections open, but nothing answers.
#[tokio::test(start_paused = true)]
async fn stopped_endpoint_gets_no_request_over_a_new_connection() {
    let bench = Bench::new(RouterSettings::default(), 2, 1);
    for index in 0..8 {
        let answer = bench
            .route(request(&format!("r{index}"), "a", false, 5000))
            .await;
        answer.expect("answered");
    }
    wait(1500).await;
    bench.site.silence_open_connections();
    bench.site.at(0, |e| {
        e.mute_probes = true;
        e.usual = Fault::Silent;
    });
    for index in 0..8 {
        let answer = bench
            .route(request(&format!("s{index}"), "a", false, 5000))
            .await;
        assert_eq!(answer.expect("answered").endpoint, "e1");
    }
}

/// Guards against a request that nothing accepts staying without an answer,
/// or being reported as possibly run.
#[tokio::test(start_paused = true)]
async fn unreachable_service_is_refused_as_not_run() {
    let bench = Bench::new(RouterSettings::default(), 2, 8);
    bench.site.at(0, |e| e.usual_connect = ConnectFault::Refuse);
    bench.site.at(1, |e| e.usual_connect = ConnectFault::Hang);
    let short = bench.route(request("short", "a", false, 300)).await;
    assert_eq!(short, Err(RouteError::DeadlineBeforeSend));
    let long = bench.route(request("long", "a", false, 60_000)).await;
    assert!(
        matches!(long, Err(RouteError::NoEndpoint { .. })),
        "{long:?}"
    );
    bench.router.set_endpoints(Vec::new());
    let none = bench.route(request("none", "a", false, 300)).await;
    assert!(
        matches!(none, Err(RouteError::NoEndpoint { .. })),
        "{none:?}"
    );
}

/// Guards against the connections of an endpoint's earlier address being
/// used after it has moved.
#[tokio::test(start_paused = true)]
async fn moved_endpoint_gets_new_connections() {
    let bench = Bench::new(RouterSettings::default(), 1, 8);
    bench
        .route(request("r0", "a", false, 1000))
        .await
        .expect("answered");
    let mut moved = endpoints(1, 8);
    moved[0].address = route_support::address(7);
    bench.router.set_endpoints(moved);
    bench
        .route(request("r1", "a", false, 1000))
        .await
        .expect("answered");
    assert_eq!(bench.site.at(0, |e| e.open), 0);
    assert_eq!(bench.site.at(7, |e| e.runs.clone()), ["r1"]);
}
