//! Spreads questions to the advice service over the hosts.
//!
//! The service handles one call at a time for each host that calls, in turn,
//! and goes on with calls that nobody waits for any more. So a host gets only
//! as many calls as keep it busy; the other questions wait at the owner, where
//! the most important step asks first. Short calls must not wait behind long
//! ones, so some hosts take only short ones.

use std::collections::BTreeMap;

use pimentochute_base::{MilliSpan, MilliTime};

/// A call that takes longer is a long one.
const LONG_CALL: MilliSpan = MilliSpan::new(40);

/// One host in this many takes only short calls.
const HOSTS_PER_SHORT_ONLY: usize = 3;

/// The most long calls through one host: one that is handled and one that
/// follows without a pause.
const MAX_LONG: usize = 2;

/// The most calls through one host.
const MAX_OPEN: usize = 4;

/// The distance to another host counts this much, so that short calls stay on
/// the owner as long as it is idle.
const REMOTE_COST: MilliSpan = MilliSpan::new(4);

/// Chooses the host through which a question goes.
#[derive(Debug, Clone, Default)]
pub(crate) struct AdviceRelays {
    /// The addresses of the hosts; the owner's own is the first.
    hosts: Vec<String>,
    loads: BTreeMap<String, RelayLoad>,
}

#[derive(Debug, Clone, Copy, Default)]
struct RelayLoad {
    open: usize,
    /// When the calls through the host are expected to end.
    busy_until: MilliTime,
}

impl AdviceRelays {
    /// Sets the hosts; the owner's own is the first.
    pub(crate) fn set_hosts(&mut self, hosts: Vec<String>) {
        self.hosts = hosts;
    }

    /// Returns the host for a call of `span` and the time in which its answer
    /// is expected; none if no host has room for it.
    pub(crate) fn choose(
        &mut self,
        span: MilliSpan,
        now: MilliTime,
    ) -> Option<(String, MilliSpan)> {
        let is_long = span > LONG_CALL;
        let most = if is_long { MAX_LONG } else { MAX_OPEN };
        let reserved = if is_long {
            self.hosts.len() / HOSTS_PER_SHORT_ONLY
        } else {
            0
        };
        let usable = self.hosts.iter().enumerate().skip(reserved);
        let usable = usable.filter(|(_, host)| self.load(host).open < most);
        let chosen = usable.min_by_key(|(index, host)| {
            let distance = if *index == 0 {
                MilliSpan::ZERO
            } else {
                REMOTE_COST
            };
            self.load(host).busy_until.max(now) + distance
        });
        let host = chosen?.1.clone();
        let load = self.loads.entry(host.clone()).or_default();
        load.open += 1;
        load.busy_until = load.busy_until.max(now) + span;
        Some((host, load.busy_until.since(now)))
    }

    /// Notes that a call through a host has ended.
    pub(crate) fn call_finished(&mut self, host: &str) {
        if let Some(load) = self.loads.get_mut(host) {
            load.open = load.open.saturating_sub(1);
            if load.open == 0 {
                load.busy_until = MilliTime::ZERO;
            }
        }
    }

    fn load(&self, host: &str) -> RelayLoad {
        self.loads.get(host).copied().unwrap_or_default()
    }
}
