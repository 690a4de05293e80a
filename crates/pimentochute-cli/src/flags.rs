//! The flags of the commands.
//!
//! Each group of commands has its own grammar: the parser names the types that
//! it generates after commands, and `list` occurs in several groups.

pub mod config;
pub mod job;
pub mod key;
pub mod queue;
pub mod request;
pub mod run;
pub mod show;
pub mod team;
pub mod trace;

use std::path::PathBuf;

/// The flags of all commands that call a host.
pub struct CommonFlags {
    /// The address of an entry host, `HOST:PORT`; required to create a client.
    pub server: Option<String>,
    /// The file that holds the API key, in place of the environment variable.
    pub key_file: Option<PathBuf>,
    /// Whether data is printed as JSON instead of text.
    pub json: bool,
}

/// Takes the common flags out of the parsed flags of a command group.
macro_rules! common_flags {
    ($flags:expr) => {
        $crate::flags::CommonFlags {
            server: $flags.server.take(),
            key_file: $flags.key_file.take(),
            json: $flags.json,
        }
    };
}

pub(crate) use common_flags;

/// The text of `pimentochute --help`.
pub const OVERVIEW: &str = "\
pimentochute: a cluster scheduler for requests, services, batch jobs and gangs

USAGE: pimentochute <command> [...]; see pimentochute <command> --help

DAEMON:
    edge [--settings FILE]   runs the daemon of an entry host on the users' platform
    serve --settings FILE    runs the daemon of an entry host
    check --settings FILE    finds every fault of a settings file

OPERATORS:
    config show|history|patch        the configuration and its patches
    team list|set|remove             teams, their shares and limits
    key grant|withdraw               keys of teams
    queue list|set|remove            queues
    status, workers, endpoints       the state of a host
    trace ID [FILE...]               the logged decisions about a job

CALLERS:
    request send                     sends a request to a service
    job submit|status|list|cancel    jobs

COMMON OPTIONS:
    --server HOST:PORT    an entry host
    --key-file FILE       the file that holds the key; or set PIMENTOCHUTE_KEY
    --json                prints data as JSON

EXIT CODES:
    0 success, 1 failure, 2 wrong usage or settings, 3 refused and not run,
    4 outcome unknown, 5 patch rejected, 6 daemon stopped with calls cut
";
