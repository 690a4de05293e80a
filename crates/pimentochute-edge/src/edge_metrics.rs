//! The metrics of an entry host.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use pimentochute_base::MilliSpan;
use pimentochute_work::DecisionCounts;

/// The bounds of duration histograms, in milliseconds.
const DURATION_BOUNDS_MS: &[f64] = &[
    5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 20_000.0,
];

/// The metrics of an entry host, exposed on its `/metrics` page.
#[derive(Debug, Clone)]
pub(crate) struct EdgeMetrics {
    accepted: Counter<u64>,
    refused: Counter<u64>,
    orders: Counter<u64>,
    order_times: Histogram<f64>,
    batches: Counter<u64>,
    batch_times: Histogram<f64>,
    terms: Counter<u64>,
    open_jobs: Gauge<u64>,
    workers: Gauge<u64>,
    batches_open: Gauge<u64>,
    suspects_waiting: Gauge<u64>,
    early_cancellations: Gauge<u64>,
    decisions: Counter<u64>,
    evacuated: Gauge<u64>,
    config_age: Gauge<u64>,
    join_answer_age: Gauge<u64>,
}

impl EdgeMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let times = |name: &'static str| {
            let histogram = meter.f64_histogram(name);
            histogram
                .with_boundaries(DURATION_BOUNDS_MS.to_vec())
                .build()
        };
        Self {
            accepted: meter.u64_counter("jobs_accepted").build(),
            refused: meter.u64_counter("calls_refused").build(),
            orders: meter.u64_counter("orders").build(),
            order_times: times("order_duration_ms"),
            batches: meter.u64_counter("batches").build(),
            batch_times: times("batch_duration_ms"),
            terms: meter.u64_counter("owner_terms").build(),
            open_jobs: meter.u64_gauge("jobs_open").build(),
            workers: meter.u64_gauge("workers_known").build(),
            batches_open: meter.u64_gauge("batches_open").build(),
            suspects_waiting: meter.u64_gauge("suspects_waiting").build(),
            early_cancellations: meter.u64_gauge("cancellations_kept").build(),
            decisions: meter.u64_counter("cell_decisions").build(),
            evacuated: meter.u64_gauge("data_centres_evacuated").build(),
            config_age: meter.u64_gauge("config_age_ms").build(),
            join_answer_age: meter.u64_gauge("log_silence_ms").build(),
        }
    }

    /// Counts a job that is in the log and was accepted.
    pub(crate) fn count_accepted_job(&self) {
        self.accepted.add(1, &[]);
    }

    /// Counts a refused call by its reason.
    pub(crate) fn count_refused_call(&self, reason: &'static str) {
        self.refused.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the outcome and duration of an order to a worker.
    pub(crate) fn record_order(&self, kind: &'static str, outcome: &'static str, took: MilliSpan) {
        let kind = KeyValue::new("kind", kind);
        let outcome = KeyValue::new("outcome", outcome);
        self.orders.add(1, &[kind.clone(), outcome]);
        self.order_times.record(millis(took), &[kind]);
    }

    /// Records the outcome and duration of one append of a batch.
    pub(crate) fn record_batch(&self, outcome: &'static str, took: MilliSpan) {
        self.batches.add(1, &[KeyValue::new("outcome", outcome)]);
        self.batch_times.record(millis(took), &[]);
    }

    /// Counts a term as owner.
    pub(crate) fn count_term(&self) {
        self.terms.add(1, &[]);
    }

    /// Records the size of the owned cell; zeros on a host that does not own it.
    pub(crate) fn record_cell(&self, jobs: usize, workers: usize, batches: usize) {
        self.open_jobs.record(jobs as u64, &[]);
        self.workers.record(workers as u64, &[]);
        self.batches_open.record(batches as u64, &[]);
    }

    /// Records the number of tasks that are suspected of crashing their workers and wait.
    pub(crate) fn record_suspects(&self, waiting: usize) {
        self.suspects_waiting.record(waiting as u64, &[]);
    }

    /// Records the number of cancellations of unknown jobs that the owned cell remembers.
    pub(crate) fn record_early_cancellations(&self, kept: usize) {
        self.early_cancellations.record(kept as u64, &[]);
    }

    /// Adds the decisions of the owned cell since they were last recorded.
    pub(crate) fn record_decisions(&self, decisions: &DecisionCounts) {
        for (decision, count) in decisions.made() {
            let name: &str = decision.into();
            self.decisions
                .add(count, &[KeyValue::new("decision", name)]);
        }
    }

    /// Records the number of evacuated data centres that this host knows of.
    pub(crate) fn record_evacuated(&self, data_centres: usize) {
        self.evacuated.record(data_centres as u64, &[]);
    }

    /// Records the times since the configuration was last confirmed and since
    /// the last answered join.
    pub(crate) fn record_ages(&self, config_age: MilliSpan, join_answer_age: MilliSpan) {
        self.config_age.record(config_age.as_millis(), &[]);
        self.join_answer_age
            .record(join_answer_age.as_millis(), &[]);
    }
}

fn millis(span: MilliSpan) -> f64 {
    span.as_duration().as_secs_f64() * 1_000.0
}
