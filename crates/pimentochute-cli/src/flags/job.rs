//! The grammar of `job`.

// The macro generates the parser, which does not follow these lints.
#![allow(clippy::all, clippy::pedantic)]

use std::path::PathBuf;

use pimentochute_base::{IdempotencyKey, JobId, QueueName, TeamName};

xflags::xflags! {
    /// Jobs.
    cmd job {
        /// The address of an entry host, HOST:PORT.
        optional --server addr: String
        /// The file that holds the key; else PIMENTOCHUTE_KEY is read.
        optional --key-file file: PathBuf
        /// Prints data as JSON.
        optional --json
        /// Submits a job; the same idempotency key names the same job.
        cmd submit {
            /// The queue.
            required --queue name: QueueName
            /// The key that makes a repetition harmless.
            required --idempotency-key key: IdempotencyKey
            /// What each task does; the worker interprets it.
            required --command text: String
            /// Processor time of a task, in thousandths of a core.
            required --cpu-millis number: u64
            /// Memory of a task, in MiB.
            required --memory-mib number: u64
            /// Accelerators of a task; else none.
            optional --accelerators number: u64
            /// The number of tasks; else 1.
            optional --tasks number: u32
            /// The team; else the team of the key.
            optional --team name: TeamName
            /// How long a task is expected to run, in milliseconds.
            optional --expected-run-ms millis: u64
            /// When the job has to be done, in milliseconds since the epoch.
            optional --finish-by-ms millis: u64
        }
        /// Shows a job.
        cmd status {
            /// The job.
            required id: JobId
        }
        /// Lists the jobs of the team.
        cmd list {
            /// The team; for operators, who else see all jobs.
            optional --team name: TeamName
        }
        /// Cancels a job.
        cmd cancel {
            /// The job.
            required id: JobId
        }
    }
}
