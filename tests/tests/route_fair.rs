//! Tests of the queue: fair order, bounds, deadlines and abandoned requests.

mod route_support;

use pimentochute_base::MilliSpan;
use pimentochute_route::{RouteError, RouterSettings};
use route_support::{Reaction, TestHost, quota, request, sleep_millis, start};

/// Starts `count` requests of a team, in the order of their numbers.
async fn start_many(
    host: &TestHost,
    team: &str,
    count: u32,
) -> Vec<tokio::task::JoinHandle<Result<pimentochute_route::RoutedAnswer, RouteError>>> {
    let mut handles = Vec::new();
    for index in 0..count {
        let request = request(&format!("{team}-{index}"), team, false, 60_000);
        handles.push(start(&host.router, request).await);
    }
    handles
}

fn runs_of_team(host: &TestHost, team: &str) -> usize {
    let state = host.network.lock();
    let runs = state.endpoints.values().flat_map(|e| &e.runs);
    runs.filter(|id| id.starts_with(team)).count()
}

/// Guards against a team with many requests starving one with a larger share
/// that arrives later.
#[tokio::test(start_paused = true)]
async fn slots_are_divided_by_team_share() {
    let host = TestHost::new(RouterSettings::default(), 2, 2);
    host.router
        .set_teams(vec![quota("bulk", 1, 1000), quota("check", 3, 1000)]);
    for index in 0..2 {
        host.network
            .with_endpoint(index, |e| e.default_reaction = Reaction::Answer(20));
    }
    let bulk = start_many(&host, "bulk", 400).await;
    sleep_millis(200).await;
    let before = runs_of_team(&host, "bulk");
    let check = start_many(&host, "check", 300).await;
    sleep_millis(1000).await;
    let (bulk_runs, check_runs) = (
        runs_of_team(&host, "bulk") - before,
        runs_of_team(&host, "check"),
    );
    // 4 slots and 20 ms per request (21 ms with the timer resolution) allow
    // about 200 requests in 1 s.
    let share = check_runs * 100 / (bulk_runs + check_runs);
    assert!((72..=78).contains(&share), "{check_runs} to {bulk_runs}");
    drop((bulk, check));
}

/// Guards against charging per request instead of per slot time: a team whose
/// requests take ten times as long must get the same slot time as the other
/// team, not ten times as much.
#[tokio::test(start_paused = true)]
async fn long_requests_are_charged_by_slot_time() {
    let host = TestHost::new(RouterSettings::default(), 8, 1);
    host.router
        .set_teams(vec![quota("a", 1, 1000), quota("b", 1, 1000)]);
    for index in 0..8 {
        host.network.with_endpoint(index, |e| {
            e.default_reaction = Reaction::Answer(10);
            e.slow_requests = Some(("b".to_owned(), 100));
        });
    }
    let handles = (
        start_many(&host, "a", 800).await,
        start_many(&host, "b", 200).await,
    );
    sleep_millis(1500).await;
    let (a, b) = (runs_of_team(&host, "a"), runs_of_team(&host, "b"));
    let ratio = 10 * a / b;
    assert!((75..=125).contains(&ratio), "{a} to {b}");
    drop(handles);
}

/// Guards against a team being delayed for a long request that ran while no
/// request waited.
#[tokio::test(start_paused = true)]
async fn use_without_contention_is_not_charged() {
    let host = TestHost::new(RouterSettings::default(), 1, 2);
    host.router
        .set_teams(vec![quota("a", 1, 1000), quota("b", 1, 1000)]);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(10_000));
    let first = start(&host.router, request("a-first", "a", false, 60_000)).await;
    sleep_millis(9_900).await;
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(20));
    let b = start_many(&host, "b", 200).await;
    let a = start_many(&host, "a", 200).await;
    sleep_millis(1100).await;
    let (a_runs, b_runs) = (runs_of_team(&host, "a-"), runs_of_team(&host, "b-"));
    assert!(a_runs * 10 >= b_runs * 7, "{a_runs} to {b_runs}");
    drop((first, a, b));
}

