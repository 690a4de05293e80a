//! The daemon of an entry host on a platform that keeps what must last.
//!
//! All hosts are alike: each takes jobs from callers and writes them to the
//! platform's log. One host at a time owns a cell: it decides about its jobs
//! and gives the orders to its workers.

mod claim;
mod config_feed;
mod context;
mod daemon;
mod desk;
mod edge_metrics;
mod front;
mod intake;
mod members;
mod outage_log;
mod owner;
mod owner_watch;
mod peer;
mod peer_wire;
mod ports;
mod ready;
mod reload;
mod settings;
mod watcher;

pub use context::EdgePorts;
pub use daemon::{EdgeError, run};
pub use owner_watch::{OwnerOpinion, OwnerVerdict, OwnerWatch};
pub use ports::{
    AdviceService, AppendCall, CodecError, GroupPlace, KeyedRecord, LogStore, NewestPage,
    PlatformCodec, StoreError, TopicPage, WorkerOrders, WriterStamp,
};
pub use settings::{EdgeSettings, ListenAddresses, PrescribedTimes, SettingsError};
