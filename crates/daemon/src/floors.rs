//! Runs the ejection ledgers: one controller for each service that this daemon has events about.
//!
//! A single task owns the controllers and executes their actions. Calls to the platform and to
//! other daemons run concurrently and feed their results back as events, so that a slow platform
//! delays no decision. The ledger, its tokens and their holders are described in
//! [`monsooncart_policy::floor`].

mod task;

use std::sync::Arc;

use bytes::Bytes;
use monsooncart_config::service;
use monsooncart_policy::floor::{action, capacity, event, record, request, storage};
use monsooncart_store::store;
use monsooncart_types::{id, instance};
use tokio::sync::{mpsc, oneshot};

use crate::core;

/// Key prefix of the services' ledger records in the store.
const KEY_PREFIX: &str = "floor/";

/// A request from one daemon to another about a service's ledger.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum PeerRequest {
    /// Asks a token holder to eject a server.
    Eject {
        /// Service the server belongs to.
        service: id::Service,
        /// The ejection request.
        ask: request::Request,
    },
    /// Asks for the newest known record.
    Record {
        /// Service whose record is requested.
        service: id::Service,
    },
}

/// The response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum PeerResponse {
    /// The holder's reply to an ejection request.
    Eject(request::Reply),
    /// The newest known record and its version.
    Record(Option<(storage::Version, record::Record)>),
    /// The request could not be decoded or handled.
    Unknown,
}

impl PeerRequest {
    /// Encodes the request as JSON.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a request; `None` if the payload is malformed.
    #[must_use]
    pub fn decode(payload: &[u8]) -> Option<Self> {
        serde_json::from_slice(payload).ok()
    }
}

impl PeerResponse {
    /// Encodes the response as JSON.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a response; a malformed payload yields [`PeerResponse::Unknown`].
    #[must_use]
    pub fn decode(payload: &[u8]) -> Self {
        serde_json::from_slice(payload).unwrap_or(Self::Unknown)
    }
}

/// Input to the ledger task.
#[derive(Debug)]
pub enum Input {
    /// An event for the controller of a service.
    Event(id::Service, event::Event),
    /// A service's configuration and its version. They are stored; the service's controller is
    /// created by a later input, such as an ejection request or holders that include this daemon.
    Configuration(Arc<service::Service>, u64),
    /// A server announced that it is leaving.
    ServerLeaving(id::Service, id::Server),
    /// The record of a service is at least at this version.
    RecordAnnounced(id::Service, storage::Version),
    /// The daemons that hold the tokens of a service.
    Holders(id::Service, Vec<instance::Instance>),
    /// A request from another daemon and the channel for its response.
    PeerRequest(
        instance::Instance,
        PeerRequest,
        oneshot::Sender<PeerResponse>,
    ),
    /// Reads the state of a service's ledger.
    View(id::Service, oneshot::Sender<Option<View>>),
    /// Writes spent tokens to the records and gives the unspent ones back; notifies once everything
    /// is written.
    Stop(oneshot::Sender<()>),
}

/// A daemon's view of a service's ledger, for operators.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct View {
    /// Version of the newest known record.
    pub version: Option<u64>,
    /// The newest known record.
    pub record: Option<record::Record>,
    /// Servers this daemon considers ejected.
    pub ejected: Vec<id::Server>,
    /// Number of tokens this daemon can spend.
    pub free: u64,
}

/// Handle to the task that owns the ledger controllers.
#[derive(Clone)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
}

impl Handle {
    /// Starts the ledger task.
    #[must_use]
    pub fn start(core: Arc<core::Core>, store: Arc<dyn store::Store>) -> Self {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let task = task::Task::new(core, store, inputs.clone());
        tokio::spawn(task.run(receiver));
        Self { inputs }
    }

    /// Sends an input to the task; has no effect once the task has ended.
    pub fn send(&self, input: Input) {
        let _task_ended = self.inputs.send(input);
    }

    /// Handles a request from another daemon.
    pub async fn handle_request(
        &self,
        from: instance::Instance,
        request: PeerRequest,
    ) -> PeerResponse {
        let (response_sender, response) = oneshot::channel();
        self.send(Input::PeerRequest(from, request, response_sender));
        response.await.unwrap_or(PeerResponse::Unknown)
    }

    /// The state of a service's ledger; `None` if this daemon has none for it.
    pub async fn view(&self, service: id::Service) -> Option<View> {
        let (view_sender, view) = oneshot::channel();
        self.send(Input::View(service, view_sender));
        view.await.ok().flatten()
    }

    /// Writes spent tokens to the records and gives the unspent ones back; waits until everything
    /// is written.
    pub async fn stop(&self) {
        let (done, stopped) = oneshot::channel();
        self.send(Input::Stop(done));
        let _task_ended = stopped.await;
    }
}

/// The configured capacity; servers known to be leaving count as unavailable.
fn capacity(
    service: &service::Service,
    version: u64,
    is_leaving: impl Fn(&id::Server) -> bool,
) -> capacity::Capacity {
    let servers = service.servers.iter().map(|server| capacity::Server {
        name: server.name.clone(),
        slots: u64::from(server.slots),
        available: !server.leaving && !is_leaving(&server.name),
        generation: 0,
    });
    capacity::Capacity {
        version,
        floor: service.floor_slots(),
        servers: servers.collect(),
    }
}

/// Actions requested by a controller.
type Actions = Vec<action::Action>;
