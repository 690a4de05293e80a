//! Loads the state of the cell from the log.

use std::collections::BTreeSet;

use pimentochute_base::{MilliSpan, MilliTime};
use pimentochute_work::{
    JobCancellations, JobCode, JobCrashes, JobProgress, JobSubmission, ProgressPart, RecordError,
    RecordKind, RecordWrite, WorkCell, WorkerReport, decode_extended, decode_record,
};

use super::mirror::{JobMirror, LoadProgress, TopicMirror};
use crate::context::EdgeContext;
use crate::outage_log::OutageLog;
use crate::{AppendCall, CodecError, KeyedRecord, StoreError, WriterStamp};

/// The topic that holds the submissions and the progress of jobs, written only by
/// the owner.
pub(super) const OWNER_TOPIC: &str = "keyed.progress";

/// The suffix of the keys of submissions that the owner has recorded.
const SUBMISSION_SUFFIX: &str = ".s";

/// The suffix of the keys of records of crashes.
const CRASHES_SUFFIX: &str = ".c";

/// The suffix of the keys of records of cancellations of jobs that had not arrived.
const CANCELLATIONS_SUFFIX: &str = ".x";

/// Separates the job from the number in the keys of records of parts of its progress.
const PART_INFIX: &str = ".p";

/// The writer name of the owner's appends. Its epochs are those of the claims.
const WRITER: &str = "owner";

/// The delay before a failed append is retried.
const RETRY_DELAY: MilliSpan = MilliSpan::new(100);

/// The offsets at which the owner continues to read after loading the cell.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadedOffsets {
    pub(super) intake: u64,
    pub(super) workers: u64,
    /// When the read that returned `workers` was sent, on the host's clock.
    pub(super) workers_read_at: MilliTime,
}

/// The records from which a cell is loaded.
pub(super) struct CellRecords<'a> {
    pub(super) jobs: &'a mut JobMirror,
    pub(super) workers: TopicMirror,
}

/// Returns the log record for a record of a job.
pub(super) fn keyed_record(write: RecordWrite) -> KeyedRecord {
    let suffix = match write.kind {
        RecordKind::Submission => SUBMISSION_SUFFIX.to_owned(),
        RecordKind::Crashes => CRASHES_SUFFIX.to_owned(),
        RecordKind::Cancellations => CANCELLATIONS_SUFFIX.to_owned(),
        RecordKind::ProgressPart(number) => format!("{PART_INFIX}{number}"),
        RecordKind::Progress => String::new(),
    };
    KeyedRecord {
        key: format!("{}{suffix}", write.job),
        value: write.value.into(),
    }
}

/// Returns the writer stamp of an append.
pub(super) fn stamp_of(epoch: u64, sequence: u64) -> WriterStamp {
    WriterStamp {
        writer: WRITER.to_owned(),
        epoch,
        sequence,
    }
}

/// Sets the epoch of the writer, so that the log refuses the appends of earlier
/// owners. Retries until the epoch is in the log or this one is fenced.
pub(super) async fn fence_log(context: &EdgeContext, epoch: u64) -> Result<(), StoreError> {
    loop {
        let call = AppendCall {
            topic: OWNER_TOPIC.to_owned(),
            records: Vec::new(),
            stamp: Some(stamp_of(epoch, 0)),
            expected_end: None,
        };
        match context.ports.store.append(call).await {
            Ok(_) => return Ok(()),
            Err(StoreError::Fenced) => return Err(StoreError::Fenced),
            Err(error) => {
                log::warn!("owner: setting epoch {epoch} in the log failed: {error}");
                tokio::time::sleep(RETRY_DELAY.as_duration()).await;
            }
        }
    }
}

impl CellRecords<'_> {
    /// Reads all records, and retries until it has them. Call [`fence_log`] first: otherwise
    /// an earlier owner could still append records after they are read.
    pub(super) async fn read(&mut self, context: &EdgeContext, progress: &LoadProgress) {
        futures::join!(
            read_topic(&mut self.jobs.owner_records, context, progress),
            read_topic(&mut self.jobs.intake, context, progress),
            read_topic(&mut self.workers, context, progress),
        );
    }
}

/// Reads a topic up to its end, and retries until then. A topic that was read is not read
/// again while another one fails: that would look like progress of the load.
async fn read_topic(topic: &mut TopicMirror, context: &EdgeContext, progress: &LoadProgress) {
    let mut outage = OutageLog::new("owner: reading the cell", context.clock.clone());
    while let Err(error) = topic.catch_up(context, progress).await {
        outage.record_failure(&error);
        tokio::time::sleep(RETRY_DELAY.as_duration()).await;
    }
    outage.record_success();
}

