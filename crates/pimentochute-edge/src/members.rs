//! The membership of this host in the group of entry hosts, which the
//! platform's log manages.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentochute_base::{MilliSpan, MilliTime};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::context::EdgeContext;
use crate::outage_log::OutageLog;
use crate::{GroupAssignment, StoreError};

/// The name of the group of all entry hosts.
pub(crate) const HOST_GROUP: &str = "hosts";

/// Hosts with a rank below this are standby hosts: they keep a copy of the cell's
/// records and ping its owner more often.
const STANDBY_RANKS: u32 = 3;

/// The owner hands the cell over to a host that has at least this many times
/// its processor.
const MUCH_LARGER_FACTOR: u32 = 2;

/// The group drops a host that has not renewed its membership for this long:
/// four renewal intervals, and longer than one renewal takes at a slow log.
const MEMBER_TTL: MilliSpan = MilliSpan::new(1_200);

/// The interval at which a host renews its membership.
const JOIN_INTERVAL: MilliSpan = MilliSpan::new(300);

/// The largest number of renewals that have not been answered. They do not wait for each
/// other, so that late answers do not end the membership.
const MAX_OPEN_JOINS: usize = 8;

/// The timeout for leaving the group when the process ends.
const LEAVE_TIMEOUT: MilliSpan = MilliSpan::new(300);

/// The interval at which the member list is read.
const MEMBERS_INTERVAL: MilliSpan = MilliSpan::new(300);

/// The membership of this host and the list of members. Clones share their
/// state.
#[derive(Clone)]
pub(crate) struct HostGroup {
    context: EdgeContext,
    state: Arc<Mutex<GroupState>>,
}

#[derive(Debug, Default)]
struct GroupState {
    generation: u64,
    /// The generation as of the last read of the members.
    read_generation: u64,
    candidate_rank: Option<u32>,
    /// The rank of this host with larger hosts first, as of the last read of the
    /// members; `None` if it was not listed.
    size_rank: Option<u32>,
    /// When the last answered join was sent.
    joined_at: Option<MilliTime>,
    members: BTreeSet<String>,
    /// Every member is listed. The log lists the members by partition, so some
    /// are missing if there are more members than partitions.
    is_complete: bool,
    /// Incremented with each change of the members.
    version: u64,
    /// When the last answered read of the members was sent.
    members_read_at: Option<MilliTime>,
}

/// The host and the address from a member name of the form
/// `host@address/processor/start`. The start time makes the name unique for each
/// incarnation of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MemberName {
    pub(crate) host: String,
    /// The address for calls of other hosts.
    pub(crate) address: String,
}

impl HostGroup {
    pub(crate) fn new(context: EdgeContext) -> Self {
        Self {
            context,
            state: Arc::default(),
        }
    }

    /// Returns the time since the last answered join was sent.
    pub(crate) fn join_answer_age(&self) -> MilliSpan {
        let joined = self.state().joined_at.unwrap_or(MilliTime::ZERO);
        self.context.clock.now().since(joined)
    }

    /// Returns the rank of this host, which orders the hosts that may claim the
    /// cell: the number of its first partition; rank 0 claims first. `None` if it
    /// has no partition or its membership has expired.
    pub(crate) fn candidate_rank(&self) -> Option<u32> {
        let rank = self.state().candidate_rank;
        rank.filter(|_| self.join_answer_age() < MEMBER_TTL)
    }

    /// Returns the rank of this host among those that may claim the cell, with larger
    /// hosts first; `None` if it may not claim. Before the members are known, it is
    /// the rank in the group.
    pub(crate) fn claim_rank(&self) -> Option<u32> {
        let rank = self.candidate_rank()?;
        Some(self.state().size_rank.unwrap_or(rank))
    }

    /// Returns whether this host is a standby host: one of the first to claim.
    pub(crate) fn is_standby(&self) -> bool {
        self.claim_rank().is_some_and(|rank| rank < STANDBY_RANKS)
    }

