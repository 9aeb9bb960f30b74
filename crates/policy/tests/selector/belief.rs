//! Probability that a server is gray.

use std::time::Duration;

use monsooncart_policy::selector::belief::{Belief, Observation};
use monsooncart_types::time;

const NOW: time::Time = time::Time::from_millis(10_000);

#[test]
fn a_failure_raises_and_a_success_lowers_the_failure_probability() {
    let initial = Belief::new(NOW);
    let (mut failed, mut succeeded) = (initial, initial);

    failed.update(NOW, Observation::Failure);
    succeeded.update(NOW, Observation::Success);

    assert!(failed.failure_probability(NOW) > initial.failure_probability(NOW));
    assert!(succeeded.failure_probability(NOW) < initial.failure_probability(NOW));
}

#[test]
fn the_probability_decays_to_the_prior_without_observations() {
    let prior = Belief::new(NOW).gray_probability(NOW);
    let later = NOW + Duration::from_secs(60);
    for observation in [
        Observation::Success,
        Observation::Failure,
        Observation::Slow,
        Observation::Shed,
    ] {
        let mut belief = Belief::new(NOW);

        belief.update(NOW, observation);

        assert!(
            (belief.gray_probability(later) - prior).abs() < 1e-6,
            "{observation:?}"
        );
    }
}

#[test]
fn any_observations_keep_the_probability_between_0_and_1() {
    arbtest::arbtest(|u| {
        let mut belief = Belief::new(NOW);
        let mut now = NOW;
        for _ in 0..u.arbitrary_len::<u8>()? {
            now = now + Duration::from_millis(u.int_in_range(0..=5000)?);
            let observation = *u.choose(&[
                Observation::Success,
                Observation::Failure,
                Observation::Slow,
                Observation::Shed,
            ])?;
            belief.update(now, observation);
            let gray = belief.gray_probability(now);
            assert!((0.0..=1.0).contains(&gray), "{gray}");
        }
        Ok(())
    });
}
