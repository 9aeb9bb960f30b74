//! State of the simulated store.

use std::collections::BTreeMap;

use serde_json::{Value, json};

/// A stored object.
#[derive(Clone, Debug)]
pub struct Object {
    name: String,
    revision: u64,
    created_revision: u64,
    spec: Value,
}

impl Object {
    fn json(&self) -> Value {
        json!({
            "metadata": {
                "name": self.name,
                "rev": self.revision,
                "created_rev": self.created_revision,
                "finalizers": [],
                "deleting": false,
            },
            "spec": self.spec,
            "status": null,
        })
    }
}

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    kind: String,
    object: Value,
    deleted: bool,
}

/// Objects and their history.
#[derive(Clone, Debug)]
pub struct State {
    page_objects: usize,
    revision: u64,
    compacted_revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

impl State {
    pub fn new(page_objects: usize) -> Self {
        Self {
            page_objects: page_objects.max(1),
            revision: 1,
            compacted_revision: 0,
            objects: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Writes an object; an unchanged one creates no event.
    pub fn put(&mut self, kind: &str, name: &str, spec: &Value) {
        let key = (kind.to_owned(), name.to_owned());
        let stored = self.objects.get(&key);
        if stored.is_some_and(|stored| stored.spec == *spec) {
            return;
        }
        self.revision += 1;
        let object = Object {
            name: name.to_owned(),
            revision: self.revision,
            created_revision: stored.map_or(self.revision, |stored| stored.created_revision),
            spec: spec.clone(),
        };
        self.record_event(kind, &object, false);
        self.objects.insert(key, object);
    }

    /// Removes an object.
    pub fn delete(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            self.record_event(kind, &object, true);
        }
    }

    fn record_event(&mut self, kind: &str, object: &Object, deleted: bool) {
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            object: object.json(),
            deleted,
        });
    }

    /// Removes the history up to the current revision.
    pub fn compact(&mut self) {
        self.events.clear();
        self.compacted_revision = self.revision;
    }

    /// Returns an object as JSON.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.objects.get(&key).map(Object::json)
    }

    /// Returns a page of the objects of a kind whose names are greater than `after`.
    pub fn list(&self, kind: &str, after: &str) -> Value {
        let of_kind = self.objects.iter().filter(|((k, _), _)| k == kind);
        let rest: Vec<_> = of_kind
            .filter(|((_, name), _)| name.as_str() > after)
            .map(|(_, object)| object.json())
            .collect();
        json!({
            "items": rest.iter().take(self.page_objects).collect::<Vec<_>>(),
            "has_more": rest.len() > self.page_objects,
            "current_rev": self.revision,
        })
    }

    /// Returns the changes of a kind since a revision; `None` if they were compacted, or if the store
    /// does not have that revision.
    pub fn changes(&self, kind: &str, since: u64) -> Option<Value> {
        if since < self.compacted_revision || since > self.revision {
            return None;
        }
        let newer = self.events.iter();
        let newer = newer.filter(|event| event.kind == kind && event.revision > since);
        let events: Vec<_> = newer
            .map(|event| json!({"object": event.object, "deleted": event.deleted}))
            .collect();
        Some(json!({"events": events, "current_rev": self.revision}))
    }
}
