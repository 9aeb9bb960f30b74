//! Which requests are taken for the same one.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use monsooncart_policy::{event, handle};

use crate::policy_actions::ScriptedPolicies;
use crate::{fixture, host, keys};

const TIMEOUT: Duration = Duration::from_millis(300);

/// Keys of two organisations, the first one of which has two.
const KEYS: [&str; 3] = ["paper-1", "paper-2", "radio-1"];

fn policies() -> Arc<ScriptedPolicies> {
    ScriptedPolicies::new(|_, _| Vec::new())
}

async fn start(policies: &Arc<ScriptedPolicies>) -> fixture::Proxy {
    let mut paper = keys::organisation("paper", KEYS[0]);
    paper.keys.extend(keys::organisation("paper", KEYS[1]).keys);
    let access = keys::keys(vec![paper, keys::organisation("radio", KEYS[2])]);
    host::start_with_access(&[], TIMEOUT, policies.clone(), access).await
}

fn request(key: Option<&str>, path: &str, body: &Bytes) -> http::Request<Full<Bytes>> {
    let mut request = host::request("POST", path);
    if let Some(key) = key {
        request.headers_mut().insert("x-key", key.parse().unwrap());
    }
    request.map(|_| Full::new(body.clone()))
}

/// Fingerprints of the requests that have arrived at the policy, in order.
fn fingerprints(policies: &ScriptedPolicies) -> Vec<handle::Fingerprint> {
    let fingerprint = |event| match event {
        event::Event::Arrive(arrival) => arrival.fingerprint,
        _ => None,
    };
    policies
        .events()
        .into_iter()
        .filter_map(fingerprint)
        .collect()
}

/// Guards against a request that crashes servers and is cleared by the answers to another organisation's
/// (BUDGET), and against one of an organisation that is taken for several.
#[tokio::test]
async fn requests_are_the_same_if_organisation_target_and_body_are() {
    // Known whole, and by its head.
    for body_bytes in [0, 100, 100_000] {
        let body = Bytes::from(vec![b'a'; body_bytes]);
        let longer = Bytes::from(vec![b'a'; body_bytes + 1]);
        let policies = policies();
        let proxy = start(&policies).await;
        let requests = [
            request(Some(KEYS[0]), "/orders/1", &body),
            request(Some(KEYS[0]), "/orders/1", &body),
            request(Some(KEYS[1]), "/orders/1", &body),
            request(Some(KEYS[2]), "/orders/1", &body),
            request(Some(KEYS[0]), "/orders/2", &body),
            request(Some(KEYS[0]), "/orders/1", &longer),
            request(None, "/open/1", &body),
            request(None, "/open/1", &body),
        ];

        for request in requests {
            fixture::send(proxy.address, request).await;
        }

        let formed = fingerprints(&policies);
        let same = |a: usize, b: usize| formed[a] == formed[b];
        assert_eq!(formed.len(), 8);
        assert!(same(0, 1) && same(0, 2), "the same organisation");
        assert!(!same(0, 3), "another organisation, {body_bytes} bytes");
        assert!(!same(0, 4) && !same(0, 5), "another target or body");
        assert!(same(6, 7), "no organisation");
    }
}

/// Guards against crashes at a relay and at the daemon that asked it that don't add up.
#[tokio::test]
async fn a_relay_forms_the_fingerprint_of_the_daemon_that_asks_it() {
    let body = Bytes::from_static(b"body");
    for key in [Some(KEYS[0]), Some(KEYS[2]), None] {
        let (asking, relaying) = (policies(), policies());
        let relay = start(&relaying).await;
        let asked = ScriptedPolicies::new(|event, _| match event {
            event::Event::Arrive(arrival) => vec![monsooncart_policy::action::Action::Relay {
                request: arrival.request,
                attempt: handle::Attempt(1),
                peer: monsooncart_types::instance::Instance(2),
                max_attempts: 1,
            }],
            _ => Vec::new(),
        });
        let daemon = start(&asked).await;
        daemon.fakes.fleet.set_relay(relay.engine.clone());
        let path = if key.is_some() {
            "/orders/1"
        } else {
            "/open/1"
        };

        fixture::send(daemon.address, request(key, path, &body)).await;

        let direct = start(&asking).await;
        fixture::send(direct.address, request(key, path, &body)).await;
        let formed = fingerprints(&relaying);
        assert_eq!(formed.len(), 1, "{key:?}");
        assert_eq!(formed, fingerprints(&asked));
        assert_eq!(formed, fingerprints(&asking));
    }
}
