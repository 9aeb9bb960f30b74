//! Client of the daemons' admin listeners.

use std::collections::BTreeMap;
use std::fmt;
use std::net;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;
use monsooncart_daemon::status;
use monsooncart_types::instance;

/// Path of a daemon's status.
pub const STATUS: &str = "/v1/status";

/// Timeout of a call, from the connect to the end of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Step at which a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Step {
    /// Opening the connection.
    Connect,
    /// Sending the request and reading the response.
    Exchange,
    /// Decoding the response body.
    Decode,
}

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{step} of {path} at daemon {admin}: {reason}")]
pub struct Error {
    /// Step at which the call failed.
    pub step: Step,
    /// Path of the request.
    pub path: String,
    /// Address of the daemon's admin listener.
    pub admin: net::SocketAddr,
    /// Status of the response, if one was received.
    pub status: Option<http::StatusCode>,
    /// Description of the error.
    pub reason: String,
}

/// A call to one daemon.
struct Call<'a> {
    admin: net::SocketAddr,
    method: http::Method,
    path: &'a str,
}

impl Call<'_> {
    fn error(&self, step: Step, reason: &dyn fmt::Display) -> Error {
        Error {
            step,
            path: self.path.to_owned(),
            admin: self.admin,
            status: None,
            reason: reason.to_string(),
        }
    }

    async fn send(&self) -> Result<Bytes, Error> {
        let connect = |error: &dyn fmt::Display| self.error(Step::Connect, error);
        let exchange = |error: &dyn fmt::Display| self.error(Step::Exchange, error);
        let stream = tokio::net::TcpStream::connect(self.admin).await;
        let stream = stream.map_err(|e| connect(&e))?;
        let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream))
            .await
            .map_err(|e| connect(&e))?;
        let _connection = tokio::spawn(connection);
        let request = http::Request::builder()
            .method(&self.method)
            .uri(self.path)
            .header(http::header::HOST, self.admin.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|e| exchange(&e))?;
        let response = sender.send_request(request).await;
        let response = response.map_err(|e| exchange(&e))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|e| exchange(&e))?.to_bytes();
        if status.is_success() {
            return Ok(body);
        }
        let text = String::from_utf8_lossy(&body);
        let reason = format!("response status {status}: {}", text.trim_end());
        Err(Error {
            status: Some(status),
            ..self.error(Step::Exchange, &reason)
        })
    }

    /// Sends the request and decodes the JSON response.
    async fn send_and_decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, Error> {
        let body = tokio::time::timeout(CALL_TIMEOUT, self.send()).await;
        let timed_out = |_| {
            self.error(
                Step::Exchange,
                &format!("no response within {CALL_TIMEOUT:?}"),
            )
        };
        let body = body.map_err(timed_out)??;
        let value = serde_json::from_slice(&body);
        value.map_err(|error| self.error(Step::Decode, &error))
    }
}

/// Sends a GET request to a daemon and decodes the JSON response.
///
/// # Errors
///
/// Returns an error if the daemon does not respond in time, responds with an error status, or the
/// response cannot be decoded.
pub async fn get<T: serde::de::DeserializeOwned>(
    admin: net::SocketAddr,
    path: &str,
) -> Result<T, Error> {
    let method = http::Method::GET;
    Call {
        admin,
        method,
        path,
    }
    .send_and_decode()
    .await
}

/// Sends a POST request to a daemon and decodes the JSON response.
///
/// # Errors
///
/// Returns an error if the daemon does not respond in time, responds with an error status, or the
/// response cannot be decoded.
pub async fn post<T: serde::de::DeserializeOwned>(
    admin: net::SocketAddr,
    path: &str,
) -> Result<T, Error> {
    let method = http::Method::POST;
    Call {
        admin,
        method,
        path,
    }
    .send_and_decode()
    .await
}

/// Daemons of a fleet, discovered from the addresses of some of them.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Daemons by instance id, each with its status or the error of the status call.
    pub daemons: BTreeMap<instance::Instance, Daemon>,
    /// Errors of the addresses passed to [`Fleet::discover`] that did not return a status.
    pub unreachable: Vec<Error>,
}

/// A daemon of a fleet.
#[derive(Debug)]
pub struct Daemon {
    /// VM of the daemon.
    pub vm: String,
    /// Address of its admin listener.
    pub admin: net::SocketAddr,
    /// Its status, or the error of the status call.
    pub status: Result<status::Status, Error>,
}

impl Fleet {
    /// Reads the status of the given daemons and of the members that they know.
    pub async fn discover(admin: &[net::SocketAddr]) -> Self {
        let mut fleet = Self::default();
        let given = admin.iter().map(|admin| read_status(*admin));
        for (admin, status) in futures_util::future::join_all(given).await {
            match status {
                Ok(status) => fleet.add(admin, &status),
                Err(error) => fleet.unreachable.push(error),
            }
        }
        let members = fleet.members_without_status();
        let reads = members.iter().map(|member| read_status(member.admin));
        let statuses = futures_util::future::join_all(reads).await;
        for (member, (admin, status)) in members.iter().zip(statuses) {
            let vm = member.vm.to_string();
            let daemon = Daemon { vm, admin, status };
            fleet.daemons.insert(member.instance, daemon);
        }
        fleet
    }

    /// Admin listeners of the daemons that returned a status.
    pub fn responding(&self) -> Vec<net::SocketAddr> {
        let daemons = self.daemons.values();
        let responding = daemons.filter(|daemon| daemon.status.is_ok());
        responding.map(|daemon| daemon.admin).collect()
    }

    /// Sends a GET request to all daemons that returned a status; returns each daemon with its
    /// response.
    pub async fn get_from_all<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Vec<(&Daemon, Result<T, Error>)> {
        let daemons = self.daemons.values().filter(|d| d.status.is_ok());
        let calls = daemons.map(|daemon| async move {
            let response = get(daemon.admin, path).await;
            (daemon, response)
        });
        futures_util::future::join_all(calls).await
    }

    /// Errors of the daemons and addresses that did not return a status.
    pub fn failures(&self) -> impl Iterator<Item = &Error> {
        let daemons = self.daemons.values();
        let failed = daemons.filter_map(|daemon| daemon.status.as_ref().err());
        self.unreachable.iter().chain(failed)
    }

    fn add(&mut self, admin: net::SocketAddr, status: &status::Status) {
        let daemon = Daemon {
            vm: status.vm.to_string(),
            admin,
            status: Ok(status.clone()),
        };
        self.daemons.insert(status.instance, daemon);
    }

    fn members_without_status(&self) -> Vec<status::Member> {
        let statuses = self.daemons.values().filter_map(|d| d.status.as_ref().ok());
        let members = statuses.flat_map(|status| &status.members);
        let unknown = members.filter(|m| !self.daemons.contains_key(&m.instance));
        let by_instance: BTreeMap<_, _> = unknown.map(|m| (m.instance, m.clone())).collect();
        by_instance.into_values().collect()
    }
}

async fn read_status(admin: net::SocketAddr) -> (net::SocketAddr, Result<status::Status, Error>) {
    (admin, get(admin, STATUS).await)
}
