//! Difference of one field.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;

use crate::object;

/// Maximum number of fields reported for an object.
const MAX_FIELDS: usize = 50;

/// Maximum number of characters of a value that are shown.
const MAX_EXCERPT_CHARS: usize = 120;

/// A field that differs, by its path inside the object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Path, such as `servers[wiredesk-1].slots`; list elements are identified by name if possible.
    pub path: String,
    /// The old value as JSON, truncated; `None` if the field was added.
    pub old: Option<String>,
    /// The new value as JSON, truncated; `None` if the field was removed.
    pub new: Option<String>,
}

impl Field {
    /// The fields that differ between two values; only the first ones if there are many.
    #[must_use]
    pub fn diff(old: &object::Value, new: &object::Value) -> Vec<Self> {
        let mut fields = Vec::new();
        compare("", Some(&to_json(old)), Some(&to_json(new)), &mut fields);
        fields.truncate(MAX_FIELDS);
        fields
    }
}

/// The JSON of a value, without its enum tag.
fn to_json(value: &object::Value) -> Value {
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
        (Some(Value::Array(old)), Some(Value::Array(new))) => compare_lists(path, old, new, fields),
        _ => fields.push(Field {
            path: path.to_owned(),
            old: old.map(excerpt),
            new: new.map(excerpt),
        }),
    }
}

/// Compares two lists by element if the elements of each have unique names.
fn compare_lists(path: &str, old: &[Value], new: &[Value], fields: &mut Vec<Field>) {
    let (Some(old_indices), Some(new_indices)) = (indices_by_name(old), indices_by_name(new))
    else {
        fields.push(Field {
            path: path.to_owned(),
            old: Some(excerpt(&Value::from(old.to_vec()))),
            new: Some(excerpt(&Value::from(new.to_vec()))),
        });
        return;
    };
    let len_before = fields.len();
    let added = new.iter().filter_map(element_name);
    let added = added.filter(|name| !old_indices.contains_key(name));
    for name in old.iter().filter_map(element_name).chain(added) {
        let old = old_indices.get(&name).map(|index| &old[*index]);
        let new = new_indices.get(&name).map(|index| &new[*index]);
        compare(&format!("{path}[{name}]"), old, new, fields);
    }
    if fields.len() == len_before {
        fields.push(Field {
            path: path.to_owned(),
            old: Some("another order".to_owned()),
            new: Some("this order".to_owned()),
        });
    }
}

/// Indices of the elements by name; `None` if an element has no unique name.
fn indices_by_name(list: &[Value]) -> Option<BTreeMap<String, usize>> {
    let named = list.iter().map(element_name).zip(0..);
    let indices: Option<BTreeMap<_, _>> = named.map(|(name, index)| Some((name?, index))).collect();
    indices.filter(|indices| indices.len() == list.len())
}

/// Name of a list element: the methods and path of a route, or the value of `name` or
/// `data_centre`.
fn element_name(element: &Value) -> Option<String> {
    let field = |name: &str| element.get(name)?.as_str().map(ToOwned::to_owned);
    if let Some(path) = field("path") {
        let methods = element.get("methods").map(ToString::to_string);
        return Some(format!("{} {path}", methods.unwrap_or_default()));
    }
    field("name").or_else(|| field("data_centre"))
}

fn excerpt(value: &Value) -> String {
    let json = value.to_string();
    let mut excerpt: String = json.chars().take(MAX_EXCERPT_CHARS).collect();
    if excerpt.len() < json.len() {
        excerpt.push_str("...");
    }
    excerpt
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let none = || "none".to_owned();
        let old = self.old.clone().unwrap_or_else(none);
        let new = self.new.clone().unwrap_or_else(none);
        write!(f, "{}: {old} -> {new}", self.path)
    }
}
