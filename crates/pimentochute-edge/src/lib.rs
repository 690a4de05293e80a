//! The daemon of an entry host on a platform whose log stores all durable state.
//!
//! All hosts run the same daemon. Each accepts jobs from callers and gets them
//! into the platform's log. One host at a time owns the cell, the set of jobs
//! and workers that are scheduled together: it schedules the jobs and sends
//! the orders to the workers. The other hosts forward requests to the owner,
//! monitor it, and one of them takes over when it fails.
//!
//! The platform is an outside system; the daemon uses it through the traits
//! [`LogStore`], [`WorkerOrders`], [`AdviceService`] and [`PlatformCodec`].

mod caller_api;
mod claim;
mod claim_pacing;
mod config_feed;
mod context;
mod daemon;
mod edge_metrics;
mod evacuation_feed;
mod failure_detector;
mod heartbeat;
mod intake;
mod link_log;
mod members;
mod order_relay;
mod order_wire;
mod outage_log;
mod owner;
mod owner_client;
mod owner_monitor;
mod peer;
mod peer_wire;
mod ports;
mod ready;
mod reload;
mod settings;

pub use claim_pacing::ClaimPacing;
pub use context::EdgePorts;
pub use daemon::{EdgeError, run};
pub use failure_detector::{FailureDetector, OwnerFailure, OwnerVerdict, PeerObservation};
pub use heartbeat::OwnerCondition;
pub use members::size_rank;
pub use owner::{LoadBackoff, LoadWatch};
pub use ports::{
    AdviceService, AppendCall, CodecError, GroupAssignment, KeyedRecord, LogStore, NewestPage,
    PlatformCodec, StoreError, TopicPage, WorkerOrders, WriterStamp, shows_liveness,
};
pub use settings::{
    EdgeSettings, LearningSettings, ListenAddresses, LogLimits, PrescribedTimes, SettingsError,
};
