//! Tests of attempts: at-most-once execution, correct errors, complete answers.

mod route_support;

use pimentochute_base::MilliSpan;
use pimentochute_route::{RouteError, RouterSettings};
use proptest::prelude::*;
use route_support::{ConnectReaction, Reaction, TestHost, endpoints, request, sleep_millis, start};

fn reaction() -> impl Strategy<Value = Reaction> {
    prop_oneof![
        3 => (0_u64..400).prop_map(Reaction::Answer),
        1 => Just(Reaction::NotSent),
        1 => Just(Reaction::LostBeforeRun),
        1 => (0_u64..400).prop_map(Reaction::LostWhileRunning),
        1 => (0_u64..400).prop_map(Reaction::Mismatched),
        1 => Just(Reaction::Silent),
        1 => Just(Reaction::Refuse),
    ]
}

fn connect_reaction() -> impl Strategy<Value = ConnectReaction> {
    prop_oneof![
        4 => Just(ConnectReaction::Accept),
        1 => Just(ConnectReaction::Refuse),
        1 => Just(ConnectReaction::Hang),
    ]
}

/// A request of a schedule: its start and its deadline in milliseconds, whether
/// it is idempotent, and after how many milliseconds its caller goes away.
type PlannedRequest = (u64, u64, bool, Option<u64>);

fn planned_request() -> impl Strategy<Value = PlannedRequest> {
    let gone = prop_oneof![3 => Just(None), 1 => (0_u64..300).prop_map(Some)];
    (0_u64..1500, 1_u64..1200, any::<bool>(), gone)
}

/// Runs a schedule and checks each result against what the endpoints ran.
async fn check_schedule(
    requests: Vec<PlannedRequest>,
    reactions: [Vec<Reaction>; 3],
    connects: [Vec<ConnectReaction>; 3],
    seed: u64,
) {
    let settings = RouterSettings {
        retry_reserve: 100,
        connect_timeout: MilliSpan::new(200),
        ..RouterSettings::default().with_seed(seed)
    };
    let host = TestHost::new(settings, 3, 2);
    for (index, (reactions, connects)) in (0_u16..).zip(reactions.into_iter().zip(connects)) {
        host.network.with_endpoint(index, |record| {
            record.script.extend(reactions);
            record.connect_script.extend(connects);
        });
    }
    let mut tasks = Vec::new();
    for (index, (at, deadline, idempotent, gone)) in requests.into_iter().enumerate() {
        let (router, id) = (host.router.clone(), format!("r{index}"));
        let task = tokio::spawn(async move {
            sleep_millis(at).await;
            let request = request(&id, "a", idempotent, deadline);
            let handle = start(&router, request).await;
            let Some(gone) = gone else {
                return (
                    id,
                    idempotent,
                    Some(handle.await.expect("task must not panic")),
                );
            };
            sleep_millis(gone).await;
            handle.abort();
            (id, idempotent, handle.await.ok())
        });
        tasks.push(task);
    }
    for task in tasks {
        let (id, idempotent, result) = task.await.expect("task must not panic");
        let runs = host.network.runs_of(&id);
        assert!(idempotent || runs <= 1, "{id} ran {runs} times");
        match result {
            Some(Ok(answer)) => assert_eq!(answer.body, id, "answer of another request"),
            Some(Err(error)) if error.is_not_run() => assert_eq!(runs, 0, "{id}: {error}"),
            _ => {}
        }
    }
    for (address, record) in &host.network.lock().endpoints {
        assert!(
            record.max_running <= 2,
            "{address} ran {}",
            record.max_running
        );
    }
    // All slots are released once the holds of unknown outcomes have expired.
    sleep_millis(5000).await;
    assert_eq!(host.in_use(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a non-idempotent request that runs twice, an error that
    /// wrongly reports a request as not run, an answer of another request, more
    /// running requests than slots, and slots that are never released, under
    /// any schedule of faults.
    #[test]
    fn routing_guarantees_hold_under_faults(
        requests in prop::collection::vec(planned_request(), 1..30),
        reactions in prop::array::uniform3(prop::collection::vec(reaction(), 0..20)),
        connects in prop::array::uniform3(prop::collection::vec(connect_reaction(), 0..8)),
        seed in any::<u64>(),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime must be built");
        runtime.block_on(check_schedule(requests, reactions, connects, seed));
    }
}

/// Guards against a request failing because it could not be sent to one
/// endpoint, although another endpoint works.
#[tokio::test(start_paused = true)]
async fn unsent_request_uses_another_endpoint() {
    let host = TestHost::new(RouterSettings::default(), 2, 1);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::NotSent);
    for index in 0..4 {
        let id = format!("r{index}");
        let answer = host.route(request(&id, "a", false, 1000)).await;
        assert_eq!(answer.expect("request must be answered").endpoint, "e1");
    }
}

/// Guards against a request waiting for a busy endpoint although the endpoint
/// that failed has a free slot: a closed connection is no reason to avoid it.
#[tokio::test(start_paused = true)]
async fn unsent_request_retries_the_only_free_endpoint() {
    let host = TestHost::new(RouterSettings::default(), 2, 1);
    host.router.set_endpoints(endpoints(2, 1).split_off(1));
    host.network
        .with_endpoint(1, |e| e.default_reaction = Reaction::Answer(50_000));
    let long = start(&host.router, request("long", "a", true, 60_000)).await;
    sleep_millis(10).await;
    host.router.set_endpoints(endpoints(2, 1));
    host.network
        .with_endpoint(0, |e| e.script.push_back(Reaction::NotSent));
    let answer = host.route(request("r", "a", false, 1000)).await;
    assert_eq!(answer.expect("request must be answered").endpoint, "e0");
    drop(long);
}

/// Guards against a non-idempotent request being sent again after an endpoint
/// refused it.
#[tokio::test(start_paused = true)]
async fn refused_request_is_sent_again_only_if_idempotent() {
    let host = TestHost::new(RouterSettings::default(), 2, 1);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Refuse);
    host.network
        .with_endpoint(1, |e| e.default_reaction = Reaction::Refuse);
    let result = host.route(request("once", "a", false, 1000)).await;
    assert_eq!(result, Err(RouteError::RefusedByEndpoint));
    assert_eq!(host.router.stats().sent, 1);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(1));
    host.network
        .with_endpoint(1, |e| e.default_reaction = Reaction::Answer(1));
    host.network
        .with_endpoint(0, |e| e.script.push_back(Reaction::Refuse));
    host.network
        .with_endpoint(1, |e| e.script.push_back(Reaction::Refuse));
    // Both endpoints were tried, so that the third attempt uses one again.
    let answer = host.route(request("again", "a", true, 1000)).await;
    assert_eq!(answer.expect("request must be answered").attempts, 3);
}

