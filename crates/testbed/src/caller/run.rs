//! Runs the workers of a caller.

use std::sync::{Arc, Mutex, PoisonError};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::{client, entries, options, pace, report, request};

/// Sends requests according to the options and returns their results.
///
/// The latency of a request counts from when it was scheduled, so that it includes the time by
/// which earlier slow responses delayed the request (no coordinated omission).
pub async fn run(options: options::Options) -> report::Report {
    let schedule = Arc::new(pace::Schedule::new(
        options.count,
        options.rate,
        options.duration,
    ));
    let workers = options.workers;
    let tally = Arc::new(Mutex::new(report::Tally::new()));
    let shared = Arc::new(request::Shared {
        options,
        entries: entries::Cache::default(),
        pool: client::Pool::default(),
    });
    let spawn_worker = |_| {
        let worker = run_worker(shared.clone(), schedule.clone(), tally.clone());
        tokio::spawn(worker)
    };
    let workers: Vec<_> = (0..workers).map(spawn_worker).collect();
    for worker in workers {
        if let Err(error) = worker.await {
            log::error!(error:%; "caller: worker task failed");
        }
    }
    let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    tally.report(schedule.elapsed())
}

async fn run_worker(
    shared: Arc<request::Shared>,
    schedule: Arc<pace::Schedule>,
    tally: Arc<Mutex<report::Tally>>,
) {
    while let Some(scheduled) = schedule.next() {
        tokio::time::sleep_until(scheduled.send_at.into()).await;
        let seed = shared.options.seed.wrapping_add(scheduled.number);
        let draw: f64 = StdRng::seed_from_u64(seed).random();
        let unrepeatable = draw < shared.options.unrepeatable;
        let request = request::Pending::new(&shared, scheduled.number, unrepeatable);
        let completion = request.run(scheduled.send_at).await;
        let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.record(completion);
    }
}
