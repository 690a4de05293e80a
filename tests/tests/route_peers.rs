//! Tests of forwarding requests to other hosts of the data centre.

mod route_support;

use pimentochute_route::{HostPosition, RequestOrigin, RouteError, RouterSettings};
use route_support::{
    FakeNetwork, PeerReaction, Reaction, TestHost, endpoints, paused_clock, request, sleep_millis,
    start,
};

/// Creates two hosts that each own one of the two slots of an endpoint.
fn two_hosts() -> (TestHost, TestHost) {
    let (network, clock) = (FakeNetwork::default(), paused_clock());
    let create = |index| {
        let settings = RouterSettings::default().with_seed(u64::from(index));
        TestHost::with_position(
            settings,
            HostPosition::new(index, 2),
            &network,
            &clock,
            endpoints(1, 2),
        )
    };
    let (local, remote) = (create(0), create(1));
    local.peers.add("remote", &remote.router);
    remote.peers.add("local", &local.router);
    // Without quotas: requests that a peer forwards need no permit.
    remote.router.set_teams(Vec::new());
    (local, remote)
}

/// Occupies the slot of a host for 500 ms.
async fn fill(host: &TestHost) {
    host.network
        .with_endpoint(0, |e| e.script.push_back(Reaction::Answer(500)));
    drop(start(&host.router, request("fill", "a", false, 1000)).await);
    sleep_millis(5).await;
}

/// Guards against a request waiting while a peer has a free slot, and against a
/// forward while the host itself has one.
#[tokio::test(start_paused = true)]
async fn request_is_forwarded_only_without_a_free_slot() {
    let (local, _remote) = two_hosts();
    local
        .route(request("r0", "a", false, 1000))
        .await
        .expect("request must be answered");
    assert_eq!(local.peers.forwards(), 0);
    fill(&local).await;
    let before = local.clock.now();
    let answer = local.route(request("r1", "a", false, 1000)).await;
    assert_eq!(answer.expect("request must be answered").attempts, 1);
    assert!(local.clock.now().since(before).as_millis() < 50);
    assert_eq!(local.peers.forwards(), 1);
}

/// Guards against a request that keeps waiting after a slot of a peer has
/// become free.
#[tokio::test(start_paused = true)]
async fn waiting_request_is_forwarded_later() {
    let (local, remote) = two_hosts();
    local
        .network
        .with_endpoint(0, |e| e.script.push_back(Reaction::Answer(900)));
    drop(start(&local.router, request("fill", "a", false, 1000)).await);
    remote
        .router
        .set_teams(vec![route_support::quota("a", 1, 1)]);
    sleep_millis(5).await;
    local
        .network
        .with_endpoint(0, |e| e.script.push_back(Reaction::Answer(200)));
    drop(start(&remote.router, request("other", "a", false, 1000)).await);
    sleep_millis(5).await;
    let before = local.clock.now();
    local
        .route(request("r1", "a", false, 1000))
        .await
        .expect("request must be answered");
    assert!(local.clock.now().since(before).as_millis() < 300);
    assert_eq!(local.peers.forwards(), 1);
}

/// Guards against requests being forwarded in a loop between hosts.
#[tokio::test(start_paused = true)]
async fn forwarded_request_is_not_forwarded_again() {
    let (local, _remote) = two_hosts();
    fill(&local).await;
    let mut forwarded = request("r1", "a", false, 1000);
    forwarded.origin = RequestOrigin::Peer;
    let answer = local.route(forwarded).await;
    assert_eq!(answer.expect("request must be answered").body, "r1");
    assert_eq!(local.peers.forwards(), 0);
    assert!(local.clock.now().as_millis() >= 500);
}

/// Guards against a request that a peer refused being forwarded again.
#[tokio::test(start_paused = true)]
async fn request_is_forwarded_at_most_once() {
    let (local, remote) = two_hosts();
    local.peers.add("third", &remote.router);
    fill(&local).await;
    local.peers.script([PeerReaction::Drain]);
    let answer = local.route(request("r1", "a", false, 1000)).await;
    assert_eq!(answer.expect("request must be answered").body, "r1");
    assert_eq!(local.peers.forwards(), 1);
    assert!(local.clock.now().as_millis() >= 500);
}

/// Guards against more forwards than the peer has free slots before its next
/// heartbeat.
#[tokio::test(start_paused = true)]
async fn forwards_stay_within_the_last_known_load() {
    let (local, _remote) = two_hosts();
    local.peers.override_load("remote", 2);
    local.peers.script([PeerReaction::Silent; 5]);
    fill(&local).await;
    for index in 0..5 {
        let request = request(&format!("r{index}"), "a", false, 400);
        drop(start(&local.router, request).await);
    }
    sleep_millis(300).await;
    assert_eq!(local.peers.forwards(), 2);
}

/// Guards against a non-idempotent request being forwarded again after the
/// answer of the first forward was lost.
#[tokio::test(start_paused = true)]
async fn forward_without_an_answer_counts_as_sent() {
    for reaction in [PeerReaction::AnswerLost, PeerReaction::Silent] {
        let (local, _remote) = two_hosts();
        fill(&local).await;
        local.peers.script([reaction]);
        let result = local.route(request("r1", "a", false, 1000)).await;
        assert_eq!(result, Err(RouteError::OutcomeUnknown));
        sleep_millis(3000).await;
        assert!(local.network.runs_of("r1") <= 1);
        assert_eq!(local.peers.forwards(), 1);
    }
}

/// Guards against a request failing because a peer is unreachable, although it
/// can still wait for a local slot.
#[tokio::test(start_paused = true)]
async fn unreachable_peer_leaves_the_request_in_the_queue() {
    let (local, _remote) = two_hosts();
    fill(&local).await;
    local.peers.script([PeerReaction::Unreachable]);
    let answer = local.route(request("r1", "a", false, 1000)).await;
    assert_eq!(answer.expect("request must be answered").body, "r1");
    assert_eq!(local.network.runs_of("r1"), 1);
}

/// Guards against an idempotent request failing after one lost answer.
#[tokio::test(start_paused = true)]
async fn idempotent_request_survives_a_lost_forward() {
    let (local, _remote) = two_hosts();
    fill(&local).await;
    local.peers.script([PeerReaction::AnswerLost]);
    let answer = local.route(request("r1", "a", true, 2000)).await;
    assert_eq!(answer.expect("request must be answered").attempts, 2);
}
