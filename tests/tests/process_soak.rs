//! Short soaks of `edge` hosts as separate processes, each with a fixed seed.
//!
//! A long soak is run by hand: `target/release/pimentochute-soak --count 50`.

use std::path::Path;

use pimentochute_base::MilliSpan;
use pimentochute_soak::{SoakOptions, SoakReport, run};
use test_case::test_case;

/// How long callers hand in jobs.
const TRAFFIC: MilliSpan = MilliSpan::new(10_000);

/// Runs the program of the debug profile. The files of a run that broke a promise are
/// kept in the target folder.
async fn soak(seed: u64, traffic: MilliSpan) -> SoakReport {
    let target = Path::new(env!("CARGO_MANIFEST_DIR")).join("../target");
    let folder = target.join("tmp").join(format!("soak-{seed}"));
    drop(std::fs::remove_dir_all(&folder));
    std::fs::create_dir_all(&folder).expect("the folder of the run");
    let program = target.join("debug/pimentochute");
    let options = SoakOptions::new(seed, program, folder.clone()).with_traffic(traffic);
    let report = run(&options).await.expect("the hosts become ready");
    if report.breaches.is_empty() {
        drop(std::fs::remove_dir_all(&folder));
    } else {
        println!("seed {seed}, files: {}", folder.display());
    }
    report
}

/// Guards against broken promises under each mix of disruptions.
#[test_case(1 ; "workers")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_keep_their_promises(seed: u64) {
    let report = soak(seed, TRAFFIC).await;
    let breaches: Vec<_> = report.breaches.iter().map(ToString::to_string).collect();
    assert_eq!(
        breaches,
        Vec::<String>::new(),
        "seed {seed}: {}",
        report.summary
    );
}
