//! Logs what the host sends over its link while the link is busy. Log lines of this
//! module have the prefix `link:`.

use pimentochute_base::MilliSpan;
use pimentochute_platform::{LinkPacer, LinkUsage, TrafficClass};
use tokio_util::sync::CancellationToken;

/// The interval of the log lines.
const USAGE_INTERVAL: MilliSpan = MilliSpan::new(1_000);

/// Logs the usage of the link until `stop`, in each interval in which a message had to wait
/// or much was sent.
pub(crate) async fn log_usage(link: LinkPacer, stop: CancellationToken) {
    let mut before = link.usage();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(USAGE_INTERVAL.as_duration()) => {}
        }
        let usage = link.usage();
        let last = usage.since(&before);
        before = usage;
        if link.is_busy(last.total_sent(), USAGE_INTERVAL) {
            log_line(&link, &last);
        }
    }
}

fn log_line(link: &LinkPacer, last: &LinkUsage) {
    let sent = |class: TrafficClass| last.sent[class as usize];
    let received = |class: TrafficClass| last.received[class as usize];
    let calls = |class: TrafficClass| last.calls[class as usize];
    log::info!(
        sent = last.total_sent(),
        received = last.total_received(),
        liveness = sent(TrafficClass::Liveness),
        answer = sent(TrafficClass::Answer),
        calls = received(TrafficClass::Answer),
        append = sent(TrafficClass::Append),
        order = sent(TrafficClass::Order),
        orders = calls(TrafficClass::Order),
        poll = sent(TrafficClass::Poll),
        polls = calls(TrafficClass::Poll),
        poll_answers = received(TrafficClass::Poll),
        query = sent(TrafficClass::Query),
        advice = sent(TrafficClass::Advice),
        read = sent(TrafficClass::Read),
        read_answers = received(TrafficClass::Read),
        waiting = link.waiting_bytes(),
        delay:% = link.delay(TrafficClass::Order);
        "link: usage"
    );
}
