//! Tests of the balancer: each behaviour by itself, the invariants under random events, and
//! comparisons with the naive baseline on simulated servers.

mod connections;
mod detection;
mod fixture;
mod health;
mod invariants;
mod overload;
mod poison;
mod queue;
mod retry;
mod simulation;
mod slots;
