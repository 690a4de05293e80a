//! Tests of slots, permits and connections, and of holds for unknown outcomes.

mod route_support;

use pimentochute_base::MilliSpan;
use pimentochute_route::{HostPosition, RequestRoute, RouteError, RouterSettings};
use proptest::prelude::*;
use route_support::{
    FakeNetwork, PeerReaction, Reaction, TestHost, endpoint, endpoints, paused_clock, quota,
    request, sleep_millis, start,
};

/// The hold after a deadline of 1 s: 2 s plus 2 % of the deadline.
const MARGIN_MS: u64 = 2020;

/// Creates three hosts that share two endpoints of four slots.
fn three_hosts(network: &FakeNetwork, peer_reactions: &[PeerReaction]) -> Vec<TestHost> {
    let clock = paused_clock();
    let create = |index| {
        let position = HostPosition::new(index, 3);
        let settings = RouterSettings::default().with_seed(u64::from(index));
        TestHost::with_position(settings, position, network, &clock, endpoints(2, 4))
    };
    let hosts: Vec<_> = (0..3).map(create).collect();
    for (index, host) in hosts.iter().enumerate() {
        host.peers.script(peer_reactions.iter().copied());
        for (other, peer) in hosts
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
        {
            host.peers.add(&format!("h{other}"), &peer.router);
        }
    }
    hosts
}

/// Runs requests on several hosts that share endpoints and checks the results.
/// Some callers go away, and some attempts and forwards have unknown outcomes.
async fn check_hosts(
    requests: Vec<(usize, u64, u64, Option<u64>)>,
    reactions: Vec<Reaction>,
    peer_reactions: Vec<PeerReaction>,
) {
    let network = FakeNetwork::default();
    for index in 0..2 {
        network.with_endpoint(index, |e| e.script.extend(reactions.clone()));
    }
    let hosts = three_hosts(&network, &peer_reactions);
    let mut tasks = Vec::new();
    for (index, (host_index, at, millis, gone)) in requests.into_iter().enumerate() {
        let router = hosts[host_index].router.clone();
        tasks.push(tokio::spawn(async move {
            sleep_millis(at).await;
            let (id, idempotent) = (format!("r{index}"), index % 2 == 0);
            let handle = start(&router, request(&id, "a", idempotent, millis)).await;
            if let Some(gone) = gone {
                sleep_millis(gone).await;
                handle.abort();
            }
            (id, idempotent, handle.await.ok())
        }));
    }
    for task in tasks {
        let (id, idempotent, result) = task.await.expect("task must not panic");
        let runs = network.runs_of(&id);
        assert!(idempotent || runs <= 1, "{id} ran {runs} times");
        match result {
            Some(Ok(answer)) => assert_eq!(answer.body, id, "answer of another request"),
            Some(Err(error)) if error.is_not_run() => assert_eq!(runs, 0, "{id}: {error}"),
            _ => {}
        }
    }
    sleep_millis(5000).await;
    assert!(hosts.iter().all(|host| host.in_use() == 0));
    for record in network.lock().endpoints.values() {
        assert!(
            record.max_running <= 4,
            "{} ran at once",
            record.max_running
        );
        assert!(record.max_open <= 64, "{} connections", record.max_open);
    }
}

fn peer_reaction() -> impl Strategy<Value = PeerReaction> {
    prop_oneof![
        4 => Just(PeerReaction::Route),
        1 => Just(PeerReaction::Unreachable),
        1 => Just(PeerReaction::AnswerLost),
        1 => Just(PeerReaction::Silent),
    ]
}

