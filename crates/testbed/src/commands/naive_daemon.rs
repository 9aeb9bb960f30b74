//! `naive-daemon`: A daemon with the naive policy, as the baseline of measurements.

use std::path;
use std::process;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use monsooncart_config::settings;
use monsooncart_daemon::{config, policies};

/// Arguments of `naive-daemon`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Settings file of the daemon, in JSON with comments.
    settings: path::PathBuf,
}

impl Arguments {
    /// Runs the daemon until the process is terminated.
    pub async fn run(self) -> process::ExitCode {
        let settings = match settings::Settings::read(&self.settings) {
            Ok(settings) => settings,
            Err(errors) => {
                eprintln!("{errors}");
                return process::ExitCode::FAILURE;
            }
        };
        let config = config::Config::new(settings).policies(Arc::new(policies::Naive));
        let engine = match config.start().await {
            Ok(engine) => engine,
            Err(error) => {
                eprintln!("naive-daemon: {error}");
                return process::ExitCode::FAILURE;
            }
        };
        println!(
            "ready: callers={} admin={}",
            engine.caller_address(),
            engine.admin_address()
        );
        loop {
            tokio::time::sleep(Duration::from_secs(3600)).await;
        }
    }
}
