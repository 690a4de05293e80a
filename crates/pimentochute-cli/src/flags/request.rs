//! The grammar of `request`.

// The macro generates the parser, which does not follow these lints.
#![allow(clippy::all, clippy::pedantic)]

use std::path::PathBuf;

use pimentochute_base::{QueueName, TeamName};

xflags::xflags! {
    /// Requests to a service.
    cmd request {
        /// The address of an entry host, HOST:PORT.
        optional --server addr: String
        /// The file that holds the key; else PIMENTOCHUTE_KEY is read.
        optional --key-file file: PathBuf
        /// Prints data as JSON.
        optional --json
        /// Sends a request and prints the answer.
        cmd send {
            /// The queue.
            required --queue name: QueueName
            /// The team; else the team of the key.
            optional --team name: TeamName
            /// The request may run more than once.
            optional --idempotent
            /// The time for the answer, in milliseconds.
            optional --deadline-ms millis: u64
            /// The identifier that the answer repeats.
            optional --id text: String
            /// The content; - reads the standard input; else it is empty.
            optional --body-file file: PathBuf
        }
    }
}
