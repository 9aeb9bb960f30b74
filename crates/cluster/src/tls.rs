//! Mutual TLS between daemons.

use std::fmt::Display;
use std::path::Path;
use std::sync::Arc;

use monsooncart_config::settings;
use tokio_rustls::rustls;
use tokio_rustls::rustls::pki_types;
use tokio_rustls::rustls::pki_types::pem::PemObject;

use crate::config;

/// Server and client sides of mutual TLS.
#[derive(Clone)]
pub(crate) struct Tls {
    pub(crate) acceptor: tokio_rustls::TlsAcceptor,
    pub(crate) connector: tokio_rustls::TlsConnector,
}

/// Creates errors for a certificate or key file.
fn error(file: &Path) -> impl Fn(&dyn Display) -> config::Error {
    let file = file.display().to_string();
    move |reason| config::Error::Keys {
        file: file.clone(),
        reason: reason.to_string(),
    }
}

fn certificates(file: &Path) -> Result<Vec<pki_types::CertificateDer<'static>>, config::Error> {
    let error = error(file);
    let parsed = pki_types::CertificateDer::pem_file_iter(file);
    let parsed = parsed.and_then(Iterator::collect::<Result<Vec<_>, _>>);
    let certificates = parsed.map_err(|e| error(&e))?;
    if certificates.is_empty() {
        return Err(error(&"file contains no certificate"));
    }
    Ok(certificates)
}

impl Tls {
    /// Loads the certificate, key and authority files of `keys`.
    pub(crate) fn load(keys: &settings::Keys) -> Result<Self, config::Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let chain = certificates(&keys.certificate)?;
        let key = || {
            let key = pki_types::PrivateKeyDer::from_pem_file(&keys.key);
            key.map_err(|e| error(&keys.key)(&e))
        };
        let mut roots = rustls::RootCertStore::empty();
        for authority in certificates(&keys.authority)? {
            let added = roots.add(authority);
            added.map_err(|e| error(&keys.authority)(&e))?;
        }
        let roots = Arc::new(roots);
        let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
            roots.clone(),
            provider.clone(),
        );
        let verifier = verifier.build().map_err(|e| error(&keys.authority)(&e))?;
        let server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(|e| error(&keys.certificate)(&e))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key()?)
            .map_err(|e| error(&keys.key)(&e))?;
        let client = rustls::ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|e| error(&keys.certificate)(&e))?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key()?)
            .map_err(|e| error(&keys.key)(&e))?;
        Ok(Self {
            acceptor: Arc::new(server).into(),
            connector: Arc::new(client).into(),
        })
    }
}
