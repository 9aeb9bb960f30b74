//! The task that owns the ledger controllers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use monsooncart_cluster::scope;
use monsooncart_config::service;
use monsooncart_policy::floor::{action, controller, event, mark, record, request, storage};
use monsooncart_proxy::report;
use monsooncart_store::{error, object, store};
use monsooncart_types::{id, instance, map};
use monsooncart_wire::{floor, update};
use tokio::sync::{mpsc, oneshot};

use super::{Actions, Input, KEY_PREFIX, PeerRequest, PeerResponse, View, capacity};
use crate::core;

/// Interval between the controllers' tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a call to another daemon.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// State of one service's ledger.
struct Ledger {
    controller: controller::Controller,
    configuration: Option<(Arc<service::Service>, u64)>,
    leaving_servers: map::Set<id::Server>,
    holders: Vec<instance::Instance>,
    /// Announced version of the record, until the controller knows it or a newer one.
    announced_version: Option<storage::Version>,
    record_requested: bool,
}

/// Owns the controllers and executes their actions.
pub(super) struct Task {
    core: Arc<core::Core>,
    store: Arc<dyn store::Store>,
    inputs: mpsc::UnboundedSender<Input>,
    ledgers: map::Map<id::Service, Ledger>,
    configurations: map::Map<id::Service, (Arc<service::Service>, u64)>,
    /// Notifies the requester of a stop once all ledgers have stopped.
    stopped_sender: Option<oneshot::Sender<()>>,
}

impl Task {
    pub(super) fn new(
        core: Arc<core::Core>,
        store: Arc<dyn store::Store>,
        inputs: mpsc::UnboundedSender<Input>,
    ) -> Self {
        Self {
            core,
            store,
            inputs,
            ledgers: map::Map::default(),
            configurations: map::Map::default(),
            stopped_sender: None,
        }
    }

