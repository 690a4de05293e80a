//! Short soaks of `edge` hosts as separate processes, each with a fixed seed.
//!
//! A long soak is run by hand: `target/release/pimentochute-soak --count 50`.

use std::fs;
use std::path::Path;

use pimentochute_base::MilliSpan;
use pimentochute_soak::{PlanMix, SoakOptions, SoakReport, run};
use test_case::test_case;

/// How long callers hand in jobs.
const TRAFFIC: MilliSpan = MilliSpan::new(10_000);

/// Runs the program of the debug profile. The files of a run that broke a promise are
/// kept in the target folder.
async fn soak(mix: PlanMix, seed: u64) -> SoakReport {
    let target = Path::new(env!("CARGO_MANIFEST_DIR")).join("../target");
    let folder = target.join(format!("tmp/soak-{mix}-{seed}"));
    // The folder of an earlier run may be there.
    drop(fs::remove_dir_all(&folder));
    fs::create_dir_all(&folder).expect("the folder can be created");
    let program = target.join("debug/pimentochute");
    let options = SoakOptions::new(seed, program, folder.clone())
        .with_mix(mix)
        .with_traffic(TRAFFIC);
    let report = run(&options).await.expect("the hosts become ready");
    if report.breaches.is_empty() {
        fs::remove_dir_all(&folder).expect("the folder can be removed");
    } else {
        println!("seed {seed}, files: {}", folder.display());
    }
    report
}

/// Guards against broken promises under several kinds of disruptions.
#[test_case(PlanMix::Planned, 1000)]
#[test_case(PlanMix::Workers, 1001)]
#[test_case(PlanMix::All, 1002)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_keep_their_promises(mix: PlanMix, seed: u64) {
    let report = soak(mix, seed).await;
    let breaches: Vec<_> = report.breaches.iter().map(ToString::to_string).collect();
    assert!(breaches.is_empty(), "{}: {breaches:#?}", report.summary);
}
