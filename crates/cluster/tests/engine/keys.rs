//! Mutual TLS between daemons.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use monsooncart_cluster::{call, config, engine};
use monsooncart_config::settings;

use crate::fixture;

/// Certificate authority with a directory for the files of its daemons.
struct Authority {
    issuer: rcgen::Issuer<'static, rcgen::KeyPair>,
    directory: PathBuf,
}

static DIRECTORIES: AtomicU32 = AtomicU32::new(0);

impl Authority {
    fn new() -> Self {
        let number = DIRECTORIES.fetch_add(1, Ordering::SeqCst);
        let name = format!("keys-{}-{number}", std::process::id());
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).unwrap();
        let mut parameters = rcgen::CertificateParams::new(Vec::new()).unwrap();
        parameters.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let key = rcgen::KeyPair::generate().unwrap();
        let certificate = parameters.self_signed(&key).unwrap();
        fs::write(directory.join("authority.pem"), certificate.pem()).unwrap();
        Self {
            issuer: rcgen::Issuer::new(parameters, key),
            directory,
        }
    }

    /// Creates keys for a daemon.
    fn keys(&self, name: &str) -> settings::Keys {
        let names = vec![config::CERTIFICATE_NAME.to_owned()];
        let parameters = rcgen::CertificateParams::new(names).unwrap();
        let key = rcgen::KeyPair::generate().unwrap();
        let certificate = parameters.signed_by(&key, &self.issuer).unwrap();
        let keys = settings::Keys {
            certificate: self.directory.join(format!("{name}.pem")),
            key: self.directory.join(format!("{name}.key")),
            authority: self.directory.join("authority.pem"),
        };
        fs::write(&keys.certificate, certificate.pem()).unwrap();
        fs::write(&keys.key, key.serialize_pem()).unwrap();
        keys
    }
}

impl Drop for Authority {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

async fn start(
    name: &str,
    seeds: &[&engine::Engine],
    keys: Option<settings::Keys>,
) -> engine::Engine {
    let recorder = fixture::recorder();
    let seeds = seeds.iter().map(|seed| seed.local().peers).collect();
    let config = fixture::settings(name, &recorder).seeds(seeds).keys(keys);
    config.start().await.unwrap()
}

/// Returns the error of a call from `outsider` to `member`.
async fn call_error(outsider: &engine::Engine, member: &engine::Engine) -> call::Error {
    let call = outsider.client(member.local().peers);
    let claim = fixture::claim(member.local().instance);
    call.claim(claim, Duration::from_secs(10))
        .await
        .unwrap_err()
}

#[tokio::test]
async fn daemons_of_one_authority_call_each_other() {
    let authority = Authority::new();
    let one = start("vm-0", &[], Some(authority.keys("vm-0"))).await;
    let two = start("vm-1", &[&one], Some(authority.keys("vm-1"))).await;
    let joined = || one.members().len() == 2 && two.members().len() == 2;
    fixture::eventually("joined", joined).await;

    let minter = one.local().instance;
    let client = two.client(minter);
    let granted = client.claim(fixture::claim(minter), Duration::from_secs(10));

    assert_eq!(granted.await, Ok(Ok(())));
}

#[tokio::test]
async fn daemons_with_keys_discover_each_other() {
    let authority = Authority::new();
    let first = start("vm-0", &[], Some(authority.keys("vm-0"))).await;
    let mut daemons = vec![first];
    for name in ["vm-1", "vm-2", "vm-3", "vm-4"] {
        let next = start(name, &[&daemons[0]], Some(authority.keys(name))).await;
        daemons.push(next);
    }

    for daemon in &daemons {
        let joined = || daemon.members().len() == 5;
        fixture::eventually("joined", joined).await;
    }
}

#[tokio::test]
async fn a_daemon_of_another_authority_is_refused() {
    let (authority, other) = (Authority::new(), Authority::new());
    let member = start("vm-0", &[], Some(authority.keys("vm-0"))).await;
    let outsider = start("vm-1", &[&member], Some(other.keys("vm-1"))).await;

    let error = call_error(&outsider, &member).await;

    assert_eq!(error.step, call::Step::Handshake);
    assert_eq!(error.delivery, call::Delivery::NotDelivered);
}

#[tokio::test]
async fn a_daemon_without_keys_is_refused() {
    let authority = Authority::new();
    let member = start("vm-0", &[], Some(authority.keys("vm-0"))).await;
    let outsider = start("vm-1", &[&member], None).await;

    let error = call_error(&outsider, &member).await;

    assert_eq!(error.step, call::Step::Handshake);
    assert_eq!(error.delivery, call::Delivery::NotDelivered);
}

#[tokio::test]
async fn a_daemon_that_is_not_signed_by_the_authority_it_trusts_is_refused() {
    let (authority, other) = (Authority::new(), Authority::new());
    let member = start("vm-0", &[], Some(authority.keys("vm-0"))).await;
    let keys = settings::Keys {
        authority: authority.directory.join("authority.pem"),
        ..other.keys("vm-1")
    };
    let outsider = start("vm-1", &[&member], Some(keys)).await;

    let error = call_error(&outsider, &member).await;

    assert_eq!(error.delivery, call::Delivery::NotDelivered);
    assert_eq!(member.members().len(), 1);
}

#[tokio::test]
async fn the_error_names_an_unusable_key_file() {
    let authority = Authority::new();
    let keys = authority.keys("vm-0");
    fs::write(&keys.key, "no key").unwrap();
    let recorder = fixture::recorder();

    let started = fixture::settings("vm-0", &recorder)
        .keys(Some(keys.clone()))
        .start()
        .await;

    let error = started.err().unwrap().to_string();
    assert!(error.contains(&keys.key.display().to_string()), "{error}");
}
