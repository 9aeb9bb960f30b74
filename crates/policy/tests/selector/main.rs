//! Tests of the policy that chooses by what was seen last.

mod belief;
mod budget;
mod choice;
mod ends;
mod fixture;
mod invariants;
