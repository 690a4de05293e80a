//! Tests of forwards to other hosts of the data centre.

mod route_support;

use pimentochute_route::{HostPosition, RequestOrigin, RouteError, RouterSettings};
use route_support::{
    Bench, FakeSite, Fault, PeerFault, endpoints, paused_clock, request, start, wait,
};

/// Two hosts with one slot each of one endpoint.
fn two_hosts() -> (Bench, Bench) {
    let (site, clock) = (FakeSite::default(), paused_clock());
    let create = |index| {
        let settings = RouterSettings::default().with_seed(u64::from(index));
        Bench::at(
            settings,
            HostPosition::new(index, 2),
            &site,
            &clock,
            endpoints(1, 2),
        )
    };
    let (near, far) = (create(0), create(1));
    near.peers.add("far", &far.router);
    far.peers.add("near", &near.router);
    // Requests of peers need no permit.
    far.router.set_teams(Vec::new());
    (near, far)
}

/// Fills the slot of a host for 500 ms.
async fn fill(bench: &Bench) {
    bench.site.at(0, |e| e.script.push_back(Fault::Answer(500)));
    drop(start(&bench.router, request("fill", "a", false, 1000)).await);
    wait(5).await;
}

/// Guards against a request waiting while a peer has a free slot, and against
/// forwards while the host itself has one.
#[tokio::test(start_paused = true)]
async fn request_is_forwarded_only_without_a_free_slot() {
    let (near, _far) = two_hosts();
    near.route(request("r0", "a", false, 1000))
        .await
        .expect("answered");
    assert_eq!(near.peers.forwards(), 0);
    fill(&near).await;
    let before = near.clock.now();
    let answer = near.route(request("r1", "a", false, 1000)).await;
    assert_eq!(answer.expect("answered").attempts, 1);
    assert!(near.clock.now().since(before).as_millis() < 50);
    assert_eq!(near.peers.forwards(), 1);
}

/// Guards against a waiting request not noticing that a peer's slot became
/// free.
#[tokio::test(start_paused = true)]
async fn waiting_request_is_forwarded_later() {
    let (near, far) = two_hosts();
    near.site.at(0, |e| e.script.push_back(Fault::Answer(900)));
    drop(start(&near.router, request("fill", "a", false, 1000)).await);
    far.router.set_teams(vec![route_support::quota("a", 1, 1)]);
    wait(5).await;
    near.site.at(0, |e| e.script.push_back(Fault::Answer(200)));
    drop(start(&far.router, request("other", "a", false, 1000)).await);
    wait(5).await;
    let before = near.clock.now();
    near.route(request("r1", "a", false, 1000))
        .await
        .expect("answered");
    assert!(near.clock.now().since(before).as_millis() < 300);
    assert_eq!(near.peers.forwards(), 1);
}

/// Guards against requests going around between hosts.
#[tokio::test(start_paused = true)]
async fn forwarded_request_is_not_forwarded_again() {
    let (near, _far) = two_hosts();
    fill(&near).await;
    let mut forwarded = request("r1", "a", false, 1000);
    forwarded.origin = RequestOrigin::Peer;
    let answer = near.route(forwarded).await;
    assert_eq!(answer.expect("answered").body, "r1");
    assert_eq!(near.peers.forwards(), 0);
    assert!(near.clock.now().as_millis() >= 500);
}

/// Guards against a request that a peer refused being forwarded again.
#[tokio::test(start_paused = true)]
async fn request_is_forwarded_at_most_once() {
    let (near, far) = two_hosts();
    near.peers.add("third", &far.router);
    fill(&near).await;
    near.peers.script([PeerFault::Drain]);
    let answer = near.route(request("r1", "a", false, 1000)).await;
    assert_eq!(answer.expect("answered").body, "r1");
    assert_eq!(near.peers.forwards(), 1);
    assert!(near.clock.now().as_millis() >= 500);
}

/// Guards against more forwards than the peer's slots before its next
/// heartbeat.
#[tokio::test(start_paused = true)]
async fn forwards_stay_within_the_last_known_load() {
    let (near, _far) = two_hosts();
    near.peers.fix_load("far", 2);
    near.peers.script([PeerFault::Silent; 5]);
    fill(&near).await;
    for index in 0..5 {
        let request = request(&format!("r{index}"), "a", false, 400);
        drop(start(&near.router, request).await);
    }
    wait(300).await;
    assert_eq!(near.peers.forwards(), 2);
}

/// Guards against a forward whose answer was lost being repeated.
#[tokio::test(start_paused = true)]
async fn forward_without_an_answer_counts_as_sent() {
    for fault in [PeerFault::AnswerLost, PeerFault::Silent] {
        let (near, _far) = two_hosts();
        fill(&near).await;
        near.peers.script([fault]);
        let result = near.route(request("r1", "a", false, 1000)).await;
        assert_eq!(result, Err(RouteError::OutcomeUnknown));
        wait(3000).await;
        assert!(near.site.runs_of("r1") <= 1);
        assert_eq!(near.peers.forwards(), 1);
    }
}

/// Guards against an unreachable peer failing a request that can still wait.
#[tokio::test(start_paused = true)]
async fn unreachable_peer_leaves_the_request_in_the_queue() {
    let (near, _far) = two_hosts();
    fill(&near).await;
    near.peers.script([PeerFault::Unreachable]);
    let answer = near.route(request("r1", "a", false, 1000)).await;
    assert_eq!(answer.expect("answered").body, "r1");
    assert_eq!(near.site.runs_of("r1"), 1);
}

/// Guards against an idempotent request failing with one lost answer.
#[tokio::test(start_paused = true)]
async fn idempotent_request_survives_a_lost_forward() {
    let (near, _far) = two_hosts();
    fill(&near).await;
    near.peers.script([PeerFault::AnswerLost]);
    let answer = near.route(request("r1", "a", true, 2000)).await;
    assert_eq!(answer.expect("answered").attempts, 2);
}
