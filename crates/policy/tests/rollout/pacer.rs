//! The upload rate of parts.

use std::time::Duration;

use monsooncart_policy::rollout::pacer;
use monsooncart_types::time;

const KB: usize = 1000;

#[test]
fn replies_keep_to_the_rate_and_are_refused_when_the_link_is_busy() {
    let mut pacer = pacer::Pacer::new(1_000_000.0);
    let start = time::Time::from_millis(1000);

    let mut sent_bytes = 0;
    let mut refused = 0;
    for millis in 0..1000 {
        let now = start + Duration::from_millis(millis);
        match pacer.admit(now, 16 * KB) {
            Some(send_at) => {
                assert!(send_at >= now);
                sent_bytes += 16 * KB;
            }
            None => refused += 1,
        }
    }

    // One second at the rate, and what waits for the link.
    assert!(sent_bytes <= 1_200 * KB, "{sent_bytes} bytes");
    assert!(sent_bytes >= 1_000 * KB, "{sent_bytes} bytes");
    assert!(refused > 900);
}

#[test]
fn without_a_rate_nothing_is_delayed() {
    let mut pacer = pacer::Pacer::new(0.0);
    let now = time::Time::from_millis(5);

    let admitted = (0..100).map(|_| pacer.admit(now, 1 << 20));

    assert!(admitted.into_iter().all(|send_at| send_at == Some(now)));
}
