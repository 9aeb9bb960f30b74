//! Integration tests over real processes, a module for each topic.

mod answers;
mod burn;
mod config_apply;
mod config_files;
mod configuration;
mod explain;
mod fixture;
mod floor;
mod gateway;
mod leaving;
mod once;
mod path;
mod poison;
mod secret;
mod soak;
mod stop;
mod usage;
