//! `run`: runs a daemon.

use std::path;
use std::time::Duration;

use clap::Args;
use monsooncart_config::settings;
use monsooncart_daemon::{config, engine, reload};
use tokio::signal::unix;

use crate::exit;

/// Time between two looks at the file of settings, which may change without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Arguments of `run`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// File with the settings of the daemon, in JSON with comments.
    #[arg(env = monsooncart_platform::SETTINGS_PATH_VARIABLE)]
    settings: path::PathBuf,
}

impl Arguments {
    /// Runs the daemon until it is told to stop.
    ///
    /// SIGTERM or SIGINT begins a planned stop, which cuts nothing; a second one ends the daemon
    /// at once. On SIGHUP, and when their file has changed, settings are read again.
    pub async fn run(self) -> exit::Code {
        let settings = match settings::Settings::read(&self.settings) {
            Ok(settings) => settings,
            Err(errors) => {
                eprintln!("{errors}");
                return exit::Code::Input;
            }
        };
        // Signals are taken from before the start on, so that one that comes early ends nothing.
        let signals = match Signals::new() {
            Ok(signals) => signals,
            Err(error) => {
                eprintln!("daemon: signals are not to be had: {error}");
                return exit::Code::Failure;
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
            engine.caller_address(),
            engine.admin_address(),
            engine.peer_address(),
            engine.advertised_peer_address()
        );
        serve(&engine, &self.settings, signals).await
    }
}

/// The signals that a daemon takes.
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
    let mut looks = tokio::time::interval(LOOK);
    let mut seen = modified(path);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            () = engine.drain_requested() => break,
            _ = signals.hangup.recv() => reread(engine, path),
            _ = looks.tick() => {
                let now = modified(path);
                if now != seen {
                    seen = now;
                    reread(engine, path);
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
            // A daemon that is stopping needs no other settings.
            _ = signals.hangup.recv() => {}
        }
    }
}

/// When the settings were written, where that can be told.
fn modified(path: &path::Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Takes the settings again. Those in force stay where the file is not good.
fn reread(engine: &engine::Engine, path: &path::Path) {
    match settings::Settings::read(path) {
        Ok(settings) => {
            let _outcome = reload::apply(engine, &settings);
        }
        Err(errors) => {
            log::error!(errors:%; "daemon: settings are not good, keeping those in force");
        }
    }
}

fn abort(engine: &engine::Engine) -> exit::Code {
    let cut = engine.abort();
    eprintln!("daemon: ended at once, {cut} requests were cut");
    exit::Code::Failure
}
