//! Service-level burn: rates against the objectives, merging over daemons, and report formats.

use std::collections::BTreeMap;
use std::time::Duration;

use monsooncart_config::objective;
use monsooncart_types::{id, instance, span};
use monsooncart_usage::burn::{html, report, series, snapshot, tracker, window};
use monsooncart_usage::sample;

const NOW: u64 = 1_700_000_000;

fn objective() -> objective::Objective {
    objective::Objective {
        availability: "99%".parse().expect("a share"),
        fast: "90%".parse().expect("a share"),
        latency: span::Span(Duration::from_millis(100)),
    }
}

fn service() -> id::Service {
    "mediavault".parse().expect("a name")
}

fn objectives() -> BTreeMap<id::Service, objective::Objective> {
    BTreeMap::from([(service(), objective())])
}

fn sample(outcome: sample::Outcome, milliseconds: u64) -> sample::Sample {
    let cause = sample::Cause {
        server: Some("media-3".parse().expect("a name")),
        fault: sample::Fault::Timeout,
        decision: sample::Decision::NotRepeated,
    };
    sample::Sample {
        organisation: "north-tv".parse().expect("a name"),
        service: service(),
        outcome,
        attempts: 1,
        received: 0,
        sent: 0,
        latency: Duration::from_millis(milliseconds),
        cause: outcome.is_bad().then_some(cause),
    }
}

/// Creates the tracker of a daemon with `good`, `bad` and `slow` requests at `seconds`.
fn tracker(number: u64, seconds: u64, good: u32, bad: u32, slow: u32) -> tracker::Tracker {
    let mut tracker = tracker::Tracker::new(instance::Instance(number));
    let good = (0..good).map(|_| sample(sample::Outcome::Answered, 10));
    let bad = (0..bad).map(|_| sample(sample::Outcome::Unknown, 10));
    let slow = (0..slow).map(|_| sample(sample::Outcome::Answered, 500));
    for sample in good.chain(bad).chain(slow) {
        tracker.record(seconds, &objective(), &sample);
    }
    tracker
}

fn report(trackers: &mut [tracker::Tracker]) -> report::Report {
    let mut snapshots = snapshot::Snapshots::default();
    for tracker in trackers {
        tracker
            .snapshot()
            .into_iter()
            .for_each(|part| snapshots.add(part));
        tracker
            .snapshot()
            .into_iter()
            .for_each(|part| snapshots.add(part));
    }
    report::Report::new(NOW, &objectives(), &snapshots)
}

fn burn(report: &report::Report, window: window::Window) -> report::Burn {
    let burns = &report.services[0].burns;
    *burns
        .iter()
        .find(|b| b.window == window)
        .expect("every window")
}

fn is_close(burn: Option<f64>, expected: f64) -> bool {
    burn.is_some_and(|burn| (burn - expected).abs() < 1e-9)
}

#[test]
fn burn_is_the_failed_share_over_the_allowed_share() {
    let report = report(&mut [tracker(1, NOW, 88, 2, 10)]);

    let burn = burn(&report, window::Window::FiveMinutes);

    assert_eq!((burn.total, burn.bad, burn.slow), (100, 2, 10));
    assert!(is_close(burn.availability, 2.0), "{burn:?}");
    assert!(is_close(burn.latency, 1.0), "{burn:?}");
}

#[test]
fn daemons_are_summed_and_repeated_snapshots_count_once() {
    let report = report(&mut [tracker(1, NOW, 99, 1, 0), tracker(2, NOW, 97, 3, 0)]);

    let burn = burn(&report, window::Window::Hour);

    assert_eq!((burn.total, burn.bad), (200, 4));
}

#[test]
fn requests_expire_from_each_window_by_age() {
    let ages = [0, 600, 7_200, 10 * 3_600, 4 * 86_400];
    let trackers = ages.iter().enumerate();
    let mut trackers: Vec<_> = trackers
        .map(|(n, age)| tracker(n as u64, NOW - age, 1, 0, 0))
        .collect();

    let report = report(&mut trackers);

    let totals = window::Window::ALL.map(|w| burn(&report, w).total);
    assert_eq!(totals, [1, 2, 3, 4]);
}

#[test]
fn a_request_abandoned_by_its_caller_is_not_counted() {
    let mut tracker = tracker(1, NOW, 1, 0, 0);

    let abandoned = sample(sample::Outcome::Abandoned, 10);
    tracker.record(NOW, &objective(), &abandoned);

    let report = report(&mut [tracker]);
    assert_eq!(burn(&report, window::Window::Hour).total, 1);
}

#[test]
fn the_report_lists_the_causes_that_spent_the_budget() {
    let report = report(&mut [tracker(1, NOW, 80, 15, 5)]);

    let spenders = &report.services[0].spenders;

    let first = &spenders[0];
    assert_eq!(first.cause.to_string(), "media-3 timeout not-repeated");
    assert_eq!(first.requests, 15);
    assert!((first.share - 0.75).abs() < 1e-9);
    assert_eq!(spenders[1].cause.fault, sample::Fault::Slow);
}