    pub(super) async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = receiver.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(service, event) => self.handle_event(&service, event),
            Input::Configuration(service, version) => self.configure(service, version),
            Input::ServerLeaving(service, server) => self.add_leaving_server(&service, server),
            Input::RecordAnnounced(service, version) => self.handle_announcement(&service, version),
            Input::Holders(service, holders) => self.set_holders(&service, holders),
            Input::PeerRequest(from, request, response) => {
                let _receiver_dropped = response.send(self.handle_request(from, request));
            }
            Input::View(service, view) => {
                let _receiver_dropped = view.send(self.view(&service));
            }
            Input::Stop(done) => self.stop(done),
        }
    }

    /// Returns the ledger of a service and creates it if needed; `None` for an unknown service.
    fn get_or_create_ledger(&mut self, service: &id::Service) -> Option<&mut Ledger> {
        if !self.ledgers.contains_key(service) {
            let configuration = self.configurations.get(service)?.clone();
            let vm = self.core.settings.name.clone();
            let mut ledger = Ledger {
                controller: controller::Controller::new(self.core.instance, vm),
                configuration: None,
                leaving_servers: map::Set::default(),
                holders: Vec::new(),
                announced_version: None,
                record_requested: false,
            };
            ledger.configuration = Some(configuration);
            self.ledgers.insert(service.clone(), ledger);
            self.update_capacity(service);
        }
        self.ledgers.get_mut(service)
    }

    fn configure(&mut self, service: Arc<service::Service>, version: u64) {
        let name = service.name.clone();
        let configuration = (service, version);
        self.configurations
            .insert(name.clone(), configuration.clone());
        if let Some(ledger) = self.ledgers.get_mut(&name) {
            ledger.configuration = Some(configuration);
            self.update_capacity(&name);
        }
    }

    fn add_leaving_server(&mut self, service: &id::Service, server: id::Server) {
        let Some(ledger) = self.get_or_create_ledger(service) else {
            return;
        };
        if ledger.leaving_servers.insert(server) {
            self.update_capacity(service);
        }
    }

    fn update_capacity(&mut self, service: &id::Service) {
        let Some(ledger) = self.ledgers.get(service) else {
            return;
        };
        let Some((configuration, version)) = &ledger.configuration else {
            return;
        };
        let is_leaving = |server: &id::Server| ledger.leaving_servers.contains(server);
        let capacity = capacity(configuration, *version, is_leaving);
        self.handle_event(service, event::Event::Capacity(capacity));
    }

    fn set_holders(&mut self, service: &id::Service, holders: Vec<instance::Instance>) {
        let is_holder = holders.contains(&self.core.instance);
        if !is_holder && !self.ledgers.contains_key(service) {
            return;
        }
        let Some(ledger) = self.get_or_create_ledger(service) else {
            return;
        };
        if ledger.holders != holders {
            ledger.holders.clone_from(&holders);
            self.handle_event(service, event::Event::Holders(holders));
        }
    }

    fn handle_announcement(&mut self, service: &id::Service, version: storage::Version) {
        let Some(ledger) = self.ledgers.get_mut(service) else {
            return;
        };
        let known = ledger.controller.view().version();
        if known.is_none_or(|known| known < version) {
            ledger.announced_version = Some(version);
            self.refresh_record(service);
        }
    }

    /// Reads a service's record from the store and passes it to the controller.
    fn refresh_record(&self, service: &id::Service) {
        let store = self.store.clone();
        let inputs = self.inputs.clone();
        let service = service.clone();
        tokio::spawn(async move {
            let key = record_key(&service);
            if let storage::Response::Read(Some((version, record))) =
                read_from_store(&*store, &key).await
            {
                let event = event::Event::Changed { version, record };
                let _task_ended = inputs.send(Input::Event(service, event));
            }
        });
    }

    fn handle_request(&mut self, from: instance::Instance, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Eject {
                service,
                ask: request,
            } => {
                let server = request.server.clone();
                let mut actions = Vec::new();
                let now = self.core.now();
                if let Some(ledger) = self.get_or_create_ledger(&service) {
                    let event = event::Event::Request { from, request };
                    ledger.controller.handle(now, event, &mut actions);
                }
                let reply = self.execute(&service, actions);
                let denial = request::Reply { server, mark: None };
                PeerResponse::Eject(reply.unwrap_or(denial))
            }
            PeerRequest::Record { service } => {
                let ledger = self.ledgers.get(&service);
                let view = ledger.map(|l| l.controller.view());
                let record = view.and_then(|v| Some((v.version()?, v.record()?.clone())));
                PeerResponse::Record(record)
            }
        }
    }

    fn view(&self, service: &id::Service) -> Option<View> {
        let ledger = self.ledgers.get(service)?;
        let view = ledger.controller.view();
        Some(View {
            version: view.version().map(|v| v.0),
            record: view.record().cloned(),
            ejected: view.ejected().into_iter().collect(),
            free: ledger.controller.spendable_tokens(),
        })
    }

    fn stop(&mut self, done: oneshot::Sender<()>) {
        self.stopped_sender = Some(done);
        let services: Vec<_> = self.ledgers.keys().cloned().collect();
        for service in services {
            self.handle_event(&service, event::Event::Stop);
        }
        self.complete_stop();
    }

    fn tick(&mut self) {
        let services: Vec<_> = self.ledgers.keys().cloned().collect();
        for service in services {
            self.handle_event(&service, event::Event::Tick);
            self.refresh_outdated_record(&service);
            self.report_terminated_holders(&service);
        }
        self.complete_stop();
    }

    /// Reads the record from the store while an announced version is newer than the known one;
    /// requests it from peers while none is known.
    fn refresh_outdated_record(&mut self, service: &id::Service) {
        let Some(ledger) = self.ledgers.get_mut(service) else {
            return;
        };
        let known = ledger.controller.view().version();
        let newer_version = ledger
            .announced_version
            .filter(|a| known.is_none_or(|k| k < *a));
        let should_request = known.is_none() && !ledger.record_requested;
        ledger.announced_version = newer_version;
        if newer_version.is_some() {
            self.refresh_record(service);
        }
        if should_request {
            self.request_record(service);
        }
    }

    fn request_record(&self, service: &id::Service) {
        let Some(cluster) = self.core.cluster() else {
            return;
        };
        for member in self.core.entries.entry_set(service).iter() {
            if member.instance == self.core.instance {
                continue;
            }
            let client = cluster.client(member);
            let inputs = self.inputs.clone();
            let service = service.clone();
            tokio::spawn(async move {
                let request = PeerRequest::Record {
                    service: service.clone(),
                };
                let payload = request.encode();
                let response = client.floor(floor::Request { payload }, PEER_TIMEOUT).await;
                let response = response.map(|r| PeerResponse::decode(&r.payload));
                if let Ok(PeerResponse::Record(Some((version, record)))) = response {
                    let event = event::Event::Changed { version, record };
                    let _task_ended = inputs.send(Input::Event(service, event));
                }
            });
        }
    }

    /// Reports to the controller the token holders in its record that are known to have terminated.
    fn report_terminated_holders(&mut self, service: &id::Service) {
        let Some(cluster) = self.core.cluster() else {
            return;
        };
        let Some(ledger) = self.ledgers.get(service) else {
            return;
        };
        let record = ledger.controller.view().record();
        let holders = record.into_iter().flat_map(|r| r.holders.keys());
        let terminated: BTreeSet<_> = holders
            .filter(|holder| cluster.is_terminated(**holder))
            .copied()
            .collect();
        if !terminated.is_empty() {
            self.handle_event(service, event::Event::Gone(terminated));
        }
    }

    fn complete_stop(&mut self) {
        let has_stopped = |ledger: &Ledger| {
            let record = ledger.controller.view().record();
            !record.is_some_and(|r| r.holders.contains_key(&self.core.instance))
        };
        if self.stopped_sender.is_some()
            && self.ledgers.values().all(has_stopped)
            && let Some(done) = self.stopped_sender.take()
        {
            let _receiver_dropped = done.send(());
        }
    }

    fn handle_event(&mut self, service: &id::Service, event: event::Event) {
        let now = self.core.now();
        let mut actions = Vec::new();
        if let Some(ledger) = self.get_or_create_ledger(service) {
            ledger.controller.handle(now, event, &mut actions);
        }
        let _no_reply = self.execute(service, actions);
    }

    /// Executes a controller's actions; returns its reply to a peer request, if any.
    fn execute(&mut self, service: &id::Service, actions: Actions) -> Option<request::Reply> {
        let mut peer_reply = None;
        for action in actions {
            match action {
                action::Action::Get { call } => self.read_record(service, call),
                action::Action::Put {
                    call,
                    condition,
                    record,
                } => self.write_record(service, call, condition, record),
                action::Action::Request { to, request } => self.send_request(service, to, request),
                action::Action::Reply { reply, .. } => peer_reply = Some(reply),
                action::Action::Broadcast(mark) => self.broadcast_mark(service, mark),
                action::Action::Report { server, ejection } => {
                    log::info!(service:% = service, server:% = server, ejection:% = ejection; "floor: ejection state changed");
                    if let Some(proxy) = self.core.proxy() {
                        proxy.report(service, report::Report::Ejection { server, ejection });
                    }
                }
                action::Action::Stopped => {}
            }
        }
        peer_reply
    }

    fn read_record(&self, service: &id::Service, call: u64) {
        let store = self.store.clone();
        let inputs = self.inputs.clone();
        let service = service.clone();
        tokio::spawn(async move {
            let response = read_from_store(&*store, &record_key(&service)).await;
            let event = event::Event::StorageResponse { call, response };
            let _task_ended = inputs.send(Input::Event(service, event));
        });
    }

    fn write_record(
        &self,
        service: &id::Service,
        call: u64,
        condition: storage::Condition,
        record: record::Record,
    ) {
        let store = self.store.clone();
        let inputs = self.inputs.clone();
        let core = self.core.clone();
        let service = service.clone();
        tokio::spawn(async move {
            let response = write_to_store(&*store, &record_key(&service), condition, &record).await;
            if let storage::Response::Written(version) = response
                && let Some(cluster) = core.cluster()
            {
                let update = update::Update::Ledger {
                    service: service.clone(),
                    version: version.0,
                };
                cluster.publish(update, scope::Scope::Fleet);
            }
            let event = event::Event::StorageResponse { call, response };
            let _task_ended = inputs.send(Input::Event(service, event));
        });
    }

    fn send_request(
        &self,
        service: &id::Service,
        to: instance::Instance,
        ejection_request: request::Request,
    ) {
        let Some(cluster) = self.core.cluster() else {
            return;
        };
        let client = cluster.client(to);
        let inputs = self.inputs.clone();
        let request = PeerRequest::Eject {
            service: service.clone(),
            ask: ejection_request,
        };
        let service = service.clone();
        tokio::spawn(async move {
            let payload = request.encode();
            let response = client.floor(floor::Request { payload }, PEER_TIMEOUT).await;
            match response.map(|r| PeerResponse::decode(&r.payload)) {
                Ok(PeerResponse::Eject(reply)) => {
                    let event = event::Event::Reply { from: to, reply };
                    let _task_ended = inputs.send(Input::Event(service, event));
                }
                Ok(_) => log::warn!(service:% = service; "floor: unexpected holder response"),
                Err(error) => log::warn!(service:% = service, error:%; "floor: holder call failed"),
            }
        });
    }

    fn broadcast_mark(&self, service: &id::Service, mark: mark::Mark) {
        let Some(cluster) = self.core.cluster() else {
            return;
        };
        let update = update::Update::Mark {
            service: service.clone(),
            mark,
        };
        cluster.publish(update, scope::Scope::Fleet);
    }
}

