//! Paces what a host sends to the rate of its link.
//!
//! Bytes that wait in the queues of a full link delay all that is sent after them, also
//! small urgent messages. A host therefore keeps them back until the link has nearly
//! caught up, and sends the most urgent class first.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pimentochute_base::{MilliClock, MilliSpan, MilliTime};
use strum::{EnumCount, EnumIter, IntoStaticStr};
use tokio::sync::Notify;

/// Bytes are sent while those that were sent before need at most this long to leave.
const SEND_AHEAD: MilliSpan = MilliSpan::new(10);

/// The part of the link that the counted bytes may use, in percent. The rest is for
/// connections that are opened and for acknowledgements of what is received.
const USED_PERCENT: u64 = 92;

/// Messages do not wait for longer than this because of answers.
const MAX_ANSWER_DELAY: MilliSpan = MilliSpan::new(500);

/// The link is behind if it needs longer than this for what was received above half of its
/// rate.
const MAX_INBOUND_SPAN: MilliSpan = MilliSpan::new(50);

/// The largest rate; a larger one limits nothing.
const MAX_MEGABITS: f64 = 1_000_000.0;

/// No order waits for longer than this.
const MAX_ORDER_AGE: MilliSpan = MilliSpan::new(1_000);

/// A link that carries this part of what it takes is busy, in percent.
const BUSY_PERCENT: u64 = 50;

/// What a message is for. The order of the classes is that of the metrics.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, EnumCount, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum TrafficClass {
    /// Shows that a host or an owner works: pings, heartbeats, claims, membership. Never
    /// waits.
    Liveness,
    /// Answers to callers and other hosts. Never waits.
    Answer,
    /// Appends to the log.
    Append,
    /// Stops of runs. They overtake starts, so that a run that is stopped before its start has
    /// left does not begin.
    Stop,
    /// Starts of runs, and messages with several orders or results.
    Order,
    /// Polls of workers.
    Poll,
    /// Jobs and questions of callers, for the owner.
    Query,
    /// Requests for advice.
    Advice,
    /// Reads of the log and of the configuration.
    Read,
}

/// The number of bytes that a host has sent and received for each class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkUsage {
    /// Bytes of requests, and of the answers to callers and other hosts, by class.
    pub sent: [u64; TrafficClass::COUNT],
    /// Bytes of the answers to the requests, and of the calls that were answered, by class.
    pub received: [u64; TrafficClass::COUNT],
    /// Requests and calls, by class.
    pub calls: [u64; TrafficClass::COUNT],
}

/// Counts what a host sends, and keeps messages back while its link is behind.
/// Clones share their state.
#[derive(Debug, Clone)]
pub struct LinkPacer {
    clock: MilliClock,
    /// What the link takes from paced messages, in bytes a millisecond; `None` without a
    /// limit.
    bytes_per_milli: Option<u64>,
    state: Arc<Mutex<LinkState>>,
}

#[derive(Debug, Default)]
struct LinkState {
    /// The bytes that were sent and have not left the host, as of `updated_at`.
    backlog: u64,
    updated_at: MilliTime,
    usage: LinkUsage,
    /// The messages that wait, the most urgent first.
    waiting: BTreeMap<QueuePlace, QueuedMessage>,
    next_number: u64,
    /// What was received above half of the rate of the link, in bytes, as of `received_at`.
    inbound: u64,
    received_at: MilliTime,
    /// When a message that had to wait was last sent, or much was received; `None` before
    /// that.
    behind_at: Option<MilliTime>,
}

/// A place in the queue: the time by which a message should leave, and a number that
/// makes it unique.
type QueuePlace = (MilliTime, u64);

#[derive(Debug)]
struct QueuedMessage {
    bytes: u64,
    /// Notified when the message has become the most urgent one.
    turn: Arc<Notify>,
}

/// Leaves the queue when a message is sent or given up.
struct QueueGuard<'a> {
    pacer: &'a LinkPacer,
    place: QueuePlace,
}

