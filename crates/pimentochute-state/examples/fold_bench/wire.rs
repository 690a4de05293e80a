//! Benchmarks the size of each kind of record in the log.

use crate::BenchResult;
use crate::report::print;
use crate::workload::{allotment_set, ended, placed, stamped, started, submitted, worker_seen};

/// Bytes per record on which the budget of a data centre's stream is based.
const RECORD_BYTES: f64 = 150.0;

/// Prints the size of each kind of record with its tag and without the batch, as
/// JSON and as the body of a call to the log.
pub fn run() -> BenchResult<()> {
    eprintln!("wire: records");
    let records = [
        ("submit", submitted(4_711, 1, 200)?, None),
        ("place", placed(4_711, 1, 200, 17)?, Some(RECORD_BYTES)),
        ("start", started(4_711, 200)?, Some(RECORD_BYTES)),
        ("end", ended(4_711, 200)?, Some(RECORD_BYTES)),
        ("worker_seen", worker_seen(17)?, None),
        ("allotment_set", allotment_set(17)?, None),
    ];
    for (kind, record, target) in records {
        let text = serde_json::to_string(&stamped(record, 123_456)?)?;
        print(
            &format!("wire_bytes_{kind}"),
            text.len() as f64,
            "B",
            target,
        );
        let carried = carried_bytes(&text)?;
        print(&format!("log_bytes_{kind}"), carried, "B", target);
    }
    Ok(())
}

/// Returns the size of a payload in calls to the log, which carry it as an escaped
/// JSON string.
pub fn carried_bytes(payload: &str) -> BenchResult<f64> {
    Ok(serde_json::to_string(payload)?.len() as f64)
}
