//! Tasks that panic run again; those that end do not.

use std::sync::atomic::{AtomicU32, Ordering};

use monsooncart_task::{catch, run_restarting};

#[tokio::test(start_paused = true)]
async fn a_task_that_panics_runs_again_until_it_ends() {
    let runs = AtomicU32::new(0);

    run_restarting("test", || async {
        let run = runs.fetch_add(1, Ordering::SeqCst);
        assert!(run >= 3, "run {run} fails");
    })
    .await;

    assert_eq!(runs.load(Ordering::SeqCst), 4);
}

#[tokio::test(start_paused = true)]
async fn a_panic_before_the_first_await_point_is_caught() {
    let runs = AtomicU32::new(0);

    run_restarting("test", || {
        let run = runs.fetch_add(1, Ordering::SeqCst);
        async move {
            if run == 0 {
                std::panic::panic_any(7_u32);
            }
            tokio::task::yield_now().await;
        }
    })
    .await;

    assert_eq!(runs.load(Ordering::SeqCst), 2);
}

#[test]
fn a_panic_of_a_step_is_contained() {
    let result = catch("test", || -> u32 { panic!("step fails") });

    assert_eq!(result, None);
    assert_eq!(catch("test", || 3), Some(3));
}
