//! Errors of the commands and the exit codes that go with them.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use derive_more::{Display, Error};
use pimentochute_base::PatchId;
use pimentochute_server::settings::{SettingsError, SettingsFault};
use pimentochute_server::{DaemonError, LoggingError, Refusal, RefusalCode};

/// The exit codes; docs/operators.md lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command did what it was asked.
    Success = 0,
    /// The command failed for a reason that no other code names.
    Failure = 1,
    /// The command line, the settings or a file are wrong; nothing was sent.
    Usage = 2,
    /// The host refused, or was not reached; nothing ran.
    NotRun = 3,
    /// The work may have run, or the change may have taken effect.
    OutcomeUnknown = 4,
    /// The patch was rejected; the configuration is unchanged.
    Rejected = 5,
    /// The daemon's stop was cut short with calls in flight.
    CallsCutOff = 6,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// The reason why a command failed. Each message is one line with a hint.
#[derive(Debug, Display, Error)]
pub enum CliError {
    /// The command line is wrong.
    #[display("{detail}; hint: {hint}")]
    Usage {
        /// What is wrong.
        #[error(not(source))]
        detail: String,
        /// What to do.
        hint: &'static str,
    },
    /// A file cannot be read.
    #[display("{} cannot be read: {source}; hint: check the path and the permissions", path.display())]
    UnreadableFile {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A file does not hold what it should.
    #[display("{} is wrong: {detail}; hint: compare it with the files under examples/", path.display())]
    InvalidFile {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        #[error(not(source))]
        detail: String,
    },
    /// The settings are wrong.
    #[display("{}: {}", path.display(), settings_message(source))]
    Settings {
        /// The file.
        path: PathBuf,
        /// The faults.
        source: SettingsError,
    },
    /// The settings of `edge` are wrong.
    #[display("{}: {source}; hint: compare it with deploy/settings.json.tmpl", path.display())]
    EdgeSettings {
        /// The file.
        path: PathBuf,
        /// The fault.
        source: pimentochute_edge::SettingsError,
    },
    /// The daemon of `edge` cannot start or go on.
    #[display("{source}; hint: see the last lines of the log")]
    Edge {
        /// The reason.
        source: pimentochute_edge::EdgeError,
    },
    /// The host cannot be reached; nothing was sent.
    #[display(
        "{server} cannot be reached, nothing was sent: {detail}; hint: check --server, or try another host"
    )]
    Unreachable {
        /// The address.
        #[error(not(source))]
        server: String,
        /// What the transport reported.
        detail: String,
    },
    /// The host gave no whole answer.
    #[display("{server} gave no whole answer: {detail}; hint: {}", incomplete_response_hint(*mutating))]
    IncompleteResponse {
        /// The address.
        #[error(not(source))]
        server: String,
        /// What the transport reported.
        detail: String,
        /// Whether the call may have changed something.
        mutating: bool,
    },
    /// The host refused.
    #[display("{} ({}): {}; hint: {}", source.code, run_state(source), source.error, source.hint)]
    Refused {
        /// The refusal.
        source: Refusal,
    },
    /// The patch was rejected.
    #[display("{}; hint: {}", source.error, source.hint)]
    Rejected {
        /// The reason and the version in force.
        source: Refusal,
    },
    /// The outcome of a patch is not known.
    #[display(
        "the outcome of patch {id} is not known; hint: look for the id in `config history`, it may still take effect"
    )]
    PatchOutcomeUnknown {
        /// The patch.
        #[error(not(source))]
        id: PatchId,
    },
    /// The endpoint answered with an error.
    #[display("the endpoint answered with status {status}; hint: see its answer")]
    EndpointStatus {
        /// The HTTP status.
        #[error(not(source))]
        status: u16,
    },
    /// The daemon ended with an error.
    #[display("{source}; hint: see the log lines above")]
    Daemon {
        /// The reason.
        source: DaemonError,
    },
    /// The daemon cannot log.
    #[display("{source}; hint: start the daemon once per process")]
    Logging {
        /// The reason.
        source: LoggingError,
    },
    /// The system gave something up: threads, random bytes, output.
    #[display("{what} failed: {detail}; hint: check the limits of the system")]
    System {
        /// What failed.
        #[error(not(source))]
        what: &'static str,
        /// What the system reported.
        detail: String,
    },
}

impl CliError {
    /// Creates a fault of the command line.
    pub fn usage(detail: impl Into<String>, hint: &'static str) -> Self {
        let detail = detail.into();
        Self::Usage { detail, hint }
    }

    /// Returns the exit code that goes with the error.
    pub const fn exit_code(&self) -> ExitStatus {
        match self {
            Self::Usage { .. }
            | Self::UnreadableFile { .. }
            | Self::InvalidFile { .. }
            | Self::Settings { .. }
            | Self::EdgeSettings { .. } => ExitStatus::Usage,
            Self::Unreachable { .. } => ExitStatus::NotRun,
            Self::Refused { source } if source.not_run => ExitStatus::NotRun,
            Self::Refused { source } => match source.code {
                RefusalCode::OutcomeUnknown => ExitStatus::OutcomeUnknown,
                _ => ExitStatus::Failure,
            },
            Self::IncompleteResponse { mutating: true, .. } | Self::PatchOutcomeUnknown { .. } => {
                ExitStatus::OutcomeUnknown
            }
            Self::Rejected { .. } => ExitStatus::Rejected,
            Self::IncompleteResponse { .. }
            | Self::EndpointStatus { .. }
            | Self::Daemon { .. }
            | Self::Edge { .. }
            | Self::Logging { .. }
            | Self::System { .. } => ExitStatus::Failure,
        }
    }

    /// Returns the faults of settings, which are printed one per line.
    pub fn settings_faults(&self) -> &[SettingsFault] {
        match self {
            Self::Settings {
                source: SettingsError::Faults { faults },
                ..
            } => faults,
            _ => &[],
        }
    }
}

fn settings_message(error: &SettingsError) -> String {
    match error {
        SettingsError::Faults { faults } => {
            let count = faults.len();
            let noun = if count == 1 { "fault" } else { "faults" };
            format!("{count} {noun}; hint: docs/operators.md lists all settings")
        }
        other => other.to_string(),
    }
}

const fn incomplete_response_hint(mutating: bool) -> &'static str {
    if mutating {
        "it may have taken effect; find out before repeating it, or repeat it with the same key"
    } else {
        "try again, or try another host"
    }
}

const fn run_state(refusal: &Refusal) -> &'static str {
    if refusal.not_run {
        "not run"
    } else {
        "may have run"
    }
}
