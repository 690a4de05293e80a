//! An idle executor crashes and starts again under its identifier, as another kind. Tasks that
//! need its former kind must not begin there.

use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

use crate::cell::{Cell, Verdict, route, tenant};

const ROUNDS: usize = 6;
const KEY: &str = "key-of-tenant-one-0001";
const DOWN: Duration = Duration::from_secs(2);
/// From the start of a life to its first entry, a fraction of the interval of heartbeats.
const ENTRY_DELAY: Duration = Duration::from_millis(400);
const CALM: Duration = Duration::from_millis(2_500);

pub fn run(folder: &str, program: &str, has_trouble: bool) -> io::Result<Verdict> {
    let kinds: Vec<_> = (0..12)
        .map(|number| if number % 2 == 0 { "a" } else { "b" })
        .collect();
    let cell = Cell::start(
        folder,
        program,
        &kinds,
        &tenant("one", KEY),
        &route("q", "/q/", false),
        false,
    )?;
    let mut number = 0u64;
    let mut submit = || {
        number += 1;
        let body = "{\"spec\":\"200\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":500,\
                    \"estimate-ms\":200,\"requirements\":\"a\"}]}";
        (
            format!("/q/{number:016x}"),
            cell.submit(number as usize, KEY, &format!("/q/{number:016x}"), body),
        )
    };
    for round in 0..ROUNDS {
        let (path, status) = submit();
        if status != 200
            || cell.wait_for(KEY, &path, &["completed"], Duration::from_secs(5)) != "completed"
        {
            return Ok(Verdict::CouldNotRun);
        }
        let last = cell.starts.lock().unwrap().last().cloned();
        let Some(last) = last else {
            return Ok(Verdict::CouldNotRun);
        };
        std::thread::sleep(CALM);
        let worker = &cell.workers[cell.worker_of(&last)];
        if has_trouble {
            worker.crash();
            std::thread::sleep(DOWN);
            worker.restart("b")?;
            std::thread::scope(|scope| {
                scope.spawn(|| {
                    std::thread::sleep(ENTRY_DELAY);
                    worker.list();
                });
                for _ in 0..8 {
                    submit();
                    std::thread::sleep(Duration::from_millis(120));
                }
            });
        } else {
            for _ in 0..8 {
                submit();
                std::thread::sleep(Duration::from_millis(120));
            }
        }
        cell.record.note(&format!("round {round} is over"));
    }
    std::thread::sleep(Duration::from_secs(1));
    let starts = cell.starts.lock().unwrap();
    let wrong: BTreeSet<_> = starts
        .iter()
        .filter(|start| start.kind != "a")
        .map(|start| &start.task)
        .collect();
    cell.record.note(&format!(
        "{} starts of tasks that need kind a, {} tasks of them on executors of kind b: {wrong:?}",
        starts.len(),
        wrong.len()
    ));
    Ok(if wrong.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
