//! The grammar of `trace`.

// The macro generates the parser, which does not follow these lints.
#![allow(clippy::all, clippy::pedantic)]

use std::path::PathBuf;

xflags::xflags! {
    /// Shows every logged decision about a job, a task or a worker, of all
    /// hosts, in the order of time. The last line gives the reason for the
    /// current state of the job, task or worker.
    cmd trace {
        /// The identifier.
        required id: String
        /// Files of log lines in JSON; by default the standard input.
        repeated file: PathBuf
        /// Prints the lines as JSON.
        optional --json
    }
}
