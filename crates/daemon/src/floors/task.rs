//! The task that owns the keepers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use monsooncart_cluster::scope;
use monsooncart_config::service;
use monsooncart_policy::floor::{action, controller, event, mark, record, request, storage};
use monsooncart_store::{error, object, store};
use monsooncart_types::{id, instance, map};
use monsooncart_wire::{floor, news};
use tokio::sync::{mpsc, oneshot};

use super::{Actions, Answer, Input, PREFIX, Question, View, capacity};
use crate::core;

/// Time between the clock events of the keepers.
const TICK: Duration = Duration::from_millis(250);

/// Longest wait for another daemon's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// One service's ledger.
struct Ledger {
    keeper: controller::Controller,
    configuration: Option<(Arc<service::Service>, u64)>,
    leaving: map::Set<id::Server>,
    holders: Vec<instance::Instance>,
    announced: Option<storage::Version>,
    asked_record: bool,
}

/// Owns the keepers.
pub(super) struct Task {
    core: Arc<core::Core>,
    store: Arc<dyn store::Store>,
    inputs: mpsc::UnboundedSender<Input>,
    ledgers: map::Map<id::Service, Ledger>,
    configurations: map::Map<id::Service, (Arc<service::Service>, u64)>,
    stopping: Option<oneshot::Sender<()>>,
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
            stopping: None,
        }
    }

    pub(super) async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = receiver.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(service, event) => self.event(&service, event),
            Input::Configuration(service, version) => self.configure(service, version),
            Input::Leaving(service, server) => self.leaving(&service, server),
            Input::Announced(service, version) => self.announced(&service, version),
            Input::Holders(service, holders) => self.holders(&service, holders),
            Input::Question(from, question, answer) => {
                let _gone = answer.send(self.question(from, question));
            }
            Input::View(service, view) => {
                let _gone = view.send(self.view(&service));
            }
            Input::Stop(done) => self.stop(done),
        }
    }

    /// The ledger of a service, started where there was none; `None` for an unknown service.
    fn ledger(&mut self, service: &id::Service) -> Option<&mut Ledger> {
        if !self.ledgers.contains_key(service) {
            let configuration = self.configurations.get(service)?.clone();
            let vm = self.core.settings.name.clone();
            let mut ledger = Ledger {
                keeper: controller::Controller::new(self.core.instance, vm),
                configuration: None,
                leaving: map::Set::default(),
                holders: Vec::new(),
                announced: None,
                asked_record: false,
            };
            ledger.configuration = Some(configuration);
            self.ledgers.insert(service.clone(), ledger);
            self.capacity(service);
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
            self.capacity(&name);
        }
    }

    fn leaving(&mut self, service: &id::Service, server: id::Server) {
        let Some(ledger) = self.ledger(service) else {
            return;
        };
        if ledger.leaving.insert(server) {
            self.capacity(service);
        }
    }

    fn capacity(&mut self, service: &id::Service) {
        let Some(ledger) = self.ledgers.get(service) else {
            return;
        };
        let Some((configuration, version)) = &ledger.configuration else {
            return;
        };
        let leaving = |server: &id::Server| ledger.leaving.contains(server);
        let capacity = capacity(configuration, *version, leaving);
        self.event(service, event::Event::Capacity(capacity));
    }

    fn holders(&mut self, service: &id::Service, holders: Vec<instance::Instance>) {
        let mine = holders.contains(&self.core.instance);
        if !mine && !self.ledgers.contains_key(service) {
            return;
        }
        let Some(ledger) = self.ledger(service) else {
            return;
        };
        if ledger.holders != holders {
            ledger.holders.clone_from(&holders);
            self.event(service, event::Event::Holders(holders));
        }
    }

    fn announced(&mut self, service: &id::Service, version: storage::Version) {
        let Some(ledger) = self.ledgers.get_mut(service) else {
            return;
        };
        let known = ledger.keeper.view().version();
        if known.is_none_or(|known| known < version) {
            ledger.announced = Some(version);
            self.reread(service);
        }
    }

    /// Reads a record that others are known to have a newer version of.
    fn reread(&self, service: &id::Service) {
        let store = self.store.clone();
        let inputs = self.inputs.clone();
        let service = service.clone();
        tokio::spawn(async move {
            let key = key(&service);
            if let storage::Response::Read(Some((version, record))) = read(&*store, &key).await {
                let changed = event::Event::Changed { version, record };
                let _ended = inputs.send(Input::Event(service, changed));
            }
        });
    }

    fn question(&mut self, from: instance::Instance, question: Question) -> Answer {
        match question {
            Question::Eject { service, ask } => {
                let server = ask.server.clone();
                let mut actions = Vec::new();
                let now = self.core.now();
                if let Some(ledger) = self.ledger(&service) {
                    let event = event::Event::Request { from, request: ask };
                    ledger.keeper.handle(now, event, &mut actions);
                }
                let reply = self.carry(&service, actions);
                let none = request::Reply { server, mark: None };
                Answer::Eject(reply.unwrap_or(none))
            }
            Question::Record { service } => {
                let ledger = self.ledgers.get(&service);
                let view = ledger.map(|l| l.keeper.view());
                let record = view.and_then(|v| Some((v.version()?, v.record()?.clone())));
                Answer::Record(record)
            }
        }
    }

    fn view(&self, service: &id::Service) -> Option<View> {
        let ledger = self.ledgers.get(service)?;
        let view = ledger.keeper.view();
        Some(View {
            version: view.version().map(|v| v.0),
            record: view.record().cloned(),
            ejected: view.ejected().into_iter().collect(),
            free: ledger.keeper.free(),
        })
    }

    fn stop(&mut self, done: oneshot::Sender<()>) {
        self.stopping = Some(done);
        let services: Vec<_> = self.ledgers.keys().cloned().collect();
        for service in services {
            self.event(&service, event::Event::Stop);
        }
        self.finish();
    }

    fn tick(&mut self) {
        let services: Vec<_> = self.ledgers.keys().cloned().collect();
        for service in services {
            self.event(&service, event::Event::Tick);
            self.catch_up(&service);
            self.gone(&service);
        }
        self.finish();
    }

    /// Reads again what was announced, and asks a peer where the platform gave nothing.
    fn catch_up(&mut self, service: &id::Service) {
        let Some(ledger) = self.ledgers.get_mut(service) else {
            return;
        };
        let known = ledger.keeper.view().version();
        let behind = ledger.announced.filter(|a| known.is_none_or(|k| k < *a));
        let lost = known.is_none() && !ledger.asked_record;
        ledger.announced = behind;
        if behind.is_some() {
            self.reread(service);
        }
        if lost {
            self.ask_record(service);
        }
    }

    fn ask_record(&self, service: &id::Service) {
        let Some(cluster) = self.core.cluster() else {
            return;
        };
        for member in self.core.entries.entry_set(service).iter() {
            if member.instance == self.core.instance {
                continue;
            }
            let client = cluster.call(member);
            let inputs = self.inputs.clone();
            let service = service.clone();
            tokio::spawn(async move {
                let question = Question::Record {
                    service: service.clone(),
                };
                let payload = question.encode();
                let reply = client.floor(floor::Request { payload }, ASK_TIMEOUT).await;
                let answer = reply.map(|r| Answer::decode(&r.payload));
                if let Ok(Answer::Record(Some((version, record)))) = answer {
                    let changed = event::Event::Changed { version, record };
                    let _ended = inputs.send(Input::Event(service, changed));
                }
            });
        }
    }

    /// Tells the keeper which holders of its record have ended for certain.
    fn gone(&mut self, service: &id::Service) {
        let Some(cluster) = self.core.cluster() else {
            return;
        };
        let Some(ledger) = self.ledgers.get(service) else {
            return;
        };
        let record = ledger.keeper.view().record();
        let holders = record.into_iter().flat_map(|r| r.holders.keys());
        let ended: BTreeSet<_> = holders
            .filter(|holder| cluster.is_ended(**holder))
            .copied()
            .collect();
        if !ended.is_empty() {
            self.event(service, event::Event::Gone(ended));
        }
    }

    fn finish(&mut self) {
        let stopped = |ledger: &Ledger| {
            let record = ledger.keeper.view().record();
            !record.is_some_and(|r| r.holders.contains_key(&self.core.instance))
        };
        if self.stopping.is_some()
            && self.ledgers.values().all(stopped)
            && let Some(done) = self.stopping.take()
        {
            let _gone = done.send(());
        }
    }

    fn event(&mut self, service: &id::Service, event: event::Event) {
        let now = self.core.now();
        let mut actions = Vec::new();
        if let Some(ledger) = self.ledger(service) {
            ledger.keeper.handle(now, event, &mut actions);
        }
        let _none = self.carry(service, actions);
    }

    /// Does what a keeper says; gives the reply to a question, where there is one.
    fn carry(&mut self, service: &id::Service, actions: Actions) -> Option<request::Reply> {
        let mut given = None;
        for action in actions {
            match action {
                action::Action::Get { call } => self.get(service, call),
                action::Action::Put {
                    call,
                    condition,
                    record,
                } => self.put(service, call, condition, record),
                action::Action::Request { to, request: ask } => self.ask(service, to, ask),
                action::Action::Reply { reply, .. } => given = Some(reply),
                action::Action::Broadcast(mark) => self.spread(service, mark),
                action::Action::Report { server, ejection } => {
                    log::info!(service:% = service, server:% = server, ejection:% = ejection; "floor: decided");
                    if let Some(proxy) = self.core.proxy() {
                        proxy.record_ejection(service, &server, ejection);
                    }
                }
                action::Action::Stopped => {}
            }
        }
        given
    }

    fn get(&self, service: &id::Service, call: u64) {
        let store = self.store.clone();
        let inputs = self.inputs.clone();
        let service = service.clone();
        tokio::spawn(async move {
            let answer = read(&*store, &key(&service)).await;
            let event = event::Event::StorageResponse {
                call,
                response: answer,
            };
            let _ended = inputs.send(Input::Event(service, event));
        });
    }

    fn put(
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
            let answer = write(&*store, &key(&service), condition, &record).await;
            if let storage::Response::Written(version) = answer
                && let Some(cluster) = core.cluster()
            {
                let news = news::News::Ledger {
                    service: service.clone(),
                    version: version.0,
                };
                cluster.publish(news, scope::Scope::Fleet);
            }
            let event = event::Event::StorageResponse {
                call,
                response: answer,
            };
            let _ended = inputs.send(Input::Event(service, event));
        });
    }

    fn ask(&self, service: &id::Service, to: instance::Instance, ask: request::Request) {
        let Some(cluster) = self.core.cluster() else {
            return;
        };
        let client = cluster.call(to);
        let inputs = self.inputs.clone();
        let question = Question::Eject {
            service: service.clone(),
            ask,
        };
        let service = service.clone();
        tokio::spawn(async move {
            let payload = question.encode();
            let answer = client.floor(floor::Request { payload }, ASK_TIMEOUT).await;
            match answer.map(|r| Answer::decode(&r.payload)) {
                Ok(Answer::Eject(reply)) => {
                    let event = event::Event::Reply { from: to, reply };
                    let _ended = inputs.send(Input::Event(service, event));
                }
                Ok(_) => log::warn!(service:% = service; "floor: holder gave no answer"),
                Err(error) => log::warn!(service:% = service, error:%; "floor: holder not asked"),
            }
        });
    }

    fn spread(&self, service: &id::Service, mark: mark::Mark) {
        let Some(cluster) = self.core.cluster() else {
            return;
        };
        let news = news::News::Mark {
            service: service.clone(),
            mark,
        };
        cluster.publish(news, scope::Scope::Fleet);
    }
}

fn key(service: &id::Service) -> String {
    format!("{PREFIX}{service}")
}

async fn read(store: &dyn store::Store, key: &str) -> storage::Response {
    let object = match store.get(key).await {
        Ok(object) => object,
        Err(error) => {
            log::debug!(error:%; "floor: record not read");
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
            log::error!(key, error:%; "floor: record is not understood");
            storage::Response::Unavailable
        }
    }
}

async fn write(
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
            log::debug!(error:%; "floor: record not written");
            storage::Response::Unavailable
        }
        Err(error @ error::Error::Unknown { .. }) => {
            log::warn!(error:%; "floor: effect of a write is unknown");
            storage::Response::Unknown
        }
    }
}
