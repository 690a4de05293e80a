//! Parses the command text of a task for a stand-in worker.

use pimentochute_base::MilliSpan;

/// The parsed command of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskCommand {
    /// `run MS`: succeeds after this many milliseconds.
    Run(MilliSpan),
    /// `fail MS`: fails after this many milliseconds.
    Fail(MilliSpan),
    /// `forever`: runs until it is stopped.
    Forever,
    /// Any other text: fails immediately.
    Malformed,
}

impl TaskCommand {
    /// Parses a command; an unknown one is [`TaskCommand::Malformed`].
    #[must_use]
    pub fn new(text: &str) -> Self {
        let mut words = text.split_whitespace();
        let verb = words.next();
        let span = words.next().map(str::parse::<u64>);
        match (verb, span, words.next()) {
            (Some("run"), Some(Ok(millis)), None) => Self::Run(MilliSpan::new(millis)),
            (Some("fail"), Some(Ok(millis)), None) => Self::Fail(MilliSpan::new(millis)),
            (Some("forever"), None, None) => Self::Forever,
            _ => Self::Malformed,
        }
    }
}
