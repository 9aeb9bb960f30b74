//! The ledger of ejections, driven: one keeper for each service that this daemon has to do with.
//!
//! One task owns the keepers and does what they say. Calls of the platform and of other daemons
//! run beside it and bring their answers back as events, so that a slow platform delays no
//! decision.

mod task;

use std::sync::Arc;

use bytes::Bytes;
use monsooncart_config::service;
use monsooncart_policy::floor::{action, capacity, event, record, request, storage};
use monsooncart_store::store;
use monsooncart_types::{id, instance};
use tokio::sync::{mpsc, oneshot};

use crate::core;

/// Prefix of the keys of the services' records.
const PREFIX: &str = "floor/";

/// A question of one daemon to another about a service's ledger.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Question {
    /// Asks a holder of tokens to eject a server.
    Eject {
        /// The service.
        service: id::Service,
        /// The request.
        ask: request::Request,
    },
    /// Asks for the newest record that is known.
    Record {
        /// The service.
        service: id::Service,
    },
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Answer {
    /// The holder's answer.
    Eject(request::Reply),
    /// The newest record that is known.
    Record(Option<(storage::Version, record::Record)>),
    /// The question was not understood.
    Unknown,
}

impl Question {
    /// The question as bytes.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// The question from bytes; `None` where they are none.
    #[must_use]
    pub fn decode(payload: &[u8]) -> Option<Self> {
        serde_json::from_slice(payload).ok()
    }
}

impl Answer {
    /// The answer as bytes.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// The answer from bytes.
    #[must_use]
    pub fn decode(payload: &[u8]) -> Self {
        serde_json::from_slice(payload).unwrap_or(Self::Unknown)
    }
}

/// What one keeper is to be told, or asked.
#[derive(Debug)]
pub enum Input {
    /// An event for the keeper of a service.
    Event(id::Service, event::Event),
    /// A service's configuration, at its version; starts its keeper where this daemon is one of
    /// its holders or has asked for an ejection.
    Configuration(Arc<service::Service>, u64),
    /// A server said that it is leaving.
    Leaving(id::Service, id::Server),
    /// The record of a service may have changed: it stands at this version, at least.
    Announced(id::Service, storage::Version),
    /// The daemons that are to hold the tokens of a service.
    Holders(id::Service, Vec<instance::Instance>),
    /// Another daemon's question.
    Question(instance::Instance, Question, oneshot::Sender<Answer>),
    /// Asks for what is known of a service's ledger.
    View(id::Service, oneshot::Sender<Option<View>>),
    /// Writes spends back and returns tokens; answers when all is written.
    Stop(oneshot::Sender<()>),
}

/// What one daemon knows of a service's ledger, for operators.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct View {
    /// Version of the newest record.
    pub version: Option<u64>,
    /// The newest record.
    pub record: Option<record::Record>,
    /// Servers that this daemon takes for ejected.
    pub ejected: Vec<id::Server>,
    /// Tokens that this daemon can spend.
    pub free: u64,
}

/// Talks to the task that owns the keepers.
#[derive(Clone)]
pub struct Floors {
    inputs: mpsc::UnboundedSender<Input>,
}

impl Floors {
    /// Starts the task.
    #[must_use]
    pub fn start(core: Arc<core::Core>, store: Arc<dyn store::Store>) -> Self {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let task = task::Task::new(core, store, inputs.clone());
        tokio::spawn(task.run(receiver));
        Self { inputs }
    }

    /// Tells the task; nothing where it has ended.
    pub fn tell(&self, input: Input) {
        let _ended = self.inputs.send(input);
    }

    /// Answers another daemon's question.
    pub async fn question(&self, from: instance::Instance, question: Question) -> Answer {
        let (answer, answered) = oneshot::channel();
        self.tell(Input::Question(from, question, answer));
        answered.await.unwrap_or(Answer::Unknown)
    }

    /// What is known of a service's ledger; `None` where this daemon keeps none.
    pub async fn view(&self, service: id::Service) -> Option<View> {
        let (view, viewed) = oneshot::channel();
        self.tell(Input::View(service, view));
        viewed.await.ok().flatten()
    }

    /// Writes spends back and returns tokens.
    pub async fn stop(&self) {
        let (done, stopped) = oneshot::channel();
        self.tell(Input::Stop(done));
        let _ended = stopped.await;
    }
}

/// The capacity that a configuration says, less the servers known to be leaving.
fn capacity(
    service: &service::Service,
    version: u64,
    leaving: impl Fn(&id::Server) -> bool,
) -> capacity::Capacity {
    let servers = service.servers.iter().map(|server| capacity::Server {
        name: server.name.clone(),
        slots: u64::from(server.slots),
        available: !server.leaving && !leaving(&server.name),
        generation: 0,
    });
    capacity::Capacity {
        version,
        floor: service.floor_slots(),
        servers: servers.collect(),
    }
}

/// A call that an action asks for, and whom to tell.
type Actions = Vec<action::Action>;
