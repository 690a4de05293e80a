//! The open connections of the hosts to the executors go silent, while new ones work. Afterwards
//! no job may wait for long while nearly all of the room is free.

use std::io;
use std::time::{Duration, Instant};

use crate::cell::{Cell, Verdict, route, tenant};

const KEY: &str = "key-of-tenant-one-0001";
/// After a disruption a span counts as calm.
const CALM: Duration = Duration::from_secs(4);
/// For so long a job may have nothing running.
const WAIT: Duration = Duration::from_secs(3);
const WATCH: Duration = Duration::from_secs(14);

pub fn run(folder: &str, program: &str, has_trouble: bool) -> io::Result<Verdict> {
    let routes = route("q", "/q/", false);
    let cell = Cell::start(
        folder,
        program,
        &["a"; 12],
        &tenant("one", KEY),
        &routes,
        true,
    )?;
    let small = "{\"spec\":\"200\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem-mb\":500,\"estimate-ms\":200}]}";
    let wide = "{\"spec\":\"25000\",\"steps\":[{\"count\":120,\"cpu\":600,\"mem-mb\":1000,\
                \"estimate-ms\":25000,\"anti-affinity\":10}]}";
    if cell.submit(0, KEY, "/q/00000000000000f1", small) != 200
        || cell.wait_for(
            KEY,
            "/q/00000000000000f1",
            &["completed"],
            Duration::from_secs(5),
        ) != "completed"
        || cell.submit(1, KEY, "/q/00000000000000f2", wide) != 200
    {
        return Ok(Verdict::CouldNotRun);
    }
    std::thread::sleep(Duration::from_secs(1));
    let silenced = Instant::now();
    if has_trouble {
        for worker in &cell.workers {
            if let Some(proxy) = &worker.proxy {
                proxy.silence();
            }
        }
        cell.record
            .note("all open connections to executors go silent");
    }
    let mut accepted = Vec::new();
    let mut number = 0;
    while silenced.elapsed() < WATCH {
        number += 1;
        let path = format!("/q/{number:016x}");
        if cell.submit(number, KEY, &path, small) == 200 {
            accepted.push((format!("{number:016x}.0.0.0"), Instant::now()));
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    std::thread::sleep(Duration::from_secs(1));
    let starts = cell.starts.lock().unwrap();
    let mut longest = Duration::ZERO;
    let mut late = 0;
    for (task, at) in &accepted {
        let start = starts.iter().find(|start| start.task == *task);
        let end = start.map_or_else(Instant::now, |start| start.at);
        let waited = end.saturating_duration_since((*at).max(silenced + CALM));
        longest = longest.max(waited);
        late += usize::from(waited > WAIT);
    }
    cell.record.note(&format!(
        "{} jobs accepted after the disruption, {late} of them had nothing running for over 3 s in the calm \
         that began 4 s after it; the longest wait in the calm: {longest:?}",
        accepted.len()
    ));
    Ok(if late == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
