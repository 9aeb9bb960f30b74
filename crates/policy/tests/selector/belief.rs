//! What is believed of a server.

use std::time::Duration;

use monsooncart_policy::selector::belief::{Belief, Sight};
use monsooncart_types::time;

const NOW: time::Time = time::Time::from_millis(10_000);

#[test]
fn one_failure_raises_and_one_success_lowers_the_chance_of_another_failure() {
    let unseen = Belief::new(NOW);
    let (mut failed, mut worked) = (unseen, unseen);

    failed.see(NOW, Sight::Bad);
    worked.see(NOW, Sight::Good);

    assert!(failed.fails(NOW) > unseen.fails(NOW));
    assert!(worked.fails(NOW) < unseen.fails(NOW));
}

#[test]
fn belief_drifts_back_to_what_is_usual() {
    let usual = Belief::new(NOW).gray(NOW);
    let later = NOW + Duration::from_secs(60);
    for sight in [Sight::Good, Sight::Bad, Sight::Slow, Sight::Shed] {
        let mut belief = Belief::new(NOW);

        belief.see(NOW, sight);

        assert!((belief.gray(later) - usual).abs() < 1e-6, "{sight:?}");
    }
}

#[test]
fn no_sights_make_a_belief_leave_its_bounds() {
    arbtest::arbtest(|u| {
        let mut belief = Belief::new(NOW);
        let mut now = NOW;
        for _ in 0..u.arbitrary_len::<u8>()? {
            now = now + Duration::from_millis(u.int_in_range(0..=5000)?);
            let sight = *u.choose(&[Sight::Good, Sight::Bad, Sight::Slow, Sight::Shed])?;
            belief.see(now, sight);
            let gray = belief.gray(now);
            assert!((0.0..=1.0).contains(&gray), "{gray}");
        }
        Ok(())
    });
}
