//! What the stand-in for the store holds.

use std::collections::BTreeMap;

use serde_json::{Value, json};

/// An object.
#[derive(Clone, Debug)]
pub struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: Value,
}

impl Object {
    fn json(&self) -> Value {
        json!({
            "metadata": {
                "name": self.name,
                "rev": self.revision,
                "created_rev": self.created,
                "finalizers": [],
                "deleting": false,
            },
            "spec": self.spec,
            "status": null,
        })
    }
}

#[derive(Debug)]
struct Event {
    revision: u64,
    kind: String,
    object: Value,
    deleted: bool,
}

/// Objects and their history.
#[derive(Debug)]
pub struct State {
    page: usize,
    revision: u64,
    forgotten: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

impl State {
    /// Nothing yet.
    pub fn new(page: usize) -> Self {
        Self {
            page: page.max(1),
            revision: 1,
            forgotten: 0,
            objects: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Writes an object; one that does not change makes no event.
    pub fn put(&mut self, kind: &str, name: &str, spec: &Value) {
        let key = (kind.to_owned(), name.to_owned());
        let held = self.objects.get(&key);
        if held.is_some_and(|held| held.spec == *spec) {
            return;
        }
        self.revision += 1;
        let object = Object {
            name: name.to_owned(),
            revision: self.revision,
            created: held.map_or(self.revision, |held| held.created),
            spec: spec.clone(),
        };
        self.event(kind, &object, false);
        self.objects.insert(key, object);
    }

    /// Removes an object.
    pub fn delete(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            self.event(kind, &object, true);
        }
    }

    fn event(&mut self, kind: &str, object: &Object, deleted: bool) {
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            object: object.json(),
            deleted,
        });
    }

    /// Forgets the history.
    pub fn compact(&mut self) {
        self.events.clear();
        self.forgotten = self.revision;
    }

    /// One object.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.objects.get(&key).map(Object::json)
    }

    /// A page of the objects of a kind.
    pub fn list(&self, kind: &str, after: &str) -> Value {
        let of_kind = self.objects.iter().filter(|((k, _), _)| k == kind);
        let rest: Vec<_> = of_kind
            .filter(|((_, name), _)| name.as_str() > after)
            .map(|(_, object)| object.json())
            .collect();
        json!({
            "items": rest.iter().take(self.page).collect::<Vec<_>>(),
            "has_more": rest.len() > self.page,
            "current_rev": self.revision,
        })
    }

    /// The changes of a kind since a revision; `None` where the history is gone.
    pub fn changes(&self, kind: &str, since: u64) -> Option<Value> {
        if since < self.forgotten {
            return None;
        }
        let new = self.events.iter();
        let new = new.filter(|event| event.kind == kind && event.revision > since);
        let events: Vec<_> = new
            .map(|event| json!({"object": event.object, "deleted": event.deleted}))
            .collect();
        Some(json!({"events": events, "current_rev": self.revision}))
    }
}
