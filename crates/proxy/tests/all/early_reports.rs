//! Reports about services and servers that are not configured yet.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_config::service;
use monsooncart_policy::{event, handle};
use monsooncart_proxy::report;
use monsooncart_types::{id, instance, run};
use strum::IntoEnumIterator as _;

use crate::fixture;
use crate::policy_actions::ScriptedPolicies;

const FINGERPRINT: handle::Fingerprint = handle::Fingerprint(5);

/// Maximum number of reports that wait.
const MAX_REPORTS: u64 = 4096;

fn service_name() -> id::Service {
    "wiredesk".parse().unwrap()
}

/// A report of this kind, about a server if the kind is.
fn example(kind: report::Kind) -> report::Report {
    let server = "server-0".parse().unwrap();
    match kind {
        report::Kind::Quarantine => report::Report::Quarantine {
            fingerprint: FINGERPRINT,
            duration: Duration::from_secs(60),
        },
        report::Kind::Crash => report::Report::Crash {
            fingerprint: FINGERPRINT,
            run: run::Run {
                server,
                started_millis: 1,
            },
        },
        report::Kind::Acquittal => report::Report::Acquittal {
            fingerprint: FINGERPRINT,
        },
        report::Kind::Leaving => report::Report::Leaving {
            server,
            started_millis: 0,
        },
        report::Kind::Ejection => report::Report::Ejection {
            server,
            ejection: event::Ejection::Granted,
        },
        report::Kind::RateLimit => report::Report::RateLimit {
            server,
            started_millis: 0,
            limit: None,
        },
        report::Kind::Evidence => report::Report::Evidence {
            from: instance::Instance(2),
            digests: Vec::new(),
        },
        report::Kind::PathLost => report::Report::PathLost,
    }
}

/// Whether an event passes on a report of this kind.
fn passes_on(kind: report::Kind, event: &event::Event) -> bool {
    match kind {
        report::Kind::Quarantine => {
            matches!(event, event::Event::Quarantine { fingerprint, .. } if *fingerprint == FINGERPRINT)
        }
        report::Kind::Crash => {
            matches!(event, event::Event::CrashReport { fingerprint, .. } if *fingerprint == FINGERPRINT)
        }
        report::Kind::Acquittal => *event == event::Event::Acquittal(FINGERPRINT),
        report::Kind::Leaving => matches!(event, event::Event::Leaving(_)),
        report::Kind::Ejection => matches!(event, event::Event::Ejection { .. }),
        report::Kind::RateLimit => matches!(event, event::Event::PeerRateLimit { .. }),
        report::Kind::Evidence => matches!(event, event::Event::Evidence { .. }),
        report::Kind::PathLost => matches!(event, event::Event::PeerPathLost),
    }
}

async fn service_with_server() -> service::Service {
    let address = fixture::closed_address().await;
    fixture::service(vec![fixture::server_spec("server-0", address)])
}

fn configure(proxy: &fixture::Proxy, service: &service::Service) {
    proxy.engine.configure(Arc::new(fixture::snapshot(service)));
}

/// Guards against a restarted daemon that drops what it is told before its first configuration, such as
/// a quarantine (BUDGET).
#[tokio::test]
async fn reports_of_every_kind_that_is_not_repeated_wait_for_the_first_configuration() {
    for kind in report::Kind::iter() {
        let policies = ScriptedPolicies::new(|_, _| Vec::new());
        let proxy = fixture::start_unconfigured_proxy(policies.clone()).await;
        let waits = example(kind).retention().is_some();

        proxy.engine.report(&service_name(), example(kind));
        configure(&proxy, &service_with_server().await);

        let events = policies.events();
        let passed_on = events.iter().any(|event| passes_on(kind, event));
        assert_eq!(passed_on, waits, "{kind}");
    }
}

#[tokio::test]
async fn reports_about_a_server_wait_for_the_server() {
    for kind in [report::Kind::Leaving, report::Kind::Ejection] {
        let policies = ScriptedPolicies::new(|_, _| Vec::new());
        let proxy = fixture::start_unconfigured_proxy(policies.clone()).await;
        configure(&proxy, &fixture::service(Vec::new()));
        proxy.engine.report(&service_name(), example(kind));
        let passed_on = |event: &event::Event| passes_on(kind, event);
        assert!(!policies.events().iter().any(passed_on), "{kind}");

        configure(&proxy, &service_with_server().await);

        assert!(policies.events().iter().any(passed_on), "{kind}");
    }
}

#[tokio::test]
async fn a_quarantine_that_ends_before_the_first_configuration_is_not_applied() {
    let policies = ScriptedPolicies::new(|_, _| Vec::new());
    let proxy = fixture::start_unconfigured_proxy(policies.clone()).await;
    let quarantine = report::Report::Quarantine {
        fingerprint: FINGERPRINT,
        duration: Duration::from_millis(1),
    };
    proxy.engine.report(&service_name(), quarantine);
    tokio::time::sleep(Duration::from_millis(50)).await;

    configure(&proxy, &service_with_server().await);

    assert_eq!(policies.events(), []);
}

#[tokio::test]
async fn the_number_of_waiting_reports_is_bounded() {
    let policies = ScriptedPolicies::new(|_, _| Vec::new());
    let proxy = fixture::start_unconfigured_proxy(policies.clone()).await;
    for number in 0..=MAX_REPORTS {
        let quarantine = report::Report::Quarantine {
            fingerprint: handle::Fingerprint(number),
            duration: Duration::from_secs(60),
        };
        proxy.engine.report(&service_name(), quarantine);
    }

    configure(&proxy, &service_with_server().await);

    let quarantines = policies.events().into_iter();
    let quarantines = quarantines.filter(|e| matches!(e, event::Event::Quarantine { .. }));
    assert_eq!(quarantines.count() as u64, MAX_REPORTS);
}
