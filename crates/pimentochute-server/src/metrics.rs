//! Counters and histograms, exported in the text format of Prometheus.

use derive_more::{Display, Error};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pimentochute_base::MilliSpan;
use prometheus::{Registry, TextEncoder};

/// The bucket bounds of duration histograms, in milliseconds.
const DURATION_BOUNDS_MS: &[f64] = &[
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
    30_000.0,
];

/// The metrics of the process.
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    /// Keeps the instruments connected to the registry.
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    durations: Histogram<f64>,
    refusals: Counter<u64>,
    connections: UpDownCounter<i64>,
    refused_connections: Counter<u64>,
    lost_clients: Counter<u64>,
    held_bytes: Gauge<u64>,
    child_failures: Counter<u64>,
    peer_calls: Counter<u64>,
}

impl Metrics {
    /// Creates the metrics with their own registry.
    ///
    /// # Errors
    /// Fails if the exporter cannot be set up.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|source| MetricsError::Setup { source })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("pimentochute");
        Ok(Self {
            registry,
            answers: meter.u64_counter("http_answers").build(),
            durations: meter
                .f64_histogram("http_duration_ms")
                .with_boundaries(DURATION_BOUNDS_MS.to_vec())
                .build(),
            refusals: meter.u64_counter("refusals").build(),
            connections: meter.i64_up_down_counter("http_connections").build(),
            refused_connections: meter.u64_counter("http_connections_refused").build(),
            lost_clients: meter.u64_counter("http_clients_lost").build(),
            held_bytes: meter.u64_gauge("http_body_bytes").build(),
            child_failures: meter.u64_counter("child_failures").build(),
            peer_calls: meter.u64_counter("peer_calls").build(),
            meter,
            _provider: provider,
        })
    }

    /// Returns the meter, with which other modules create their instruments.
    #[must_use]
    pub const fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Returns all metrics in the text format of Prometheus.
    ///
    /// # Errors
    /// Fails if a metric cannot be encoded.
    pub fn text(&self) -> Result<String, MetricsError> {
        let encoded = TextEncoder::new().encode_to_string(&self.registry.gather());
        encoded.map_err(|source| MetricsError::Encode { source })
    }

    /// Counts a response of an HTTP server and records how long it took.
    pub fn count_response(&self, server: &'static str, status: u16, took: MilliSpan) {
        let server = KeyValue::new("server", server);
        let status = KeyValue::new("status", i64::from(status));
        self.answers.add(1, &[server.clone(), status]);
        let millis = took.as_duration().as_secs_f64() * 1_000.0;
        self.durations.record(millis, &[server]);
    }

    /// Counts a refusal by its code.
    pub fn count_refusal(&self, code: &'static str) {
        self.refusals.add(1, &[KeyValue::new("code", code)]);
    }

    /// Changes the number of open connections: 1 for an opened one, -1 for a
    /// closed one.
    pub fn change_connections(&self, server: &'static str, change: i64) {
        self.connections
            .add(change, &[KeyValue::new("server", server)]);
    }

    /// Counts a call that was refused because too many connections were open.
    pub fn count_refused_connection(&self, server: &'static str) {
        self.refused_connections
            .add(1, &[KeyValue::new("server", server)]);
    }

    /// Counts a client whose connection or body is given up, by the reason.
    pub fn count_lost_client(&self, server: &'static str, reason: &'static str) {
        let labels = [
            KeyValue::new("server", server),
            KeyValue::new("reason", reason),
        ];
        self.lost_clients.add(1, &labels);
    }

    /// Records the memory that request bodies take.
    pub fn record_held_bytes(&self, bytes: u64) {
        self.held_bytes.record(bytes, &[]);
    }

    /// Counts a failure of a supervised child.
    pub fn count_child_failure(&self, child: &'static str) {
        self.child_failures.add(1, &[KeyValue::new("child", child)]);
    }

    /// Counts a call to another entry host.
    pub fn count_peer_call(&self, call: &'static str, succeeded: bool) {
        let labels = [
            KeyValue::new("call", call),
            KeyValue::new("succeeded", succeeded),
        ];
        self.peer_calls.add(1, &labels);
    }
}

/// The metrics cannot be set up or exported.
#[derive(Debug, Display, Error)]
pub enum MetricsError {
    /// The exporter cannot be set up.
    #[display("metrics cannot be set up: {source}")]
    Setup {
        /// What the exporter reported.
        source: OTelSdkError,
    },
    /// A metric cannot be encoded.
    #[display("metrics cannot be shown: {source}")]
    Encode {
        /// What the encoder reported.
        source: prometheus::Error,
    },
}
