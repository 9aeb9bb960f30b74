//! Division of a route's requests over its services.

use monsooncart_config::routing;
use monsooncart_proxy::split;

fn route(weights: &[f64]) -> routing::Route {
    let target = |(number, weight): (usize, &f64)| routing::Target {
        service: format!("service-{number}").parse().expect("a name"),
        weight: *weight,
    };
    routing::Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        repeatable: true,
        timeout: None,
        objective: None,
        attempts: 1,
        priority: 0,
        targets: weights.iter().enumerate().map(target).collect(),
    }
}

#[test]
fn any_run_of_requests_is_divided_to_within_a_request_a_service() {
    arbtest::arbtest(|u| {
        let count = u.int_in_range(1..=5)?;
        let weights: Vec<f64> = (0..count)
            .map(|_| Ok(f64::from(u.int_in_range(1..=100u32)?)))
            .collect::<arbtest::arbitrary::Result<_>>()?;
        let route = route(&weights);
        let splitter = split::Splitter::default();
        let total: f64 = weights.iter().sum();
        let mut counts = vec![0.0; weights.len()];
        for sent in 1..=200 {
            let service = splitter.next(&route).expect("a service");
            let place = route.targets.iter().position(|t| t.service == service);
            counts[place.expect("one of the route's")] += 1.0;
            for (count, weight) in counts.iter().zip(&weights) {
                let owed = f64::from(sent) * weight / total;
                assert!((count - owed).abs() <= 1.0 + 1e-9 * owed + count_slack(&weights));
            }
        }
        Ok(())
    });
}

/// With more than two services, the largest claim goes first and another may wait for one more.
fn count_slack(weights: &[f64]) -> f64 {
    weights.len().saturating_sub(2) as f64
}

#[test]
fn a_route_without_services_leads_nowhere() {
    assert_eq!(split::Splitter::default().next(&route(&[])), None);
}
