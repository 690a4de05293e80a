//! Kinds of work and priorities.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The kind of work of a request or job.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WorkKind {
    /// A request for an endpoint.
    Request,
    /// Tasks that run until they are cancelled.
    Service,
    /// Independent tasks that run to completion.
    Batch,
    /// Tasks that run to completion and start either all together or not at all.
    Gang,
}

/// The priority of a queue, the highest first.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PriorityClass {
    /// Jobs start within 2.9 s of their submission.
    Urgent,
    /// The usual priority.
    Normal,
    /// Jobs that may wait.
    Bulk,
}