    /// Returns whether a member has certainly left the group: it is missing in a
    /// complete list that was requested after `since`.
    pub(crate) fn has_left(&self, member: &str, since: MilliTime) -> bool {
        let state = self.state();
        let is_new = state.members_read_at.is_some_and(|at| at > since);
        is_new && state.is_complete && !state.members.contains(member)
    }

    /// Returns the version of the member list; `None` before the first read.
    pub(crate) fn members_version(&self) -> Option<u64> {
        let state = self.state();
        state.members_read_at.map(|_| state.version)
    }

    /// Returns whether the group has a host with more processor than this one.
    pub(crate) fn has_larger_host(&self) -> bool {
        let state = self.state();
        state.members.iter().any(|name| self.is_larger(name))
    }

    /// Returns whether a member has more processor than this host.
    pub(crate) fn is_larger(&self, member: &str) -> bool {
        MemberName::processor_millis(member) > MemberName::processor_millis(&self.context.member)
    }

    /// Returns the preferred owner if it is so much larger than this host
    /// that it should own the cell instead.
    pub(crate) fn much_larger_host(&self) -> Option<String> {
        let own = MemberName::processor_millis(&self.context.member);
        let best = self.preferred_owner()?;
        (MemberName::processor_millis(&best) >= own.saturating_mul(MUCH_LARGER_FACTOR))
            .then_some(best)
    }

    /// Returns the other member that should be the next owner: among the largest
    /// hosts the one that started last. In a rolling restart, that is the host
    /// that runs longest before it is stopped again.
    pub(crate) fn preferred_owner(&self) -> Option<String> {
        let state = self.state();
        let others = state
            .members
            .iter()
            .filter(|name| ***name != *self.context.member);
        let preference = |name: &&String| {
            (
                MemberName::processor_millis(name),
                MemberName::started_at(name),
            )
        };
        others.max_by_key(preference).cloned()
    }

    /// Returns the other members whose names can be parsed.
    pub(crate) fn peers(&self) -> Vec<MemberName> {
        let state = self.state();
        let others = state
            .members
            .iter()
            .filter(|name| ***name != *self.context.member);
        others.filter_map(|name| MemberName::parse(name)).collect()
    }

