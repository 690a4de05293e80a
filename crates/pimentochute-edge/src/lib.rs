//! The daemon of an entry host on a platform that keeps what must last.
//!
//! All hosts are alike: each takes jobs from callers and writes them to the
//! platform's log. One host at a time owns a cell: it decides about its jobs
//! and gives the orders to its workers.

mod caller_api;
mod claim;
mod config_feed;
mod context;
mod daemon;
mod edge_metrics;
mod failure_detector;
mod intake;
mod job_service;
mod members;
mod outage_log;
mod owner;
mod owner_monitor;
mod peer;
mod peer_wire;
mod ports;
mod ready;
mod reload;
mod settings;

pub use context::EdgePorts;
pub use daemon::{EdgeError, run};
pub use failure_detector::{FailureDetector, OwnerVerdict, PeerObservation};
pub use ports::{
    AdviceService, AppendCall, CodecError, GroupAssignment, KeyedRecord, LogStore, NewestPage,
    PlatformCodec, StoreError, TopicPage, WorkerOrders, WriterStamp,
};
pub use settings::{EdgeSettings, ListenAddresses, PrescribedTimes, SettingsError};
