//! The owner of the cell: reads its jobs and workers from the log, schedules
//! the tasks and sends the orders to the workers.

mod batch;
mod dispatch;
mod intake_cleanup;
mod load;
mod load_watch;
mod local_owner;
mod mirror;
mod readers;
mod relay_sender;
mod relayed_answers;
mod run;
mod term;

pub(crate) use load::read_newest;
pub use load_watch::{LoadBackoff, LoadWatch};
pub(crate) use local_owner::{
    CellInput, EntryChange, ForwardedCall, JobCall, LocalOwner, LogContact, RefusalCheck,
};
pub(crate) use mirror::JobMirror;
pub(crate) use relayed_answers::RelayedAnswers;
pub(crate) use run::CellOwner;
