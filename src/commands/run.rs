//! `run`: runs a daemon.

use std::path;
use std::time::Duration;

use clap::Args;
use monsooncart_config::settings;
use monsooncart_daemon::{config, engine, reload};
use tokio::signal::unix;

use crate::exit;

/// Interval between checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Arguments of `run`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Settings file of the daemon, in JSON with comments.
    #[arg(env = monsooncart_platform::SETTINGS_PATH_VARIABLE)]
    settings: path::PathBuf,
}

impl Arguments {
    /// Runs the daemon until it is requested to stop.
    ///
    /// SIGTERM or SIGINT starts a planned stop, which completes the requests in flight; a second
    /// one stops the daemon immediately. On SIGHUP, and when the settings file has changed, the
    /// settings are reloaded.
    pub async fn run(self) -> exit::Code {
        let settings = match settings::Settings::read(&self.settings) {
            Ok(settings) => settings,
            Err(errors) => {
                eprintln!("{errors}");
                return exit::Code::Input;
            }
        };
        // The handlers are installed before the start, so that an early signal does not kill the
        // process.
        let signals = match Signals::new() {
            Ok(signals) => signals,
            Err(error) => {
                eprintln!("daemon: signal handlers could not be installed: {error}");
                return exit::Code::Failure;
            }
        };
        let config = config::Config::new(settings).protocols(monsooncart_platform::protocols());
        let engine = match config.start().await {
            Ok(engine) => engine,
            Err(error) => {
                eprintln!("daemon: {error}");
                return exit::Code::Failure;
            }
        };
        println!(
            "ready: callers={} admin={} peers={} advertised={}",
            engine.caller_address(),
            engine.admin_address(),
            engine.peer_address(),
            engine.advertised_peer_address()
        );
        serve(&engine, &self.settings, signals).await
    }
}

/// Handlers of the signals that a daemon reacts to.
struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
            hangup: unix::signal(unix::SignalKind::hangup())?,
        })
    }
}

async fn serve(engine: &engine::Engine, path: &path::Path, mut signals: Signals) -> exit::Code {
    let mut settings_poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    let mut last_modified_at = read_modified_at(path);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            () = engine.drain_requested() => break,
            _ = signals.hangup.recv() => reload_settings(engine, path),
            _ = settings_poll.tick() => {
                let modified_at = read_modified_at(path);
                if modified_at != last_modified_at {
                    last_modified_at = modified_at;
                    reload_settings(engine, path);
                }
            }
        }
    }
    let mut stop = std::pin::pin!(engine.stop());
    loop {
        tokio::select! {
            () = stop.as_mut() => return exit::Code::Success,
            _ = signals.terminate.recv() => return abort(engine),
            _ = signals.interrupt.recv() => return abort(engine),
            // A daemon that is stopping does not reload its settings.
            _ = signals.hangup.recv() => {}
        }
    }
}

/// Reads the modification time of the settings file, if it can be read.
fn read_modified_at(path: &path::Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Reloads the settings; those in force stay if the file is invalid.
fn reload_settings(engine: &engine::Engine, path: &path::Path) {
    match settings::Settings::read(path) {
        Ok(settings) => {
            let _outcome = reload::apply(engine, &settings);
        }
        Err(errors) => {
            log::error!(errors:%; "daemon: settings file is invalid; keeping the settings in force");
        }
    }
}

fn abort(engine: &engine::Engine) -> exit::Code {
    let aborted = engine.abort();
    eprintln!("daemon: stopped immediately, {aborted} requests were aborted");
    exit::Code::Failure
}
