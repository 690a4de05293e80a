//! The owner of the cell: reads its jobs and workers, decides, gives orders.

mod batch;
mod load;
mod local_owner;
mod mirror;
mod readers;
mod run;
mod term;

pub(crate) use local_owner::{CellInput, JobCall, LocalOwner};
pub(crate) use mirror::JobMirror;
pub(crate) use run::CellOwner;