/// Loads jobs and workers into the cell.
pub(super) fn load_cell(
    context: &EdgeContext,
    cell: &mut WorkCell,
    records: &CellRecords<'_>,
) -> LoadedOffsets {
    let mirror = &*records.jobs;
    let mut ids = BTreeSet::new();
    for record in records.workers.records() {
        match worker_of(context, &record) {
            Ok(report) => {
                ids.insert(report.id.clone());
                cell.worker_reported(report);
            }
            Err(error) => cell.entry_unreadable(&record.key, &error.to_string()),
        }
    }
    let is_submission = |record: &KeyedRecord| record.key.ends_with(SUBMISSION_SUFFIX);
    let is_crashes = |record: &KeyedRecord| record.key.ends_with(CRASHES_SUFFIX);
    let (submissions, others): (Vec<_>, Vec<_>) =
        mirror.owner_records.records().partition(is_submission);
    let (crashes, progress): (Vec<_>, Vec<_>) = others.into_iter().partition(is_crashes);
    let is_cancellations = |record: &KeyedRecord| record.key.ends_with(CANCELLATIONS_SUFFIX);
    let (cancellations, progress): (Vec<_>, Vec<_>) =
        progress.into_iter().partition(is_cancellations);
    let is_part = |record: &KeyedRecord| record.key.contains(PART_INFIX);
    let (parts, progress): (Vec<_>, Vec<_>) = progress.into_iter().partition(is_part);
    for record in submissions {
        if let Some((code, submission)) = submission_of(&record) {
            cell.restore_submission(code, submission);
        }
    }
    for record in mirror.intake.records() {
        if let Some((code, submission)) = submission_of(&record) {
            cell.accept_from_intake(code, submission);
        }
    }
    for record in &crashes {
        if let Some((code, crashes)) = crashes_of(record) {
            cell.restore_crashes(code, crashes);
        }
    }
    for record in &parts {
        if let Some((code, number, part)) = part_of(record) {
            cell.restore_part(code, number, part);
        }
    }
    for record in &progress {
        if let Some((code, progress)) = progress_of(record) {
            cell.restore_progress(code, progress);
        }
    }
    for record in &cancellations {
        if let Some((code, cancellations)) = cancellations_of(record) {
            cell.restore_cancellations(code, cancellations);
        }
    }
    cell.end_cancelled_jobs();
    log::info!(
        jobs = cell.sizes().0,
        with_progress = progress.len(),
        workers = ids.len(),
        cancellations = cancellations.len();
        "owner: loaded the cell"
    );
    LoadedOffsets {
        intake: mirror.intake.next_offset(),
        workers: records.workers.next_offset(),
        workers_read_at: records.workers.complete_at(),
    }
}

/// Reads the newest record of each key. Returns the records and the offset from
/// which to read on.
pub(crate) async fn read_newest(
    context: &EdgeContext,
    topic: &str,
) -> Result<(Vec<KeyedRecord>, u64), StoreError> {
    let mut records: Vec<KeyedRecord> = Vec::new();
    let mut end = None;
    let mut after: Option<String> = None;
    loop {
        let page = context.ports.store.newest(topic, after.as_deref()).await?;
        // The pages are not a snapshot, so reading continues from the end as of
        // the first page; later changes are read again.
        let end = *end.get_or_insert(page.end);
        let is_last = !page.has_more || page.last_key.is_none();
        records.extend(page.records);
        if is_last {
            return Ok((records, end));
        }
        after = page.last_key;
    }
}

/// Decodes a submission; `None` if the record deletes it or is invalid.
pub(super) fn submission_of(record: &KeyedRecord) -> Option<(JobCode, JobSubmission)> {
    let (code, submission) = (code_of(record)?, read_value::<JobSubmission>(record)?);
    // Another writer may have left the record; hosts check the jobs that they accept.
    submission
        .spec
        .check()
        .inspect_err(|error| log::error!("owner: the job {code} in the log is invalid: {error}"))
        .ok()?;
    Some((code, submission))
}

fn progress_of(record: &KeyedRecord) -> Option<(JobCode, JobProgress)> {
    Some((code_of(record)?, read_with(record, decode_extended)?))
}

/// Decodes the record of a part; returns the job and the number of the part as well.
fn part_of(record: &KeyedRecord) -> Option<(JobCode, u32, ProgressPart)> {
    let (_, number) = record.key.split_once(PART_INFIX)?;
    let number = number.parse().inspect_err(|error| {
        log::error!(
            "owner: the key {:?} has no number of a part: {error}",
            record.key
        );
    });
    Some((code_of(record)?, number.ok()?, read_value(record)?))
}

fn crashes_of(record: &KeyedRecord) -> Option<(JobCode, JobCrashes)> {
    Some((code_of(record)?, read_value(record)?))
}

fn cancellations_of(record: &KeyedRecord) -> Option<(JobCode, JobCancellations)> {
    Some((code_of(record)?, read_with(record, decode_extended)?))
}

/// Decodes the report of a worker.
pub(super) fn worker_of(
    context: &EdgeContext,
    record: &KeyedRecord,
) -> Result<WorkerReport, CodecError> {
    context.ports.codec.worker(&record.key, &record.value)
}

fn code_of(record: &KeyedRecord) -> Option<JobCode> {
    if record.value.is_empty() {
        return None;
    }
    let suffixes = [SUBMISSION_SUFFIX, CRASHES_SUFFIX, CANCELLATIONS_SUFFIX];
    let mut suffixes = suffixes.into_iter();
    let key = suffixes.find_map(|suffix| record.key.strip_suffix(suffix));
    let part_key = record.key.split_once(PART_INFIX).map(|(key, _)| key);
    let key = key.or(part_key).unwrap_or(&record.key);
    let code = key.parse();
    code.inspect_err(|error| {
        log::error!(
            "owner: the key {:?} is not a job identifier: {error}",
            record.key
        );
    })
    .ok()
}

fn read_value<T: serde::de::DeserializeOwned>(record: &KeyedRecord) -> Option<T> {
    read_with(record, decode_record)
}

fn read_with<T>(record: &KeyedRecord, decode: fn(&[u8]) -> Result<T, RecordError>) -> Option<T> {
    let value = decode(&record.value);
    value
        .inspect_err(|error| {
            log::error!(
                "owner: the record with key {} is invalid: {error}",
                record.key
            );
        })
        .ok()
}