/// Guards against a retry at the endpoint that has just failed, although it has
/// the lowest share of slots in use.
#[tokio::test(start_paused = true)]
async fn retry_uses_another_endpoint() {
    for reaction in [
        Reaction::Refuse,
        Reaction::NotSent,
        Reaction::LostWhileRunning(1),
    ] {
        let host = TestHost::new(RouterSettings::default(), 2, 20);
        host.network
            .with_endpoint(0, |e| e.default_reaction = reaction);
        host.network
            .with_endpoint(1, |e| e.script.push_back(Reaction::Answer(50_000)));
        host.router.set_endpoints(endpoints(2, 20).split_off(1));
        let long = start(&host.router, request("long", "a", true, 60_000)).await;
        sleep_millis(10).await;
        host.router.set_endpoints(endpoints(2, 20));
        let answer = host.route(request("r", "a", true, 1000)).await;
        let answer = answer.expect("request must be answered");
        let attempts = if reaction == Reaction::NotSent { 1 } else { 2 };
        assert_eq!(
            (answer.endpoint.as_str(), answer.attempts),
            ("e1", attempts)
        );
        drop(long);
    }
}

/// Guards against retry delays that do not grow, and against hosts retrying at
/// the same time after requests that failed at the same time.
#[tokio::test(start_paused = true)]
async fn retry_delay_grows_with_each_retry() {
    let mut spans = Vec::new();
    for seed in 0..4 {
        let settings = RouterSettings::default().with_seed(seed);
        let host = TestHost::new(settings, 4, 1);
        for index in 0..4 {
            host.network
                .with_endpoint(index, |e| e.default_reaction = Reaction::LostBeforeRun);
        }
        let result = host.route(request("r", "a", true, 5000)).await;
        assert_eq!(result, Err(RouteError::OutcomeUnknown));
        assert_eq!(host.router.stats().sent, 4);
        spans.push(host.clock.now().as_millis());
    }
    // Delays of 25 to 50, 50 to 100 and 100 to 200 ms.
    assert!(
        spans.iter().all(|span| (175..=360).contains(span)),
        "{spans:?}"
    );
    spans.dedup();
    assert_eq!(spans.len(), 4, "no jitter: {spans:?}");
}

/// Guards against retries that multiply the load on a failing service.
#[tokio::test(start_paused = true)]
async fn retries_stay_within_the_budget() {
    let host = TestHost::new(RouterSettings::default(), 2, 200);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::LostBeforeRun);
    host.network
        .with_endpoint(1, |e| e.default_reaction = Reaction::LostBeforeRun);
    for index in 0..200 {
        let result = host
            .route(request(&format!("r{index}"), "a", true, 1000))
            .await;
        assert_eq!(result, Err(RouteError::OutcomeUnknown));
        sleep_millis(20).await;
    }
    let stats = host.router.stats();
    assert_eq!(stats.retried, 200 / 10 + 10);
    assert_eq!(stats.sent, 200 + stats.retried);
    assert!(stats.retries_denied > 0);
}

/// Guards against a caller waiting beyond its deadline for a connection that
/// never responds.
#[tokio::test(start_paused = true)]
async fn unresponsive_endpoint_ends_as_unknown_at_the_deadline() {
    let host = TestHost::new(RouterSettings::default(), 1, 2);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Silent);
    let handle = start(&host.router, request("r", "a", false, 300)).await;
    sleep_millis(310).await;
    assert!(handle.is_finished());
    let result = handle.await.expect("task must not panic");
    assert_eq!(result, Err(RouteError::OutcomeUnknown));
}

/// Guards against the late answer of an abandoned request being returned to the
/// next caller on the same connection.
#[tokio::test(start_paused = true)]
async fn late_answer_is_discarded() {
    let host = TestHost::new(RouterSettings::default(), 1, 2);
    host.network
        .with_endpoint(0, |e| e.script.push_back(Reaction::Answer(100)));
    let gone = start(&host.router, request("gone", "a", false, 1000)).await;
    sleep_millis(10).await;
    gone.abort();
    sleep_millis(200).await;
    let answer = host.route(request("next", "a", false, 1000)).await;
    assert_eq!(answer.expect("request must be answered").body, "next");
    assert_eq!(host.network.with_endpoint(0, |e| e.connects), 2);
}
