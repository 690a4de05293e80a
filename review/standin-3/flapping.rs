//! One executor goes down and up by turns. No run ends as failed, so no job may be shown as
//! failed.

use std::io;
use std::time::Duration;

use crate::cell::{Cell, Verdict, route, tenant};

const KEY: &str = "key-of-tenant-one-0001";
const ROUNDS: usize = 3;
const CYCLES: usize = 5;
/// Half of the period in which the executor goes down and up.
const HALF_PERIOD: Duration = Duration::from_millis(700);
const JOBS: usize = 12;
const JOB_INTERVAL: Duration = Duration::from_millis(500);
const JOB_TIMEOUT: Duration = Duration::from_secs(25);

pub fn run(folder: &str, program: &str, has_trouble: bool) -> io::Result<Verdict> {
    let routes = route("q", "/q/", false);
    let cell = Cell::start(
        folder,
        program,
        &["a"; 12],
        &tenant("one", KEY),
        &routes,
        false,
    )?;
    let body = "{\"spec\":\"5000\",\"steps\":[{\"count\":1,\"cpu\":3000,\"mem-mb\":500,\"estimate-ms\":5000}]}";
    let mut failed = Vec::new();
    for round in 0..ROUNDS {
        let first = round * JOBS;
        if cell.submit(first, KEY, &format!("/q/{first:016x}"), body) != 200 {
            return Ok(Verdict::CouldNotRun);
        }
        std::thread::sleep(JOB_INTERVAL);
        let start = cell.starts.lock().unwrap().last().cloned();
        let Some(start) = start else {
            return Ok(Verdict::CouldNotRun);
        };
        let worker = &cell.workers[cell.worker_of(&start)];
        std::thread::scope(|scope| -> io::Result<()> {
            let flapping = scope.spawn(|| -> io::Result<()> {
                let cycles = if has_trouble { CYCLES } else { 0 };
                for _ in 0..cycles {
                    worker.crash();
                    std::thread::sleep(HALF_PERIOD);
                    worker.restart("a")?;
                    worker.list();
                    std::thread::sleep(HALF_PERIOD);
                }
                Ok(())
            });
            for job in first + 1..first + JOBS {
                cell.submit(job, KEY, &format!("/q/{job:016x}"), body);
                std::thread::sleep(JOB_INTERVAL);
            }
            flapping.join().unwrap_or(Ok(()))
        })?;
        for job in first..first + JOBS {
            let path = format!("/q/{job:016x}");
            let state = cell.wait_for(KEY, &path, &["completed", "failed"], JOB_TIMEOUT);
            match state.as_str() {
                "completed" => {}
                "failed" => failed.push(path),
                _ => return Ok(Verdict::CouldNotRun),
            }
        }
    }
    cell.record.note(&format!(
        "of {} jobs, {} are shown as failed although no run ended as failed: {failed:?}",
        ROUNDS * JOBS,
        failed.len()
    ));
    Ok(if failed.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
