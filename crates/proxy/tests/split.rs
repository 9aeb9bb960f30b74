//! Weighted distribution of a route's requests over its services.

use monsooncart_config::routing;
use monsooncart_proxy::split;

fn route(weights: &[f64]) -> routing::Route {
    let target = |(number, weight): (usize, &f64)| routing::Target {
        service: format!("service-{number}").parse().expect("valid name"),
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
        open: false,
    }
}

#[test]
fn requests_are_distributed_to_within_one_request_per_service() {
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
            let service = splitter.next_service(&route).expect("a service");
            let index = route.targets.iter().position(|t| t.service == service);
            counts[index.expect("service of the route")] += 1.0;
            for (count, weight) in counts.iter().zip(&weights) {
                let expected = f64::from(sent) * weight / total;
                assert!((count - expected).abs() <= 1.0 + 1e-9 * expected + count_slack(&weights));
            }
        }
        Ok(())
    });
}

/// Additional deviation allowed with more than two services: while the service with the most credit
/// is selected, each other one may have to wait for one more request.
fn count_slack(weights: &[f64]) -> f64 {
    weights.len().saturating_sub(2) as f64
}

#[test]
fn route_without_services_selects_none() {
    assert_eq!(split::Splitter::default().next_service(&route(&[])), None);
}
