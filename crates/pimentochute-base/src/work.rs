//! The kinds of work and their priority.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A kind of work.
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
    /// A request that is routed to an endpoint.
    Request,
    /// Tasks that run until they are cancelled.
    Service,
    /// Independent tasks that run to completion.
    Batch,
    /// Tasks that run to completion and start all together or not at all.
    Gang,
}

/// The priority of a queue; an earlier variant goes first.
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
    /// Starts within 2.9 s of submission.
    Urgent,
    /// The usual priority.
    Normal,
    /// Work that may wait.
    Bulk,
}