impl LinkUsage {
    /// Returns what came since an earlier reading.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let less = |now: [u64; TrafficClass::COUNT], before: [u64; TrafficClass::COUNT]| {
            std::array::from_fn(|class| now[class].saturating_sub(before[class]))
        };
        Self {
            sent: less(self.sent, earlier.sent),
            received: less(self.received, earlier.received),
            calls: less(self.calls, earlier.calls),
        }
    }

    /// Returns the bytes that were sent.
    #[must_use]
    pub fn total_sent(&self) -> u64 {
        self.sent.iter().sum()
    }

    /// Returns the bytes that were received.
    #[must_use]
    pub fn total_received(&self) -> u64 {
        self.received.iter().sum()
    }
}

impl TrafficClass {
    /// Returns whether messages of the class are kept back while the link is behind.
    const fn waits(self) -> bool {
        !matches!(self, Self::Liveness | Self::Answer)
    }

    /// Returns the time by which a message of the class should leave that is made at `now`;
    /// messages leave in the order of these times.
    fn leave_by(self, now: MilliTime) -> MilliTime {
        match self {
            Self::Stop => now - MAX_ORDER_AGE,
            _ => now + self.allowance(),
        }
    }

    /// Returns how long messages of the class may wait behind more urgent ones. A message
    /// that has waited for longer goes before newer ones of all classes.
    const fn allowance(self) -> MilliSpan {
        MilliSpan::new(match self {
            Self::Liveness | Self::Answer | Self::Stop => 0,
            Self::Append => 20,
            Self::Order => 50,
            Self::Query => 100,
            Self::Poll => 150,
            Self::Advice => 200,
            Self::Read => 300,
        })
    }
}