    /// Renews the membership until `stop`, then leaves the group.
    pub(crate) async fn run(&self, stop: CancellationToken) {
        let mut outage = OutageLog::new("members: joining the group", self.context.clock.clone());
        let mut joins = JoinSet::new();
        let mut next_at = self.context.clock.now();
        while !stop.is_cancelled() {
            let now = self.context.clock.now();
            if next_at <= now && joins.len() < MAX_OPEN_JOINS {
                next_at = now + JOIN_INTERVAL;
                let group = self.clone();
                joins.spawn(async move { group.renew().await });
            }
            tokio::select! {
                () = stop.cancelled() => break,
                Some(result) = joins.join_next() => match result {
                    Ok(Ok(())) => outage.record_success(),
                    Ok(Err(error)) => outage.record_failure(&error),
                    Err(error) => log::error!(error:%; "members: a renewal has panicked"),
                },
                () = tokio::time::sleep(next_at.since(now).as_duration()),
                    if joins.len() < MAX_OPEN_JOINS => {}
            }
        }
        // A renewal that arrives after the call to leave would join the group again.
        joins.shutdown().await;
        let store = &self.context.ports.store;
        let leave = store.leave(HOST_GROUP, &self.context.member);
        match tokio::time::timeout(LEAVE_TIMEOUT.as_duration(), leave).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::warn!("members: leaving the group failed: {error}"),
            Err(_) => {
                log::warn!("members: leaving the group was not answered within {LEAVE_TIMEOUT}");
            }
        }
    }

    /// Reads the members periodically while `is_wanted` returns true, until
    /// `stop`.
    pub(crate) async fn run_reader(&self, is_wanted: impl Fn() -> bool, stop: CancellationToken) {
        while !stop.is_cancelled() {
            if is_wanted() {
                self.read_members().await;
            }
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(MEMBERS_INTERVAL.as_duration()) => {}
            }
        }
    }

    /// Renews the membership once, and reads the members if the group has changed.
    async fn renew(&self) -> Result<(), StoreError> {
        let sent_at = self.context.clock.now();
        let generation = self.state().generation;
        let store = &self.context.ports.store;
        let member = &self.context.member;
        let place = store
            .join(HOST_GROUP, member, MEMBER_TTL, generation)
            .await?;
        // Read at once: if the log stops answering this host, it needs the addresses of
        // the others.
        if self.record_place(place, sent_at) {
            self.read_members().await;
        }
        Ok(())
    }

    /// Records the answer to a renewal that was sent at `sent_at`, unless that to a later
    /// one has arrived. Returns whether the group has changed since the members were read.
    fn record_place(&self, place: GroupAssignment, sent_at: MilliTime) -> bool {
        let mut state = self.state();
        if state.joined_at.is_some_and(|at| at > sent_at) {
            return false;
        }
        let first = place.partitions.into_iter().min();
        if first != state.candidate_rank {
            log::info!(
                "members: generation {}, successor rank {first:?}",
                place.generation
            );
        }
        state.generation = place.generation;
        state.candidate_rank = first;
        state.joined_at = Some(sent_at);
        state.generation != state.read_generation
    }

    async fn read_members(&self) {
        let sent_at = self.context.clock.now();
        let generation = self.state().generation;
        let rows: Result<BTreeMap<u32, String>, _> =
            self.context.ports.store.members(HOST_GROUP).await;
        match rows {
            Ok(rows) => {
                let mut state = self.state();
                let partitions = rows.len();
                state.size_rank = size_rank(&rows, &self.context.member);
                let members: BTreeSet<_> = rows.into_values().collect();
                // The partitions are assigned evenly: with fewer members than
                // partitions, each member has at least one.
                state.is_complete = members.len() < partitions;
                if members != state.members {
                    state.version += 1;
                    state.members = members;
                }
                state.members_read_at = Some(sent_at);
                state.read_generation = generation;
            }
            Err(error) => log::debug!(error:%; "members: reading the members failed"),
        }
    }

    /// Locks the state. Poisoning is ignored: each update is a single step, so a
    /// panic of another holder leaves the state valid.
    fn state(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the number of members that claim the cell before `own`: larger hosts,
/// and equal ones with an earlier partition. `None` if `own` has no partition.
/// `rows` holds the member of each partition of the group.
#[must_use]
pub fn size_rank(rows: &BTreeMap<u32, String>, own: &str) -> Option<u32> {
    let processor = MemberName::processor_millis(own);
    let own_partition = *rows.iter().find(|(_, member)| *member == own)?.0;
    let before = rows.iter().filter(|(partition, member)| {
        let other = MemberName::processor_millis(member);
        other > processor || other == processor && **partition < own_partition
    });
    let before: BTreeSet<_> = before.map(|(_, member)| member).collect();
    u32::try_from(before.len()).ok()
}

impl MemberName {
    /// Returns the member name of an incarnation of a host. `started_at` is in
    /// milliseconds since the Unix epoch.
    pub(crate) fn format(
        host: &str,
        address: &str,
        processor_millis: u32,
        started_at: u64,
    ) -> String {
        format!("{host}@{address}/{processor_millis}/{started_at:x}")
    }

    /// Returns the processor of a host in thousandths of a core; 0 if the name
    /// does not say.
    fn processor_millis(text: &str) -> u32 {
        let mut parts = text.split('/');
        let processor = parts.nth(1).and_then(|part| part.parse().ok());
        processor.unwrap_or(0)
    }

    /// Returns the start time of an incarnation, in milliseconds since the Unix
    /// epoch.
    fn started_at(text: &str) -> Option<u64> {
        let (_, started_at) = text.rsplit_once('/')?;
        u64::from_str_radix(started_at, 16).ok()
    }

    fn parse(text: &str) -> Option<Self> {
        let (host, rest) = text.split_once('@')?;
        let (address, _) = rest.split_once('/')?;
        Some(Self {
            host: host.to_owned(),
            address: address.to_owned(),
        })
    }
}
