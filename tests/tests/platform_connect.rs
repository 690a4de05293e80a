//! Tests of connection timeouts, and of the addresses that a fleet registers.

use std::net::SocketAddr;

use bytes::Bytes;
use pimentochute_base::{
    EpochNumber, MilliClock, MilliSpan, MilliTime, RackName, ResourceAmount, StreamName,
};
use pimentochute_platform::{
    AppendError, Authority, EndpointDialer, EndpointRequest, HostDirectory, HostEntry, HostRole,
    HttpDirectory, HttpEndpointDialer, HttpLog, HttpWorkerControl, LogService, WorkerControl,
    WorkerError, WorkerTarget,
};
use pimentochute_standins::{
    FleetPlan, FleetShape, PlatformStandin, RegistrationTarget, RetentionLimit, RunningHost,
    serve_local,
};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// The timeout of calls that are expected to time out.
const SHORT: MilliSpan = MilliSpan::new(200);

/// The upper bound for a call with the timeout [`SHORT`], also under load.
const BOUND: MilliSpan = MilliSpan::new(5_000);

/// A listener with a full backlog. Further connections are neither accepted nor
/// refused, as with a host that has lost its network.
struct FullListener {
    address: SocketAddr,
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl FullListener {
    async fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .expect("an idle port");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let mut queued = Vec::new();
        while let Ok(connected) =
            tokio::time::timeout(SHORT.as_duration(), TcpStream::connect(address)).await
        {
            queued.push(connected.expect("a queued connection"));
        }
        Self {
            address,
            _listener: listener,
            _queued: queued,
        }
    }
}

fn authority(address: SocketAddr) -> Authority {
    address.to_string().parse().expect("an authority")
}

/// Guards against connecting without a timeout, and against "outcome unknown" for a
/// call of which no byte was sent.
#[tokio::test]
async fn connect_timeout_is_bounded_and_reported_as_no_effect() {
    let listener = FullListener::new().await;
    let clock = MilliClock::system();
    let log = HttpLog::new(authority(listener.address)).with_timeout(SHORT);
    let stream = StreamName::new("config").expect("valid name");
    let append = log.append(&stream, Bytes::from("{}")).await;
    assert!(
        matches!(append, Err(AppendError::NotAppended { .. })),
        "{append:?}"
    );
    let control = HttpWorkerControl::new().with_timeout(SHORT);
    let target = WorkerTarget {
        name: "w1".parse().expect("valid name"),
        address: listener.address,
    };
    let release = control.release(&target, EpochNumber::new(1)).await;
    assert!(
        matches!(release, Err(WorkerError::NoEffect { .. })),
        "{release:?}"
    );
    let dialer = HttpEndpointDialer::new();
    assert!(dialer.connect(listener.address, SHORT).await.is_err());
    assert!(clock.now().since(MilliTime::ZERO) < BOUND);
}

fn shape() -> FleetShape {
    FleetShape {
        prefix: "north-".to_owned(),
        workers: 3,
        per_rack: 2,
        capacity: ResourceAmount::new(16_000, 65_536),
        endpoints: 1,
        service: "render".parse().expect("valid name"),
        slots: 8,
        connections: 64,
    }
}

async fn listed(directory: &HttpDirectory, count: usize) -> Vec<HostEntry> {
    let wait = async {
        loop {
            let hosts = directory.hosts().await.expect("platform is up");
            if hosts.len() == count {
                return hosts;
            }
            tokio::time::sleep(MilliSpan::new(5).as_duration()).await;
        }
    };
    let wait = tokio::time::timeout(BOUND.as_duration(), wait).await;
    wait.expect("the hosts register")
}

/// Guards against listed addresses or sizes that differ from those of the hosts.
#[tokio::test]
async fn hosts_of_a_fleet_are_listed_with_their_addresses() {
    let clock = MilliClock::manual(MilliTime::ZERO);
    let platform = PlatformStandin::new(clock.clone(), RetentionLimit::default());
    let server = serve_local(&platform).await.expect("an idle port");
    let target = RegistrationTarget {
        platform: authority(server.address()),
        data_centre: "north".parse().expect("valid name"),
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let plan = FleetPlan::new(&shape()).expect("valid names");
    let mut hosts = Vec::new();
    for worker in plan.workers {
        let host = RunningHost::start_worker(worker, listen, &target, clock.clone());
        hosts.push(host.await.expect("an idle port"));
    }
    for endpoint in plan.endpoints {
        let host = RunningHost::start_endpoint(endpoint, listen, &target, clock.clone());
        hosts.push(host.await.expect("an idle port"));
    }
    let directory = HttpDirectory::new(target.platform.clone());
    let entries = listed(&directory, 4).await;
    assert!(hosts.iter().all(|host| entries.contains(&host.entry)));
    let racks = entries.iter().filter_map(|entry| entry.rack.as_ref());
    let racks: Vec<_> = racks.map(RackName::as_str).collect();
    assert_eq!(racks, ["north-r1", "north-r1", "north-r2"]);
    let endpoint = entries
        .iter()
        .find(|entry| entry.role == HostRole::Endpoint);
    let endpoint = endpoint.expect("an endpoint");
    assert_eq!((endpoint.slots, endpoint.connections), (8, 64));
    let dialer = HttpEndpointDialer::new();
    let mut connection = dialer
        .connect(endpoint.address, BOUND)
        .await
        .expect("accepts");
    let request = EndpointRequest {
        id: "q1".to_owned(),
        idempotent: false,
        deadline: BOUND,
        body: Bytes::from("x"),
    };
    let answer = connection.send(request, BOUND).await.expect("answers");
    assert_eq!(answer.status, 200);
}
