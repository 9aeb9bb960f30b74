//! One field that differs.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;

use crate::object;

/// Fields reported of one object.
const MAX_FIELDS: usize = 50;

/// Characters shown of a value.
const MAX_SHOWN: usize = 120;

/// A field that differs, by its path inside the object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Its path, such as `servers[wiredesk-1].slots`: elements with a name go by it.
    pub path: String,
    /// The old value as JSON; `None` where the field is new.
    pub old: Option<String>,
    /// The new value as JSON; `None` where the field is gone.
    pub new: Option<String>,
}

impl Field {
    /// The fields that differ between two values, the first of them where there are many.
    #[must_use]
    pub fn all(old: &object::Value, new: &object::Value) -> Vec<Self> {
        let mut fields = Vec::new();
        compare("", Some(&inner(old)), Some(&inner(new)), &mut fields);
        fields.truncate(MAX_FIELDS);
        fields
    }
}

/// The value without the name of its kind.
fn inner(value: &object::Value) -> Value {
    let json = match value {
        object::Value::Zones(zones) => serde_json::to_value(zones),
        object::Value::Service(service) => serde_json::to_value(service),
        object::Value::Organisations(organisations) => serde_json::to_value(organisations),
        object::Value::Routing(routing) => serde_json::to_value(routing),
        object::Value::Registration(registration) => serde_json::to_value(registration),
    };
    json.unwrap_or_default()
}

fn compare(path: &str, old: Option<&Value>, new: Option<&Value>, fields: &mut Vec<Field>) {
    if old == new {
        return;
    }
    match (old, new) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            let added = new.keys().filter(|name| !old.contains_key(*name));
            for name in old.keys().chain(added) {
                let path = match path {
                    "" => name.clone(),
                    path => format!("{path}.{name}"),
                };
                compare(&path, old.get(name), new.get(name), fields);
            }
        }
        (Some(Value::Array(old)), Some(Value::Array(new))) => elements(path, old, new, fields),
        _ => fields.push(Field {
            path: path.to_owned(),
            old: old.map(shown),
            new: new.map(shown),
        }),
    }
}

/// Compares two lists, element by element where each element has a name of its own.
fn elements(path: &str, old: &[Value], new: &[Value], fields: &mut Vec<Field>) {
    let (Some(old_names), Some(new_names)) = (names(old), names(new)) else {
        fields.push(Field {
            path: path.to_owned(),
            old: Some(shown(&Value::from(old.to_vec()))),
            new: Some(shown(&Value::from(new.to_vec()))),
        });
        return;
    };
    let before = fields.len();
    let added = new.iter().filter_map(name);
    let added = added.filter(|name| !old_names.contains_key(name));
    for name in old.iter().filter_map(name).chain(added) {
        let old = old_names.get(&name).map(|at| &old[*at]);
        let new = new_names.get(&name).map(|at| &new[*at]);
        compare(&format!("{path}[{name}]"), old, new, fields);
    }
    if fields.len() == before {
        fields.push(Field {
            path: path.to_owned(),
            old: Some("another order".to_owned()),
            new: Some("this order".to_owned()),
        });
    }
}

/// Numbers of the elements by their names; `None` where one has no name of its own.
fn names(list: &[Value]) -> Option<BTreeMap<String, usize>> {
    let named = list.iter().map(name).zip(0..);
    let names: Option<BTreeMap<_, _>> = named.map(|(name, at)| Some((name?, at))).collect();
    names.filter(|names| names.len() == list.len())
}

/// What names an element of a list within its list.
fn name(element: &Value) -> Option<String> {
    let field = |name: &str| element.get(name)?.as_str().map(ToOwned::to_owned);
    if let Some(path) = field("path") {
        let methods = element.get("methods").map(ToString::to_string);
        return Some(format!("{} {path}", methods.unwrap_or_default()));
    }
    field("name").or_else(|| field("data_centre"))
}

fn shown(value: &Value) -> String {
    let json = value.to_string();
    let mut shown: String = json.chars().take(MAX_SHOWN).collect();
    if shown.len() < json.len() {
        shown.push_str("...");
    }
    shown
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let none = || "none".to_owned();
        let old = self.old.clone().unwrap_or_else(none);
        let new = self.new.clone().unwrap_or_else(none);
        write!(f, "{}: {old} -> {new}", self.path)
    }
}