/// Guards against a full queue refusing requests of a team that is within its
/// share.
#[tokio::test(start_paused = true)]
async fn full_queue_evicts_from_the_team_most_over_its_share() {
    let settings = RouterSettings {
        max_waiting: 10,
        ..RouterSettings::default()
    };
    let host = TestHost::new(settings, 1, 1);
    host.router
        .set_teams(vec![quota("bulk", 1, 1000), quota("check", 1, 1000)]);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(50));
    let bulk = start_many(&host, "bulk", 11).await;
    let check = start_many(&host, "check", 4).await;
    // The new request belongs to the team that is over its share, and is
    // refused.
    let over = host.route(request("over", "bulk", false, 5000)).await;
    let Err(RouteError::Overloaded { retry_after }) = over else {
        panic!("expected a refusal, got {over:?}");
    };
    assert!((MilliSpan::new(100)..=MilliSpan::new(15_000)).contains(&retry_after));
    let mut refused = Vec::new();
    for (index, handle) in bulk.into_iter().enumerate() {
        match handle.await.expect("task must not panic") {
            Ok(_) => {}
            Err(RouteError::Overloaded { .. }) => refused.push(index),
            Err(error) => panic!("{error}"),
        }
    }
    assert_eq!(refused, [7, 8, 9, 10], "the newest are refused");
    for handle in check {
        handle
            .await
            .expect("task must not panic")
            .expect("request must be answered");
    }
    for id in ["over", "bulk-7", "bulk-10"] {
        assert_eq!(host.network.runs_of(id), 0);
    }
}

/// Guards against a few large requests using up the memory.
#[tokio::test(start_paused = true)]
async fn queue_is_bounded_in_bytes() {
    let settings = RouterSettings {
        max_waiting_bytes: 3000,
        ..RouterSettings::default()
    };
    let host = TestHost::new(settings, 1, 1);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(50));
    let first = start_many(&host, "a", 1).await;
    let mut results = Vec::new();
    for index in 0..5 {
        let mut request = request(&format!("r{index}"), "a", false, 5000);
        request.body = vec![0; 1000].into();
        results.push(start(&host.router, request).await);
    }
    let results = futures::future::join_all(results).await;
    let refused = results.iter().filter(|r| !matches!(r, Ok(Ok(_)))).count();
    assert_eq!(refused, 2);
    drop(first);
}

/// Guards against a request that waited until its deadline being reported as
/// sent or staying in the queue.
#[tokio::test(start_paused = true)]
async fn deadline_in_the_queue_is_not_run() {
    let host = TestHost::new(RouterSettings::default(), 1, 1);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(500));
    let first = start(&host.router, request("first", "a", false, 1000)).await;
    let result = host.route(request("late", "a", false, 100)).await;
    assert_eq!(result, Err(RouteError::DeadlineBeforeSend));
    assert_eq!(host.router.loads()[0].waiting, 0);
    first
        .await
        .expect("task must not panic")
        .expect("request must be answered");
    sleep_millis(500).await;
    assert_eq!(host.network.runs_of("late"), 0);
}

/// Guards against an abandoned request staying in the queue.
#[tokio::test(start_paused = true)]
async fn caller_that_goes_away_frees_its_place() {
    let settings = RouterSettings {
        max_waiting: 1,
        ..RouterSettings::default()
    };
    let host = TestHost::new(settings, 1, 1);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(100));
    let first = start(&host.router, request("first", "a", false, 1000)).await;
    let gone = start(&host.router, request("gone", "a", false, 1000)).await;
    gone.abort();
    sleep_millis(1).await;
    assert_eq!(host.router.loads()[0].waiting, 0);
    let answer = host.route(request("next", "a", false, 1000)).await;
    assert_eq!(answer.expect("request must be answered").body, "next");
    first
        .await
        .expect("task must not panic")
        .expect("request must be answered");
    assert_eq!(host.network.runs_of("gone"), 0);
}
