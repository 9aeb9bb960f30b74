//! The cases.

mod endless_body;
mod late_in_stop;
mod poison;
mod slow_upload;

use crate::Verdict;

pub fn run(case: &str, trouble: bool) -> Verdict {
    match case {
        "poison-after-restart" => poison::run(poison::Plan {
            body_bytes: 20_000,
            crashes: true,
            restarts: match trouble {
                true => poison::Restarts::Yes,
                false => poison::Restarts::LeftOut,
            },
            duration: 100.0,
        }),
        "poison-upload" => poison::run(poison::Plan {
            body_bytes: 100_000,
            crashes: trouble,
            restarts: poison::Restarts::None,
            duration: 50.0,
        }),
        "late-in-stop" => late_in_stop::run(trouble),
        "slow-upload" => slow_upload::run(trouble),
        "endless-body" => endless_body::run(trouble),
        _ => Verdict::Unable(format!("no case {case}")),
    }
}
