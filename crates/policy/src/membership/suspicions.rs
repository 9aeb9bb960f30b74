//! Timers of suspicions that have not been refuted.

use std::time::Duration;

use monsooncart_types::{id, map, time};

struct Suspicion {
    started_at: time::Time,
    repeated: bool,
}

/// Next step of a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// Send the suspicion again: if the first message was lost, a live daemon could not refute it.
    Repeat,
    /// Declare the member dead.
    Expire,
}

/// Active suspicions by VM.
#[derive(Default)]
pub struct Suspicions {
    by_vm: map::Map<id::Vm, Suspicion>,
}

impl Suspicions {
    /// Adds a suspicion, or restarts its timer.
    pub fn insert(&mut self, now: time::Time, vm: id::Vm) {
        let suspicion = Suspicion {
            started_at: now,
            repeated: false,
        };
        self.by_vm.insert(vm, suspicion);
    }

    /// Removes a suspicion.
    pub fn remove(&mut self, vm: &id::Vm) {
        self.by_vm.remove(vm);
    }

    /// Restarts all timers, as this daemon was paused and could not receive refutations.
    pub fn restart(&mut self, now: time::Time) {
        for suspicion in self.by_vm.values_mut() {
            suspicion.started_at = now;
            suspicion.repeated = false;
        }
    }

    /// Returns the steps due at `now` for suspicions that expire after `timeout`, sorted by VM, and
    /// removes the expired ones.
    pub fn due_steps(&mut self, now: time::Time, timeout: Duration) -> Vec<(id::Vm, Step)> {
        let mut steps = Vec::new();
        for (vm, suspicion) in &mut self.by_vm {
            let elapsed = now.since(suspicion.started_at);
            if elapsed >= timeout {
                steps.push((vm.clone(), Step::Expire));
            } else if elapsed >= timeout / 2 && !suspicion.repeated {
                suspicion.repeated = true;
                steps.push((vm.clone(), Step::Repeat));
            }
        }
        let expired = steps.iter().filter(|(_, step)| *step == Step::Expire);
        for (vm, _) in expired {
            self.by_vm.remove(vm);
        }
        steps.sort_unstable();
        steps
    }
}
