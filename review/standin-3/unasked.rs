//! A host is cut off from the store and the other host, while callers reach it. Callers whose jobs
//! get no sure answer there cancel them through the other host. Jobs must not start after that.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::cell::{Verdict, config, route, tenant};
use crate::cut::start_path;
use crate::host::{Host, PeerPorts, free_port};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

const KEY: &str = "key-of-tenant-one-0001";
const WORKERS: usize = 12;
const JOBS: usize = 4;
const CUT: Duration = Duration::from_millis(5_500);
/// `cancel_ms` of the deployment.
const CANCEL: Duration = Duration::from_secs(3);
const WATCH: Duration = Duration::from_secs(9);
const JOB: &[u8] = b"{\"spec\":\"1000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":500,\"estimate-ms\":1000}]}";

pub fn run(folder: &str, program: &str, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::new(&format!("{folder}/record.txt"))?;
    let scratch = std::env::temp_dir();
    let store = Arc::new(Store::default());
    let server = store.serve(([127, 0, 0, 1], 0).into())?;
    store.put(
        "keyed.op",
        "config",
        &config(&tenant("one", KEY), &route("q", "/q/", false)),
    );
    let starts = Arc::default();
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let name = format!("i-{number:02}");
        let (store, starts) = (Arc::clone(&store), Arc::clone(&starts));
        workers.push(Worker::start(
            &name,
            "a",
            "r1-0",
            record.clone(),
            store,
            starts,
            false,
        )?);
    }
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let is_cut_between = Arc::new(AtomicBool::new(false));
    let mut hosts = Vec::new();
    let mut store_cuts = Vec::new();
    for number in 0..2 {
        let peers = PeerPorts {
            called: free_port()?,
            own: free_port()?,
        };
        let (store_port, is_store_cut) = (free_port()?, Arc::new(AtomicBool::new(false)));
        start_path(at(peers.called), at(peers.own), Arc::clone(&is_cut_between))?;
        start_path(at(store_port), server.address, Arc::clone(&is_store_cut))?;
        store_cuts.push(is_store_cut);
        hosts.push(Host::start(
            number,
            at(store_port),
            Some(peers),
            program,
            &scratch,
            record.clone(),
        )?);
    }
    if hosts
        .iter()
        .any(|host| !host.wait_ready(Duration::from_secs(20)))
    {
        return Ok(Verdict::CouldNotRun);
    }
    std::thread::sleep(Duration::from_secs(3));
    let claim = store.newest_text("keyed.cells", "cell-0");
    let owner = hosts
        .iter()
        .position(|host| claim.contains(&format!("{}@", host.name)));
    let Some(owner) = owner else {
        return Ok(Verdict::CouldNotRun);
    };
    let (near, far) = (&hosts[owner], &hosts[1 - owner]);
    record.note(&format!("{} owns the cell", near.name));
    // Ordinary traffic: jobs of other callers, handed in at the host that is cut off later.
    std::thread::scope(|callers| {
        for job in 0..JOBS {
            let record = &record;
            callers.spawn(move || call(record, far, "POST", &path_of(0x100 + job)));
        }
    });
    std::thread::sleep(Duration::from_secs(2));
    if has_trouble {
        is_cut_between.store(true, Ordering::SeqCst);
        store_cuts[1 - owner].store(true, Ordering::SeqCst);
        record.note(&format!(
            "{} is cut off from the store and the other host",
            far.name
        ));
    }
    let began = Instant::now();
    let cancelled = Mutex::new(Vec::new());
    std::thread::scope(|callers| {
        for job in 0..JOBS {
            let (record, cancelled) = (&record, &cancelled);
            callers.spawn(move || {
                let path = path_of(0x200 + job);
                call(record, far, "POST", &path);
                let status = call(record, near, "DELETE", &path);
                if status == 410 || (200..300).contains(&status) {
                    cancelled.lock().unwrap().push((path, Instant::now()));
                }
            });
        }
        callers.spawn(|| {
            std::thread::sleep(CUT);
            is_cut_between.store(false, Ordering::SeqCst);
            store_cuts[1 - owner].store(false, Ordering::SeqCst);
            record.note("the cut is over");
        });
    });
    std::thread::sleep(WATCH.saturating_sub(began.elapsed()));
    for worker in &workers {
        worker.stop();
    }
    let cancelled = cancelled.lock().unwrap();
    if cancelled.len() < JOBS {
        return Ok(Verdict::CouldNotRun);
    }
    let starts: std::sync::MutexGuard<'_, Vec<crate::worker::Start>> = starts.lock().unwrap();
    let late = cancelled.iter().filter_map(|(path, at)| {
        let job = path.trim_start_matches("/q/");
        let start = starts.iter().find(|start| start.task.starts_with(job))?;
        let wait = start.at.saturating_duration_since(*at);
        (wait > CANCEL).then_some(wait)
    });
    let late: Vec<_> = late.collect();
    record.note(&format!(
        "of {JOBS} jobs whose cancelling was acknowledged, {} started over 3 s later: {late:?}",
        late.len()
    ));
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

fn path_of(job: usize) -> String {
    format!("/q/{job:016x}")
}

fn call(record: &Record, host: &Host, method: &str, path: &str) -> u16 {
    let body = if method == "POST" { JOB } else { b"" };
    let status = host
        .call(method, path, KEY, body)
        .map_or(0, |answer| answer.status);
    record.note(&format!("{method} {path} at {}: {status}", host.name));
    status
}
