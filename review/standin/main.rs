//! The stand-ins and the scripts of the review. Usage: `review-standin CASE FOLDER`; the
//! cases are `unread-report` (1), `narrow-link` (2), `late-answer` (3), `hopeless-gang`
//! (4) and `crashed-workers` (5). `large-job` and `drained-worker` are findings without a case.
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
//! run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod cell;
mod host;
mod http;
mod json;
mod proxy;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// A script ends after this time in any case.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// The outcome of a script.
pub enum Outcome {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standin CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        eprintln!("cannot write the record");
        exit(2);
    };
    let record = Arc::new(record);
    // The hosts end with this process.
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the script takes too long");
        exit(2);
    });
    record.line(&format!("case {case}, with the disruption: {has_trouble}"));
    let outcome = match case.as_str() {
        "large-job" => cases::large_job(&record, has_trouble),
        "unread-report" => cases::unread_report(&record, has_trouble),
        "narrow-link" => cases::narrow_link(&record, has_trouble),
        "late-answer" => cases::late_answer(&record, has_trouble),
        "drained-worker" => cases::drained_worker(&record, has_trouble),
        "hopeless-gang" => cases::hopeless_gang(&record, has_trouble),
        "crashed-workers" => cases::crashed_workers(&record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    let (text, code) = match outcome {
        Ok(Outcome::Held) => ("the rule held".to_owned(), 0),
        Ok(Outcome::Broken) => ("the rule is broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    exit(code);
}
