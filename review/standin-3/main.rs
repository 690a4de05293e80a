//! Stand-ins and cases of the third review. Called as `standin-3 CASE FOLDER PROGRAM`; exits
//! with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cell;
mod cut;
mod host;
mod http;
mod json;
mod proxy;
mod record;
mod store;
mod worker;

mod foreign;
mod gang;
mod restarted;
mod silent;
mod unasked;

use std::process::ExitCode;
use std::time::Duration;

use cell::Verdict;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, folder, program] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE FOLDER PROGRAM");
        return ExitCode::from(2);
    };
    host::start_watchdog(Duration::from_secs(115));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "restarted" => restarted::run(folder, program, has_trouble),
        "gang" => gang::run(folder, program, has_trouble),
        "unasked" => unasked::run(folder, program, has_trouble),
        "silent" => silent::run(folder, program, has_trouble),
        "foreign" => foreign::run(folder, program, has_trouble),
        _ => Err(std::io::Error::other("there is no such case")),
    };
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::CouldNotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("{case}: {error}");
            ExitCode::from(2)
        }
    }
}