fn record_key(service: &id::Service) -> String {
    format!("{KEY_PREFIX}{service}")
}

async fn read_from_store(store: &dyn store::Store, key: &str) -> storage::Response {
    let object = match store.get(key).await {
        Ok(object) => object,
        Err(error) => {
            log::debug!(error:%; "floor: failed to read a record");
            return storage::Response::Unavailable;
        }
    };
    let Some(object) = object else {
        return storage::Response::Read(None);
    };
    let value = object.value.unwrap_or_default();
    match serde_json::from_slice(&value) {
        Ok(record) => storage::Response::Read(Some((storage::Version(object.version.0), record))),
        Err(error) => {
            log::error!(key, error:%; "floor: record could not be decoded");
            storage::Response::Unavailable
        }
    }
}

async fn write_to_store(
    store: &dyn store::Store,
    key: &str,
    condition: storage::Condition,
    record: &record::Record,
) -> storage::Response {
    let condition = match condition {
        storage::Condition::Absent => object::Condition::Absent,
        storage::Condition::At(version) => object::Condition::At(object::Version(version.0)),
    };
    let value = Bytes::from(serde_json::to_vec(record).unwrap_or_default());
    match store.put(key, value, condition).await {
        Ok(version) => storage::Response::Written(storage::Version(version.0)),
        Err(error::Error::Conflict { .. }) => storage::Response::Conflict,
        Err(error @ error::Error::NotDone { .. }) => {
            log::debug!(error:%; "floor: record was not written");
            storage::Response::Unavailable
        }
        Err(error @ error::Error::Unknown { .. }) => {
            log::warn!(error:%; "floor: outcome of a record write is unknown");
            storage::Response::Unknown
        }
    }
}
