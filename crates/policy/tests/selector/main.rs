//! Tests of the policy that selects servers by expected cost.

mod admission;
mod belief;
mod bodies;
mod budget;
mod choice;
mod coverage;
mod crashes;
mod fixture;
mod idle_servers;
mod invariants;
mod load;
mod lost_data_centre;
mod outcomes;
mod overload;
mod path_loss;
mod rate_limit;
mod report;
mod retry_after;
mod retry_fleet;
