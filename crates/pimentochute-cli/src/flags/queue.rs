//! The grammar of `queue`.

// The macro generates the parser, which does not follow these lints.
#![allow(clippy::all, clippy::pedantic)]

use std::path::PathBuf;

use pimentochute_base::{PriorityClass, QueueName, ServiceName, WorkKind};

xflags::xflags! {
    /// Queues.
    cmd queue {
        /// The address of an entry host, HOST:PORT.
        optional --server addr: String
        /// The file that holds the key; else PIMENTOCHUTE_KEY is read.
        optional --key-file file: PathBuf
        /// Prints data as JSON.
        optional --json
        /// Who makes the change; else USER is read.
        optional --author name: String
        /// Lists the queues.
        cmd list {}
        /// Adds a queue or changes the given values of a queue.
        cmd set {
            /// The queue.
            required queue: QueueName
            /// request, service, batch or gang.
            optional --kind kind: WorkKind
            /// true if work is accepted without a key.
            optional --open flag: bool
            /// The teams, separated by commas; the first one gets open work.
            optional --teams names: String
            /// urgent, normal or bulk.
            optional --priority class: PriorityClass
            /// The service that answers; for requests only.
            optional --service name: ServiceName
        }
        /// Removes a queue.
        cmd remove {
            /// The queue.
            required queue: QueueName
        }
    }
}