#[test]
fn an_objective_without_a_budget_has_no_burn() {
    let without_budget = objective::Objective {
        availability: "100%".parse().expect("a share"),
        ..objective()
    };
    let mut snapshots = snapshot::Snapshots::default();
    let parts = tracker(1, NOW, 9, 1, 0).snapshot();
    parts.into_iter().for_each(|part| snapshots.add(part));

    let objectives = BTreeMap::from([(service(), without_budget)]);
    let report = report::Report::new(NOW, &objectives, &snapshots);

    assert_eq!(burn(&report, window::Window::Hour).availability, None);
}

#[test]
fn memory_is_bounded_over_time_and_over_organisations() {
    let mut tracker = tracker::Tracker::new(instance::Instance(1));

    for n in 0..20_000_u64 {
        let mut sample = sample(sample::Outcome::Answered, 10);
        sample.organisation = format!("org{n}").parse().expect("a name");
        tracker.record(NOW + n, &objective(), &sample);
    }
    let mut series = series::Series::default();
    for n in 0..100_000 {
        series.add(
            NOW + n * 60,
            monsooncart_usage::burn::bucket::Bucket::default(),
        );
    }

    assert!(tracker.len() <= tracker::MAX_SERIES + 1);
    let end = NOW + 100_000 * 60;
    for window in window::Window::ALL {
        assert!(series.window(window, end).count() as u64 <= window.bucket_count());
    }
}

#[test]
fn an_organisation_with_faults_is_not_evicted_for_those_without() {
    let mut tracker = tracker(1, NOW, 0, 5, 0);

    for n in 0..10_000_u64 {
        let mut sample = sample(sample::Outcome::Answered, 10);
        sample.organisation = format!("org{n}").parse().expect("a name");
        tracker.record(NOW, &objective(), &sample);
    }

    let report = report(&mut [tracker]);
    let first = &report.services[0].organisations[0];
    assert_eq!(first.name.as_str(), "north-tv");
}

#[test]
fn the_report_formats_as_a_table_and_round_trips_through_json() {
    let report = report(&mut [tracker(1, NOW, 88, 2, 10)]);

    let table = report.to_string();
    let json = serde_json::to_string(&report).expect("reports are JSON");
    let read: report::Report = serde_json::from_str(&json).expect("it reads back");

    assert!(table.contains("mediavault"), "{table}");
    assert!(table.contains("media-3 timeout not-repeated"), "{table}");
    assert_eq!(read, report);
}

#[test]
fn a_snapshot_part_round_trips_through_json_and_postcard() {
    let part = tracker(1, NOW, 88, 2, 10).snapshot().remove(0);

    let text = serde_json::to_string(&part).expect("snapshots are JSON");
    let read: snapshot::Part = serde_json::from_str(&text).expect("it reads back");
    let bytes = postcard::to_stdvec(&part).expect("snapshots encode");
    let decoded: snapshot::Part = postcard::from_bytes(&bytes).expect("it decodes");

    assert_eq!(read, part);
    assert_eq!(decoded, part);
}

/// Worst case for the size: 60 services, the maximum number of series, and requests in every
/// bucket.
#[test]
fn the_parts_of_a_full_tracker_fit_the_platform_size_limit() {
    let mut tracker = tracker::Tracker::new(instance::Instance(1));
    let times =
        window::Window::ALL.map(|w| (0..w.bucket_count()).map(move |n| n * w.bucket_seconds()));
    let mut times: Vec<u64> = times.into_iter().flatten().map(|age| NOW - age).collect();
    times.sort_unstable();
    for organisation in 0..tracker::MAX_SERIES {
        for seconds in &times {
            let mut sample = sample(sample::Outcome::Answered, 10);
            sample.organisation = format!("{organisation:0>60}").parse().expect("a name");
            sample.service = format!("{:0>40}", organisation % 60)
                .parse()
                .expect("a name");
            tracker.record(*seconds, &objective(), &sample);
        }
    }

    let parts = tracker.snapshot();

    assert!(parts.len() <= snapshot::PARTS as usize);
    for part in parts {
        let bytes = serde_json::to_vec(&part).expect("snapshots are JSON").len();
        assert!(bytes < 1 << 20, "{} has {bytes} bytes", part.name);
        assert!(part.newest_hour_start() > NOW - 3_600);
    }
}

#[test]
fn the_html_page_is_self_contained() {
    let mut trackers = [
        tracker(1, NOW, 88, 2, 10),
        tracker(2, NOW - 9_000, 80, 20, 0),
    ];
    let report = report(&mut trackers);

    let page = html::render(&report).expect("the plots are drawn");

    assert!(page.contains("<svg"), "{page}");
    assert!(page.contains("media-3"), "{page}");
    for external in ["<script", "<link", "src=", "@import", "url("] {
        assert!(!page.contains(external), "page has {external}");
    }
}

#[test]
fn a_service_without_requests_is_rendered() {
    let report = report::Report::new(NOW, &objectives(), &snapshot::Snapshots::default());

    let page = html::render(&report).expect("there is nothing to draw");

    assert!(page.contains("mediavault"));
}
