//! `run`: runs a daemon.

use std::path;

use clap::Args;
use monsooncart_config::settings;
use monsooncart_daemon::{config, engine};
use tokio::signal::unix;

use crate::exit;

/// Arguments of `run`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// File with the settings of the daemon, in JSON with comments.
    #[arg(env = monsooncart_platform::SETTINGS)]
    settings: path::PathBuf,
}

impl Arguments {
    /// Runs the daemon until it is told to stop.
    ///
    /// SIGTERM or SIGINT begins a planned stop, which cuts nothing; a second one ends the daemon
    /// at once.
    pub async fn run(self) -> exit::Code {
        let settings = match settings::Settings::read(&self.settings) {
            Ok(settings) => settings,
            Err(errors) => {
                eprintln!("{errors}");
                return exit::Code::Input;
            }
        };
        let config = config::Config::new(settings).interface(monsooncart_platform::interface());
        let engine = match config.start().await {
            Ok(engine) => engine,
            Err(error) => {
                eprintln!("daemon: {error}");
                return exit::Code::Failure;
            }
        };
        println!(
            "ready: callers={} admin={} peers={} advertised={}",
            engine.callers(),
            engine.admin(),
            engine.peers(),
            engine.advertised()
        );
        serve(&engine).await
    }
}

async fn serve(engine: &engine::Engine) -> exit::Code {
    let signals = unix::signal(unix::SignalKind::terminate())
        .and_then(|terminate| Ok((terminate, unix::signal(unix::SignalKind::interrupt())?)));
    let (mut terminate, mut interrupt) = match signals {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("daemon: signals are not to be had: {error}");
            return exit::Code::Failure;
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = engine.drain_asked() => {}
    }
    tokio::select! {
        () = engine.stop() => exit::Code::Success,
        _ = terminate.recv() => abort(engine),
        _ = interrupt.recv() => abort(engine),
    }
}

fn abort(engine: &engine::Engine) -> exit::Code {
    let cut = engine.abort();
    eprintln!("daemon: ended at once, {cut} requests were cut");
    exit::Code::Failure
}
