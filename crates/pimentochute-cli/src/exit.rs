//! Errors of the commands and their exit codes.

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
    /// The command succeeded.
    Success = 0,
    /// The command failed for a reason that no other code covers.
    Failure = 1,
    /// The command line, the settings or a file is invalid; nothing was sent.
    Usage = 2,
    /// The host refused the call or could not be reached; nothing ran.
    NotRun = 3,
    /// The work may have run, or the change may have taken effect.
    OutcomeUnknown = 4,
    /// The patch was rejected; the configuration is unchanged.
    Rejected = 5,
    /// The daemon stopped before all calls in flight were answered.
    CallsCutOff = 6,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// The reason why a command failed. Each message is one line that ends with a
/// hint.
#[derive(Debug, Display, Error)]
pub enum CliError {
    /// The command line is invalid.
    #[display("{detail}; hint: {hint}")]
    Usage {
        /// What is wrong with the command line.
        #[error(not(source))]
        detail: String,
        /// How to correct it.
        hint: &'static str,
    },
    /// A file cannot be read.
    #[display("{} cannot be read: {source}; hint: check the path and the permissions", path.display())]
    UnreadableFile {
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The content of a file is invalid, or contains nothing that matches the
    /// arguments.
    #[display("{} is invalid: {detail}; hint: compare it with the files under examples/", path.display())]
    InvalidFile {
        path: PathBuf,
        /// What is wrong with the content.
        #[error(not(source))]
        detail: String,
    },
    /// The settings of `serve` or `check` are invalid.
    #[display("{}: {}", path.display(), settings_message(source))]
    Settings {
        path: PathBuf,
        /// The faulty settings, or why the file could not be parsed.
        source: SettingsError,
    },
    /// The settings of `edge` are invalid.
    #[display("{}: {source}; hint: compare it with deploy/settings.json.tmpl", path.display())]
    EdgeSettings {
        path: PathBuf,
        /// The first faulty setting, or why the file could not be parsed.
        source: pimentochute_edge::SettingsError,
    },
    /// The daemon of `edge` cannot start or continue.
    #[display("{source}; hint: see the last lines of the log")]
    Edge {
        source: pimentochute_edge::EdgeError,
    },
    /// The host cannot be reached; nothing was sent.
    #[display(
        "{server} cannot be reached, nothing was sent: {detail}; hint: check --server, or try another host"
    )]
    Unreachable {
        /// The address of the host.
        #[error(not(source))]
        server: String,
        /// The error of the connection attempt.
        detail: String,
    },
    /// The host sent no usable response: none in time, an incomplete or invalid
    /// one, or an error status without a refusal.
    #[display("{server} sent no usable answer: {detail}; hint: {}", unusable_response_hint(*mutating))]
    UnusableResponse {
        /// The address of the host.
        #[error(not(source))]
        server: String,
        /// What was missing or invalid.
        detail: String,
        /// Whether the call may have changed something.
        mutating: bool,
    },
    /// The host refused the call.
    #[display("{} ({}): {}; hint: {}", source.code, run_state(source), source.error, source.hint)]
    Refused {
        /// The refusal that the host sent.
        source: Refusal,
    },
    /// The patch was rejected.
    #[display("{}; hint: {}", source.error, source.hint)]
    Rejected {
        /// The refusal, which names the reason and the version in force.
        source: Refusal,
    },
    /// The outcome of a patch is still unknown after the last attempt to send
    /// it.
    #[display(
        "the outcome of patch {id} is not known; hint: look for the id in `config history`, it may still take effect"
    )]
    PatchOutcomeUnknown {
        /// The patch, which may still take effect.
        #[error(not(source))]
        id: PatchId,
    },
    /// The endpoint answered with an error status.
    #[display("the endpoint answered with status {status}; hint: see its answer")]
    EndpointStatus {
        #[error(not(source))]
        status: u16,
    },
    /// The daemon ended with an error.
    #[display("{source}; hint: see the log lines above")]
    Daemon { source: DaemonError },
    /// Logging cannot be started.
    #[display("{source}; hint: start the daemon once per process")]
    Logging { source: LoggingError },
    /// An operation outside the API failed, such as starting a thread, reading
    /// random bytes or writing the output.
    #[display("{what} failed: {detail}; hint: check the limits of the system")]
    System {
        /// The operation that failed.
        #[error(not(source))]
        what: &'static str,
        /// The error that it reported.
        detail: String,
    },
}

impl CliError {
    /// Creates an error for an invalid command line.
    pub fn usage(detail: impl Into<String>, hint: &'static str) -> Self {
        let detail = detail.into();
        Self::Usage { detail, hint }
    }

    /// Returns the exit code for the error.
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
            Self::UnusableResponse { mutating: true, .. } | Self::PatchOutcomeUnknown { .. } => {
                ExitStatus::OutcomeUnknown
            }
            Self::Rejected { .. } => ExitStatus::Rejected,
            Self::UnusableResponse { .. }
            | Self::EndpointStatus { .. }
            | Self::Daemon { .. }
            | Self::Edge { .. }
            | Self::Logging { .. }
            | Self::System { .. } => ExitStatus::Failure,
        }
    }

    /// Returns the faulty settings, which are printed one per line.
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

const fn unusable_response_hint(mutating: bool) -> &'static str {
    if mutating {
        "the call may have taken effect; check before you repeat it, or repeat it with the same key"
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