impl LinkPacer {
    /// Creates the pacer of a link that takes `megabits` a second; `None` if it is not
    /// known, which only counts. A rate that is not positive and finite is not known.
    #[must_use]
    pub fn new(clock: MilliClock, megabits: Option<f64>) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast saturates, and a rate is not negative"
        )]
        let bytes_per_milli = megabits
            .filter(|megabits| megabits.is_finite() && *megabits > 0.0)
            .map(|megabits| (megabits.min(MAX_MEGABITS) * 125.0) as u64);
        Self {
            clock,
            bytes_per_milli: bytes_per_milli.map(|rate| (rate * USED_PERCENT / 100).max(1)),
            state: Arc::default(),
        }
    }

    /// Waits until the link may take a message of `bytes`, and counts them as sent. The
    /// message gives its place up when the future is dropped.
    pub async fn admit(&self, class: TrafficClass, bytes: u64) {
        let Some(rate) = self.bytes_per_milli else {
            self.state().record_sent(class, bytes);
            return;
        };
        let (place, turn) = {
            let now = self.clock.now();
            let mut state = self.state();
            state.drain(now, rate);
            let may_pass = state.waiting.is_empty() && state.backlog <= ahead_bytes(rate);
            if !class.waits() || may_pass {
                state.backlog += bytes;
                state.record_sent(class, bytes);
                return;
            }
            state.enqueue(class.leave_by(now), bytes)
        };
        let guard = QueueGuard { pacer: self, place };
        loop {
            let wait = {
                let mut state = self.state();
                state.drain(self.clock.now(), rate);
                let is_first = state.waiting.keys().next() == Some(&place);
                let excess = state.backlog.saturating_sub(ahead_bytes(rate));
                if is_first && excess == 0 {
                    state.behind_at = Some(state.updated_at);
                    state.backlog += bytes;
                    state.record_sent(class, bytes);
                    break;
                }
                is_first.then(|| MilliSpan::new(excess.div_ceil(rate)))
            };
            match wait {
                Some(wait) => {
                    // A more urgent message may come in the meantime; the loop finds it.
                    tokio::time::sleep(wait.as_duration()).await;
                }
                None => turn.notified().await,
            }
        }
        drop(guard);
    }

    /// Counts the answer to a call of another process, which does not wait.
    pub fn record_answer(&self, call_bytes: u64, answer_bytes: u64) {
        let class = TrafficClass::Answer;
        let mut state = self.state();
        if let Some(rate) = self.bytes_per_milli {
            state.drain(self.clock.now(), rate);
            // Answers leave at the full rate of the link. What is counted drains at a lower one,
            // so that it must not add up without bound.
            let limit = state.backlog.max(rate * MAX_ANSWER_DELAY.as_millis());
            state.backlog = state.backlog.saturating_add(answer_bytes).min(limit);
        }
        state.record_sent(class, answer_bytes);
        drop(state);
        self.record_received(class, call_bytes);
    }

    /// Counts the bytes of an answer to a request.
    pub fn record_received(&self, class: TrafficClass, bytes: u64) {
        let now = self.clock.now();
        let mut state = self.state();
        state.usage.received[class as usize] += bytes;
        let Some(rate) = self.bytes_per_milli else {
            return;
        };
        let elapsed = now.since(state.received_at).as_millis();
        let drained = elapsed.saturating_mul(rate) / 2;
        state.inbound = state.inbound.saturating_sub(drained).saturating_add(bytes);
        state.received_at = state.received_at.max(now);
        if state.inbound > rate * MAX_INBOUND_SPAN.as_millis() {
            state.behind_at = Some(state.received_at);
        }
    }

    /// Returns how long a message of the class would wait now.
    #[must_use]
    pub fn delay(&self, class: TrafficClass) -> MilliSpan {
        let Some(rate) = self.bytes_per_milli else {
            return MilliSpan::ZERO;
        };
        let now = self.clock.now();
        let mut state = self.state();
        state.drain(now, rate);
        let last = (class.leave_by(now), u64::MAX);
        let before = state.waiting.range(..=last);
        let waiting: u64 = before.map(|(_, message)| message.bytes).sum();
        let excess = (state.backlog + waiting).saturating_sub(ahead_bytes(rate));
        MilliSpan::new(excess / rate)
    }

    /// Returns the bytes that have been sent and received so far.
    #[must_use]
    pub fn usage(&self) -> LinkUsage {
        self.state().usage
    }

    /// Returns whether in the last `span` a message had to wait for the link, or more than
    /// half of what the link takes was received for some time.
    #[must_use]
    pub fn was_behind(&self, span: MilliSpan) -> bool {
        let now = self.clock.now();
        let state = self.state();
        let is_recent = |at: MilliTime| now.since(at) <= span;
        !state.waiting.is_empty() || state.behind_at.is_some_and(is_recent)
    }

    /// Returns whether messages wait, or `sent` bytes in `span` are much for the link.
    #[must_use]
    pub fn is_busy(&self, sent: u64, span: MilliSpan) -> bool {
        let Some(rate) = self.bytes_per_milli else {
            return false;
        };
        let much = rate * span.as_millis() * BUSY_PERCENT / 100;
        sent > much || self.waiting_bytes() > 0
    }

    /// Returns the bytes that wait to be sent.
    #[must_use]
    pub fn waiting_bytes(&self) -> u64 {
        let state = self.state();
        state.waiting.values().map(|message| message.bytes).sum()
    }

    /// Locks the state. Poisoning is ignored: each update is a single step, so a panic of
    /// another holder leaves the state valid.
    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LinkState {
    /// Subtracts what has left the host since the last update.
    fn drain(&mut self, now: MilliTime, rate: u64) {
        let elapsed = now.since(self.updated_at).as_millis();
        self.backlog = self.backlog.saturating_sub(elapsed.saturating_mul(rate));
        self.updated_at = self.updated_at.max(now);
    }

    fn record_sent(&mut self, class: TrafficClass, bytes: u64) {
        self.usage.sent[class as usize] += bytes;
        self.usage.calls[class as usize] += 1;
    }

    fn enqueue(&mut self, leave_by: MilliTime, bytes: u64) -> (QueuePlace, Arc<Notify>) {
        let place = (leave_by, self.next_number);
        self.next_number += 1;
        let turn = Arc::new(Notify::new());
        let message = QueuedMessage {
            bytes,
            turn: Arc::clone(&turn),
        };
        self.waiting.insert(place, message);
        (place, turn)
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.pacer.state();
        state.waiting.remove(&self.place);
        if let Some(message) = state.waiting.values().next() {
            message.turn.notify_one();
        }
    }
}

/// Returns the bytes that may be on their way out when a further message is sent.
const fn ahead_bytes(rate: u64) -> u64 {
    rate * SEND_AHEAD.as_millis()
}
