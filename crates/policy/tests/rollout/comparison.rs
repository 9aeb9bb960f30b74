//! How soon a daemon that missed a change asks a peer that has it.

use std::time::Duration;

use monsooncart_policy::rollout::comparison;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};

/// Time in which a configuration is to be in force (`config_apply_s` of the users' platform): no peer that responds
/// may be asked later.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Place of the first peer that responds, in a random order.
fn first_place(rng: &mut SmallRng, peers: usize, lost: usize) -> Option<usize> {
    let mut responds: Vec<_> = (0..peers).map(|peer| peer >= lost).collect();
    responds.shuffle(rng);
    let mut asked = responds.iter().take(comparison::MAX_PEERS);
    asked.position(|responds| *responds)
}

/// Guards against a daemon that asks lost peers in turn and serves an older configuration meanwhile (CONFIG).
#[test]
fn a_peer_that_responds_is_asked_soon_though_most_are_lost() {
    let mut late = 0;
    for seed in 0..1000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let peers = rng.random_range(10..=300);
        let lost = peers * 4 / 5;

        let place = first_place(&mut rng, peers, lost);

        let is_late = place.is_none_or(|place| comparison::ask_delay(place) > APPLY_TIME);
        late += u32::from(is_late);
    }
    assert_eq!(late, 0, "of 1000 draws");
}

/// Guards against comparisons that cost more while peers respond.
#[test]
fn one_peer_is_asked_while_it_responds() {
    // Far longer than a call between regions takes.
    const RESPONSE_TIME: Duration = Duration::from_millis(100);

    assert_eq!(comparison::ask_delay(0), Duration::ZERO);
    assert!(comparison::ask_delay(1) >= RESPONSE_TIME);
}