fn slow_reaction() -> impl Strategy<Value = Reaction> {
    prop_oneof![
        4 => (0_u64..400).prop_map(Reaction::Answer),
        1 => (0_u64..400).prop_map(Reaction::LostWhileRunning),
        1 => (0_u64..400).prop_map(Reaction::Mismatched),
        1 => Just(Reaction::Silent),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against the hosts of a data centre together using more slots of
    /// an endpoint than it has, and against a request running twice or being
    /// wrongly reported as not run, including forwards, abandoned requests and
    /// attempts that may still run.
    #[test]
    fn hosts_together_never_exceed_slots(
        requests in prop::collection::vec(
            (0_usize..3, 0_u64..600, 50_u64..1000, prop::option::weighted(0.3, 0_u64..200)), 1..40),
        reactions in prop::collection::vec(slow_reaction(), 0..20),
        peer_reactions in prop::collection::vec(peer_reaction(), 0..10),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime must be built");
        runtime.block_on(check_hosts(requests, reactions, peer_reactions));
    }
}

/// Guards against a slot being used again while the endpoint may still be
/// running a request whose answer was lost.
#[tokio::test(start_paused = true)]
async fn slot_of_unknown_attempt_is_held_until_the_attempt_has_ended() {
    let host = TestHost::new(RouterSettings::default(), 1, 1);
    host.network
        .with_endpoint(0, |e| e.script.push_back(Reaction::LostWhileRunning(900)));
    let result = host.route(request("lost", "a", false, 1000)).await;
    assert_eq!(result, Err(RouteError::OutcomeUnknown));
    sleep_millis(1000 + MARGIN_MS - 100).await;
    let early = host.route(request("early", "a", false, 50)).await;
    assert_eq!(early, Err(RouteError::DeadlineBeforeSend));
    assert_eq!(host.router.endpoints()[0].held, 1);
    let waiting = host.route(request("waiting", "a", false, 500)).await;
    assert_eq!(waiting.expect("request must be answered").body, "waiting");
    assert_eq!(host.router.endpoints()[0].held, 0);
}

/// Guards against an abandoned request releasing a slot that is still in use,
/// and against a slot being held for a request that was not sent.
#[tokio::test(start_paused = true)]
async fn abandoned_request_holds_its_slot_only_if_sent() {
    let host = TestHost::new(RouterSettings::default(), 2, 1);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(500));
    host.network.with_endpoint(1, |e| {
        e.default_connect_reaction = route_support::ConnectReaction::Hang;
    });
    let first = start(&host.router, request("r0", "a", false, 1000)).await;
    let second = start(&host.router, request("r1", "a", false, 1000)).await;
    sleep_millis(10).await;
    first.abort();
    second.abort();
    sleep_millis(1).await;
    let held: Vec<_> = host
        .router
        .endpoints()
        .iter()
        .map(|e| (e.in_use, e.held))
        .collect();
    assert_eq!(held, [(1, 1), (0, 0)]);
    assert_eq!(host.router.stats().abandoned, 2);
}

/// Guards against a team exceeding its limit by abandoning requests.
#[tokio::test(start_paused = true)]
async fn permit_of_unknown_request_is_held() {
    let host = TestHost::new(RouterSettings::default(), 1, 8);
    host.router.set_teams(vec![quota("a", 1, 1)]);
    host.network
        .with_endpoint(0, |e| e.script.push_back(Reaction::Silent));
    let gone = start(&host.router, request("gone", "a", false, 1000)).await;
    sleep_millis(10).await;
    gone.abort();
    let result = host.route(request("next", "a", false, 500)).await;
    assert_eq!(result, Err(RouteError::DeadlineBeforeSend));
    let result = host.route(request("later", "a", false, 5000)).await;
    assert_eq!(result.expect("request must be answered").body, "later");
}

/// Guards against a team having more requests in flight than permits.
#[tokio::test(start_paused = true)]
async fn permits_bound_requests_in_flight() {
    let host = TestHost::new(RouterSettings::default(), 1, 8);
    host.router.set_teams(vec![quota("a", 1, 3)]);
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(100));
    let requests = (0..12).map(|i| request(&format!("r{i}"), "a", false, 1000));
    let results = futures::future::join_all(requests.map(|r| host.route(r))).await;
    assert!(results.iter().all(Result::is_ok));
    assert_eq!(host.network.with_endpoint(0, |e| e.max_running), 3);
    let unknown = host.route(request("r", "b", false, 1000)).await;
    assert!(matches!(unknown, Err(RouteError::Overloaded { .. })));
}

/// Guards against more connections than the host's part of the limit, and
/// against more than one spare idle connection.
#[tokio::test(start_paused = true)]
async fn connections_follow_slots_in_use() {
    let clock = paused_clock();
    let network = FakeNetwork::default();
    let mut spec = endpoint(0, 64);
    spec.connections = 17;
    let position = HostPosition::new(0, 4);
    let host = TestHost::with_position(
        RouterSettings::default(),
        position,
        &network,
        &clock,
        vec![spec],
    );
    host.network
        .with_endpoint(0, |e| e.default_reaction = Reaction::Answer(100));
    let requests = (0..40).map(|i| request(&format!("r{i}"), "a", false, 5000));
    let results = futures::future::join_all(requests.map(|r| host.router.route(r))).await;
    assert!(results.iter().all(Result::is_ok));
    assert_eq!(network.with_endpoint(0, |e| (e.max_open, e.open)), (4, 1));
    assert_eq!(host.router.endpoints()[0].connections, 1);
}

/// Guards against a slot being held longer than the attempt can run: the
/// endpoint receives the shorter time limit of an idempotent attempt.
#[tokio::test(start_paused = true)]
async fn shorter_attempt_holds_its_slot_for_a_shorter_time() {
    let settings = RouterSettings {
        attempt_timeout: MilliSpan::new(100),
        ..RouterSettings::default()
    };
    let host = TestHost::new(settings, 2, 1);
    host.network
        .with_endpoint(0, |e| e.script.push_back(Reaction::Silent));
    host.network
        .with_endpoint(1, |e| e.script.push_back(Reaction::Silent));
    let answer = host.route(request("r", "a", true, 60_000)).await;
    assert_eq!(answer.expect("request must be answered").attempts, 3);
    assert!(host.clock.now().as_millis() < 3000);
}
