//! The interface of the append-only log service.

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::future::BoxFuture;
use pimentochute_base::{LogOffset, MilliSpan, StreamName};

/// A log of named streams. All readers of a stream get the same records at the
/// same offsets.
pub trait LogService: Send + Sync {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    /// [`AppendError::NotAppended`] only if the record has certainly not been
    /// appended.
    fn append<'a>(
        &'a self,
        stream: &'a StreamName,
        payload: Bytes,
    ) -> BoxFuture<'a, Result<LogOffset, AppendError>>;

    /// Reads up to `max_records` records from `from` on. Waits up to `wait` if
    /// there are none yet. If `from` is after the tail, the batch has no records
    /// and its tail is less than `from`.
    ///
    /// # Errors
    /// Fails if the service does not answer or no longer keeps the record at
    /// `from`.
    fn read<'a>(
        &'a self,
        stream: &'a StreamName,
        from: LogOffset,
        max_records: usize,
        wait: MilliSpan,
    ) -> BoxFuture<'a, Result<ReadBatch, ReadError>>;
}

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// The position in the stream.
    pub offset: LogOffset,
    /// The bytes that were appended.
    pub payload: Bytes,
}

/// The answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadBatch {
    /// The records in order of their offsets, without gaps.
    pub records: Vec<LogRecord>,
    /// The first offset that is still kept.
    pub first_retained: LogOffset,
    /// The offset that the next append gets.
    pub tail: LogOffset,
}

/// Why an append returned no offset.
#[derive(Debug, Display, Error)]
pub enum AppendError {
    /// The record has certainly not been appended.
    #[display("the log did not take the record: {detail}")]
    NotAppended {
        /// What the service or the transport reported.
        #[error(not(source))]
        detail: String,
    },
    /// The record may have been appended.
    #[display("the log gave no answer, the record may have been appended: {detail}")]
    OutcomeUnknown {
        /// What the service or the transport reported.
        #[error(not(source))]
        detail: String,
    },
}

/// Why a read failed.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// The service gave no usable answer.
    #[display("the log cannot be read: {detail}")]
    Unavailable {
        /// What the service or the transport reported.
        #[error(not(source))]
        detail: String,
    },
    /// The record at the requested offset is no longer kept.
    #[display("the log keeps records only from offset {first_retained} on")]
    BehindRetention {
        /// The first offset that is still kept.
        #[error(not(source))]
        first_retained: LogOffset,
    },
}
